"""Log events and figures about the evacuation of availability zones."""

from courselead.core.scheduler import evacuation, events as ev
from courselead.core.scheduler.models import JobState
from tests.core.scheduler.test_evacuation_moves import JOB, long_running, world_with
from tests.core.scheduler.world import ZONES, World, job, step, world_of_zones

EVACUATED = ZONES[0]


def log_events(world: World, name: str) -> list[dict[str, object]]:
    return [
        item.fields
        for item in world.orders
        if isinstance(item, ev.LogEvent) and item.event == name
    ]


def test_an_evacuation_logs_when_it_is_in_force_emptied_and_over():
    # Guards against an operator who cannot tell how far an evacuation is, and against
    # events that are repeated with each tick.
    world = world_with(job(step(2, estimate_ms=3_000)), length_ms=6_000)
    runs_left = len(world.starts)
    begun_ms = world.now_ms
    world.evacuate(EVACUATED)
    (in_force,) = log_events(world, "zone_evacuation_in_force")
    assert (in_force["zone"], in_force["runs"]) == (EVACUATED, runs_left)
    world.run(2_000)
    assert not log_events(world, "zone_emptied")
    world.run(6_000)
    (emptied,) = log_events(world, "zone_emptied")
    assert emptied["zone"] == EVACUATED
    assert 0 < emptied["after_ms"] < world.now_ms - begun_ms
    world.restore(EVACUATED)
    (returned,) = log_events(world, "zone_returned")
    assert returned["zone"] == EVACUATED
    world.evacuate(EVACUATED)
    world.run(500)
    assert len(log_events(world, "zone_emptied")) == 2


def test_a_new_owner_calls_no_zone_empty_that_it_has_not_seen():
    # Guards against an emptied zone in which runs go on that the owner does not know.
    world = world_with(job(long_running()))
    world.evacuate(EVACUATED)
    world.run(300)
    for minion in world.all_minions:
        minion.cut = minion.zone == EVACUATED
    world.claim()
    world.run(3_000)
    assert not log_events(world, "zone_emptied")
    for minion in world.all_minions:
        minion.cut = False
    world.run(14_000)
    assert len(log_events(world, "zone_emptied")) == 1


def test_the_first_start_after_a_return_is_logged_once():
    # Guards against a returned zone of which nobody can tell whether it is used again.
    world = world_of_zones(3)
    world.claim()
    world.run(300)
    world.evacuate(EVACUATED)
    world.submit(job(step(4)), JOB, length_ms=300)
    world.run(500)
    assert not log_events(world, "zone_first_start")
    world.restore(EVACUATED)
    for number in range(3):
        world.submit(job(step(12)), f"{number:016x}", length_ms=300)
    world.run(2_000)
    (first,) = log_events(world, "zone_first_start")
    assert first["zone"] == EVACUATED
    assert world.minions[first["minion"]].zone == EVACUATED
    assert 0 < first["after_ms"] < 500
    assert world.state(JOB) is JobState.COMPLETED


def test_a_run_from_before_the_evacuation_is_no_first_start():
    # Guards against taking an order that was carried out late for a new start.
    world = world_of_zones(3)
    world.claim()
    world.run(300)
    for minion in world.all_minions:
        minion.cut = minion.zone != EVACUATED
    world.run(3_000)
    world.submit(job(step(1)))
    world.evacuate(EVACUATED)
    world.run(1)
    world.restore(EVACUATED)
    world.run(2_000)
    assert world.starts
    assert not log_events(world, "zone_first_start")


def test_the_runs_left_in_evacuated_zones_are_counted():
    # Guards against a figure that counts runs of other zones, or none.
    world = world_with(job(long_running(2)))
    schedule = world.owner.schedule
    assert evacuation.runs_left(schedule) == 0
    world.evacuate(EVACUATED)
    assert evacuation.runs_left(schedule) == 2
    world.evacuate(ZONES[1])
    assert evacuation.runs_left(schedule) == 2
