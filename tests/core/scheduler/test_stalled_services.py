"""Tasks of services that need long to be ready, or whose minions stand still.

They were taken for stalled after 2.5 s and stopped all at once, although some of them
had become ready before their stops arrived.
"""

import itertools

from courselead.core.scheduler import events as ev, stalls
from courselead.core.scheduler.models import MaintenanceWave, Resources
from tests.core.scheduler.fake_minions import FakeMinion
from tests.core.scheduler.world import World, job, step

SERVICE = "5" * 16
TASKS = 5
CAPACITY = Resources(8_000, 8_000)
SLOW_MS = (2_400, 2_600, 3_000, 6_000, 14_000)
SEEDS = 40


def make_world(minions=4, startup_ms=(0, 0), seed=0) -> World:
    world = World(minions=minions, capacity=CAPACITY, seed=seed)
    world.services.startup_ms = startup_ms
    world.claim()
    world.run(300)
    return world


def submit(world: World, count=TASKS, may_miss=1) -> None:
    world.submit(job(step(count, long_running=True, may_miss=may_miss)), SERVICE)


def stops_sent(world: World) -> list[ev.StopRun]:
    return [order for order in world.orders if isinstance(order, ev.StopRun)]


def log_events(world: World, name: str) -> list[ev.LogEvent]:
    events = [item for item in world.orders if isinstance(item, ev.LogEvent)]
    return [item for item in events if item.event == name]


def stop_lines(world: World) -> list[ev.LogEvent]:
    return log_events(world, "service_stop_sent")


def at_work(world: World) -> list[str]:
    return sorted(
        run.task
        for minion in world.all_minions
        for run in minion.runs.values()
        if run.is_at_work(world.now_ms)
    )


def minions_in_use(world: World) -> list[FakeMinion]:
    return [minion for minion in world.all_minions if minion.runs]


def test_a_task_that_becomes_ready_is_logged_with_its_age():
    # Guards against a log that can't tell slow tasks from late reports.
    world = make_world(startup_ms=(1_200, 1_200))
    submit(world, count=2)
    world.run(2_000)
    lines = log_events(world, "service_task_ready")
    assert len(lines) == 2
    assert all(1_200 <= line.fields["age_ms"] < 1_500 for line in lines)


def test_the_stop_of_a_task_is_logged_with_what_is_known_of_its_step():
    # Guards against a stop of which only the answer is logged, seconds later.
    world = make_world()
    submit(world, count=2)
    world.run(1_000)
    wave = ev.WaveRequested(MaintenanceWave(1, ("w0", "w1", "w2", "w3"), 60, 1))
    world.owner.handle(wave, world.now_ms)
    world.run(12_000)
    fields = stop_lines(world)[0].fields
    assert fields["reason"] == "its worker is due for maintenance"
    assert fields["percent"] == 100
    assert 0 <= fields["report_age_ms"] <= world.poll_ms
    assert (fields["missing"], fields["checked_age_ms"]) == (0, 0)


def test_a_service_that_is_slow_to_be_ready_is_not_stopped():
    # Guards against the stop of all tasks of a step that are taken for stalled.
    for ready_ms in SLOW_MS:
        world = make_world(startup_ms=(ready_ms, ready_ms))
        submit(world)
        world.run(ready_ms + 6_000)
        assert len(at_work(world)) == TASKS
        assert not stops_sent(world)


def test_no_task_that_became_ready_is_stopped_beside_others_that_are_not():
    # Guards against a stop that was decided before the task became ready. The world
    # checks the budget.
    for seed in range(SEEDS):
        world = make_world(startup_ms=(1_500, 6_000), seed=seed)
        world.poll_ms = 200 + 80 * (seed % 11)
        submit(world)
        world.run(20_000)
        assert len(at_work(world)) == TASKS


def stand_still(world: World, count: int) -> list[FakeMinion]:
    """Let the minions of a service's first tasks stand still before they are ready."""
    minions = minions_in_use(world)[:count]
    for minion in minions:
        world.services.stand_still(minion, world.now_ms)
    return minions


def make_spread_world(seed=0) -> World:
    """Return a world in which each task of a service starts on its own minion."""
    world = make_world(minions=6, startup_ms=(800, 1_200), seed=seed)
    spec = step(TASKS, long_running=True, may_miss=1, max_per_minion=1)
    world.submit(job(spec), SERVICE)
    world.run(100)
    return world


def test_a_task_that_stands_still_is_replaced_on_another_minion():
    # Guards against a task that waits for a minion that stands still for good.
    world = make_spread_world()
    [still] = stand_still(world, 1)
    world.run(6_000)
    assert len(at_work(world)) == TASKS
    assert not still.runs
    assert len(stops_sent(world)) == 1


def test_tasks_beyond_the_budget_are_left_to_become_ready():
    # Guards against stops of several tasks that may all become ready in the meantime.
    world = make_spread_world()
    minions = stand_still(world, 2)
    world.run(12_000)
    assert not stops_sent(world)
    for minion in minions:
        world.services.go_on(minion, world.now_ms)
    world.run(2_000)
    assert len(at_work(world)) == TASKS


def test_a_service_on_minions_that_stand_still_for_good_is_replaced_task_by_task():
    # Guards against a service that never works again, as its budget allows no stop.
    world = make_world(minions=4, startup_ms=(800, 1_200))
    submit(world)
    world.run(100)
    stand_still(world, len(minions_in_use(world)))
    world.run(stalls.STANDSTILL_MS - 500)
    assert not stops_sent(world)
    world.run(20_000)
    assert len(at_work(world)) == TASKS
    stops_at_ms = [line.fields["unchanged_ms"] for line in stop_lines(world)]
    assert len(stops_at_ms) == TASKS
    # Each is stopped only after the last one works again.
    assert all(b - a >= 800 for a, b in itertools.pairwise(stops_at_ms))


def test_a_task_is_not_judged_by_old_reports():
    # Guards against a task that became ready while its minion's reports were late.
    world = make_spread_world()
    world.poll_ms = 6_000
    world.run(5_000)
    assert not stops_sent(world)


def test_a_task_that_is_always_slow_becomes_ready_after_a_crash():
    # Guards against a restart each time that it is about to be ready.
    world = make_world(minions=6, startup_ms=(4_000, 4_000))
    spec = step(TASKS, long_running=True, may_miss=1, max_per_minion=1)
    world.submit(job(spec), SERVICE)
    world.run(8_000)
    world.lose_power(minions_in_use(world)[0])
    world.run(12_000)
    assert len(at_work(world)) == TASKS
    # A new owner does not know how long the tasks need.
    world.claim()
    world.run(3_000)
    world.lose_power(minions_in_use(world)[0])
    world.run(20_000)
    assert len(at_work(world)) == TASKS


def test_no_service_starts_beside_a_task_that_stands_still():
    # Guards against services that are packed onto a minion that does not work.
    world = make_world(startup_ms=(800, 1_200))
    submit(world, count=2)
    world.run(100)
    [still] = stand_still(world, len(minions_in_use(world)))
    world.run(5_000)
    world.submit(job(step(2, long_running=True, may_miss=1)), "6" * 16)
    world.run(2_000)
    assert len(at_work(world)) == 2
    assert len(still.runs) == 2


def test_a_service_fills_the_only_minion_with_room():
    # Guards against a service that waits for a second minion.
    world = make_world(minions=1)
    submit(world)
    world.run(1_000)
    assert len(at_work(world)) == TASKS


def test_the_wait_for_a_late_start_does_not_count_as_time_to_be_ready():
    # Guards against tasks that stand still for long, as one was once started late.
    world = make_world(startup_ms=(800, 800))
    world.late_ms = (9_000, 9_000)
    world.late_orders = 1.0
    submit(world, count=1)
    world.run(50)
    [order] = [item for item in world.orders if isinstance(item, ev.StartRun)]
    world.minions[order.minion_id].cut = True
    world.late_orders = 0.0
    world.run(9_100)
    world.minions[order.minion_id].cut = False
    world.run(2_000)
    assert log_events(world, "run_kept")
    assert len(at_work(world)) == 1
    [ready_ms] = world.owner.schedule.ready_ms.values()
    assert ready_ms <= 1_000
