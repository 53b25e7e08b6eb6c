"""Reported runs that no open unit explains: they use their minion until they end."""

import pytest

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.reported_tasks import unit_of
from tests.core.scheduler.fake_minions import FakeMinion, FakeRun
from tests.core.scheduler.world import POLL_MS, WALL_START_MS, World, job, step

WAITING = "b" * 16
KNOWN = "a" * 16
UNKNOWN = "f" * 16
UNKNOWN_TASKS = (
    f"{UNKNOWN}.0.0.0",
    f"{UNKNOWN}.0.0.00",
    UNKNOWN,
    f"{KNOWN}.0.1.0",
    f"{KNOWN}.0.0",
    "",
    # ValueError: more digits than Python converts.
    f"{KNOWN}.0.0." + "9" * 4_301,
    f"{UNKNOWN}." + "9" * 4_301,
)


def make_world() -> tuple[World, FakeMinion]:
    world = World(minions=1)
    world.claim()
    world.run(500)
    return world, world.all_minions[0]


def report_run(world: World, minion: FakeMinion, task: str) -> None:
    """Add a second run of a task, and let the owner read of it before it ends."""
    minion.runs[(task, 2)] = FakeRun(task, 2, world.now_ms, 60_000, False)
    for _ in range(POLL_MS + 50):
        world.run(1)
        if stop_reasons(world):
            return


def used_milli(world: World, minion: FakeMinion) -> int:
    return world.owner.schedule.minions[minion.minion_id].used.cpu_milli


def stop_reasons(world: World) -> set[str]:
    return {item.reason for item in world.orders if isinstance(item, ev.StopRun)}


def check_that_work_waits(world: World, minion: FakeMinion) -> None:
    """Check that a job that fills the minion starts after the other runs have ended."""
    world.submit(job(step(1, cpu=4_000)), WAITING)
    others = [key for key in minion.runs if not key[0].startswith(WAITING)]
    assert others
    for _ in range(5_000):
        world.run(1)
        if any(task.startswith(WAITING) for _, task, _, _ in world.starts):
            break
    assert not any(key in minion.runs for key in others)
    world.run(3_000)
    assert world.state(WAITING) is JobState.COMPLETED
    assert used_milli(world, minion) == 0


def test_a_run_of_a_closed_occurrence_uses_its_minion():
    # Guards against an owner that counts no run of a job whose units it has removed,
    # also without a new owner.
    world, minion = make_world()
    job_id = world.submit(job(step(1)))
    world.run(2_000)
    assert world.state(job_id) is JobState.COMPLETED
    report_run(world, minion, f"{job_id}.0.0.0")
    assert used_milli(world, minion) == 1_000
    check_that_work_waits(world, minion)
    assert stop_reasons(world) == {"its job or task has ended"}


def test_a_run_of_a_timed_job_that_has_ended_uses_its_minion():
    # Guards against a new owner that counts no run of such a job: its final progress
    # contains no occurrences.
    world, minion = make_world()
    due_ms = WALL_START_MS + world.now_ms
    spec = job(step(4), first_due_ms=due_ms, interval_ms=60_000, repeats=2)
    job_id = world.submit(spec, length_ms=60_000)
    world.run(500)
    assert len(minion.runs) == 4
    minion.cut = True
    world.cancel(job_id)
    world.run(100)
    assert world.book.jobs[job_id].progress.state is JobState.CANCELLED
    world.kill_owner()
    minion.cut = False
    world.claim()
    check_that_work_waits(world, minion)


# The world knows the need of each run, so the reports of unknown ones are sent here.


def poll(
    world: World, runs: list[str], ended: tuple[ev.EndReport, ...] = ()
) -> list[ev.Effect]:
    """Report runs, all with number 1, to the owner; return its effects."""
    [minion] = world.all_minions
    now_ms = world.now_ms = world.now_ms + 1
    running = tuple(ev.RunReport(task, 1, "", 0, 0) for task in runs)
    clock_ms = minion.clock(now_ms)
    answer = ev.PollAnswered(minion.minion_id, now_ms, clock_ms, running, ended, True)
    world.owner.handle(answer, now_ms)
    world.owner.place(now_ms)
    return world.owner.take_effects()


def starts_in(effects: list[ev.Effect]) -> list[str]:
    return [item.task for item in effects if isinstance(item, ev.StartRun)]


@pytest.mark.parametrize("task", UNKNOWN_TASKS)
def test_a_run_of_an_unknown_task_uses_its_whole_minion(task):
    # Guards against starts beside a run whose need is not known, against one that is
    # counted again at each report, and against errors for names of another form.
    world, minion = make_world()
    world.submit(job(step(1)), KNOWN, length_ms=60_000)
    world.run(500)
    own = f"{KNOWN}.0.0.0"
    own_key = (own, world.starts[0][2])
    effects = poll(world, [own, task])
    [stop] = [item for item in effects if isinstance(item, ev.StopRun)]
    assert (stop.task, stop.number, stop.reason) == (task, 1, "unknown job")
    world.submit(job(step(1)), WAITING)
    assert not starts_in(poll(world, [own, task]))
    assert not any(item.startswith(WAITING) for item in starts_in(world.orders))
    assert used_milli(world, minion) == 1_000 + minion.capacity.cpu_milli
    # The stop is answered, but the run has not ended yet.
    stopped = ev.OrderAnswered(minion.minion_id, task, 1, "stop", ev.Outcome.OK)
    world.owner.handle(stopped, world.now_ms)
    assert not starts_in(poll(world, [own, task]))
    assert starts_in(poll(world, [own])) == [f"{WAITING}.0.0.0"]
    assert own_key in world.owner.schedule.minions[minion.minion_id].runs
    assert used_milli(world, minion) == 2_000


@pytest.mark.parametrize("kind", ev.EndKind)
def test_the_end_of_a_run_of_an_unknown_job_stores_no_progress(kind):
    # Guards against an error in `Schedule.urgent`, which reads the jobs to store.
    world, minion = make_world()
    task = UNKNOWN_TASKS[0]
    poll(world, [task])
    poll(world, [], (ev.EndReport(1, task, 1, kind, "checkpoint"),))
    assert used_milli(world, minion) == 0
    assert not world.owner.schedule.urgent
    assert not world.owner.schedule.unsaved


def test_a_long_occurrence_of_a_failed_timed_job_opens_nothing():
    # ValueError ended the owner: more digits than Python converts.
    world, _ = make_world()
    spec = job(step(1), first_due_ms=1, interval_ms=60_000, repeats=2)
    world.submit(spec, KNOWN, 600)
    world.run(10)
    schedule = world.owner.schedule
    schedule.jobs[KNOWN].state = JobState.FAILED
    assert unit_of(schedule, f"{KNOWN}.{'9' * 4_301}.0.0") is None
