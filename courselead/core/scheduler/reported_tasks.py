"""Finds the units of the tasks that minions report, whose jobs may not be open."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.core.scheduler import jobs
from courselead.core.scheduler.models import (
    JobSpec,
    JobState,
    MinionInfo,
    Queue,
    StepSpec,
)
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Job, StepRun, Unit

ENDED = "its job or task has ended"
"""Reason given when a reported run is stopped because it is not needed any more."""

UNKNOWN_JOB = "unknown job"
"""Reason given when a reported run is stopped because its need is not known."""


MAX_NUMBER_DIGITS = 18
"""Maximum length of a number in the name of a task; longer ones may not fit into the
integers of records, and from 4,301 digits on they cannot be converted."""


@dataclass(slots=True, eq=False)
class StrayUnit(Unit):
    """Stands for the task of a reported run that has no unit in the schedule.

    It belongs to no occurrence and never starts. The run has to be tracked all the
    same, as it uses its minion until it has ended.

    Attributes:
        task: The task's name as reported, which need not be well-formed.
    """

    task: str = ""

    def task_name(self, index: int) -> str:
        """Return the task's name as reported."""
        return self.task


def unit_of(schedule: Schedule, task: str) -> Unit | None:
    """Return the unit of a task that a minion has reported, None if it has none.

    The job, or its occurrence, may not be open yet. An ended job has no units, except
    for the long-running tasks of one that failed.
    """
    unit = schedule.units.get(task)
    if unit is not None:
        return unit
    job_id, *numbers = task.split(".")
    job = schedule.jobs.get(job_id)
    if job is None:
        entry = schedule.book.jobs.get(job_id)
        if entry is None:
            return None
        schedule.waiting_jobs.pop(job_id, None)
        if entry.state.final and not entry.may_keep_running:
            jobs.restore_job(schedule, entry, from_before=True)
            return None
        job = jobs.open_job(schedule, entry, from_before=True)
    if job.spec.timed and numbers:
        _open_reported_occurrence(schedule, job, numbers[0])
    return schedule.units.get(task)


def _open_reported_occurrence(schedule: Schedule, job: Job, name: str) -> None:
    """Open an occurrence of a timed job, of which a task is reported.

    The record of a failed job names no occurrences, but its long-running tasks go on.
    Other jobs may have due occurrences that this owner has not opened yet.
    """
    number = _task_number(name)
    if number is None or number >= job.spec.repeats:
        return
    if number in job.closed or number in job.occurrences:
        return
    is_due = job.spec.due_ms(number) <= schedule.wall_ms
    if job.state is JobState.FAILED or (is_due and not job.state.final):
        jobs.open_occurrence(schedule, job, number)


def _task_number(text: str) -> int | None:
    """Return a number of a task's name, None if no task can have it."""
    if len(text) > MAX_NUMBER_DIGITS or not text.isascii() or not text.isdecimal():
        return None
    return int(text)


def stray_unit(schedule: Schedule, task: str, info: MinionInfo) -> tuple[Unit, str]:
    """Return a unit for a reported run without one, and the reason to stop the run.

    An ended job may have no units: they are removed when its occurrence is closed, and
    a job whose progress is final has no stored occurrences. If the job or the step is
    unknown, so is the need, and the run is taken to use the whole minion.

    Args:
        schedule: The owner's state; `unit_of` has opened the job if it is known.
        task: The task's name as reported.
        info: The minion that reported the run.
    """
    job_id, *rest = task.split(".")
    numbers = [_task_number(part) for part in rest]
    job = schedule.jobs.get(job_id)
    if job is not None and len(numbers) == 3 and None not in numbers:
        occurrence, number, index = numbers
        if number < len(job.spec.steps):
            step = StepRun(job, occurrence, number, job.spec.steps[number])
            return StrayUnit(step, (index,), done=True, task=task), ENDED
    spec = StepSpec(1, info.capacity)
    job = Job(job_id, "", JobSpec("", (spec,)), schedule.now_ms, from_before=False)
    job.settings = Queue("", info.pool)
    job.state = JobState.CANCELLED
    job.begun = True
    unit = StrayUnit(StepRun(job, 0, 0, spec), (0,), done=True, task=task)
    return unit, UNKNOWN_JOB
