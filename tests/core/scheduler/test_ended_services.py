"""Tests that long-running tasks start again however they end.

The end of such a task as `done` used to be taken for its completion: it never started
again, and its job was shown as completed (review/6, LOST).
"""

import random

import pytest

from courselead.core.scheduler import const
from courselead.core.scheduler.events import EndKind
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.records import JobProgress, OccurrenceProgress
from tests.core.scheduler.world import World, job, step

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
BACK_MS = 3_000
"""Time within which a long-running task has to be back."""


def service(*, tasks: int = 1, gang: bool = False) -> World:
    world = World(minions=2)
    world.claim()
    world.run(500)
    spec = step(tasks, long_running=True, gang=gang, may_miss=0 if gang else 1)
    world.submit(job(spec), JOB)
    world.run(500)
    assert len(world.starts) == tasks
    return world


def end_all(world: World, kind: EndKind) -> None:
    for minion in world.all_minions:
        for _ in list(minion.runs):
            world.end_service_task(minion, random.Random(0), kind)


@pytest.mark.parametrize("kind", list(EndKind))
def test_a_long_running_task_starts_again_however_it_ends(kind):
    world = service()
    end_all(world, kind)
    world.run(BACK_MS)
    assert len(world.starts_of(TASK)) == 2
    assert world.state(JOB) is JobState.RUNNING


@pytest.mark.parametrize("kind", list(EndKind))
def test_a_gang_of_long_running_tasks_starts_again_however_it_ends(kind):
    world = service(tasks=3, gang=True)
    end_all(world, kind)
    world.run(BACK_MS)
    assert len(world.starts) == 6
    assert world.state(JOB) is JobState.RUNNING


@pytest.mark.parametrize("save_ms", [2, 5_000])
def test_the_next_owner_starts_a_long_running_task_again_that_was_done(save_ms):
    # The end is stored and acknowledged before the takeover, or is listed to both.
    world = service()
    world.save_ms = save_ms
    end_all(world, EndKind.DONE)
    world.run(100)
    world.save_ms = 2
    world.claim()
    world.run(BACK_MS)
    assert len(world.starts_of(TASK)) == 2
    assert world.state(JOB) is JobState.RUNNING


def test_a_long_running_task_that_an_earlier_version_stored_as_done_starts_again():
    world = service()
    end_all(world, EndKind.DONE)
    world.kill_owner()
    occurrence = OccurrenceProgress(0, [[0]], {})
    world.book.apply(JobProgress(JOB, JobState.RUNNING, True, [], [occurrence]))
    world.claim()
    world.run(BACK_MS)
    assert len(world.starts_of(TASK)) == 2


def test_a_task_that_is_done_at_once_starts_again_after_increasing_delays():
    # A program that returns at once is not started as often as the owner can.
    world = service()
    for _ in range(100):
        end_all(world, EndKind.DONE)
        world.run(200)
    longest = const.RESTART_BACKOFF_MAX_MS
    assert 20_000 // (longest + 500) <= len(world.starts) <= 20_000 // longest + 8


def test_a_job_with_finite_tasks_beside_long_running_ones_is_not_completed():
    world = World(minions=2)
    world.claim()
    world.run(500)
    world.submit(job(step(1), step(1, long_running=True)), JOB)
    world.run(2_000)
    end_all(world, EndKind.DONE)
    world.run(BACK_MS)
    assert world.state(JOB) is JobState.RUNNING
    assert len(world.starts_of(f"{JOB}.0.1.0")) == 2


def test_the_run_time_of_a_long_running_task_is_not_expected_of_finite_ones():
    world = service()
    world.run(20_000)
    end_all(world, EndKind.DONE)
    world.run(BACK_MS)
    assert world.owner.schedule.run_ms == {}


@pytest.mark.parametrize("long_running", [False, True])
def test_a_late_end_of_an_earlier_run_does_not_stop_a_gang(long_running):
    # A minion that was out of reach lists the end of its run after the gang has started
    # again elsewhere. The gang was stopped and started a third time.
    world = World(minions=4)
    world.claim()
    world.run(500)
    spec = step(2, cpu=4_000, gang=True, long_running=long_running)
    world.submit(job(spec), JOB, length_ms=60_000)
    world.run(500)
    silent = world.minions[world.starts_of(TASK)[0]]
    silent.cut = True
    world.run(16_000)
    assert len(world.starts_of(TASK)) == 2
    silent.cut = False
    world.run(5_000)
    assert len(world.starts_of(TASK)) == 2
