"""Runs on record of earlier owners: what became of them decides what is counted."""

from __future__ import annotations

from courselead.core.scheduler import const, crashes
from courselead.core.scheduler.models import Life
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Crash, Minion, Unit

ENDED_UNSEEN = "its life ended between two owners"


def minion_synced(schedule: Schedule, minion: Minion) -> None:
    """Take the first report of a life: what it does not run is over or never began."""
    for unit in list(schedule.left_starts.values()):
        for start in list(unit.left_starts):
            if start[1].may_be(minion.info.life):
                _resolved(schedule, unit, start)


def _resolved(schedule: Schedule, unit: Unit, start: tuple[int, Life]) -> None:
    unit.left_starts.discard(start)
    if unit.left_starts:
        return
    schedule.left_starts.pop(unit.name, None)
    schedule.dirty_pools.add(schedule.pool_of(unit.job))


def tick(schedule: Schedule) -> None:
    """Count runs of earlier owners whose lives have ended unseen."""
    for unit in list(schedule.left_starts.values()):
        for start in sorted(unit.left_starts, key=lambda item: item[0]):
            number, life = start
            is_over = _is_life_over(schedule, life)
            if is_over is None:
                continue
            _resolved(schedule, unit, start)
            if not is_over or unit.is_over:
                continue
            crash = Crash(number, life, const.OUTLIVED_MOST_MS)
            crashes.blame(schedule, unit, crash, None, ENDED_UNSEEN)


def _is_life_over(schedule: Schedule, life: Life) -> bool | None:
    """Return whether a life of an earlier owner has ended, None if it is not known."""
    minion = schedule.minions.get(life.minion_id)
    doubtful = schedule.now_ms < schedule.doubt_until_ms
    if minion is not None:
        if not minion.info.life.may_be(life):
            return True
        # It is listed, and silent: cut off, as far as is known.
        return None if doubtful and not minion.synced else False
    if schedule.is_over(life):
        return True
    listed = schedule.workers_ms - schedule.claimed_ms >= const.LISTS_READ_MS
    if not doubtful or (listed and life.minion_id not in schedule.doubted_lives):
        return True
    return None
