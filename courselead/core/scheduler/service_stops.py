"""Repeats stops, those of long-running tasks only within their step's budget.

A stop may be lost or delayed. Until it arrives, the task goes on, and other tasks of
its step may be lost in the meantime. So a stop of a long-running task that its caller
still wants is repeated only after a poll, which tells whether the task is there. If it
is, and the budget of its step no longer allows the stop, it is kept.
"""

from __future__ import annotations

from courselead.core.scheduler import budgets, const
from courselead.core.scheduler.delayed_starts import STARTED_AGAIN
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, RunPhase

START_NOT_ANSWERED = "its start was not answered"
"""Reason given for stops of runs that may still begin."""

KEPT_BEFORE_ANSWER = "it was kept before its stop was answered"
"""Reason given for the end of a run whose stop was answered late."""

LATE_START_REASONS = (START_NOT_ANSWERED, STARTED_AGAIN)
"""Reasons of stops for runs that are not known to have begun."""


def stop_unanswered_start(schedule: Schedule, run: Run) -> None:
    """Stop a run whose start was not answered, so that it does not begin later."""
    if run.phase is RunPhase.STOPPING:
        return
    run.stop_reason = START_NOT_ANSWERED
    if run.unit.is_wanted_service:
        # The stop is sent after the next poll that does not report the run.
        run.phase = RunPhase.STOPPING
    else:
        schedule.stop_run(run, START_NOT_ANSWERED)


def tick(schedule: Schedule, minion: Minion) -> None:
    """Repeat the unanswered stops on a minion that no budget restricts."""
    for run in list(minion.runs.values()):
        if run.phase is not RunPhase.STOPPING:
            continue
        is_restricted = run.unit.is_wanted_service and not minion.info.draining
        if not is_restricted and _is_due(schedule, run):
            schedule.order_stop(run)


def run_reported(schedule: Schedule, minion: Minion, run: Run) -> None:
    """Keep a run that is reported while its start is being stopped.

    Only a long-running task that is still wanted and has no other run is kept. After an
    answered stop, a run that is reported is about to end.
    """
    if run.phase is not RunPhase.STOPPING or run.stop_answered_ms is not None:
        return
    if not _may_not_have_begun(run) or len(run.unit.runs) > 1:
        return
    if run.unit.is_wanted_service:
        _keep(schedule, minion, run)


def minion_polled(
    schedule: Schedule, minion: Minion, reported: set[tuple[str, int]]
) -> None:
    """Repeat the due stops of long-running tasks, or keep the tasks.

    Args:
        schedule: Changed in place.
        minion: The minion whose report has just been processed.
        reported: The runs in it, by task name and run number.
    """
    for run in list(minion.runs.values()):
        if run.phase is not RunPhase.STOPPING or not run.unit.is_wanted_service:
            continue
        if not _is_due(schedule, run):
            continue
        is_only_run = run.key in reported and len(run.unit.runs) == 1
        if is_only_run and not budgets.may_interrupt(schedule, run):
            _keep(schedule, minion, run)
        else:
            schedule.order_stop(run)


def stop_answered(schedule: Schedule, run: Run) -> None:
    """Process the answer to a stop: the run is about to end."""
    run.stop_answered_ms = schedule.now_ms
    if run.phase is RunPhase.RUNNING:
        run.phase = RunPhase.STOPPING
        run.stop_reason = KEPT_BEFORE_ANSWER


def stop_not_sent(schedule: Schedule, run: Run, reason: str) -> None:
    """Log the stop of a service that was not sent; a later poll decides anew."""
    if not run.unit.spec.long_running:
        return
    schedule.log_event(
        "service_stop_not_sent",
        job_id=run.unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=run.minion_id,
        reason=reason,
    )


def _may_not_have_begun(run: Run) -> bool:
    return not run.confirmed and run.stop_reason in LATE_START_REASONS


def _is_due(schedule: Schedule, run: Run) -> bool:
    """Return whether a stop without an answer is to be repeated."""
    if run.stop_answered_ms is not None:
        return False
    return schedule.now_ms - run.stop_sent_ms >= const.STOP_RETRY_MS


def _keep(schedule: Schedule, minion: Minion, run: Run) -> None:
    """Let a run go on that a poll reports although a stop of it was sent.

    Its stops are not repeated. One that is still in transit may end it, so it does not
    count as working for a while (`budgets.is_at_work`).
    """
    # Where its start was not answered, the report confirms it like one in transit.
    run.phase = RunPhase.RUNNING if run.running_ms else RunPhase.SENT
    run.percent_ms = schedule.now_ms
    minion.unanswered_stray_stops.discard(run.key)
    schedule.log_event(
        "run_kept",
        job_id=run.unit.job.job_id,
        task=run.task,
        run=run.number,
        minion=minion.minion_id,
        reason=run.stop_reason,
    )
    run.stop_reason = ""
