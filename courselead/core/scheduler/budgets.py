"""Disruption budgets: which long-running tasks of a step work, and may be stopped."""

from __future__ import annotations

from courselead.core.scheduler import const
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import BudgetCheck, Run, StepRun


def may_interrupt(schedule: Schedule, run: Run) -> bool:
    """Return whether a run may be stopped.

    A long-running task may be stopped only within its step's disruption budget.
    """
    spec = run.unit.spec
    if not spec.long_running:
        return True
    step = run.unit.step
    if not _is_settled(schedule, step):
        return False
    missing = missing_in_step(schedule, step, run)
    step.budget_check = BudgetCheck(schedule.now_ms, missing)
    return missing < max(1, spec.may_miss)


def missing_in_step(
    schedule: Schedule, step: StepRun, excluded: Run | None = None
) -> int:
    """Return how many units of a long-running step are not working.

    Args:
        schedule: The owner's state.
        step: The step.
        excluded: A run whose unit is not counted.
    """
    missing = 0
    for unit in step.units:
        if excluded is not None and excluded.unit is unit:
            continue
        if any(is_at_work(schedule, run) for run in unit.runs):
            continue
        missing += 1
    return missing


def is_at_work(schedule: Schedule, run: Run) -> bool:
    """Return whether a long-running task works on a minion that answers.

    The last report of a silent minion may be outdated, and so are all reports after the
    owner was suspended. If they were trusted, stopping another task of the step could
    exceed the step's budget.
    """
    minion = schedule.minions.get(run.minion_id)
    if not run.is_working or minion is None or minion.failures:
        return False
    if schedule.now_ms - minion.seen_ms >= const.REPORT_VALID_MS:
        return False
    # A run that began late was kept, but a stop of it may still be carried out.
    stop_sent_ms = run.stop_sent_ms
    return not stop_sent_ms or schedule.now_ms - stop_sent_ms >= const.STRAY_START_MS


def _is_settled(schedule: Schedule, step: StepRun) -> bool:
    """Return whether no stop by an earlier owner can be in flight in a step.

    Minions report a run that is being stopped like one that is working.
    """
    settle_ms = schedule.bounds.stop_ms + const.STOP_SETTLE_MS
    for unit in step.units:
        for run in unit.runs:
            minion = schedule.minions.get(run.minion_id)
            if run.number >= schedule.first_run_number or minion is None:
                continue
            if schedule.now_ms - minion.synced_ms < settle_ms:
                return False
    return True
