"""Tasks of services that need long to be ready, or whose minions stand still.

They were taken for stalled after 2.5 s and stopped all at once, although some of them
had become ready before their stops arrived.
"""

from courselead.core.scheduler import events as ev
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
    world.startup_ms = startup_ms
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
    fields = log_events(world, "service_stop_sent")[0].fields
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
