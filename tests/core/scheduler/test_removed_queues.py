"""Tests for jobs whose queue is taken out of the configuration while they last.

Whatever an owner did with such a job was told from the newest configuration. Without
the queue, a task had a single attempt (review/8, LOST), and the next owner did not know
the pool of the tasks that were still to start (review/7, LOST).
"""

import pytest

from courselead.core.scheduler.events import JobArrived
from courselead.core.scheduler.models import (
    AdvicePolicy,
    FleetConfig,
    JobState,
    Pool,
    Queue,
)
from courselead.core.scheduler.records import JobAccepted, JobProgress
from tests.core.scheduler.world import QUEUE, World, job, step

FIRST, SECOND = "p", "p2"
JOB = "00000000000000aa"
POOLS = {FIRST: Pool(FIRST), SECOND: Pool(SECOND)}


def config_with(version: int = 1, pool: str = FIRST, **fields) -> FleetConfig:
    """Return a configuration with the queue."""
    fields.setdefault("max_attempts", 3)
    return FleetConfig(version, {QUEUE: Queue(QUEUE, pool, **fields)}, POOLS)


def without_queue(version: int) -> FleetConfig:
    """Return a configuration without any queue."""
    return FleetConfig(version, {}, POOLS)


def world_of_two_pools(**fields) -> World:
    world = World(minions=0, cfg=config_with(**fields))
    for pool in POOLS:
        for number in range(2):
            world.add_minion(f"{pool}-w{number}", pool=pool)
    world.claim()
    world.run(500)
    return world


def change_owner(world: World) -> None:
    world.run(500)
    world.claim()
    world.run(500)


def run_until_starts(world: World, count: int) -> None:
    """Go on until so many runs have begun, for 10 s at most."""
    for _ in range(1_000):
        if len(world.starts) >= count:
            return
        world.run(10)
    raise AssertionError(f"{len(world.starts)} of {count} runs have begun")


def fail_all(world: World) -> None:
    world.failing_jobs.add(JOB)


def set_cordoned(world: World, cordoned: bool) -> None:
    for minion in world.owner.schedule.minions.values():
        minion.cordoned = cordoned
    world.owner.schedule.dirty_pools.update(POOLS)


def test_a_task_keeps_its_attempts_while_its_queue_is_gone():
    # review/8: the job was shown as failed after one of its attempts.
    world = world_of_two_pools()
    world.submit(job(step(1)), JOB, length_ms=1_000)
    world.run(500)
    fail_all(world)
    world.change_config(without_queue(2))
    world.run(1_000)
    assert world.failed[f"{JOB}.0.0.0"] == 1
    assert world.state(JOB) is JobState.RUNNING
    world.failing_jobs.clear()
    world.change_config(config_with(3))
    world.run(3_000)
    assert world.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("owners", [1, 2])
def test_a_task_still_fails_after_its_last_attempt_while_its_queue_is_gone(owners):
    world = world_of_two_pools()
    world.submit(job(step(1)), JOB, length_ms=1_000)
    fail_all(world)
    world.run(500)
    world.change_config(without_queue(2))
    for _ in range(owners - 1):
        change_owner(world)
    world.run(10_000)
    assert world.failed[f"{JOB}.0.0.0"] == 3
    assert world.state(JOB) is JobState.FAILED


def test_the_next_owner_starts_the_tasks_of_a_queue_that_is_gone():
    # review/7: the second step never started.
    world = world_of_two_pools()
    world.submit(job(step(1), step(2, after=(0,))), JOB, length_ms=1_000)
    world.run(500)
    world.change_config(without_queue(2))
    change_owner(world)
    world.run(3_000)
    assert world.state(JOB) is JobState.COMPLETED


def test_a_job_is_run_whose_queue_no_owner_has_seen():
    # The queue was there for a moment, between two owners; another host accepted the
    # job in that time.
    world = world_of_two_pools()
    world.change_config(without_queue(2))
    settings = Queue(QUEUE, SECOND, max_attempts=3)
    world.lengths[JOB] = 500
    world.queue_settings.append(settings)
    record = JobAccepted(JOB, QUEUE, job(step(1)), settings=settings)
    world.book.apply(record)
    world.claim()
    world.run(2_000)
    assert world.state(JOB) is JobState.COMPLETED


@pytest.mark.parametrize("owners", [1, 2])
def test_a_queue_that_was_moved_before_it_went_keeps_its_newest_settings(owners):
    # Neither owner goes back to the settings of the job's acceptance.
    world = world_of_two_pools()
    world.submit(job(step(1), step(1, after=(0,))), JOB, length_ms=1_000)
    world.run(500)
    world.change_config(config_with(2, SECOND, max_attempts=2))
    world.run(100)
    world.change_config(without_queue(3))
    for _ in range(owners - 1):
        change_owner(world)
    run_until_starts(world, 2)
    fail_all(world)
    world.run(10_000)
    starts = world.starts_of(f"{JOB}.0.1.0")
    assert [world.minions[item].pool for item in starts] == [SECOND] * 2
    assert world.state(JOB) is JobState.FAILED


def test_a_queue_that_comes_back_elsewhere_takes_its_jobs_there():
    world = world_of_two_pools()
    world.submit(job(step(1), step(1, after=(0,))), JOB, length_ms=2_000)
    world.run(500)
    world.change_config(without_queue(2))
    change_owner(world)
    world.change_config(config_with(3, SECOND))
    world.run(3_000)
    [start] = world.starts_of(f"{JOB}.0.1.0")
    assert world.minions[start].pool == SECOND


def test_starts_of_a_queue_that_is_gone_still_carry_tickets():
    world = world_of_two_pools(advice=AdvicePolicy(10, 1, 3_000))
    world.advised = {"i2": "ticket"}
    world.submit(job(step(1), step(1, after=(0,))), JOB, length_ms=1_000)
    world.run(500)
    world.change_config(without_queue(2))
    change_owner(world)
    world.run(3_000)
    assert world.starts_of(f"{JOB}.0.1.0") == ["i2"]


@pytest.mark.parametrize("is_gone_between", [False, True])
def test_fewer_attempts_hold_for_tasks_that_have_used_them_up(is_gone_between):
    # Otherwise a task would be started again after its last attempt (BUDGET).
    world = world_of_two_pools()
    world.submit(job(step(1)), JOB, length_ms=500)
    fail_all(world)
    run_until_starts(world, 2)
    set_cordoned(world, True)
    world.run(1_000)
    assert world.failed[f"{JOB}.0.0.0"] == 2
    if is_gone_between:
        world.change_config(without_queue(2))
    world.change_config(config_with(3, max_attempts=2))
    set_cordoned(world, False)
    world.run(3_000)
    assert world.failed[f"{JOB}.0.0.0"] == 2
    assert world.state(JOB) is JobState.FAILED


def test_an_attempt_that_runs_may_succeed_though_fewer_are_allowed_now():
    world = world_of_two_pools()
    world.submit(job(step(1)), JOB, length_ms=500)
    fail_all(world)
    run_until_starts(world, 2)
    world.failing_jobs.clear()
    world.change_config(config_with(2, max_attempts=1))
    world.run(3_000)
    assert world.state(JOB) is JobState.COMPLETED


def test_a_task_without_attempts_is_not_started_by_an_owner_that_learns_of_it_late():
    # The queue allowed fewer attempts while nobody had the schedule.
    world = world_of_two_pools()
    world.submit(job(step(1)), JOB, length_ms=500)
    fail_all(world)
    run_until_starts(world, 2)
    set_cordoned(world, True)
    world.run(1_000)
    world.kill_owner()
    world.change_config(config_with(2, max_attempts=2))
    world.claim()
    world.run(20_000)
    assert world.failed[f"{JOB}.0.0.0"] == 2
    assert world.state(JOB) is JobState.FAILED


def test_a_job_of_an_earlier_version_does_not_fail_while_its_queue_is_unknown():
    # Nothing tells how many attempts its tasks have.
    world = world_of_two_pools()
    world.lengths[JOB] = 1_000
    world.book.apply(JobAccepted(JOB, QUEUE, job(step(1))))
    world.owner.handle(JobArrived(JOB), world.now_ms)
    world.run(500)
    fail_all(world)
    world.kill_owner()
    world.book.jobs[JOB].progress = JobProgress(JOB, JobState.RUNNING, True)
    world.change_config(without_queue(2))
    world.claim()
    world.run(2_000)
    assert world.failed[f"{JOB}.0.0.0"] == 1
    assert world.state(JOB) is JobState.RUNNING
    world.failing_jobs.clear()
    world.change_config(config_with(3))
    world.run(20_000)
    assert world.state(JOB) is JobState.COMPLETED
