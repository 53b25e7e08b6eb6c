"""Finds and stops runs that make no progress.

Reports tell how far a run is. A finite run is judged by the usual run time of its
queue, a long-running task by the usual time until tasks of its queue are ready.

A long-running task that is slow looks like one that stands still, and may become ready
while its stop is in transit. So its stop has to fit the budget of its step as if the
task worked. If most of a step stands still, the budget allows no stop at all; then its
tasks are replaced one at a time, after a much longer time.
"""

from __future__ import annotations

from courselead.core.scheduler import budgets, const
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import READY_PERCENT, Minion, Run, RunPhase, Unit

NO_PROGRESS = "no progress"
"""Reason given for stops of runs that make no progress."""

STALL_MS = 2_500
"""Time without progress after which a run is stopped: two and a half polls."""

STALL_FACTOR = 3
"""A run counts as stalled only after this many times its expected time."""

MAX_STALL_DOUBLINGS = 3
"""Stalls of a long-running task in a row that double the time until the next one."""

STANDSTILL_MS = 20_000
"""Time without progress after which a task is replaced beyond its step's budget.

No slow start takes so long, so it is unlikely that the task becomes ready just while
its stop is in transit.
"""

FRESH_REPORT_MS = 1_500
"""Time from a poll to its answer within which the report is up to date.

It is the wait of a poll with half a second for the answer's way.
"""


def stop_stalled_finite_runs(schedule: Schedule, minion: Minion) -> None:
    """Stop the finite runs on a minion that make no progress."""
    if minion.failures:
        return
    for run in list(minion.runs.values()):
        if not run.unit.spec.long_running and _is_stalled(schedule, minion, run):
            _stop(schedule, run)


def stop_stalled_services(schedule: Schedule, minion: Minion, sent_ms: int) -> None:
    """Stop the long-running tasks that a minion has just reported as not ready.

    Args:
        schedule: Changed in place.
        minion: The minion whose report has just been processed.
        sent_ms: When the poll that it answered was sent.
    """
    is_fresh = schedule.now_ms - sent_ms <= FRESH_REPORT_MS
    # Ids of the steps whose budget allows no further stop: each check goes through all
    # tasks of the step, of which many may be on the minion.
    refused: set[int] = set()
    for run in list(minion.runs.values()):
        step_id = id(run.unit.step)
        if step_id in refused or not run.unit.spec.long_running:
            continue
        if not _is_stalled(schedule, minion, run):
            continue
        if budgets.may_interrupt(schedule, run) or (
            is_fresh and _stands_still(schedule, run)
        ):
            run.unit.stalls += 1
            _stop(schedule, run)
        else:
            refused.add(step_id)


def has_stalled_service(schedule: Schedule, minion: Minion) -> bool:
    """Return whether a long-running task on a minion stands still."""
    return any(
        run.unit.spec.long_running and _is_stalled(schedule, minion, run)
        for run in minion.runs.values()
    )


def record_ready(schedule: Schedule, run: Run) -> None:
    """Learn from a long-running task that has become ready how long that takes."""
    run.unit.stalls = 0
    minion = schedule.minions[run.minion_id]
    is_own = run.number >= schedule.first_run_number
    if not is_own or minion.is_warming_up(run.started_ms):
        # When it was started is not known, or it took longer than it usually does.
        return
    queue = run.unit.job.queue
    # Its start may have been carried out late.
    took_ms = schedule.now_ms - run.running_ms
    known_ms = schedule.ready_ms.get(queue, took_ms)
    learned_ms = known_ms + const.LEARN_WEIGHT * (took_ms - known_ms)
    schedule.ready_ms[queue] = learned_ms


def _stop(schedule: Schedule, run: Run) -> None:
    run.unit.avoid.add(run.minion_id)
    schedule.stop_run(run, NO_PROGRESS)


def _is_stalled(schedule: Schedule, minion: Minion, run: Run) -> bool:
    if run.phase is not RunPhase.RUNNING:
        return False
    unit = run.unit
    if unit.spec.gang or run.pace < 100:
        return False
    if unit.spec.long_running:
        if run.percent >= READY_PERCENT or unit.spec.fills:
            return False
        return _unchanged_ms(minion, run) >= _startup_limit_ms(schedule, unit)
    if _unchanged_ms(minion, run) < STALL_MS:
        return False
    age_ms = schedule.now_ms - _judged_from_ms(minion, run)
    expected_ms = schedule.expected_ms(unit.job.queue, unit.spec)
    return age_ms > STALL_FACTOR * expected_ms


def _judged_from_ms(minion: Minion, run: Run) -> int:
    """Return the time before which a run is not judged, as its minion was slow."""
    return max(run.started_ms, minion.warm_at_ms)


def _unchanged_ms(minion: Minion, run: Run) -> int:
    """Return for how long the reports of a minion show no progress of a run."""
    return minion.seen_ms - max(run.percent_ms, _judged_from_ms(minion, run))


def _startup_limit_ms(schedule: Schedule, unit: Unit) -> float:
    """Return the time within which a long-running task has to be ready.

    Where all starts of a task are slow, it becomes ready at last, as the time doubles.
    """
    usual_ms = schedule.ready_ms.get(unit.job.queue, 0.0)
    limit_ms = max(STALL_MS, STALL_FACTOR * usual_ms)
    return limit_ms * 2 ** min(unit.stalls, MAX_STALL_DOUBLINGS)


def _stands_still(schedule: Schedule, run: Run) -> bool:
    """Return whether a task is replaced although its step's budget does not allow it.

    All tasks of the step that do not work have to stand still, so that the next one is
    stopped only after the last one works again or stands still as well.
    """
    return all(
        any(_is_unchanged_for_long(schedule, item) for item in unit.runs)
        for unit in run.unit.step.units
        if not any(item.is_working for item in unit.runs)
    )


def _is_unchanged_for_long(schedule: Schedule, run: Run) -> bool:
    minion = schedule.minions.get(run.minion_id)
    if minion is None or minion.failures or run.phase is not RunPhase.RUNNING:
        return False
    return _unchanged_ms(minion, run) >= STANDSTILL_MS
