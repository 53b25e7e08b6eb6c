"""Tasks of services that begin late, while their unanswered starts are being stopped.

The stops were repeated although polls reported the tasks as running, and ended more of
them than their step's budget allows.
"""

import pytest

from courselead.core.scheduler import budgets, const, events as ev
from courselead.core.scheduler.state import Run, RunPhase
from tests.core.scheduler.fake_minions import FakeMinion
from tests.core.scheduler.world import WALL_START_MS, World, job, step

SERVICE = "5" * 16
TASKS = 2
LATE_MS = 2_000
NEVER_MS = 600_000
IN_TRANSIT_MS = const.STRAY_START_MS
"""Time within which an order that was sent may still be carried out."""


def make_world(minions=3) -> World:
    world = World(minions=0)
    for number in range(minions):
        world.add_minion(f"w{number}", born_ms=WALL_START_MS)
    world.claim()
    world.run(300)
    return world


def submit_late(world: World, count=TASKS, late_ms=LATE_MS) -> None:
    """Submit a service whose tasks begin late on minions that are cut off until then.

    The minions stay cut off.
    """
    world.late_ms = (late_ms, late_ms)
    world.late_orders = 1.0
    spec = step(count, long_running=True, may_miss=1, max_per_minion=1)
    world.submit(job(spec), SERVICE)
    world.run(50)
    world.late_orders = 0.0
    for order in starts_sent(world):
        world.minions[order.minion_id].cut = True


def submit_with_lost_stops(world: World) -> None:
    """Submit a service whose tasks begin late, after stops that do not arrive."""
    submit_late(world)
    reconnect(world)
    world.late_orders = 1.0
    world.late_ms = (NEVER_MS, NEVER_MS)
    world.run(LATE_MS + 300)
    world.late_orders = 0.0
    assert stops_sent(world)


def reconnect(world: World) -> None:
    for minion in world.all_minions:
        minion.cut = False


def starts_sent(world: World) -> list[ev.StartRun]:
    return [order for order in world.orders if isinstance(order, ev.StartRun)]


def stops_sent(world: World) -> list[ev.StopRun]:
    return [order for order in world.orders if isinstance(order, ev.StopRun)]


def running(world: World) -> list[str]:
    return [run.task for minion in world.all_minions for run in minion.runs.values()]


def known_runs(world: World) -> list[Run]:
    minions = world.owner.schedule.minions.values()
    return [run for minion in minions for run in minion.runs.values()]


@pytest.mark.parametrize("after_ms", range(10, 800, 70))
def test_no_stop_reaches_a_task_before_its_minion_has_been_polled(after_ms):
    # Guards against stops on a timer, which arrive between the late start and the
    # first poll that reports it.
    world = make_world()
    submit_late(world)
    world.run(LATE_MS + after_ms)
    assert len(running(world)) == TASKS
    reconnect(world)
    world.run(3_000)
    assert len(world.starts) == len(running(world)) == TASKS
    assert not stops_sent(world)


def test_a_start_that_never_arrives_is_stopped_and_repeated():
    # Guards against a task that waits for a start that was lost.
    world = make_world()
    submit_late(world, late_ms=NEVER_MS)
    reconnect(world)
    world.run(1_500 + IN_TRANSIT_MS)
    assert sorted(running(world)) == [
        f"{SERVICE}.0.0.{index}" for index in range(TASKS)
    ]


@pytest.mark.parametrize("cancelled_ms", [500, LATE_MS + 1_500])
def test_a_task_that_began_late_is_stopped_once_its_job_is_cancelled(cancelled_ms):
    # Guards against a run that is kept although nobody wants it.
    world = make_world()
    submit_late(world)
    for at_ms in range(0, LATE_MS + 2_000, 100):
        if at_ms == cancelled_ms:
            world.cancel(SERVICE)
        if at_ms == LATE_MS + 100:
            reconnect(world)
        world.run(100)
    assert len(world.starts) == TASKS
    assert not running(world)


def test_a_kept_task_does_not_count_as_working_while_its_stop_may_arrive():
    # Guards against a stop of another task, after which the late stop ends this one.
    world = make_world()
    submit_with_lost_stops(world)
    world.run(1_000)
    assert len(running(world)) == TASKS
    schedule = world.owner.schedule
    assert not any(budgets.may_interrupt(schedule, run) for run in known_runs(world))
    world.run(IN_TRANSIT_MS)
    assert len(running(world)) == TASKS
    assert all(budgets.may_interrupt(schedule, run) for run in known_runs(world))


def test_a_kept_task_whose_stop_is_answered_counts_as_stopping():
    # Guards against a task that counts as working although its minion ends it.
    world = make_world()
    submit_with_lost_stops(world)
    run = known_runs(world)[0]
    assert run.phase is RunPhase.RUNNING
    answer = ev.OrderAnswered(
        run.minion_id,
        run.task,
        run.number,
        "stop",
        ev.Outcome.OK,
        born_ms=run.born_ms,
    )
    world.owner.handle(answer, world.now_ms)
    assert run.phase is RunPhase.STOPPING


def test_a_stop_for_another_reason_is_repeated_until_it_is_answered():
    # Guards against a run that is kept on a worker that is due for maintenance, as it
    # was stopped before its first report.
    world = make_world()
    spec = step(1, long_running=True, may_miss=1)
    world.submit(job(spec), SERVICE)
    world.run(10)
    [run] = known_runs(world)
    assert run.phase is RunPhase.RUNNING
    assert not run.confirmed
    world.late_ms = (NEVER_MS, NEVER_MS)
    world.late_orders = 1.0
    world.owner.schedule.stop_run(run, "its worker is due for maintenance")
    world._pump(world.owner)
    world.run(50)
    world.late_orders = 0.0
    world.run(1_500)
    assert len(world.starts) == 2


def restart_with_lost_stops(world: World, minion: FakeMinion, after_ms: int) -> None:
    """Restart a minion; stops do not reach the next incarnation at first."""
    world.late_orders = 1.0
    world.late_ms = (NEVER_MS, NEVER_MS)
    world.list_entry(world.start_again(minion.minion_id, WALL_START_MS + after_ms))


def test_a_task_that_begins_late_on_the_next_incarnation_is_kept():
    # Guards against repeated stops of a start that was carried over to it.
    world = make_world()
    submit_late(world, late_ms=LATE_MS)
    minions = [world.minions[order.minion_id] for order in starts_sent(world)]
    for minion in minions:
        restart_with_lost_stops(world, minion, after_ms=5_000)
    world.run(LATE_MS + 300)
    world.late_orders = 0.0
    world.run(3_000)
    assert len(world.starts) == len(running(world)) == TASKS


def test_an_adopted_task_that_began_late_is_not_stopped_as_a_stray_start():
    # Guards against repeated stops of a start that was given up with the lease of an
    # earlier incarnation.
    world = make_world(minions=TASKS)
    submit_late(world, late_ms=NEVER_MS)
    schedule = world.owner.schedule
    orders = starts_sent(world)
    while known_runs(world):
        world.run(100)
    for order in orders:
        minion = world.minions[order.minion_id]
        restart_with_lost_stops(world, minion, after_ms=50_000)
        following = world.minions[order.minion_id]
        world._start(following, order, schedule.fence)
    world.run(500)
    world.late_orders = 0.0
    world.run(3_000)
    assert len(world.starts) == len(running(world)) == TASKS


@pytest.mark.parametrize("listed_ms", [300, 1_200])
def test_a_task_that_works_on_the_next_incarnation_before_its_entry_is_kept(listed_ms):
    # Guards against stops of stray starts that leave before the first poll of an
    # incarnation, while another task of the step is missing.
    world = make_world(minions=TASKS)
    submit_late(world, late_ms=NEVER_MS)
    reconnect(world)
    world.run(1_500)
    schedule = world.owner.schedule
    first, second = starts_sent(world)[:TASKS]
    following = world.start_again(first.minion_id, WALL_START_MS + 50_000)
    world.start_again(second.minion_id, WALL_START_MS + 50_000)
    world._start(following, first, schedule.fence)
    world.run(listed_ms)
    world.list_entry(following)
    world.run(3_000)
    assert f"{SERVICE}.0.0.{first.task[-1]}" in running(world)
    assert len(world.starts_of(first.task)) == 1
