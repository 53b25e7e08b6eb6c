"""Tests that the healthy tasks of a failed long-running job keep running.

A failed job used to stop all of its tasks, as if the caller had cancelled it. One task
of a service of six had lost its minion four times beside crashing tasks of other jobs:
"task_given_up" for task 0.0.5 and "job_ended" as failed were followed by stops of 0.0.2
and 0.0.3, which were healthy on other minions, although the step may miss one task.
"""

import pytest

from courselead.core.scheduler.models import JobState
from tests.core.scheduler.test_crashing_tasks import CRASHER, CRASHING_TASK
from tests.core.scheduler.world import WALL_START_MS, World, job, step

TASKS = 4


def failed_service() -> World:
    """Return a world with a failed service, whose first task crashes minions."""
    world = World(minions=8)
    world.claim()
    world.run(500)
    world.crash_ages_ms[CRASHING_TASK] = 30
    service_step = step(TASKS, long_running=True, may_miss=1, max_per_minion=1)
    world.submit(job(service_step), CRASHER)
    world.run(30_000)
    return world


def active_tasks(world: World) -> set[str]:
    """Return the tasks that run and are not being stopped."""
    return {
        run.task
        for minion in world.all_minions
        for run in minion.runs.values()
        if run.stop_at_ms is None
    }


HEALTHY = {f"{CRASHER}.0.0.{index}" for index in range(1, TASKS)}


def test_the_other_tasks_of_a_failed_service_run_on():
    world = failed_service()
    assert world.state(CRASHER) is JobState.FAILED
    assert active_tasks(world) == HEALTHY


def test_the_next_owner_leaves_them_running():
    world = failed_service()
    world.claim()
    world.run(15_000)
    assert active_tasks(world) == HEALTHY


@pytest.mark.parametrize("new_owner", [False, True])
def test_the_other_tasks_end_once_the_caller_cancels(new_owner):
    world = failed_service()
    world.cancel(CRASHER)
    if new_owner:
        world.claim()
    world.run(2_000)
    assert active_tasks(world) == set()


def test_a_cancel_that_the_owner_before_did_not_see_ends_them():
    world = failed_service()
    world.cut_connections = {(1, minion_id) for minion_id in world.minions}
    world.cancel(CRASHER)
    world.claim()
    world.run(2_000)
    assert active_tasks(world) == set()


def test_a_lost_task_of_a_failed_service_is_not_restarted():
    world = failed_service()
    victim = next(
        minion for minion in world.minions.values() if minion.runs and minion.up
    )
    world.lose_power(victim)
    world.run(10_000)
    assert len(active_tasks(world)) == TASKS - 2


def test_the_next_owner_leaves_the_tasks_of_a_failed_timed_service_running():
    # Guards against healthy tasks that are stopped all at once, as the record of a
    # failed timed job names no occurrences.
    world = World(minions=8)
    world.claim()
    world.run(500)
    world.crash_ages_ms[CRASHING_TASK] = 30
    service_step = step(TASKS, long_running=True, may_miss=1, max_per_minion=1)
    due_ms = WALL_START_MS + world.now_ms
    timed = job(service_step, first_due_ms=due_ms, interval_ms=3_600_000, repeats=2)
    world.submit(timed, CRASHER)
    world.run(30_000)
    assert world.state(CRASHER) is JobState.FAILED
    world.claim()
    world.run(15_000)
    assert active_tasks(world) == HEALTHY
    world.cancel(CRASHER)
    world.run(2_000)
    assert active_tasks(world) == set()
