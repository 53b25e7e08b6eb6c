"""Stops of long-running tasks that are repeated after others of their step are gone.

A stop that fitted the step's budget when it was first sent was repeated until it was
answered, also after other tasks of the step had been lost in the meantime.
"""

import pytest

from courselead.core.scheduler import budgets, const, events as ev
from courselead.core.scheduler.models import MaintenanceWave
from courselead.core.scheduler.state import Run, RunPhase
from tests.core.scheduler.fake_minions import FakeMinion
from tests.core.scheduler.fake_services import NOTICE_MS
from tests.core.scheduler.world import World, job, step

SERVICE = "5" * 16
NEVER_MS = 600_000
DUE = "its worker is due for maintenance"


def make_world(count=2, minions=4, may_miss=1) -> World:
    """Return a world with a service of which each task is on its own minion."""
    world = World(minions=minions)
    world.claim()
    world.run(300)
    spec = step(count, long_running=True, may_miss=may_miss, max_per_minion=1)
    world.submit(job(spec), SERVICE)
    world.run(1_000)
    return world


def known_run(world: World, index: int) -> Run:
    [run] = world.owner.schedule.units[f"{SERVICE}.0.0.{index}"].runs
    return run


def minion_of(world: World, index: int) -> FakeMinion:
    return world.minions[known_run(world, index).minion_id]


def stops_sent(world: World) -> list[ev.StopRun]:
    return [order for order in world.orders if isinstance(order, ev.StopRun)]


def lose_orders(world: World) -> None:
    world.late_orders = 1.0
    world.late_ms = (NEVER_MS, NEVER_MS)


def stop(world: World, run: Run, reason=DUE) -> None:
    assert budgets.may_interrupt(world.owner.schedule, run)
    world.owner.schedule.stop_run(run, reason)
    world._pump(world.owner)


def test_a_stop_is_not_repeated_while_another_task_is_gone():
    # Guards against a repeated stop without a look at the budget; the world checks it.
    world = make_world()
    lose_orders(world)
    stop(world, known_run(world, 0))
    world.run(50)
    world.lose_power(minion_of(world, 1))
    world.run(NOTICE_MS + 1_000)
    world.late_orders = 0.0
    world.run(3_000)
    assert known_run(world, 0).phase is RunPhase.RUNNING
    assert [line for line in world.orders if is_kept(line)]


def is_kept(order: ev.Effect) -> bool:
    return isinstance(order, ev.LogEvent) and order.event == "run_kept"


def test_no_stop_reaches_a_task_as_soon_as_a_cut_minion_answers():
    # Guards against repeated stops that are sent to a silent minion on a timer.
    world = make_world()
    minion, other = minion_of(world, 0), minion_of(world, 1)
    minion.cut = True
    stop(world, known_run(world, 0))
    world.run(50)
    lose_orders(world)
    world.lose_power(other, back_ms=NEVER_MS)
    world.run(NOTICE_MS + 500)
    world.late_orders = 0.0
    minion.cut = False
    world.run(3_000)
    assert len(known_run(world, 0).unit.runs) == 1


@pytest.mark.parametrize("lost_ms", [100, 900, 2_500])
def test_a_lost_stop_is_repeated_while_the_budget_allows_it(lost_ms):
    # Guards against a task that stays on a worker that is due for maintenance.
    world = make_world()
    run = known_run(world, 0)
    lose_orders(world)
    stop(world, run)
    world.run(lost_ms)
    world.late_orders = 0.0
    world.run(1_500)
    assert known_run(world, 0).number > run.number


def test_the_stop_of_a_cancelled_service_is_repeated_whatever_is_gone():
    # Guards against a task that runs on after its caller has cancelled the job.
    world = make_world()
    lose_orders(world)
    world.cancel(SERVICE)
    world.run(50)
    world.lose_power(minion_of(world, 1))
    world.run(2_000)
    world.late_orders = 0.0
    world.run(1_500)
    assert not any(minion.runs for minion in world.all_minions)


def test_tasks_with_lost_stops_are_all_stopped_in_the_end():
    # Guards against tasks that count as missing for each other for good.
    world = make_world(count=3, minions=5, may_miss=2)
    lose_orders(world)
    stop(world, known_run(world, 0))
    stop(world, known_run(world, 1))
    world.lose_power(minion_of(world, 2))
    world.run(NOTICE_MS + 1_000)
    world.late_orders = 0.0
    wave = MaintenanceWave(1, tuple(f"w{number}" for number in range(5)), 60, 1)
    world.owner.handle(ev.WaveRequested(wave), world.now_ms)
    world.run(60_000)
    assert sorted(world.maintained) == list(wave.workers)


def test_an_owner_that_was_suspended_stops_nothing_by_its_old_reports():
    # Guards against a stop beside a task that was lost while the owner was suspended.
    world = make_world(count=3)
    schedule = world.owner.schedule
    assert budgets.may_interrupt(schedule, known_run(world, 0))
    world.owner.handle(ev.Tick(schedule.wall_ms + 5_000), world.now_ms + 5_000)
    assert not budgets.may_interrupt(schedule, known_run(world, 0))


def test_a_task_is_not_stopped_by_the_report_of_another_minion_alone():
    # Guards against a stop where only the minion of the stopped task reports in time.
    world = make_world()
    schedule = world.owner.schedule
    minion = schedule.minions[known_run(world, 1).minion_id]
    assert budgets.may_interrupt(schedule, known_run(world, 0))
    minion.seen_ms -= 3_000
    assert not budgets.may_interrupt(schedule, known_run(world, 0))


def test_only_stops_of_wanted_services_expire():
    # Guards against a stop that leaves seconds after it was decided, and against one of
    # a cancelled job that never leaves.
    world = make_world(count=3)
    stop(world, known_run(world, 0))
    [order] = stops_sent(world)
    assert order.expires_ms == world.now_ms + const.STOP_EXPIRES_MS
    assert not order.is_expired(order.expires_ms)
    assert order.is_expired(order.expires_ms + 1)
    world.run(3_000)
    world.drain(minion_of(world, 1).minion_id)
    world.run(200)
    world.cancel(SERVICE)
    later = [item for item in stops_sent(world) if item.reason != DUE]
    assert len(later) >= 3
    assert not any(item.expires_ms for item in later)


def test_a_stop_that_was_not_sent_is_decided_anew_after_a_poll():
    # Guards against a stop that is taken for sent.
    world = make_world()
    run = known_run(world, 0)
    minion = minion_of(world, 0)
    minion.cut = True
    stop(world, run)
    not_sent = ev.OrderAnswered(
        run.minion_id, run.task, run.number, "stop", ev.Outcome.NOT_SENT
    )
    world.owner.handle(not_sent, world.now_ms)
    world.run(100)
    minion.cut = False
    world.run(2_500)
    assert known_run(world, 0).number > run.number
    assert len(stops_sent(world)) == 2
