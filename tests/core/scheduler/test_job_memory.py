"""The memory that jobs take on the owner, and give back when they end.

Regression tests: the units of a cancelled or failed job were kept for 240 s after its
end, though the next job was accepted as if they were gone. One large job after the
other, each cancelled at once, ended two of three hosts three times (Fault).
"""

import gc

import pytest

from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.state import Unit
from tests.core.scheduler.world import WALL_START_MS, World, config, job, step

JOB = "00000000000000aa"
FAR_MS = WALL_START_MS + 10**9


def unit_count() -> int:
    """Return how many units exist in the process, wherever they are referred to."""
    gc.collect()
    return sum(isinstance(item, Unit) for item in gc.get_objects())


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
