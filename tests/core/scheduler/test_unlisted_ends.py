"""Tests for minions with more run ends than one answer to a poll lists."""

import pytest

from courselead.core.scheduler.models import JobState, Resources
from tests.core.scheduler.fake_minions import MAX_LISTED_ENDS
from tests.core.scheduler.world import ZONES, World, job, step

TASKS_PER_MINION = 2 * MAX_LISTED_ENDS + 100
CAPACITY = Resources(TASKS_PER_MINION, TASKS_PER_MINION)
RUN_MS = 2_000
SLOW_SAVE_MS = 400


def world_with_many_small_tasks() -> tuple[World, str]:
    """Return a world in which each minion runs over two answers full of tasks."""
    world = World(minions=0)
    for number, zone in enumerate(ZONES):
        world.add_minion(f"w{number}", zone=zone, capacity=CAPACITY)
    world.poll_ms = 20
    world.claim("z0")
    count = len(ZONES) * TASKS_PER_MINION
    job_id = world.submit(job(step(count, cpu=1, memory=1)), length_ms=RUN_MS)
    world.run(1_000)
    assert len(world.starts) == count
    return world, job_id


@pytest.mark.parametrize("zone", ["", "z1"])
def test_tasks_with_ends_beyond_the_first_answer_do_not_run_twice(zone):
    # Seen with a restart of the owner in a slow store: 76 of 2,400 tasks ran twice.
    world, job_id = world_with_many_small_tasks()
    world.save_ms = SLOW_SAVE_MS
    world.kill_owner()
    world.run(RUN_MS)
    world.claim(zone)
    # The world checks at each start and at each acknowledgement that no task ran twice.
    world.run(10_000)
    assert len(world.starts) == len(ZONES) * TASKS_PER_MINION
    assert world.state(job_id) is JobState.COMPLETED


def test_a_stopped_run_whose_end_is_not_listed_yet_is_not_started_again():
    # A stopped run that an answer did not list was taken for one that never began.
    world = World(minions=0)
    world.poll_ms = 20
    world.add_minion("w0", capacity=CAPACITY)
    world.claim()
    world.submit(job(step(MAX_LISTED_ENDS, cpu=1, memory=1)), length_ms=1_500)
    checkpointed = step(1, cpu=1, memory=1, checkpoints=True)
    job_id = world.submit(job(checkpointed), "00000000000000bb", length_ms=2_080)
    world.run(1_000)
    world.store_down = True
    world.run(1_000)
    [minion] = world.all_minions
    world.add_minion("w1", capacity=CAPACITY)
    # The owner stops the run, which is done before its stop takes effect.
    world.drain(minion.minion_id)
    world.run(2_000)
    world.store_down = False
    world.run(5_000)
    assert len(world.starts_of(f"{job_id}.0.0.0")) == 1
    assert world.state(job_id) is JobState.COMPLETED


def test_a_minion_with_unlisted_ends_is_known_to_be_empty_only_after_its_lease():
    # It answers again before its lease is over, and its ends count.
    world, job_id = world_with_many_small_tasks()
    world.kill_owner()
    world.run(RUN_MS)
    world.store_down = True
    world.claim("z1")
    world.run(200)
    silent = world.all_minions[0]
    silent.cut = True
    world.run(1_000)
    world.unlist(silent.minion_id)
    world.store_down = False
    world.run(5_000)
    assert silent.minion_id in world.owner.schedule.minions
    silent.cut = False
    world.list_entry(silent)
    world.run(5_000)
    assert len(world.starts) == len(ZONES) * TASKS_PER_MINION
    assert world.state(job_id) is JobState.COMPLETED


def test_tasks_with_unlisted_ends_start_again_once_the_lease_is_over():
    world, job_id = world_with_many_small_tasks()
    world.kill_owner()
    world.run(RUN_MS)
    world.store_down = True
    world.claim("z1")
    world.run(200)
    lost = world.all_minions[0]
    world.crash(lost.minion_id)
    world.add_minion("w3", capacity=CAPACITY)
    world.store_down = False
    world.run(30_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_the_owner_after_the_next_does_not_start_tasks_with_unlisted_ends():
    # An owner recorded the runs of a minion before it knew all ends there.
    world, job_id = world_with_many_small_tasks()
    world.kill_owner()
    world.run(RUN_MS)
    world.save_ms = 5_000
    world.claim("z1")
    world.run(100)
    other_job = world.submit(job(step(1, cpu=1, memory=1)), "00000000000000bb")
    world.run(200)
    silent = world.all_minions[1]
    assert silent.zone == "z1"
    world.kill_owner()
    silent.cut = True
    world.claim("z2")
    world.run(3_000)
    world.save_ms = SLOW_SAVE_MS
    silent.cut = False
    world.run(10_000)
    for index in range(len(ZONES) * TASKS_PER_MINION):
        assert len(world.starts_of(f"{job_id}.0.0.{index}")) == 1
    assert world.state(job_id) is JobState.COMPLETED
    assert world.state(other_job) is JobState.COMPLETED
