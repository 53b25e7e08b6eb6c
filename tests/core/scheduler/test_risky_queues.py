"""What is dear stays apart from fresh starts of a queue that crashes minions.

Tasks of services were restarted beside fresh starts of a queue of which a quarter of
the jobs crashed their minions, and lost four lives in 29 s, at ages of 11.8, 3.5, 5.4
and 7.8 s, beside one to three jobs of that queue each time. In 24 drawn plays each task
of a service was at work for 627 thousandths of the time.
"""

from tests.core.scheduler.test_crashing_tasks import noted
from tests.core.scheduler.world import World, job, step

SERVICE = "00000000000000dd"


def world_with_a_risky_queue(minions=6) -> World:
    """Return a world in which two jobs have crashed two minions a moment ago."""
    world = World(minions=minions)
    world.claim()
    world.run(500)
    world.submit(job(step(1, long_running=True)), SERVICE)
    world.run(500)
    for number in range(2):
        job_id = f"c{number:015x}"
        world.crashers[f"{job_id}.0.0.0"] = 30
        # No room for it beside the service.
        world.submit(job(step(1, cpu=3_500)), job_id)
        world.run(100)
    world.run(900)
    assert len(world.crashed_under) == 2
    return world


def places_of(world: World, job_id: str) -> set[str]:
    return {minion for _, task, _, minion in world.starts if task.startswith(job_id)}


def test_fresh_starts_of_the_queue_go_where_no_service_is():
    world = world_with_a_risky_queue()
    serving = places_of(world, SERVICE)
    for number in range(3):
        world.submit(job(step(1)), f"a{number:015x}", length_ms=400)
        world.run(100)
    assert not places_of(world, "a") & serving


def test_a_service_starts_where_no_fresh_starts_of_the_queue_are():
    world = world_with_a_risky_queue(minions=4)
    world.submit(job(step(2, cpu=1_500)), "a" * 16, length_ms=2_000)
    world.run(100)
    world.submit(job(step(3, long_running=True)), "e" * 16)
    world.run(100)
    assert places_of(world, "a")
    assert places_of(world, "e")
    assert not places_of(world, "a") & places_of(world, "e")


def test_where_there_is_no_other_room_they_start_beside_each_other():
    world = world_with_a_risky_queue(minions=4)
    for minion_id in set(world.minions) - places_of(world, SERVICE):
        if world.minions[minion_id].up:
            world.crash(minion_id)
    world.submit(job(step(1)), "a" * 16, length_ms=400)
    world.run(600)
    assert places_of(world, "a") == places_of(world, SERVICE)


def test_a_queue_that_crashes_nothing_is_placed_as_ever():
    world = World(minions=4)
    world.claim()
    world.run(500)
    world.submit(job(step(1, long_running=True)), SERVICE)
    world.run(500)
    world.submit(job(step(1)), "a" * 16, length_ms=400)
    world.run(600)
    assert places_of(world, "a") == places_of(world, SERVICE)
    assert noted(world, "task_crashed") == []
