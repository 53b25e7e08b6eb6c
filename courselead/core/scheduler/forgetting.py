"""Removes old jobs and early cancels from the log and from the schedule."""

from __future__ import annotations

from courselead.core.scheduler import const, unit_memory
from courselead.core.scheduler.events import ForgetEarlyCancels, ForgetJob
from courselead.core.scheduler.schedule import Schedule


def forget_old(schedule: Schedule) -> None:
    """Remove jobs from the log that ended more than twice the status time ago."""
    keep_ms = 2 * schedule.bounds.status_s * 1000
    for entry in list(schedule.book.jobs.values()):
        progress = entry.progress
        if progress is None or not progress.state.final or not progress.ended_ms:
            continue
        if schedule.wall_ms - progress.ended_ms < keep_ms:
            continue
        job = schedule.jobs.get(entry.job_id)
        if job is not None and job.live_runs:
            continue
        drop_job(schedule, entry.job_id)
        schedule.emit(ForgetJob(entry.job_id, entry.account))
    for job_id, account in schedule.book.duplicates:
        schedule.emit(ForgetJob(job_id, account, is_duplicate=True))


def drop_units_of_ended_jobs(schedule: Schedule) -> None:
    """Drop units that were kept beyond the end of their jobs and may be dropped now."""
    for job in schedule.jobs.values():
        if job.state.final:
            unit_memory.drop_idle_units(schedule, job)


def forget_early_cancels(schedule: Schedule) -> None:
    """Remove early cancels from the log that no submission can follow any more.

    Their ages count from when this owner first saw them, as records have no times.
    """
    known = schedule.book.early_cancels.keys
    seen_ms = schedule.early_cancels_seen_ms
    for key in seen_ms.keys() - known:
        del seen_ms[key]
    expired = []
    for key in known:
        age_ms = schedule.now_ms - seen_ms.setdefault(key, schedule.now_ms)
        if age_ms >= const.EARLY_CANCEL_MS:
            expired.append(key)
    for start in range(0, len(expired), const.FORGOTTEN_AT_ONCE):
        batch = expired[start : start + const.FORGOTTEN_AT_ONCE]
        schedule.emit(ForgetEarlyCancels(tuple(batch)))


def drop_job(schedule: Schedule, job_id: str) -> None:
    """Remove a job from the schedule."""
    job = schedule.jobs.pop(job_id, None)
    if job is None:
        return
    for number in list(job.occurrences):
        schedule.remaining_work.pop((job_id, number), None)
    for steps in job.occurrences.values():
        unit_memory.drop_units(schedule, steps)
