"""Processes the ends of runs that minions report."""

from __future__ import annotations

from courselead.core.scheduler import (
    const,
    jobs,
    lost_runs,
    reported_tasks,
    unit_memory,
)
from courselead.core.scheduler.events import EndKind, EndReport
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, Unit, UnsavedEnd

_SPONTANEOUS_ENDS = (EndKind.DONE, EndKind.FAILED)
"""Kinds of ends that the system has not caused."""


def process_end(schedule: Schedule, minion: Minion, end: EndReport) -> None:
    """Process the end of a run, unless an earlier report already listed it."""
    if end.sequence <= minion.ended_seen:
        return
    minion.ended_seen = end.sequence
    unsaved = UnsavedEnd(end.sequence, schedule.open_batch, end.task)
    minion.unsaved.append(unsaved)
    run = minion.runs.get((end.task, end.number))
    unit = run.unit if run is not None else reported_tasks.unit_of(schedule, end.task)
    if unit is None:
        return
    unit.next_number = max(unit.next_number, end.number + 1)
    # A long-running task is never complete: however a run ends, the next one follows.
    completes_unit = end.kind is EndKind.DONE and not unit.spec.long_running
    if end.checkpoint and not completes_unit:
        unit.checkpoint = end.checkpoint
        if not unit.job.state.final:
            jobs.save(schedule, unit.job)
    if run is not None:
        if completes_unit:
            _update_average_run_time(schedule, run)
        schedule.drop_run(run)
        unit_memory.drop_unneeded_units(schedule, run)
    if end.kind is EndKind.DONE:
        minion.failures_in_row.clear()
    if completes_unit:
        jobs.unit_done(schedule, unit)
        return
    schedule.log_event(
        "run_ended",
        job_id=unit.job.job_id,
        task=end.task,
        run=end.number,
        minion=minion.minion_id,
        how=str(end.kind),
        reason=run.stop_reason if run is not None else "",
    )
    if unit.spec.long_running and end.kind in _SPONTANEOUS_ENDS:
        _delay_restart(schedule, unit)
    if end.kind is EndKind.FAILED:
        _process_failure(schedule, minion, unit, end.number)
    else:
        lost_runs.stop_gang(schedule, unit, end.number)
    jobs.requeue(schedule, unit)


def _update_average_run_time(schedule: Schedule, run: Run) -> None:
    """Learn from a run of a finite task that is done how long such tasks take."""
    if run.unit.checkpoint or not run.running_ms:
        return
    minion = schedule.minions.get(run.minion_id)
    if minion is not None and minion.is_warming_up(run.running_ms):
        # It took longer than it would on a minion that is warm.
        return
    queue = run.unit.job.queue
    took_ms = schedule.now_ms - run.running_ms
    known = schedule.run_ms.get(queue, took_ms)
    schedule.run_ms[queue] = known + const.LEARN_WEIGHT * (took_ms - known)


def _delay_restart(schedule: Schedule, unit: Unit) -> None:
    """Delay the next start of a task that may end again soon after it."""
    backoff = unit.backoff_ms * 2 or const.RESTART_BACKOFF_MS
    unit.backoff_ms = min(backoff, const.RESTART_BACKOFF_MAX_MS)
    unit.not_before_ms = schedule.now_ms + unit.backoff_ms


def _process_failure(
    schedule: Schedule, minion: Minion, unit: Unit, number: int
) -> None:
    unit.avoid.add(minion.minion_id)
    if not unit.spec.long_running:
        _quarantine_if_failing(schedule, minion, unit)
    jobs.unit_failed(schedule, unit, number)
    schedule.log_event(
        "run_failed",
        job_id=unit.job.job_id,
        task=unit.task_name(unit.indexes[0]),
        minion=minion.minion_id,
        failed=unit.failed,
    )
    lost_runs.stop_gang(schedule, unit, number)


def _quarantine_if_failing(schedule: Schedule, minion: Minion, unit: Unit) -> None:
    """Quarantine a minion on which different jobs failed one after the other."""
    job_ids = minion.failures_in_row
    if unit.job.job_id not in job_ids:
        job_ids.append(unit.job.job_id)
    if len(job_ids) < const.QUARANTINE_FAILURES:
        return
    job_ids.clear()
    minion.quarantine_until_ms = schedule.now_ms + const.QUARANTINE_MS
    schedule.log_event("minion_quarantined", minion=minion.minion_id)
