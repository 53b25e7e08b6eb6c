"""Tracks the incarnations of minions.

An incarnation (`Incarnation`) is one process lifetime of a minion. A minion may restart
under the same id; the new incarnation has no state of the previous one.

An incarnation that does not answer may have ended or may only be out of reach. It is
dropped, and tracked anew once its entry is listed again. It counts as ended for good
only on positive evidence: another incarnation answers or is listed in its place, or the
cloud reports that its worker is down, busy or runs another one.
"""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, crashes, delayed_starts
from courselead.core.scheduler.delayed_starts import STARTED_AGAIN
from courselead.core.scheduler.events import (
    StartPolling,
    StopPolling,
    StoreRuns,
)
from courselead.core.scheduler.lost_runs import (
    lost_with_minion,
    remember_delayed_start,
)
from courselead.core.scheduler.models import Incarnation, MinionInfo
from courselead.core.scheduler.schedule import Schedule, longest_lease_ms
from courselead.core.scheduler.state import Minion, Run, RunPhase


def handle_listed(schedule: Schedule, info: MinionInfo) -> None:
    """Process a new or changed entry of the platform's minion list."""
    present = schedule.minions.get(info.minion_id)
    if present is None:
        if schedule.is_over(info.incarnation):
            return
    elif not present.info.incarnation.may_equal(info.incarnation):
        _handle_other_incarnation_listed(schedule, present, info)
        return
    elif not info.born_ms:
        info = replace(info, born_ms=present.info.born_ms)
    if info.pool not in schedule.config.pools:
        # The entry may come from another writer, so nothing is sent to this minion
        # until a configuration defines its pool.
        schedule.unknown_pool_minions[info.minion_id] = info
        schedule.log_event("minion_of_no_pool", minion=info.minion_id, pool=info.pool)
        mark_unlisted(schedule, info.minion_id)
        return
    schedule.unknown_pool_minions.pop(info.minion_id, None)
    minion = schedule.minions.get(info.minion_id)
    if minion is None:
        minion = _track_incarnation(schedule, info)
        schedule.log_event(
            "minion_listed",
            minion=info.minion_id,
            pool=info.pool,
            born_ms=info.born_ms,
        )
    if info.draining and not minion.info.draining:
        schedule.log_event("minion_draining", minion=info.minion_id)
    if info.pool != minion.info.pool:
        # The incarnation began after a move to another pool, and a poll reported it
        # before its entry arrived.
        minion.cordoned = False
    minion.info = info
    minion.listed = True
    _update_warm_time(schedule, minion)
    schedule.unconfirmed_minions.pop(info.minion_id, None)
    schedule.dirty_pools.add(info.pool)


def _update_warm_time(schedule: Schedule, minion: Minion) -> None:
    """Derive from a minion's new entry when it has warmed up.

    The end of a warm-up is kept, since runs that began before it took longer.
    """
    remaining_ms = minion.info.warmup_remaining_ms
    if remaining_ms > 0:
        minion.warm_at_ms = schedule.now_ms + remaining_ms
    else:
        minion.warm_at_ms = min(minion.warm_at_ms, schedule.now_ms)


def add_minions_of_new_pools(schedule: Schedule) -> None:
    """Add the minions whose pools are defined by a new configuration."""
    for info in list(schedule.unknown_pool_minions.values()):
        if info.pool in schedule.config.pools:
            handle_listed(schedule, info)


def handle_removed(schedule: Schedule, minion_id: str) -> None:
    """Process the removal of an entry from the platform's minion list."""
    schedule.unknown_pool_minions.pop(minion_id, None)
    mark_unlisted(schedule, minion_id)


def mark_unlisted(schedule: Schedule, minion_id: str) -> None:
    """Mark a minion as removed from the platform's list; it may still be running."""
    minion = schedule.minions.get(minion_id)
    if minion is None:
        return
    minion.listed = False
    schedule.log_event("minion_unlisted", minion=minion_id, runs=len(minion.runs))
    if minion.failures and is_certainly_empty(schedule, minion):
        drop_unreachable(schedule, minion, "left the list")


def _track_incarnation(schedule: Schedule, info: MinionInfo) -> Minion:
    """Start tracking a new incarnation, which has no state of earlier ones."""
    now_ms = schedule.now_ms
    minion = Minion(info, idle_ms=now_ms, listed_ms=now_ms)
    schedule.minions[info.minion_id] = minion
    schedule.emit(StartPolling(info.minion_id, info.born_ms))
    delayed_starts.stop_on_incarnation(schedule, info.incarnation)
    return minion


def _handle_other_incarnation_listed(
    schedule: Schedule, minion: Minion, info: MinionInfo
) -> None:
    """Process an entry for another incarnation of a known minion.

    A later start time means a newer incarnation. An earlier one is either a delayed
    entry or a newer incarnation of a minion whose clock was set back. If the listed
    incarnation answers a poll, it replaces the known one. If polls fail, the entry is
    used once nothing can run on the known incarnation any more.
    """
    if schedule.is_over(info.incarnation):
        return
    if info.born_ms > minion.info.born_ms:
        replace_incarnation(schedule, minion, info, listed_now=True)
        return
    schedule.log_event(
        "minion_entry_older",
        minion=info.minion_id,
        born_ms=info.born_ms,
        known_born_ms=minion.info.born_ms,
    )
    minion.older_entry = info
    if minion.failures and is_certainly_empty(schedule, minion):
        drop_unreachable(
            schedule, minion, "an older incarnation is listed, and it does not answer"
        )


def switch_to_answering_incarnation(
    schedule: Schedule, minion: Minion, incarnation: Incarnation
) -> None:
    """Switch to the incarnation that answered a poll meant for the known one.

    Polls of a minion are made one at a time, so the answer shows its current state.
    """
    other = minion.older_entry
    if other is not None and other.incarnation == incarnation:
        replace_incarnation(schedule, minion, other, listed_now=True)
        return
    info = replace(minion.info, born_ms=incarnation.born_ms)
    # Its capacity and pool may differ, so it gets no work until its entry arrives.
    replace_incarnation(schedule, minion, info, listed_now=False)


def _may_exist_on_next_incarnation(schedule: Schedule, run: Run) -> bool:
    """Return whether a run may exist on the next incarnation of its minion.

    A run that the previous incarnation reported ended with it, unless a copy of its
    start, or of an earlier start of the task on that minion, is still in transit.
    """
    if not run.confirmed or run.start_repeated:
        return True
    starts = schedule.stray_starts.get(run.minion_id, {})
    return any(
        task == run.task and schedule.now_ms < delayed.until_ms
        for (task, _), delayed in starts.items()
    )


def replace_incarnation(
    schedule: Schedule, minion: Minion, info: MinionInfo, listed_now: bool
) -> None:
    """End an incarnation that was replaced by the next one under the same minion id.

    Runs that the old incarnation reported are lost and are requeued at once. Runs that
    it did not report may be running on the next incarnation or begin there later, as an
    order sent during the restart reaches the new incarnation. These runs are stopped
    there, and keep their resources until the new incarnation has answered the stop and
    a poll.
    """
    crashes.record_incarnation_end(schedule, minion, STARTED_AGAIN)
    unresolved = [
        run
        for run in minion.runs.values()
        if _may_exist_on_next_incarnation(schedule, run)
    ]
    for run in unresolved:
        del minion.runs[run.key]
        remember_delayed_start(schedule, run)
    schedule.log_event(
        "minion_started_again",
        minion=minion.minion_id,
        born_ms=info.born_ms,
        before_born_ms=minion.info.born_ms,
        runs=len(minion.runs),
        doubtful=len(unresolved),
    )
    minion.older_entry = None
    end_incarnation(schedule, minion, STARTED_AGAIN)
    next_minion = _track_incarnation(schedule, info)
    next_minion.listed = listed_now
    if listed_now:
        _update_warm_time(schedule, next_minion)
    next_minion.worker_id = minion.worker_id
    # A maintenance wave or a move of the worker goes on, unless the new incarnation is
    # already in another pool.
    next_minion.cordoned = minion.cordoned and info.pool == minion.info.pool
    longest_ms = longest_lease_ms(schedule.bounds)
    next_minion.stray_lease_ms = schedule.now_ms + longest_ms + const.LEASE_MARGIN_MS
    for run in unresolved:
        _carry_over_run(schedule, next_minion, run)
    if unresolved and schedule.stores_starts_on(next_minion):
        schedule.emit(StoreRuns(next_minion.minion_id))
    if info.pool not in schedule.config.pools:
        handle_listed(schedule, info)


def _carry_over_run(schedule: Schedule, next_minion: Minion, run: Run) -> None:
    """Assign a run to the next incarnation, to which its stop was just sent."""
    next_minion.runs[run.key] = run
    run.born_ms = next_minion.info.born_ms
    run.may_be_on_new_incarnation = True
    next_minion.used = next_minion.used.plus(run.unit.spec.charge)
    run.confirmed = False
    run.phase = RunPhase.STOPPING
    run.stop_reason = STARTED_AGAIN
    run.stop_sent_ms = schedule.now_ms
    run.stop_answered_ms = None


def current_minion(schedule: Schedule, incarnation: Incarnation) -> Minion | None:
    """Return a minion if the given incarnation may be its current one."""
    minion = schedule.minions.get(incarnation.minion_id)
    if minion is None or not minion.info.incarnation.may_equal(incarnation):
        return None
    return minion


def is_answer_of_current_incarnation(minion: Minion, incarnation: Incarnation) -> bool:
    """Return whether an answer is from the current incarnation.

    Sets the start time of the incarnation if it was unknown.
    """
    if not minion.info.incarnation.may_equal(incarnation):
        return False
    if not minion.info.born_ms:
        minion.info = replace(minion.info, born_ms=incarnation.born_ms)
    return True


def is_certainly_empty(schedule: Schedule, minion: Minion) -> bool:
    """Return whether an unresponsive minion certainly has no runs or unlisted ends.

    Until its first report to this owner it may have runs of an earlier owner.
    """
    if minion.runs:
        return False
    if not schedule.may_have_earlier_runs(minion):
        return True
    return not minion.synced and schedule.now_ms >= schedule.old_leases_end_ms


def end_incarnation(schedule: Schedule, minion: Minion, reason: str) -> None:
    """End an incarnation that is known to be over; its later entries are ignored."""
    schedule.ended_incarnations.setdefault(minion.minion_id, set()).add(
        minion.info.incarnation
    )
    _stop_tracking(schedule, minion, reason, may_return=False)


def drop_unreachable(schedule: Schedule, minion: Minion, reason: str) -> None:
    """Drop an incarnation that does not answer, and whose runs have stopped.

    It may have ended or be out of reach. If its entry is listed again, it is tracked
    like a new one.
    """
    if is_certainly_empty(schedule, minion):
        schedule.empty_incarnations.add(minion.info.incarnation)
    _stop_tracking(schedule, minion, reason, may_return=True)


def _stop_tracking(
    schedule: Schedule, minion: Minion, reason: str, may_return: bool
) -> None:
    _log_incarnation_ended(schedule, minion, reason, may_return)
    crashes.record_incarnation_end(schedule, minion, reason)
    for run in list(minion.runs.values()):
        lost_with_minion(schedule, run, reason)
    schedule.minions.pop(minion.minion_id, None)
    schedule.unconfirmed_minions.pop(minion.minion_id, None)
    schedule.partly_reported.discard(minion.minion_id)
    schedule.dirty_pools.add(minion.info.pool)
    schedule.emit(StopPolling(minion.minion_id))
    if minion.older_entry is not None:
        # The entry is from a minion whose clock was set back, or it was delayed and
        # its incarnation has ended. Polls of that incarnation show which.
        handle_listed(schedule, minion.older_entry)


def _log_incarnation_ended(
    schedule: Schedule, minion: Minion, reason: str, may_return: bool
) -> None:
    """Log the end of an incarnation, or that it is dropped, and what was lost with it.

    The tasks are included because the lines about single runs are the first to be
    dropped when many incarnations end at once.
    """
    runs = list(minion.runs.values())
    schedule.log_event(
        "minion_dead",
        minion=minion.minion_id,
        born_ms=minion.info.born_ms,
        pool=minion.info.pool,
        zone=minion.info.zone,
        rack=minion.info.rack,
        reason=reason,
        may_return=may_return,
        seen_age_ms=schedule.now_ms - minion.seen_ms,
        draining=minion.info.draining,
        runs=len(runs),
        jobs=len({run.unit.job.job_id for run in runs}),
        tasks=[run.task for run in runs[: const.NAMED_TASKS]],
    )
