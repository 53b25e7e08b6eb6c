"""Runs that are over without a report of their ends."""

from __future__ import annotations

from courselead.core.scheduler import const, jobs
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Run, StrayStart, Unit


def lost(schedule: Schedule, run: Run, reason: str = "") -> None:
    """Take a run as gone for certain without a report of its end.

    Args:
        schedule: Changed in place.
        run: Whose end is proved.
        reason: What proves it, for a run that was not being stopped.
    """
    unit = run.unit
    if run.checkpoint:
        unit.checkpoint = run.checkpoint
    schedule.note(
        "run_lost",
        job_id=unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=run.minion_id,
        reason=run.stop_reason or reason,
        age_ms=schedule.now_ms - run.started_ms,
    )
    schedule.drop_run(run)
    gang_broken(schedule, unit)
    jobs.requeue(schedule, unit)


def note_stray_start(schedule: Schedule, run: Run) -> None:
    """Remember a start of which a copy may be carried out yet."""
    strays = schedule.stray_starts.setdefault(run.minion_id, {})
    until_ms = schedule.now_ms + const.STRAY_START_MS
    strays[run.key] = StrayStart(until_ms, run.born_ms)


def lost_unseen(schedule: Schedule, run: Run, reason: str) -> None:
    """Take a run as gone that its minion has not reported on."""
    run.unit.lost_ms = schedule.now_ms
    if not run.confirmed:
        note_stray_start(schedule, run)
    lost(schedule, run, reason)


def gang_broken(schedule: Schedule, unit: Unit) -> None:
    """Stop the other members of a gang that has lost one."""
    if not unit.spec.gang or unit.done:
        return
    for run in unit.runs:
        schedule.stop_run(run, "a member of its gang ended")
