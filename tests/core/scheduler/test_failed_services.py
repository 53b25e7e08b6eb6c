"""A lasting job that fails, while other tasks of it are at work.

A service of six tasks was ended by one of them, which had lost its minion four times
beside tasks of others that crashed theirs: "task_given_up" for task 0.0.5, "job_ended"
as failed, and stops of 0.0.2 and 0.0.3 at once, which ran well on other minions. Its
step may miss one. The job's end stopped all that ran of it, as if the caller had
cancelled it.
"""

import pytest

from courselead.core.scheduler.models import JobState
from tests.core.scheduler.test_crashing_tasks import CRASHER, CRASHING_TASK
from tests.core.scheduler.world import World, job, step

TASKS = 4


def failed_service() -> World:
    """Return a world with a service that failed, as its first task crashes minions."""
    world = World(minions=8)
    world.claim()
    world.run(500)
    world.crashers[CRASHING_TASK] = 30
    lasting = step(TASKS, long_running=True, may_miss=1, max_per_minion=1)
    world.submit(job(lasting), CRASHER)
    world.run(30_000)
    return world


def at_work(world: World) -> set[str]:
    """Return the tasks that run."""
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
    assert at_work(world) == HEALTHY


def test_the_next_owner_leaves_them_running():
    world = failed_service()
    world.claim()
    world.run(15_000)
    assert at_work(world) == HEALTHY


@pytest.mark.parametrize("new_owner", [False, True])
def test_they_end_once_the_caller_cancels(new_owner):
    world = failed_service()
    world.cancel(CRASHER)
    if new_owner:
        world.claim()
    world.run(2_000)
    assert at_work(world) == set()


def test_a_cancel_that_the_owner_before_did_not_see_ends_them():
    world = failed_service()
    world.cut_ways = {(1, minion_id) for minion_id in world.minions}
    world.cancel(CRASHER)
    world.claim()
    world.run(2_000)
    assert at_work(world) == set()


def test_one_that_is_lost_is_not_started_again():
    world = failed_service()
    victim = next(
        minion for minion in world.minions.values() if minion.runs and minion.up
    )
    world.lose_power(victim)
    world.run(10_000)
    assert len(at_work(world)) == TASKS - 2
