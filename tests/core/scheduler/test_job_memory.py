"""The memory that jobs take on the owner, and give back when they end.

Regression tests: the units of a cancelled or failed job were kept for 240 s after its
end, though the next job was accepted as if they were gone. One large job after the
other, each cancelled at once, ended two of three hosts three times (Fault). The
occurrences of timed jobs were opened whatever memory they took: twelve jobs of the
usual size ended each owner within seconds (LOST, Fault).
"""

import gc

import pytest

from courselead.core.scheduler import opening
from courselead.core.scheduler.admission import LARGE_JOB_TASKS, SMALL_JOB_SHARE
from courselead.core.scheduler.book import OPEN_TASK_BYTES
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.state import Unit
from tests.core.scheduler.world import WALL_START_MS, World, config, job, step

JOB = "00000000000000aa"
FAR_MS = WALL_START_MS + 10**9
LIMIT = 100


def unit_count() -> int:
    """Return how many units exist in the process, wherever they are referred to."""
    gc.collect()
    return sum(isinstance(item, Unit) for item in gc.get_objects())


def limited_world(tasks: int = LIMIT, **fields) -> World:
    """Return a world whose owners have memory for some tasks."""
    world = World(**fields)
    world.max_job_bytes = tasks * OPEN_TASK_BYTES
    return world


def overlapping(tasks: int, repeats: int, **fields):
    """Return a timed job whose occurrences are all due at once."""
    return job(step(tasks), first_due_ms=WALL_START_MS, repeats=repeats, **fields)


@pytest.mark.parametrize("begun", [False, True])
def test_a_cancelled_job_gives_its_memory_back(begun):
    world = World()
    world.claim()
    world.run(300)
    before = unit_count()
    spec = job(step(500), step(500, after=(0,)), step(20, gang=True))
    for number in range(10):
        job_id = world.submit(spec, f"{number:016x}", length_ms=60_000)
        world.run(300 if begun else 0)
        world.cancel(job_id)
        # Tasks that run are stopped first.
        world.run(1_500)
        assert unit_count() - before == 0
        assert not world.owner.schedule.units
    assert not any(world.owner.schedule.ready.values())


def test_a_failed_job_gives_its_memory_back():
    world = World(cfg=config(max_attempts=1))
    world.claim()
    world.failing_jobs.add(JOB)
    world.submit(job(step(500)), JOB, length_ms=300)
    world.run(5_000)
    assert world.state(JOB) is JobState.FAILED
    assert not world.owner.schedule.units


def test_a_timed_job_that_is_cancelled_gives_its_memory_back():
    world = World()
    world.claim()
    world.submit(overlapping(5, 150), JOB, length_ms=60_000)
    world.run(500)
    assert len(world.owner.schedule.units) > 500
    world.cancel(JOB)
    world.run(1_500)
    assert not world.owner.schedule.units
    assert not world.owner.schedule.remaining_work


def test_closed_occurrences_give_their_memory_back():
    """Copies of speculative tasks end after their occurrence is closed."""
    world = World()
    world.claim()
    spec = job(
        step(2, speculative=True),
        first_due_ms=WALL_START_MS,
        interval_ms=300,
        repeats=60,
    )
    world.submit(spec, JOB, length_ms=400)
    world.run(15_000)
    assert len(world.owner.schedule.jobs[JOB].closed) > 30
    assert len(world.owner.schedule.jobs[JOB].occurrences) < 10


def test_long_running_tasks_of_a_failed_job_keep_their_units():
    world = World(cfg=config(max_attempts=1))
    world.claim()
    world.failing_jobs.add(JOB)
    spec = job(step(2, long_running=True), step(1, after=()))
    world.submit(spec, JOB, length_ms=300)
    world.run(3_000)
    assert world.state(JOB) is JobState.FAILED
    assert len(world.owner.schedule.units) == 2
    world.cancel(JOB)
    world.run(3_000)
    assert not world.owner.schedule.units


def test_units_that_count_towards_a_cap_are_dropped_with_the_leases():
    """They stayed until the job was forgotten, unless a run of theirs ended."""
    world = World()
    world.claim()
    world.submit(job(step(500, cpu=9_000)), JOB, account="a")
    world.run(300)
    world.claim()
    world.run(300)
    world.cancel(JOB)
    world.run(500)
    assert len(world.owner.schedule.units) == 500
    world.run(30_000)
    assert not world.owner.schedule.units


def test_a_task_of_a_job_that_was_cancelled_under_an_earlier_owner_is_stopped():
    """The job is not opened again for a single run that is reported."""
    world = World()
    world.claim()
    world.submit(job(step(500)), JOB, length_ms=60_000)
    world.run(500)
    first = world.owner
    world.log_cut.add(first.schedule.fence)
    world.book.jobs[JOB].cancelled = True
    world.claim()
    world.run(3_000)
    assert not any(minion.runs for minion in world.minions.values())
    assert not world.owner.schedule.units


def test_overlapping_occurrences_stay_within_the_memory_and_are_all_done():
    world = limited_world(minions=4)
    world.claim()
    ids = [world.submit(overlapping(9, 12), f"{n:016x}", 200) for n in range(12)]
    most = 0
    for _ in range(800):
        world.run(100)
        most = max(most, len(world.owner.schedule.units))
    assert most <= LIMIT * SMALL_JOB_SHARE
    assert {world.state(job_id) for job_id in ids} == {JobState.COMPLETED}


def test_occurrences_of_all_jobs_are_opened_in_turn():
    world = limited_world()
    world.claim()
    for number in range(3):
        world.submit(overlapping(5, 100), f"{number:016x}", length_ms=60_000)
    world.run(1_000)
    counts = [len(item.occurrences) for item in world.owner.schedule.jobs.values()]
    assert max(counts) - min(counts) <= 1
    assert sum(counts) * 5 <= LIMIT * opening.OVERLAP_SHARE


def test_a_job_without_an_open_occurrence_comes_before_overlapping_ones(monkeypatch):
    # The first jobs used up what is opened in one go, again and again.
    monkeypatch.setattr(opening, "TASKS_OPENED_AT_ONCE", 10)
    world = World()
    world.claim()
    later_ms = WALL_START_MS + world.now_ms + 1_000
    for number in range(4):
        world.submit(overlapping(5, 400), f"{number:016x}", length_ms=60_000)
    spec = job(step(5), first_due_ms=later_ms, interval_ms=1, repeats=9)
    world.submit(spec, JOB, length_ms=60_000)
    world.run(1_250)
    assert world.owner.schedule.jobs[JOB].occurrences


def test_a_job_for_which_there_is_no_memory_waits_until_others_have_ended():
    world = limited_world(60, minions=4)
    world.claim()
    ids = [world.submit(job(step(50)), f"{n:016x}", 300) for n in range(8)]
    assert len(world.owner.schedule.units) == 50
    assert world.state(ids[-1]) is JobState.QUEUED
    world.run(60_000)
    assert {world.state(job_id) for job_id in ids} == {JobState.COMPLETED}


def test_small_jobs_are_served_beside_large_ones_that_fill_the_memory():
    """The large ones need a label that no minion has, and never end."""
    tasks = 3 * LARGE_JOB_TASKS
    world = limited_world(2 * tasks)
    world.claim()
    world.run(300)
    hopeless = job(step(tasks, required_label="none"))
    for number in range(4):
        world.submit(hopeless, f"{number:016x}")
    schedule = world.owner.schedule
    assert len(schedule.units) == 2 * tasks
    assert len(schedule.waiting_jobs) == 2
    small = [world.submit(job(step(9)), f"f{n:015x}", 300) for n in range(20)]
    world.run(30_000)
    assert {world.state(job_id) for job_id in small} == {JobState.COMPLETED}


def test_a_waiting_job_that_is_cancelled_never_starts():
    world = limited_world(10)
    world.claim()
    world.submit(job(step(10)), f"{1:016x}", length_ms=2_000)
    world.submit(job(step(10)), JOB)
    assert JOB in world.owner.schedule.waiting_jobs
    world.cancel(JOB)
    world.run(9_000)
    assert world.state(JOB) is JobState.CANCELLED
    assert world.book.jobs[JOB].progress.ended_ms
    assert not [start for start in world.starts if start[1].startswith(JOB)]


@pytest.mark.parametrize("seen_ms", [0, 2_000])
def test_an_owner_opens_what_fits_of_a_log_that_holds_more(seen_ms):
    """An earlier version, or an owner with more memory, has accepted and begun it."""
    world = World(minions=3)
    world.claim()
    ids = [world.submit(overlapping(9, 20), f"{n:016x}", 300) for n in range(6)]
    ids += [world.submit(job(step(60)), f"{n:016x}", 300) for n in range(6, 10)]
    world.run(seen_ms)
    world.max_job_bytes = LIMIT * OPEN_TASK_BYTES
    world.claim()
    assert len(world.owner.schedule.units) <= LIMIT * SMALL_JOB_SHARE
    world.run(2_000)
    ids.append(world.submit(job(step(2)), JOB, length_ms=300))
    world.run(120_000)
    assert {world.state(job_id) for job_id in ids} == {JobState.COMPLETED}


def test_stored_progress_of_occurrences_that_are_not_open_is_kept():
    """A third owner would otherwise run their tasks again (TWICE)."""
    world = World(minions=2)
    world.claim()
    world.submit(overlapping(3, 30), JOB, length_ms=400)
    world.run(3_000)
    saved = world.book.jobs[JOB].progress.occurrences
    assert any(item.done[0] for item in saved)
    world.max_job_bytes = 6 * OPEN_TASK_BYTES
    world.claim()
    world.run(1_500)
    world.max_job_bytes = None
    world.claim()
    world.run(60_000)
    assert world.state(JOB) is JobState.COMPLETED
    assert len(world.starts) == len({start[1] for start in world.starts}) == 3 * 30
