"""Opens jobs and occurrences as far as the owner has memory for their tasks.

Each task of an open occurrence takes memory until its job has ended. What does not fit
waits, whatever the log holds, and is opened as other work ends.
"""

from __future__ import annotations

from courselead.core.scheduler import arrivals, jobs
from courselead.core.scheduler.admission import LARGE_JOB_TASKS, SMALL_JOB_SHARE
from courselead.core.scheduler.book import JobEntry
from courselead.core.scheduler.models import JobSpec
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Job

OVERLAP_SHARE = 0.5
"""Share of the memory for open tasks that occurrences may use which overlap with an
earlier one of their job."""

TASKS_OPENED_AT_ONCE = 2_000
"""Tasks of waiting jobs and of overlapping occurrences that are opened in one go, which
bounds its duration."""

WAITING_JOBS_TRIED = 100
"""Waiting jobs that are tried in one go, all of them in rotation."""


def add_job(schedule: Schedule, entry: JobEntry, from_before: bool) -> None:
    """Open a job of the log, or let it wait until there is memory for it.

    Args:
        schedule: The owner's state.
        entry: The job.
        from_before: Whether an earlier owner may have started some of its tasks.
    """
    if entry.job_id in schedule.jobs:
        return
    if _has_room(schedule, entry.spec):
        _open(schedule, entry, from_before)
        return
    schedule.waiting_jobs[entry.job_id] = from_before
    schedule.log_event(
        "job_waits_for_memory",
        job_id=entry.job_id,
        queue=entry.queue,
        tasks=entry.spec.task_count,
        open_tasks=len(schedule.units),
        max_open_tasks=schedule.max_open_tasks,
    )


def open_waiting(schedule: Schedule) -> None:
    """Open waiting jobs for which there is memory by now."""
    until = len(schedule.units) + TASKS_OPENED_AT_ONCE
    for job_id in list(schedule.waiting_jobs)[:WAITING_JOBS_TRIED]:
        if len(schedule.units) >= until:
            return
        entry = schedule.book.jobs.get(job_id)
        if entry is None:
            del schedule.waiting_jobs[job_id]
            continue
        from_before = schedule.waiting_jobs.pop(job_id)
        if _has_room(schedule, entry.spec):
            _open(schedule, entry, from_before)
        else:
            schedule.waiting_jobs[job_id] = from_before


def open_due(schedule: Schedule) -> None:
    """Open due occurrences of timed jobs, one of each job in turn.

    Jobs without an open occurrence come first.
    """
    until = len(schedule.units) + TASKS_OPENED_AT_ONCE
    timed = [job for job in schedule.jobs.values() if job.spec.timed]
    timed.sort(key=lambda job: job.has_open_occurrence)
    while timed:
        opened = []
        for job in timed:
            if len(schedule.units) >= until:
                return
            if _may_open_next(schedule, job) and jobs.open_next_due(schedule, job):
                opened.append(job)
        timed = opened


def _open(schedule: Schedule, entry: JobEntry, from_before: bool) -> None:
    job = jobs.open_job(schedule, entry, from_before)
    if not from_before:
        arrivals.job_arrived(schedule, job)


def _has_room(schedule: Schedule, spec: JobSpec) -> bool:
    """Return whether there is memory for one occurrence of a job."""
    if schedule.max_open_tasks is None or not spec.task_count:
        return True
    limit = schedule.max_open_tasks
    if spec.task_count <= LARGE_JOB_TASKS:
        limit = int(limit * SMALL_JOB_SHARE)
    return len(schedule.units) + spec.task_count <= limit


def _may_open_next(schedule: Schedule, job: Job) -> bool:
    """Return whether there is memory for another occurrence of an open job."""
    if schedule.max_open_tasks is None:
        return True
    if not job.has_open_occurrence:
        return _has_room(schedule, job.spec)
    limit = int(schedule.max_open_tasks * OVERLAP_SHARE)
    return len(schedule.units) + job.spec.task_count <= limit
