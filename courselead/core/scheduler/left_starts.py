"""Resolves the starts that earlier owners stored.

A stored start counts as a crash if the minion's `Incarnation` has ended since.
"""

from __future__ import annotations

from courselead.core.scheduler import const, crashes
from courselead.core.scheduler.models import Incarnation
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Crash, Minion, Unit

ENDED_BETWEEN_OWNERS = "its incarnation ended between two owners"


def minion_synced(schedule: Schedule, minion: Minion) -> None:
    """Resolve the starts on a minion by its first report to this owner.

    Runs that it does not report have ended or never began.
    """
    for unit in list(schedule.stored_starts.values()):
        for start in list(unit.stored_starts):
            if start[1].may_equal(minion.info.incarnation):
                _remove_start(schedule, unit, start)


def _remove_start(
    schedule: Schedule, unit: Unit, start: tuple[int, Incarnation]
) -> None:
    unit.stored_starts.discard(start)
    if unit.stored_starts:
        return
    schedule.stored_starts.pop(unit.name, None)
    schedule.dirty_pools.add(unit.job.pool)


def tick(schedule: Schedule) -> None:
    """Count a crash for each stored start whose incarnation has ended meanwhile."""
    for unit in list(schedule.stored_starts.values()):
        for start in sorted(unit.stored_starts, key=lambda item: item[0]):
            number, incarnation = start
            has_ended = _has_incarnation_ended(schedule, incarnation)
            if has_ended is None:
                continue
            _remove_start(schedule, unit, start)
            if not has_ended or unit.is_over:
                continue
            crash = Crash(number, incarnation, const.OUTLIVED_MAX_MS)
            crashes.record_crash(schedule, unit, crash, None, ENDED_BETWEEN_OWNERS)


def _has_incarnation_ended(schedule: Schedule, incarnation: Incarnation) -> bool | None:
    """Return whether an incarnation has ended, None if that is not known."""
    minion = schedule.minions.get(incarnation.minion_id)
    is_uncertain = schedule.now_ms < schedule.old_leases_end_ms
    if minion is not None:
        if not minion.info.incarnation.may_equal(incarnation):
            return True
        # It is listed but has not reported: it may be cut off by a network partition.
        return None if is_uncertain and not minion.synced else False
    if schedule.is_over(incarnation):
        return True
    listed = schedule.workers_ms - schedule.claimed_ms >= const.LISTS_SETTLE_MS
    if not is_uncertain or (
        listed and incarnation.minion_id not in schedule.unconfirmed_minions
    ):
        return True
    return None
