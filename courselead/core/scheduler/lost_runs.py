"""Handles runs that ended without a report."""

from __future__ import annotations

from courselead.core.scheduler import const, jobs, unit_memory
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Run, StrayStart, Unit


def drop_lost_run(schedule: Schedule, run: Run, reason: str = "") -> None:
    """Drop and requeue a run that has certainly ended without a report.

    Args:
        schedule: Changed in place.
        run: The run that has ended.
        reason: Why it has ended; the stop reason is logged instead if it has one.
    """
    unit = run.unit
    if run.checkpoint:
        unit.checkpoint = run.checkpoint
    schedule.log_event(
        "run_lost",
        job_id=unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=run.minion_id,
        reason=run.stop_reason or reason,
        age_ms=schedule.now_ms - run.started_ms,
    )
    schedule.drop_run(run)
    unit_memory.drop_unneeded_units(schedule, run)
    stop_gang(schedule, unit, run.number)
    jobs.requeue(schedule, unit)


def remember_delayed_start(schedule: Schedule, run: Run) -> None:
    """Remember a start of which a delayed copy may still be carried out."""
    delayed_starts = schedule.stray_starts.setdefault(run.minion_id, {})
    until_ms = schedule.now_ms + const.STRAY_START_MS
    delayed_starts[run.key] = StrayStart(until_ms, run.born_ms)


def lost_with_minion(schedule: Schedule, run: Run, reason: str) -> None:
    """Drop a run whose minion was lost or whose lease has expired.

    A start that nothing has confirmed may still be carried out, with a lease that
    counts from then. Its task waits until the minion has answered the stop.
    """
    run.unit.lost_ms = schedule.now_ms
    if not run.confirmed:
        _expect_delayed_start(schedule, run)
    drop_lost_run(schedule, run, reason)


def _expect_delayed_start(schedule: Schedule, run: Run) -> None:
    known_starts = schedule.stray_starts.get(run.minion_id, {})
    if run.key not in known_starts:
        remember_delayed_start(schedule, run)
    minion = schedule.minions.get(run.minion_id)
    if minion is not None and not run.running_ms:
        minion.unanswered_stray_stops.add(run.key)


def stop_gang(schedule: Schedule, unit: Unit, number: int) -> None:
    """Stop the remaining members of a gang after one of them has ended.

    A minion that was out of reach may list the end of an earlier run late. The gang may
    have started again by then, under a higher number.

    Args:
        schedule: Changed in place.
        unit: The unit, which need not be a gang.
        number: Run number of the member that has ended.
    """
    if not unit.spec.gang or unit.done:
        return
    for run in unit.runs:
        if run.number == number:
            schedule.stop_run(run, "a member of its gang ended")
