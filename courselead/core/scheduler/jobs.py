"""Job lifecycle: occurrences, steps and units."""

from __future__ import annotations

from courselead.core.scheduler import const, job_progress, ready_lists, unit_memory
from courselead.core.scheduler.book import JobEntry
from courselead.core.scheduler.events import SaveProgress
from courselead.core.scheduler.models import (
    FleetConfig,
    JobState,
)
from courselead.core.scheduler.records import WaveProgress
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Job, StepRun, Suspect, Unit

CANCELLED = "cancelled by its caller"
"""Reason given when a job ends or its runs are stopped at the caller's request."""

FAILED_TOO_OFTEN = "a task failed too often"
"""Reason given when a job ends because a task has no attempts left."""

STORED = 0
"""Number before that of the first batch: what was stored before this owner."""


def open_job(schedule: Schedule, entry: JobEntry, from_before: bool) -> Job:
    """Add a job from the log to the schedule, and open its first due occurrence.

    Args:
        schedule: The owner's state.
        entry: The job with its stored progress.
        from_before: Whether an earlier owner may have started some of its tasks.
    """
    job = restore_job(schedule, entry, from_before)
    if job.spec.timed:
        open_next_due(schedule, job)
    else:
        open_occurrence(schedule, job, 0)
    return job


def add_cancelled(schedule: Schedule, entry: JobEntry, from_before: bool) -> None:
    """Add a job that was cancelled before it was opened: none of its tasks starts."""
    job = restore_job(schedule, entry, from_before)
    job.state = JobState.CANCELLED
    job.cancelled = True
    job.ended_ms = schedule.wall_ms
    save(schedule, job)
    _log_job(schedule, job, "job_ended", CANCELLED)


def restore_job(schedule: Schedule, entry: JobEntry, from_before: bool) -> Job:
    """Add a job from the log with its stored progress, without any unit."""
    job = _add_job(schedule, entry, from_before)
    progress = entry.progress
    if not from_before:
        job.opened_fence = schedule.fence
    elif progress is not None:
        job.opened_fence = progress.opened_fence
    if progress is not None:
        job.begun = progress.begun
        job.closed = set(progress.closed)
        job.ended_ms = progress.ended_ms
        job.saved = {item.number: item for item in progress.occurrences}
    return job


def _add_job(schedule: Schedule, entry: JobEntry, from_before: bool) -> Job:
    """Add a job from the log without any occurrence."""
    job = Job(
        entry.job_id,
        entry.queue,
        entry.spec,
        schedule.now_ms,
        from_before,
        entry.account,
    )
    job.accepted_settings = entry.settings
    job.settings = schedule.queue(entry.queue) or entry.newest_settings
    # A job that earlier versions have stored tells no pool.
    known_pools = entry.start_pools or {job.pool} - {""}
    job.start_pools = dict.fromkeys(sorted(known_pools), STORED)
    schedule.jobs[job.job_id] = job
    schedule.log_event(
        "job_scheduled",
        job_id=job.job_id,
        queue=job.queue,
        from_before=from_before,
        state=str(entry.state),
    )
    job.state = entry.state
    job.cancelled = entry.cancelled
    return job


def next_due(schedule: Schedule, job: Job) -> int | None:
    """Return the occurrence of a timed job to open next, None if none is due."""
    if job.state.final or len(job.occurrences) >= const.OPEN_OCCURRENCES:
        return None
    if job.saved:
        return min(job.saved)
    while job.next_occurrence < job.spec.repeats:
        number = job.next_occurrence
        if job.spec.due_ms(number) > schedule.wall_ms:
            return None
        if number not in job.closed and number not in job.occurrences:
            return number
        job.next_occurrence += 1
    return None


def open_next_due(schedule: Schedule, job: Job) -> bool:
    """Open an occurrence of a timed job; returns whether one was due."""
    number = next_due(schedule, job)
    if number is None:
        return False
    open_occurrence(schedule, job, number)
    return True


def unit_done(schedule: Schedule, unit: Unit) -> None:
    """Mark a unit as done."""
    if unit.done:
        return
    unit.done = True
    step = unit.step
    step.open_units -= 1
    for run in list(unit.runs):
        if len(unit.indexes) == 1:
            schedule.stop_run(run, "another copy is done")
    save(schedule, unit.job)
    if step.open_units == 0:
        _step_done(schedule, step)


def unit_failed(schedule: Schedule, unit: Unit, number: int) -> None:
    """Record a failed run; the job fails when no attempts are left."""
    if number in unit.failed_numbers:
        return
    unit.failed_numbers.add(number)
    job = unit.job
    save(schedule, job)
    if _is_exhausted(unit):
        end_job(schedule, job, JobState.FAILED, FAILED_TOO_OFTEN)


def _is_exhausted(unit: Unit) -> bool:
    """Return whether a unit has used up the attempts that its queue allows."""
    settings = unit.job.settings
    if settings is None or unit.spec.long_running or unit.is_over:
        return False
    return unit.failed >= settings.max_attempts


def config_changed(schedule: Schedule, before: FleetConfig) -> None:
    """Update the jobs whose queues have new settings or are gone.

    The jobs of a queue that is gone keep its newest settings, also under later owners.

    Args:
        schedule: The owner's state with the new configuration.
        before: The previous configuration.
    """
    for job in list(schedule.jobs.values()):
        settings = schedule.queue(job.queue)
        if job.state.final or settings == before.queues.get(job.queue):
            continue
        if settings is not None:
            job.settings = settings
            _end_if_exhausted(schedule, job)
        elif job.settings != job.accepted_settings:
            save(schedule, job)


def _end_if_exhausted(schedule: Schedule, job: Job) -> None:
    """End a job of which a task that does not run has no attempts left.

    An attempt that runs may still succeed.
    """
    for steps in job.occurrences.values():
        for step in steps:
            if any(_is_exhausted(unit) and not unit.runs for unit in step.units):
                end_job(schedule, job, JobState.FAILED, FAILED_TOO_OFTEN)
                return


def requeue(schedule: Schedule, unit: Unit) -> None:
    """Put a unit back on the ready list if it has no runs and may still start.

    Its job fails if it has no attempts left, as its queue may allow fewer by now.
    """
    if unit.runs or unit.is_over:
        return
    if _is_exhausted(unit):
        end_job(schedule, unit.job, JobState.FAILED, FAILED_TOO_OFTEN)
        return
    ready_lists.add(schedule, unit)


def begin(schedule: Schedule, job: Job) -> None:
    """Mark a job as begun when its first task starts."""
    if job.begun:
        return
    job.begun = True
    if not job.state.final:
        job.state = JobState.RUNNING
    _log_job(schedule, job, "job_begun", "")
    save(schedule, job)


def record_pool(schedule: Schedule, job: Job, pool: str) -> int:
    """Record that tasks of a job may be started in a pool from now on.

    The queue may have another pool by the time the next owner takes over. Without the
    record, that owner would not wait for silent minions of this one.

    Returns:
        The batch of records that must be stored before such a start is sent.
    """
    batch = job.start_pools.get(pool)
    if batch is None:
        batch = job.start_pools[pool] = schedule.open_batch
        save(schedule, job)
    return batch


def cancel(schedule: Schedule, job_id: str) -> None:
    """Cancel a job at its caller's request."""
    from_before = schedule.waiting_jobs.pop(job_id, None)
    if from_before is not None:
        add_cancelled(schedule, schedule.book.jobs[job_id], from_before)
        return
    job = schedule.jobs.get(job_id)
    if job is None or job.cancelled:
        return
    job.cancelled = True
    if not job.state.final:
        end_job(schedule, job, JobState.CANCELLED, CANCELLED)
        return
    _stop_runs(schedule, job, CANCELLED)
    unit_memory.drop_idle_units(schedule, job)


def cancel_early(schedule: Schedule, job_id: str) -> None:
    """Cancel a job, if it exists, for which an early cancel was just stored.

    The cancel may be of another caller who cannot see the job.
    """
    entry = schedule.book.jobs.get(job_id)
    if entry is not None and entry.cancelled:
        cancel(schedule, job_id)


def end_job(schedule: Schedule, job: Job, state: JobState, reason: str) -> None:
    """End a job, so that none of its tasks start any more.

    Its runs are stopped, except long-running tasks of a failed job.
    """
    job.state = state
    job.ended_ms = schedule.wall_ms
    save(schedule, job)
    _log_job(schedule, job, "job_ended", reason)
    job.saved.clear()
    for number, steps in job.occurrences.items():
        schedule.remaining_work.pop((job.job_id, number), None)
        for step in steps:
            schedule.advice.pop(step.name, None)
    _stop_runs(schedule, job, reason)
    unit_memory.drop_idle_units(schedule, job)
    if state is JobState.CANCELLED:
        job.spec = job.spec.without_payload()


def _stop_runs(schedule: Schedule, job: Job, reason: str) -> None:
    left_running = 0
    for steps in job.occurrences.values():
        for step in steps:
            for unit in step.units:
                if unit.keeps_running:
                    left_running += len(unit.runs)
                    continue
                for run in unit.runs:
                    schedule.stop_run(run, reason)
    if left_running:
        schedule.log_event(
            "tasks_left_running",
            job_id=job.job_id,
            queue=job.queue,
            runs=left_running,
            reason=reason,
        )


def _log_job(schedule: Schedule, job: Job, event: str, reason: str) -> None:
    """Log a job's start or end, with its age since this owner learned of it."""
    schedule.log_event(
        event,
        job_id=job.job_id,
        queue=job.queue,
        account=job.account,
        state=str(job.state),
        reason=reason,
        age_ms=schedule.now_ms - job.accepted_ms,
        from_before=job.from_before,
    )


def save(schedule: Schedule, job: Job) -> None:
    """Mark the job's progress to be stored with the open batch.

    The job of a stray run may be unknown, and has no progress then.
    """
    if job.job_id in schedule.jobs:
        schedule.dirty_jobs[job.job_id] = None


def flush(schedule: Schedule) -> None:
    """Emit the records of the open batch for all changed jobs and waves."""
    for job_id in schedule.dirty_jobs:
        job = schedule.jobs.get(job_id)
        if job is not None:
            schedule.emit(SaveProgress(job_progress.progress_of(job)))
    schedule.dirty_jobs.clear()
    for number in sorted(schedule.dirty_waves):
        wave = schedule.waves[number]
        progress = WaveProgress(number, sorted(wave.begun), sorted(wave.sent))
        schedule.emit(SaveProgress(progress))
    schedule.dirty_waves.clear()


def open_occurrence(schedule: Schedule, job: Job, number: int) -> None:
    """Open an occurrence with its stored progress, and queue its first steps."""
    saved = job.saved.pop(number, None)
    steps: list[StepRun] = []
    for step_number, spec in enumerate(job.spec.steps):
        step = StepRun(job, number, step_number, spec)
        done: set[int] = set()
        if saved is not None and not spec.long_running:
            # Earlier versions have stored ends of long-running tasks as well.
            done.update(saved.done[step_number])
        if spec.gang:
            groups = [tuple(range(spec.count))]
        else:
            groups = [(index,) for index in range(spec.count)]
        for indexes in groups:
            unit = Unit(step, indexes, done=indexes[0] in done)
            job_progress.restore_unit(schedule, unit, saved)
            if unit.crash_count:
                schedule.suspects[unit.name] = Suspect(unit)
            elif unit.crashes:
                schedule.cleared[unit.name] = unit
            if unit.stored_starts:
                schedule.stored_starts[unit.name] = unit
            step.units.append(unit)
            for index in indexes:
                schedule.units[unit.task_name(index)] = unit
        step.open_units = sum(not unit.done for unit in step.units)
        steps.append(step)
    job.occurrences[number] = steps
    _release_steps(schedule, job, number)


def _release_steps(schedule: Schedule, job: Job, number: int) -> None:
    """Make the units of each step ready whose preceding steps are done."""
    steps = job.occurrences[number]
    if all(step.open_units == 0 for step in steps):
        _close_occurrence(schedule, job, number)
        return
    for step in steps:
        if step.ready:
            continue
        if any(steps[before].open_units for before in step.spec.after):
            continue
        step.ready = True
        for unit in step.units:
            requeue(schedule, unit)


def _step_done(schedule: Schedule, step: StepRun) -> None:
    schedule.log_event(
        "step_done",
        job_id=step.job.job_id,
        step=step.name,
        age_ms=schedule.now_ms - step.job.accepted_ms,
    )
    schedule.advice.pop(step.name, None)
    if step.occurrence in step.job.occurrences:
        _release_steps(schedule, step.job, step.occurrence)


def _close_occurrence(schedule: Schedule, job: Job, number: int) -> None:
    job.closed.add(number)
    save(schedule, job)
    unit_memory.drop_closed_occurrence(schedule, job, number)
    if job.state.final:
        return
    if len(job.closed) >= max(1, job.spec.repeats):
        job.state = JobState.COMPLETED
        job.spec = job.spec.without_payload()
        job.ended_ms = schedule.wall_ms
        _log_job(schedule, job, "job_ended", "")
