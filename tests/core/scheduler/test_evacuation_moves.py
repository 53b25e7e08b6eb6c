"""Running tasks of an evacuated availability zone: which are moved, when and how many.

The world checks every stop against the step's disruption budget (AVAIL).
"""

from courselead.core.scheduler import budgets, demand, events as ev
from courselead.core.scheduler.const import ZONE_EVACUATED_REASON
from courselead.core.scheduler.evacuation_moves import MOVE_AFTER_MS
from courselead.core.scheduler.models import JobState, Resources
from courselead.core.scheduler.state import Crash
from tests.core.scheduler.world import (
    CAPACITY,
    POOL,
    ZONES,
    World,
    job,
    step,
    world_of_zones,
)

EVACUATED = ZONES[0]
JOB = "00000000000000aa"
SETTLED_MS = 2_000
"""Time in which stops arrive and stopped tasks start again."""


def long_running(count=1, **fields):
    return step(count, long_running=True, **fields)


def world_with(spec, minions=6, zone=EVACUATED, length_ms=60_000) -> World:
    """Return a world in which the tasks of a job were all started in one zone."""
    world = world_of_zones(minions)
    world.claim()
    for minion in world.all_minions:
        minion.cut = minion.zone != zone
    world.run(3_000)
    world.submit(spec, JOB, length_ms)
    world.run(500)
    for minion in world.all_minions:
        minion.cut = False
    world.run(1_500)
    assert zones_of(world) == {zone}
    return world


def tasks_in(world: World, zone: str) -> set[str]:
    return {
        run.task
        for minion in world.all_minions
        if minion.zone == zone and minion.up
        for run in minion.runs.values()
    }


def zones_of(world: World) -> set[str]:
    return {zone for zone in ZONES if tasks_in(world, zone)}


def stops(world: World) -> list[ev.StopRun]:
    return [item for item in world.orders if isinstance(item, ev.StopRun)]


def fill(world: World, *zones: str) -> list[str]:
    """Fill the minions of zones with long-running tasks, and return the jobs' ids."""
    names = []
    for minion in world.all_minions:
        minion.cut = minion.zone not in zones
    world.run(3_000)
    for number, minion in enumerate(world.all_minions):
        used = Resources()
        for run in minion.runs.values():
            used = used.plus(world._spec_of(run.task).charge)
        free = minion.capacity.minus(used).cpu_milli
        if minion.zone in zones and free:
            names.append(world.submit(job(long_running(cpu=free)), f"{number:016x}"))
    world.run(500)
    for minion in world.all_minions:
        minion.cut = False
    world.run(1_500)
    return names


def test_a_long_running_task_is_moved_only_after_ten_seconds():
    # Guards against a move for a short evacuation, and against tasks that never leave.
    world = world_with(job(long_running()))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS - 200)
    assert not stops(world)
    world.run(SETTLED_MS)
    assert {order.reason for order in stops(world)} == {ZONE_EVACUATED_REASON}
    assert tasks_in(world, EVACUATED) == set()
    assert world.state(JOB) is JobState.RUNNING
    assert len(world.starts) == 2


def test_the_age_counts_from_the_newest_request():
    # Guards against adding up two short evacuations.
    world = world_with(job(long_running()))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS - 1_000)
    world.restore(EVACUATED)
    world.run(300)
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS - 200)
    assert not stops(world)


def test_finite_tasks_run_to_their_end_where_they_are():
    # Guards against stopping work that has to start from its beginning again.
    world = world_with(job(step(2, estimate_ms=20_000)), length_ms=20_000)
    world.evacuate(EVACUATED)
    world.run(20_000)
    assert not stops(world)
    assert world.state(JOB) is JobState.COMPLETED
    assert len(world.starts) == 2


def test_checkpointed_finite_tasks_are_moved():
    # Guards against work that stays in the zone although it can go on elsewhere.
    spec = job(step(2, estimate_ms=60_000, checkpoints=True))
    world = world_with(spec, length_ms=60_000)
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert zones_of(world) <= set(ZONES[1:])
    assert len(world.starts) == 4


def test_gangs_are_not_moved():
    # Guards against stopping a gang as a whole because of one of its tasks.
    spec = job(step(2, estimate_ms=60_000, checkpoints=True, gang=True))
    world = world_with(spec, length_ms=60_000)
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)


def test_tasks_are_moved_within_the_disruption_budget():
    # Guards against stopping more tasks of a step at once than it may miss; the world
    # fails with AVAIL.
    world = world_with(job(long_running(4, may_miss=1)))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + 300)
    assert len(stops(world)) == 1
    world.run(15_000)
    assert tasks_in(world, EVACUATED) == set()
    assert len(world.starts) == 8


def test_nothing_is_stopped_without_free_capacity_outside():
    # Guards against a stopped task that cannot start elsewhere, and against one that
    # stays once there is capacity.
    world = world_with(job(long_running(2, may_miss=2)))
    (first, *_) = fill(world, *ZONES[1:])
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)
    world.cancel(first)
    world.run(3_000)
    assert tasks_in(world, EVACUATED) == set()


def test_free_capacity_is_used_for_one_task_only():
    # Guards against stopping two tasks for the same free capacity, in one tick or in
    # two while the first one is still being stopped.
    world = world_with(job(long_running(2, cpu=2_000, may_miss=2)))
    fill(world, *ZONES[1:])
    world.add_minion("w9", zone=ZONES[1], capacity=Resources(2_000, 4_000))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + 50)
    world.run(5_000)
    assert len({order.task for order in stops(world)}) == 1
    assert len(tasks_in(world, EVACUATED)) == 1
    assert len(world.owner.schedule.ready.get(POOL, ())) == 0


def test_capacity_for_a_task_that_waits_is_not_free():
    # Guards against moving a task into the place of another one that waits for it.
    world = world_with(job(long_running(1, cpu=2_000)))
    fill(world, *ZONES[1:])
    schedule = world.owner.schedule
    world.evacuate(EVACUATED)
    waiting = world.submit(job(long_running(1, cpu=2_000)), f"{99:016x}")
    unit = schedule.units[f"{waiting}.0.0.0"]
    unit.not_before_ms = world.now_ms + 2 * MOVE_AFTER_MS
    world.add_minion("w9", zone=ZONES[1], capacity=Resources(2_000, 4_000))
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)


def test_only_capacity_that_meets_the_constraints_counts():
    # Guards against stopping a task that only minions without its label, or with too
    # many tasks of its step, would have capacity for.
    for fields in ({"required_label": "rare"}, {"max_per_minion": 1}):
        world = world_of_zones(0)
        world.add_minion("w0", zone=EVACUATED, labels=("a", "rare", "r1"))
        world.add_minion("w1", zone=ZONES[1])
        world.claim()
        world.run(300)
        count = 2 if "max_per_minion" in fields else 1
        world.submit(job(long_running(count, may_miss=2, **fields)))
        world.run(1_500)
        assert tasks_in(world, EVACUATED)
        world.evacuate(EVACUATED)
        world.run(MOVE_AFTER_MS + SETTLED_MS)
        assert not stops(world)


def test_a_task_of_a_failed_job_is_not_stopped():
    # Guards against stopping what serves until its caller cancels it, as it would not
    # start again.
    world = world_with(job(long_running()))
    world.owner.schedule.jobs[JOB].state = JobState.FAILED
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)


def test_a_task_of_an_account_over_its_cap_is_not_stopped():
    # Guards against stopping a task whose account may start nothing.
    world = world_with(job(long_running(2, may_miss=2)))
    world.owner.schedule.jobs[JOB].account = "a"
    world.owner.schedule.account_use["a"] = Resources(2_000, 200)
    world.set_cap("a", Resources(1_000, 0))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)


def test_nothing_is_moved_while_the_log_is_silent():
    # Guards against stops by an owner that may have been replaced: the next owner may
    # spend the same budget.
    world = world_with(job(long_running()))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS - 1_000)
    world.store_down = True
    world.run(4_000)
    assert not stops(world)
    world.store_down = False
    world.run(SETTLED_MS)
    assert tasks_in(world, EVACUATED) == set()


def test_nothing_is_moved_back_when_the_zone_returns():
    # Guards against a second interruption of the same tasks.
    world = world_with(job(long_running(2, may_miss=2)))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    moved = len(stops(world))
    world.restore(EVACUATED)
    world.run(20_000)
    assert len(stops(world)) == moved
    assert tasks_in(world, EVACUATED) == set()


def test_a_takeover_delays_a_move():
    # Guards against a new owner that counts the evacuation from a time before it knew
    # of it, and so moves tasks while stops of the earlier owner are in flight.
    world = world_with(job(long_running(3, may_miss=1)))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + 150)
    before = len(stops(world))
    assert before == 1
    world.claim()
    world.run(MOVE_AFTER_MS - 500)
    assert len({order.task for order in stops(world)}) == before
    world.run(15_000)
    assert tasks_in(world, EVACUATED) == set()


def test_tasks_on_silent_minions_count_as_missing():
    # Guards against spending the budget twice while the zone is also cut off.
    world = world_of_zones(6)
    world.claim()
    world.run(300)
    world.submit(job(long_running(3, max_per_minion=1, may_miss=1, cpu=4_000)))
    world.run(2_000)
    (silent, *rest) = [minion for minion in world.all_minions if minion.runs]
    for zone in {minion.zone for minion in rest}:
        world.evacuate(zone)
    world.run(MOVE_AFTER_MS - 2_000)
    silent.cut = True
    world.run(4_000)
    assert not stops(world)


def test_a_run_on_a_silent_minion_is_not_stopped():
    # Guards against a stop that arrives when the minion is back, late and unplanned.
    world = world_with(job(long_running()))
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS - 2_000)
    for minion in world.all_minions:
        minion.cut = minion.zone == EVACUATED
    world.run(4_000)
    assert not stops(world)


def test_minions_that_are_about_to_leave_are_no_free_capacity():
    # Guards against moving tasks to workers that are moved or maintained next.
    world = world_with(job(long_running()))
    for minion in world.owner.schedule.minions.values():
        minion.cordoned = True
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)


def test_a_new_owner_moves_nothing_that_it_may_not_start_yet():
    # Guards against stopping a task that has to wait afterwards, because a minion that
    # has not reported to the new owner may run it as well.
    world = world_with(job(long_running()))
    world.evacuate(EVACUATED)
    world.run(300)
    silent = next(item for item in world.all_minions if item.zone != EVACUATED)
    silent.cut = True
    world.claim()
    world.run(MOVE_AFTER_MS + 1_000)
    assert not stops(world)
    world.run(4_000)
    assert tasks_in(world, EVACUATED) == set()


def test_the_budget_of_a_step_is_checked_once_in_a_tick(monkeypatch):
    # Guards against ticks of a second: each check goes through all tasks of the step.
    world = world_with(job(long_running(8, may_miss=1)))
    world.evacuate(EVACUATED)
    checks = []
    before = budgets.missing_in_step

    def missing_in_step(schedule, *args):
        checks.append(schedule.now_ms)
        return before(schedule, *args)

    monkeypatch.setattr(budgets, "missing_in_step", missing_in_step)
    world.run(MOVE_AFTER_MS + 500)
    # One check allows a stop, and the next one refuses it.
    assert checks
    assert max(checks.count(now_ms) for now_ms in checks) <= 2


def test_all_zones_evacuated_moves_nothing():
    # Guards against stopping tasks that could start nowhere.
    world = world_with(job(long_running(2, may_miss=2)))
    for zone in ZONES:
        world.evacuate(zone)
    world.run(MOVE_AFTER_MS + 5_000)
    assert not stops(world)


def test_tasks_to_be_moved_are_demand_outside():
    # Guards against switching off the workers that the tasks are about to move to, and
    # against a full pool that fetches none for them.
    world = world_with(job(long_running(2, may_miss=2)))
    fill(world, *ZONES[1:])
    schedule = world.owner.schedule
    world.evacuate(EVACUATED)
    world.run(300)
    before = demand.demands_of(schedule)[POOL]
    assert before.long_running_use == 4 * CAPACITY.cpu_milli
    world.run(MOVE_AFTER_MS)
    after = demand.demands_of(schedule)[POOL]
    assert after.long_running_use == before.long_running_use + 2_000
    assert after.is_short


def test_a_job_with_tasks_on_its_rack_starts_elsewhere_at_once():
    # Guards against work that waits for its preferred rack until the zone returns.
    specs = (
        step(2, preferred_rack="r0"),
        step(2, preferred_rack="r0", rack_local=True, gang=True),
        step(2, gang=True),
    )
    for spec in specs:
        world = World(minions=0)
        world.add_racks(6, 2)
        world.claim()
        world.run(300)
        world.evacuate(EVACUATED)
        assert {item.zone for item in world.all_minions if "r0" in item.labels} == {
            EVACUATED
        }
        world.submit(job(spec), JOB, 300)
        world.run(1_000)
        assert world.state(JOB) is JobState.COMPLETED
        assert max(start[0] for start in world.starts) <= 1_400


def test_a_job_does_not_return_to_its_first_zone():
    # Guards against a job that is spread over zones once its first zone is back.
    world = world_of_zones(6)
    world.claim()
    world.run(300)
    spec = job(step(2), step(2, after=(0,)), step(2, after=(1,)))
    world.submit(spec, JOB, length_ms=1_000)
    world.run(100)
    (first,) = zones_of(world)
    world.evacuate(first)
    world.run(1_200)
    (second,) = zones_of(world)
    assert second != first
    world.restore(first)
    world.run(1_200)
    assert zones_of(world) == {second}
    assert world.owner.schedule.jobs[JOB].zone == second


def test_a_suspect_is_not_moved():
    # Guards against a stop after which the task waits for a minion of its own.
    world = world_with(job(long_running()))
    unit = world.owner.schedule.units[f"{JOB}.0.0.0"]
    crash = Crash(1, unit.runs[0].incarnation, 2_000)
    unit.crashes[crash.key] = crash
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS + SETTLED_MS)
    assert not stops(world)
