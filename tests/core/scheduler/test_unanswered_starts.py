"""Tests for starts whose answers are lost although a poll has reported the run.

Two tasks of a service began on minions whose answers were lost. Polls reported both at
100 percent, and 1 s later both were stopped with "its start was not answered". With the
second stop one task more was missing than the step allows, and finite tasks lost their
work.
"""

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import JobState
from tests.core.scheduler.world import World, job, step


def world_without_answers() -> World:
    world = World(minions=3)
    world.claim()
    world.run(300)
    world.lose_answers = 1.0
    return world


def test_a_run_that_a_poll_has_reported_is_not_stopped():
    world = world_without_answers()
    job_id = world.submit(job(step(1)), length_ms=3_000)
    world.run(4_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert len(world.starts) == 1


def test_tasks_of_a_service_keep_running():
    world = world_without_answers()
    world.submit(job(step(3, long_running=True, may_miss=1, max_per_minion=1)))
    world.run(10_000)
    assert len(world.starts) == 3
    assert not [order for order in world.orders if isinstance(order, ev.StopRun)]


def test_a_start_that_no_poll_has_reported_is_stopped():
    world = world_without_answers()
    world.lose_answers = 0.0
    world.late_orders = 1.0
    world.submit(job(step(1)))
    world.run(1_100)
    assert [order for order in world.orders if isinstance(order, ev.StopRun)]


def test_a_start_that_was_cancelled_while_it_waited_does_not_rest_its_minion():
    # Guards against a minion that gets no work because of an order that it never got.
    world = World(minions=1)
    world.claim()
    world.run(300)
    world.submit(job(step(1)))
    world.cut_connections.add((1, "i1"))
    world.run(1)
    [order] = [item for item in world.orders if isinstance(item, ev.StartRun)]
    world.cancel("00000000000000aa")
    world.owner.handle(order.not_sent("it may not be sent any more"), world.now_ms)
    minion = world.owner.schedule.minions["i1"]
    assert not minion.runs
    assert minion.rest_until_ms <= world.now_ms
