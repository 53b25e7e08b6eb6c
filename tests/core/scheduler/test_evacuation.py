"""Nothing starts in an evacuated availability zone later than the bound allows."""

from dataclasses import replace

from courselead.core.scheduler.models import Bounds, JobState
from tests.core.scheduler.evacuation_plays import WITHIN_MS
from tests.core.scheduler.world import ZONES, World, job, step, world_of_zones


def make_world(minions=6) -> World:
    """Return a world of three zones whose deployment has a bound for evacuations."""
    world = world_of_zones(minions)
    world.bounds = replace(Bounds(), evacuated_within_ms=WITHIN_MS)
    world.claim()
    world.run(300)
    return world


def zones_of_starts(world: World, since_ms: int) -> set[str]:
    """Return the zones in which tasks were started since a time."""
    return {
        world.minions[minion_id].zone
        for at_ms, _, _, minion_id in world.starts
        if at_ms >= since_ms
    }


def test_no_task_starts_in_an_evacuated_zone():
    # Guards against starts in a zone after its evacuation.
    world = make_world()
    world.evacuate(ZONES[0])
    job_id = world.submit(job(step(12)))
    world.run(2_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert zones_of_starts(world, 0) == set(ZONES[1:])


def test_a_job_moves_to_another_zone():
    # Guards against a job that waits for its preferred zone until the zone is back.
    world = make_world()
    job_id = world.submit(job(step(2), step(2, after=(0,))), length_ms=500)
    world.run(100)
    (before,) = zones_of_starts(world, 0)
    world.evacuate(before)
    evacuated_ms = world.now_ms
    world.run(1_500)
    assert world.state(job_id) is JobState.COMPLETED
    (after,) = zones_of_starts(world, evacuated_ms)
    assert after != before


def test_tasks_start_again_when_the_zone_is_back():
    # Guards against a zone that stays closed after its return.
    world = make_world(minions=3)
    for zone in ZONES:
        world.evacuate(zone)
    job_id = world.submit(job(step(12)))
    world.run(1_000)
    assert not world.starts
    for zone in ZONES:
        world.restore(zone)
    world.run(2_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_a_new_owner_knows_the_evacuated_zones():
    # Guards against a takeover that forgets an evacuation: it is in the operator's log.
    world = make_world()
    world.evacuate(ZONES[0])
    world.claim()
    world.submit(job(step(12)))
    world.run(10_000)
    assert world.starts
    assert ZONES[0] not in zones_of_starts(world, 0)


def test_an_owner_that_cannot_read_the_operators_log_stops_starting():
    # Guards against starts of an owner that has missed an evacuation because the
    # operator's log does not answer it, while it still reaches the minions.
    world = make_world()
    world.operator_log_readable = False
    world.evacuate(ZONES[0])
    for number in range(12):
        world.submit(job(step(1)), f"{number:016x}", length_ms=100)
        world.run(1_000)
    begun_ms = [at_ms for at_ms, *_ in world.starts]
    assert begun_ms
    assert max(begun_ms) < world.closed_zones[ZONES[0]]
    world.operator_log_readable = True
    world.run(2_000)
    assert world.state(f"{11:016x}") is JobState.COMPLETED


def test_a_held_start_is_not_sent_into_a_zone_that_was_evacuated_meanwhile():
    # Guards against a start that waits to be stored while its zone is evacuated.
    world = make_world()
    world.bounds = replace(world.bounds, evacuated_within_ms=0)
    world.owner.schedule.own_zone = ZONES[0]
    for minion in world.all_minions:
        minion.cut = minion.zone != ZONES[0]
    world.run(3_000)
    job_id = world.submit(job(step(1)))
    world.evacuate(ZONES[0])
    for minion in world.all_minions:
        minion.cut = False
    world.run(8_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert ZONES[0] not in zones_of_starts(world, 0)


def test_deployments_without_a_bound_ignore_the_age_of_the_operators_log():
    # Guards against starts that stop in a long outage where no zone is evacuated.
    world = world_of_zones()
    world.claim()
    world.run(300)
    world.operator_log_readable = False
    world.run(20_000)
    job_id = world.submit(job(step(1)))
    world.run(1_000)
    assert world.state(job_id) is JobState.COMPLETED
