"""What explains that a minion's life was lost, beside the tasks that ran there."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from courselead.core.scheduler import const
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import LostLife


def is_explained(schedule: Schedule, lost: LostLife) -> bool:
    """Return whether something else speaks for a life's end than what ran there.

    Either all of its rack or zone was lost at the same moment, or its worker has lost
    lives without these jobs before. Lives that were lost with suspects of their own say
    nothing: several tasks that crash their minions look like a loss of power.
    """
    others = [
        other
        for other in schedule.lost_lives
        if other.life != lost.life and not other.job_ids & lost.job_ids
        if not other.had_suspects
    ]
    anywhere = [other.job_ids for other in others]
    there = [other.job_ids for other in others if other.place == lost.place]
    if is_unsteady(there, anywhere, lost.job_ids):
        return True
    at_once = [
        other
        for other in others
        if abs(other.at_ms - lost.at_ms) <= const.CRASH_SETTLE_MS
    ]
    # Those that were lost may be back by now, as new lives.
    before_ms = lost.at_ms - const.CRASH_SETTLE_MS
    left = [
        item.info
        for item in schedule.minions.values()
        if not item.failures and item.listed_ms < before_ms
    ]
    for area in ("rack", "zone"):
        name = getattr(lost, area)
        gone = sum(getattr(other, area) == name for other in at_once)
        kept = any(getattr(info, area) == name for info in left)
        if name and not kept and gone >= const.LEAST_LOST_AT_ONCE:
            return True
    return False


def is_unsteady(
    lost_there: Sequence[frozenset[str]],
    lost_anywhere: Sequence[frozenset[str]],
    job_ids: frozenset[str],
) -> bool:
    """Return whether a worker loses lives without these jobs, and others hardly do.

    Tasks that crash their minions one after the other leave no worker out.

    Args:
        lost_there: The jobs on each life that it has lost of late.
        lost_anywhere: The same of all workers.
        job_ids: Those that don't count.
    """
    count = _without(lost_there, job_ids)
    if count < const.UNSTEADY_LIVES:
        return False
    return const.UNSTEADY_PART * count >= _without(lost_anywhere, job_ids)


def _without(lost: Sequence[frozenset[str]], job_ids: frozenset[str]) -> int:
    return sum(not aboard & job_ids for aboard in lost)


def risky_queues(schedule: Schedule) -> set[str]:
    """Return the queues whose fresh starts were on several lives lost of late."""
    oldest_ms = schedule.now_ms - const.RISKY_MS
    counts: Counter[str] = Counter()
    for lost in reversed(schedule.lost_lives):
        if lost.at_ms < oldest_ms:
            break
        counts.update(lost.fresh_queues)
    return {queue for queue, count in counts.items() if count >= const.RISKY_LIVES}
