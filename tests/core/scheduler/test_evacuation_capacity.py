"""Capacity, moves and waves leave out the targets of an evacuated availability zone."""

from dataclasses import replace

from courselead.core.scheduler import demand, events as ev
from courselead.core.scheduler.evacuation_moves import MOVE_AFTER_MS
from courselead.core.scheduler.isolation import Isolation
from courselead.core.scheduler.losses import is_explained
from courselead.core.scheduler.models import Bounds, Resources, Worker, WorkerPhase
from courselead.core.scheduler.pools import (
    IDLE_OFF_MS,
    LOST_MOVE_MS,
    MOVE_RETRY_MS,
)
from courselead.core.scheduler.schedule import MoveState
from courselead.core.scheduler.state import Suspect
from tests.core.scheduler.test_pools import SPARE_POOL, fleet, have_burst, move_orders
from tests.core.scheduler.world import CAPACITY, POOL, ZONES, World, job, step

EVACUATED, *OTHERS = ZONES


def fleet_of_zones(minions=6) -> World:
    world = World(minions=0, cfg=fleet())
    for number in range(minions):
        world.add_minion(f"w{number}", zone=ZONES[number % len(ZONES)])
    world.claim()
    return world


def add_spare_workers(world: World, *zones: str) -> None:
    """Add a switched-off worker in each of the zones to the cloud's list."""

    def listed(owner, asked_ms):
        workers = [spare_worker(zone) for zone in zones]
        for minion in world.minions.values():
            workers.append(
                Worker(
                    minion.worker_id,
                    POOL,
                    WorkerPhase.UP,
                    minion.zone,
                    minion.capacity,
                    minion.labels,
                    minion.minion_id,
                )
            )
        world._reply(owner, ev.WorkersListed(asked_ms, tuple(workers)))

    world._list_workers = listed


def spare_worker(zone: str, pool=SPARE_POOL) -> Worker:
    phase, labels = WorkerPhase.UP, ("a", "r9")
    return Worker(f"spare-{zone}", pool, phase, zone, CAPACITY, labels, "")


def demand_of(world: World) -> demand.PoolDemand:
    return demand.demands_of(world.owner.schedule)[POOL]


def test_minions_of_an_evacuated_zone_are_no_capacity_until_it_returns():
    # Guards against a pool that seems large enough while a third of it may not be used.
    world = fleet_of_zones()
    world.run(300)
    assert demand_of(world).capacity == 6 * CAPACITY.cpu_milli
    assert len(demand_of(world).idle) == 6
    world.evacuate(EVACUATED)
    assert demand_of(world).capacity == 4 * CAPACITY.cpu_milli
    assert {minion.info.zone for minion in demand_of(world).idle} == set(OTHERS)
    world.restore(EVACUATED)
    assert demand_of(world).capacity == 6 * CAPACITY.cpu_milli
    assert len(demand_of(world).idle) == 6


def test_workers_on_their_way_in_an_evacuated_zone_are_no_capacity():
    # Guards against waiting for workers that may not be used when they arrive.
    world = fleet_of_zones(minions=3)
    world.run(300)
    schedule = world.owner.schedule
    for zone in ZONES[:2]:
        joining = replace(spare_worker(zone, POOL), worker_id=f"joining-{zone}")
        moving = replace(spare_worker(zone), labels=("a", zone))
        for worker in (joining, moving):
            schedule.workers[worker.worker_id] = worker
        schedule.joining[joining.worker_id] = world.now_ms
        schedule.moves[moving.worker_id] = MoveState(POOL, world.now_ms)
    assert demand_of(world).capacity == 7 * CAPACITY.cpu_milli
    world.evacuate(EVACUATED)
    assert demand_of(world).capacity == 4 * CAPACITY.cpu_milli
    assert len(schedule.joining) == 2


def test_waiting_work_fetches_no_worker_of_an_evacuated_zone():
    # Guards against fetching workers on which nothing may be started.
    world = fleet_of_zones(minions=1)
    add_spare_workers(world, *ZONES)
    world.run(300)
    world.evacuate(ZONES[1])
    world.submit(job(step(40)), length_ms=2_000)
    world.run(500)
    ordered = {order.worker_id for order in move_orders(world)}
    assert ordered == {f"spare-{zone}" for zone in (ZONES[0], ZONES[2])}
    world.restore(ZONES[1])
    world.run(500)
    assert f"spare-{ZONES[1]}" in {order.worker_id for order in move_orders(world)}


def test_a_label_is_not_expected_from_a_worker_of_an_evacuated_zone():
    # Guards against work that waits for the label of a worker that may not be used.
    world = fleet_of_zones(minions=3)
    world.run(300)
    schedule = world.owner.schedule
    worker = replace(spare_worker(EVACUATED), labels=("a", "rare", "r9"))
    schedule.workers[worker.worker_id] = worker
    schedule.moves[worker.worker_id] = MoveState(POOL, world.now_ms, world.now_ms)
    world.submit(job(step(1, required_label="rare")))
    world.run(350)
    assert not demand_of(world).waiting_labels
    world.evacuate(EVACUATED)
    assert demand_of(world).waiting_labels == {"rare"}


def test_idle_workers_of_an_evacuated_zone_are_not_switched_off():
    # Guards against counting them as surplus: they would be missing at its return.
    world = fleet_of_zones()
    have_burst(world)
    world.evacuate(EVACUATED)
    world.run(8_000)
    zones = {minion.worker_id: minion.zone for minion in world.all_minions}
    moved = {zones[order.worker_id] for order in move_orders(world)}
    assert moved == set(OTHERS)


def test_idle_workers_of_a_zone_evacuated_for_long_are_switched_off():
    # Guards against paying for workers that nothing may use: the evacuation of a zone
    # may last for hours, and its idle minions are no surplus of their pools.
    world = fleet_of_zones()
    have_burst(world)
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + IDLE_OFF_MS + 1_000)
    zones = {minion.worker_id: minion.zone for minion in world.all_minions}
    moved = {order.worker_id for order in move_orders(world)}
    assert sum(zones[worker_id] == EVACUATED for worker_id in moved) == 2


def with_unanswered_move(pool: str, worker_id: str) -> World:
    """Return a world whose zone is evacuated after an unanswered move of a worker."""
    world = fleet_of_zones(minions=3)
    add_spare_workers(world, EVACUATED)
    world.run(300)
    world.evacuate(EVACUATED)
    world.owner.schedule.moves[worker_id] = MoveState(pool, world.now_ms)
    return world


def test_an_unanswered_move_is_not_ordered_again_in_an_evacuated_zone():
    # Guards against a retry that moves a worker of the zone into a pool to serve it.
    world = with_unanswered_move(POOL, f"spare-{EVACUATED}")
    world.run(3 * MOVE_RETRY_MS)
    assert not move_orders(world)


def test_an_unanswered_move_is_given_up_while_the_zone_is_evacuated():
    # Guards against a worker that no maintenance wave can take until the zone returns,
    # because its move is neither ordered again nor given up.
    world = with_unanswered_move(POOL, f"spare-{EVACUATED}")
    world.run(world.bounds.move_ms + LOST_MOVE_MS + 1_500)
    assert not world.owner.schedule.moves


def test_switching_off_goes_on_in_an_evacuated_zone():
    # Guards against a worker that stays cordoned because its move is not ordered again.
    world = with_unanswered_move(SPARE_POOL, "w0")
    world.run(2 * MOVE_RETRY_MS)
    assert {order.pool for order in move_orders(world)} == {SPARE_POOL}


def test_trials_of_suspects_count_only_minions_that_may_be_used():
    # Guards against reserving for trials all minions that are left of a pool, and
    # against trials that wait for a minion of the evacuated zone.
    world = fleet_of_zones()
    world.submit(job(step(2, cpu=4_000)), length_ms=60_000)
    world.run(300)
    schedule = world.owner.schedule
    world.evacuate(EVACUATED)
    unit = next(iter(schedule.units.values()))
    schedule.suspects[unit.name] = Suspect(unit)
    isolation = Isolation(schedule)
    assert isolation._max_trials_of(POOL) == 2
    world.restore(EVACUATED)
    assert Isolation(schedule)._max_trials_of(POOL) == 3


def test_no_minion_of_an_evacuated_zone_is_reserved_for_a_trial():
    # Guards against a suspect that waits for a minion on which nothing may start.
    world = fleet_of_zones(minions=3)
    world.run(300)
    for zone in OTHERS[1:]:
        world.evacuate(zone)
    world.evacuate(EVACUATED)
    world.submit(job(step(1, required_label="none")), f"{1:016x}")
    schedule = world.owner.schedule
    unit = schedule.units[f"{1:016x}.0.0.0"]
    schedule.suspects[unit.name] = Suspect(unit, tried_ms=world.now_ms)
    reserved = Isolation(schedule)._trial_minions
    assert [schedule.minions[item].info.zone for item in reserved] == OTHERS[:1]


def test_losses_in_an_evacuated_zone_count_as_usual():
    # Guards against taking a zone that is emptied for a zone that is lost, which would
    # excuse tasks that crash their minions.
    world = World(minions=0, bounds=Bounds())
    for number in range(9):
        world.add_minion(
            f"w{number}", zone=ZONES[number % 3], labels=("a", f"r{number}")
        )
    world.claim()
    world.submit(job(step(1, cpu=4_000)), f"{1:016x}", length_ms=60_000)
    world.run(2_000)
    crashed = world.minions[world.starts[0][3]]
    world.evacuate(crashed.zone)
    world.run(500)
    world.lose_power(crashed)
    world.run(6_000)
    (lost,) = world.owner.schedule.lost_incarnations
    assert not is_explained(world.owner.schedule, lost)
    assert world.owner.schedule.suspects


def test_without_an_evacuation_capacity_is_as_before():
    # Guards against a rule for evacuated zones that applies to minions without a zone.
    world = World(minions=2, capacity=Resources(2_000, 4_000))
    world.claim()
    world.run(300)
    assert demand_of(world).capacity == 4_000
