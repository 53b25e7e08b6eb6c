"""Counts the minion crashes of each task, and decides when they no longer count.

A task may crash every minion that starts it. All tasks that ran on a crashed minion
are suspects, and most of them are not the cause. To tell them apart, a suspect is
started next on a minion of its own. A minion can crash several times under one id, so
crashes are recorded per incarnation (`Incarnation`).
"""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, jobs, losses, verdicts
from courselead.core.scheduler.models import Incarnation
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import (
    Crash,
    LostIncarnation,
    Minion,
    Run,
    Suspect,
    Unit,
)


def record_incarnation_end(schedule: Schedule, minion: Minion, reason: str) -> None:
    """Record the end of an incarnation as a crash of each run that it may have had.

    An end that was ordered or announced is not a crash. A run whose start was not
    answered is counted because it may have begun. Recording an end twice has no effect.
    """
    if _was_planned_end(schedule, minion):
        return
    runs = [run for run in minion.runs.values() if _may_have_caused_loss(run)]
    lost = LostIncarnation(
        minion.info.incarnation,
        schedule.now_ms,
        minion.info.zone,
        minion.info.rack,
        minion.worker_id or minion.info.address,
        frozenset(run.unit.job.job_id for run in minion.runs.values()),
        any(
            run.unit.crash_count >= const.TRIAL_CRASHES for run in minion.runs.values()
        ),
        frozenset(
            run.unit.job.queue
            for run in minion.runs.values()
            if run.is_fresh(schedule.now_ms) and not run.unit.spec.long_running
        ),
    )
    if all(item.incarnation != lost.incarnation for item in schedule.lost_incarnations):
        schedule.lost_incarnations.append(lost)
    for run in runs:
        if minion.seen_ms - run.started_ms >= const.FORGOTTEN_MS:
            _reset_crash_count(schedule, run.unit)
            continue
        crash = Crash(run.number, lost.incarnation, schedule.now_ms - run.started_ms)
        record_crash(schedule, run.unit, crash, lost, reason)


def _may_have_caused_loss(run: Run) -> bool:
    """Return whether a run may have caused the end of its incarnation.

    A run that was carried over from the previous incarnation and that no poll has
    reported on this one was already counted for the previous one.
    """
    if run.may_be_on_new_incarnation and not run.confirmed:
        return False
    return not run.unit.is_over


def _was_planned_end(schedule: Schedule, minion: Minion) -> bool:
    """Return whether the end of an incarnation was ordered or announced."""
    if minion.info.draining:
        return True
    move = schedule.moves.get(minion.worker_id)
    if move is not None and move.sent_ms >= minion.listed_ms:
        return True
    for wave in schedule.waves.values():
        if wave.down.get(minion.worker_id, -1) >= minion.listed_ms:
            return True
    return False


def record_crash(
    schedule: Schedule,
    unit: Unit,
    crash: Crash,
    lost: LostIncarnation | None,
    reason: str,
) -> None:
    """Record a crash of a unit.

    Args:
        schedule: Changed in place.
        unit: The unit that ran on the minion or may have begun there.
        crash: The crash.
        lost: The lost incarnation, None if it ended under an earlier owner.
        reason: Why the incarnation counts as ended.
    """
    if crash.key in unit.crashes:
        return
    schedule.add_crash(unit, crash)
    unit.record_start(crash.number)
    _require_stored_crashes(schedule, unit)
    schedule.cleared.pop(unit.name, None)
    suspect = schedule.suspects.setdefault(unit.name, Suspect(unit))
    suspect.at_ms = schedule.now_ms
    suspect.tried_ms = 0
    suspect.logged_waits.clear()
    if lost is not None:
        suspect.unsettled.append((crash.key, lost))
    schedule.log_event(
        "task_crashed",
        job_id=unit.job.job_id,
        task=unit.name,
        run=crash.number,
        minion=crash.incarnation.minion_id,
        born_ms=crash.incarnation.born_ms,
        age_ms=crash.age_ms,
        crashes=len(unit.crashes),
        other_jobs=len(lost.job_ids) - 1 if lost is not None else "unknown",
        reason=reason,
    )


def withdraw(schedule: Schedule, incarnation: Incarnation) -> None:
    """Withdraw the crashes of an incarnation that answers, so that it has not ended.

    It was out of reach for so long that the leases of its runs were over.
    """
    schedule.lost_incarnations = [
        lost for lost in schedule.lost_incarnations if lost.incarnation != incarnation
    ]
    for name in sorted(schedule.crashed_units.pop(incarnation, ())):
        unit = schedule.units.get(name)
        if unit is not None and not unit.is_over:
            _withdraw_from(schedule, unit, incarnation)


def _withdraw_from(schedule: Schedule, unit: Unit, incarnation: Incarnation) -> None:
    for key in list(unit.crashes):
        if unit.crashes[key].incarnation == incarnation:
            del unit.crashes[key]
    schedule.log_event(
        "crash_withdrawn",
        job_id=unit.job.job_id,
        task=unit.name,
        minion=incarnation.minion_id,
        crashes=len(unit.crashes),
    )
    suspect = schedule.suspects.get(unit.name)
    if suspect is not None:
        suspect.unsettled = [
            item for item in suspect.unsettled if item[1].incarnation != incarnation
        ]
    if not unit.crashes:
        schedule.suspects.pop(unit.name, None)
        schedule.cleared.pop(unit.name, None)
    schedule.dirty_pools.add(unit.job.pool)
    jobs.save(schedule, unit.job)


def _require_stored_crashes(schedule: Schedule, unit: Unit) -> None:
    """Block starts of a unit until its crashes are stored.

    The next owner continues the count from the stored crashes.
    """
    jobs.save(schedule, unit.job)
    unit.stored_batch = schedule.open_batch


def tick(schedule: Schedule) -> None:
    """Evaluate suspects: give up crashing tasks and clear the others."""
    oldest_ms = schedule.now_ms - const.LOST_INCARNATIONS_MS
    if schedule.lost_incarnations and schedule.lost_incarnations[0].at_ms < oldest_ms:
        schedule.lost_incarnations = [
            lost for lost in schedule.lost_incarnations if lost.at_ms >= oldest_ms
        ]
    schedule.risky_queues = losses.risky_queues(schedule)
    # Cached per incarnation, since many tasks are lost with one minion.
    explained: dict[Incarnation, bool] = {}
    for suspect in list(schedule.suspects.values()):
        unit = suspect.unit
        if unit.is_over:
            del schedule.suspects[unit.name]
            if unit.done:
                _log_cleared(schedule, unit, "its task is done")
            continue
        _mark_explained_crashes(schedule, suspect, explained)
        if any(_is_past_crash_ages(schedule, unit, run) for run in unit.runs):
            _clear_suspicion(schedule, unit)
            continue
        if schedule.now_ms - suspect.at_ms >= const.CRASH_SETTLE_MS:
            verdicts.evaluate(schedule, suspect)
    for unit in list(schedule.cleared.values()):
        if unit.is_over:
            del schedule.cleared[unit.name]
        elif any(
            _is_running_for(schedule, run, const.FORGOTTEN_MS) for run in unit.runs
        ):
            _reset_crash_count(schedule, unit)


def _is_running_for(schedule: Schedule, run: Run, for_ms: int) -> bool:
    """Return whether a run is confirmed, reachable and at least so old."""
    minion = schedule.minions.get(run.minion_id)
    if not run.confirmed or minion is None or minion.failures:
        return False
    return schedule.now_ms - run.started_ms >= for_ms


def _reset_crash_count(schedule: Schedule, unit: Unit) -> None:
    """Reset the crash count of a unit that has run for a long time.

    Over a long run time every task loses minions to machine failures, so earlier
    crashes say nothing about the task.
    """
    unit.has_lasted = True
    if not unit.crashes:
        return
    schedule.log_event(
        "crashes_forgotten",
        job_id=unit.job.job_id,
        task=unit.name,
        crashes=len(unit.crashes),
    )
    unit.crashes.clear()
    schedule.suspects.pop(unit.name, None)
    schedule.cleared.pop(unit.name, None)
    jobs.save(schedule, unit.job)


def _is_past_crash_ages(schedule: Schedule, unit: Unit, run: Run) -> bool:
    """Return whether a run is much older than the age at which earlier runs crashed.

    The recorded ages are upper bounds, so a task that always crashes its minion at the
    same age never gets this far.
    """
    ages = [crash.age_ms for crash in unit.crashes.values() if not crash.cleared]
    age_ms = min(ages, default=0)
    needed_ms = const.OUTLIVED_FACTOR * age_ms + const.OUTLIVED_MS
    return _is_running_for(schedule, run, min(needed_ms, const.OUTLIVED_MAX_MS))


def _clear_suspicion(schedule: Schedule, unit: Unit) -> None:
    """End the isolation of a unit; its crashes still count towards the limit."""
    _log_cleared(schedule, unit, "ran past its crash ages")
    for key, crash in unit.crashes.items():
        unit.crashes[key] = replace(crash, cleared=True)
    jobs.save(schedule, unit.job)
    del schedule.suspects[unit.name]
    schedule.cleared[unit.name] = unit


def _log_cleared(schedule: Schedule, unit: Unit, reason: str) -> None:
    schedule.log_event(
        "suspect_cleared",
        job_id=unit.job.job_id,
        task=unit.name,
        crashes=len(unit.crashes),
        reason=reason,
    )


def _mark_explained_crashes(
    schedule: Schedule, suspect: Suspect, explained: dict[Incarnation, bool]
) -> None:
    unit = suspect.unit
    for key, lost in suspect.unsettled:
        crash = unit.crashes[key]
        if crash.explained:
            continue
        if lost.incarnation not in explained:
            explained[lost.incarnation] = losses.is_explained(schedule, lost)
        if explained[lost.incarnation]:
            unit.crashes[key] = replace(crash, explained=True)
            jobs.save(schedule, unit.job)


def may_start(schedule: Schedule, unit: Unit) -> bool:
    """Return whether everything that the next start depends on is known and stored."""
    if unit.stored_starts or unit.stored_batch > schedule.saved_batch:
        return False
    if not unit.crashes:
        return True
    if verdicts.is_at_limit(unit):
        # The next tick evaluates the newest crash and gives the task up.
        schedule.suspects.setdefault(unit.name, Suspect(unit))
        return False
    return schedule.log_accepts_records
