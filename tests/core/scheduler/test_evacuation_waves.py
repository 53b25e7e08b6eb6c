"""Maintenance waves while an availability zone is evacuated."""

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.evacuation_moves import MOVE_AFTER_MS
from courselead.core.scheduler.models import MaintenanceWave
from tests.core.scheduler.test_evacuation_moves import fill, long_running, world_with
from tests.core.scheduler.test_waves import request_wave
from tests.core.scheduler.world import ZONES, World, job, step, world_of_zones

EVACUATED = ZONES[2]


def workers_of(world: World, zone: str) -> set[str]:
    return {item.worker_id for item in world.all_minions if item.zone == zone}


def test_a_wave_takes_the_workers_of_an_evacuated_zone_first():
    # Guards against taking down workers that serve while others are out of use anyway:
    # also those that still have tasks of the evacuated zone come first.
    world = world_of_zones(6)
    world.claim()
    for number in range(6):
        world.submit(job(step(1, cpu=2_500)), f"{number:016x}", length_ms=3_000)
    world.run(500)
    busy = {minion.zone for minion in world.all_minions if minion.runs}
    assert busy == set(ZONES)
    world.evacuate(EVACUATED)
    request_wave(world)
    world.run(40_000)
    assert sorted(world.maintained) == [f"w{number}" for number in range(6)]
    assert set(world.maintained[:2]) == workers_of(world, EVACUATED)


def test_a_wave_that_has_begun_goes_on_with_the_evacuated_zone():
    # Guards against more workers being emptied than the cap allows for, because those
    # of the evacuated zone come in addition to others that are emptied already.
    world = world_of_zones(9)
    world.wave_cap = 1
    world.claim()
    world.run(300)
    request_wave(world)
    world.run(200)
    begun = set(world.owner.schedule.waves[1].evacuating) | set(world.maintained)
    assert begun
    world.evacuate(EVACUATED)
    world.run(60_000)
    assert sorted(world.maintained) == [f"w{number}" for number in range(9)]
    later = [item for item in world.maintained if item not in begun]
    evacuated = workers_of(world, EVACUATED) - begun
    assert set(later[: len(evacuated)]) == evacuated


def test_a_wave_does_not_wait_for_tasks_that_cannot_leave_the_evacuated_zone():
    # Guards against a wave that stops: the workers of the evacuated zone took up its
    # cap while their long-running tasks had no place to go.
    world = world_with(job(long_running(3, cpu=4_000, may_miss=1)), 9, EVACUATED)
    fill(world, *ZONES[:2])
    world.evacuate(EVACUATED)
    request_wave(world)
    world.run(40_000)
    outside = workers_of(world, ZONES[0]) | workers_of(world, ZONES[1])
    assert set(world.maintained[:6]) == outside


def test_a_wave_empties_workers_of_the_evacuated_zone_within_the_budget():
    # Guards against a wave and an evacuation that spend the same budget; the world
    # fails with AVAIL.
    world = world_with(job(long_running(4, cpu=2_000, may_miss=1)), 6, EVACUATED)
    world.evacuate(EVACUATED)
    world.run(MOVE_AFTER_MS - 1_500)
    request_wave(world, cap=2)
    world.run(200)
    emptied = set(world.owner.schedule.waves[1].evacuating) | set(world.maintained)
    assert workers_of(world, EVACUATED) <= emptied
    world.run(60_000)
    assert sorted(world.maintained) == [f"w{number}" for number in range(6)]


def test_a_wave_over_a_returned_zone_takes_idle_workers_first_again():
    # Guards against a preference that outlasts the evacuation.
    world = world_of_zones(3)
    world.claim()
    world.evacuate(EVACUATED)
    world.run(300)
    world.restore(EVACUATED)
    for minion in world.all_minions:
        minion.cut = minion.zone != EVACUATED
    world.run(3_000)
    world.submit(job(step(1, cpu=4_000)), length_ms=10_000)
    world.run(200)
    assert [world.minions[start[3]].zone for start in world.starts] == [EVACUATED]
    for minion in world.all_minions:
        minion.cut = False
    world.run(1_000)
    wave = MaintenanceWave(1, ("w2", "w1", "w0"), 60, 1)
    world.owner.handle(ev.WaveRequested(wave), world.now_ms)
    world.run(300)
    assert "w2" not in world.maintained
    assert world.maintained
