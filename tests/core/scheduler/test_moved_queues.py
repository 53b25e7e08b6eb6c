"""Tests for queues that a new configuration sends to another pool.

Tasks that were started before go on in the pool that the queue has left. A new owner
used to wait only for silent minions of the queue's newest pool, and started the other
tasks a second time (review/4, TWICE).
"""

import pytest

from courselead.core.scheduler import const, jobs
from courselead.core.scheduler.models import FleetConfig, JobState, Pool, Queue
from tests.core.scheduler.world import QUEUE, World, job, step

FIRST, SECOND, THIRD = "p", "p2", "p3"
POOLS = (FIRST, SECOND, THIRD)
JOB = "00000000000000aa"
LONG_MS = 60_000


def config_with(pool: str, version: int = 1, pools: tuple[str, ...] = POOLS):
    """Return a configuration that sends the queue to a pool."""
    queue = Queue(QUEUE, pool, max_attempts=3)
    return FleetConfig(version, {QUEUE: queue}, {name: Pool(name) for name in pools})


def world_of_pools(minions_per_pool: int = 2) -> World:
    """Return a world whose queue is sent to the first of three pools."""
    world = World(minions=0, cfg=config_with(FIRST))
    for pool in POOLS:
        for number in range(minions_per_pool):
            world.add_minion(f"{pool}-w{number}", pool=pool)
    world.claim()
    world.run(500)
    return world


def pools_of_starts(world: World) -> list[str]:
    return [world.minions[minion_id].pool for *_, minion_id in world.starts]


def cut_one_with_a_run(world: World, pool: str) -> None:
    """Cut off a minion of a pool that runs a task."""
    running = [item for item in world.all_minions if item.pool == pool and item.runs]
    running[0].cut = True


def run_until_leases_are_over(world: World) -> None:
    world.run(world.owner.schedule.old_leases_end_ms - world.now_ms + 2_000)


def test_a_new_owner_waits_for_silent_minions_of_the_pool_that_a_queue_has_left():
    # review/4: the tasks of the silent minion were started in the new pool 0.3 s later.
    world = world_of_pools()
    world.submit(job(step(4)), JOB, length_ms=LONG_MS)
    world.run(500)
    world.change_config(config_with(SECOND, 2))
    cut_one_with_a_run(world, FIRST)
    world.claim()
    world.run(9_000)
    assert pools_of_starts(world) == [FIRST] * 4
    run_until_leases_are_over(world)
    assert set(pools_of_starts(world)[4:]) == {SECOND}


def test_a_minion_that_only_the_cloud_lists_is_waited_for_in_its_own_pool():
    world = world_of_pools()
    world.submit(job(step(4)), JOB, length_ms=LONG_MS)
    world.run(500)
    world.change_config(config_with(SECOND, 2))
    cut_one_with_a_run(world, FIRST)
    for minion in world.all_minions:
        if minion.cut:
            world.unlist(minion.minion_id)
    world.claim()
    world.run(9_000)
    assert len(world.starts) == 4


def test_a_new_owner_waits_in_a_pool_that_the_queue_had_between_two_owners():
    # The job was accepted for the first pool, and the newest configuration names the
    # third: only the progress of the job tells of the second one.
    world = world_of_pools()
    world.submit(job(step(1), step(2, after=(0,))), JOB, length_ms=LONG_MS)
    world.lengths[JOB] = 300
    world.change_config(config_with(SECOND, 2))
    world.run(100)
    world.lengths[JOB] = LONG_MS
    world.run(700)
    assert pools_of_starts(world)[-1] == SECOND
    starts = len(world.starts)
    world.change_config(config_with(THIRD, 3))
    cut_one_with_a_run(world, SECOND)
    world.claim()
    world.run(9_000)
    assert len(world.starts) == starts
    run_until_leases_are_over(world)
    assert pools_of_starts(world)[-1] == THIRD


def test_a_pool_is_stored_before_a_task_starts_there():
    # An owner that is lost right after such a start has stored nothing else of it.
    world = world_of_pools()
    world.save_ms = 400
    world.submit(job(step(2, cpu=4_000)), JOB, length_ms=LONG_MS)
    world.run(50)
    world.submit(job(step(2, cpu=4_000)), "00000000000000bb", length_ms=LONG_MS)
    world.change_config(config_with(SECOND, 2))
    for _ in range(5_000):
        if SECOND in pools_of_starts(world):
            break
        world.run(1)
    assert SECOND in pools_of_starts(world)
    world.change_config(config_with(THIRD, 3))
    cut_one_with_a_run(world, SECOND)
    world.kill_owner()
    world.claim()
    world.run(9_000)
    assert THIRD not in pools_of_starts(world)


def test_a_job_that_was_never_in_the_pool_of_a_silent_minion_does_not_wait():
    world = world_of_pools()
    world.submit(job(step(1)), JOB, length_ms=LONG_MS)
    world.run(500)
    world.change_config(config_with(SECOND, 2))
    world.submit(job(step(1), step(1, after=(0,))), "00000000000000bb", length_ms=400)
    world.run(200)
    cut_one_with_a_run(world, FIRST)
    world.claim()
    world.run(const.STRAY_START_MS // 2)
    assert world.state("00000000000000bb") is JobState.COMPLETED


@pytest.mark.parametrize("moved_to", [SECOND, FIRST])
def test_silent_minions_of_a_pool_without_a_configuration_are_waited_for(moved_to):
    # Their entries are left aside until a configuration defines their pool again.
    world = world_of_pools()
    world.submit(job(step(4)), JOB, length_ms=LONG_MS)
    world.run(500)
    world.change_config(config_with(moved_to, 2, (SECOND, THIRD)))
    world.claim()
    world.run(9_000)
    assert len(world.starts) == 4


def test_a_unit_that_is_queued_again_while_its_queue_moves_is_on_one_ready_list():
    # It stayed on the list of the pool that the queue had left and was added to that of
    # the new one, where both entries started: two runs at the same time.
    world = world_of_pools()
    world.submit(job(step(1)), JOB, length_ms=LONG_MS)
    world.run(500)
    cut_one_with_a_run(world, FIRST)
    world.claim()
    world.run(100)
    schedule = world.owner.schedule
    [unit] = schedule.ready[FIRST]
    # The round that would move the unit to the other list is still to come.
    schedule.place_after_ms[FIRST] = world.now_ms + 1_000
    world.change_config(config_with(SECOND, 2))
    jobs.requeue(schedule, unit)
    lists = [pool for pool, units in schedule.ready.items() if unit in units]
    assert lists == [SECOND]
    run_until_leases_are_over(world)
    assert pools_of_starts(world) == [FIRST, SECOND]
