"""Finds causes for the loss of a minion other than the tasks that ran on it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from courselead.core.scheduler import const
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import LostIncarnation


def is_explained(schedule: Schedule, lost: LostIncarnation) -> bool:
    """Return whether a loss has a likely cause other than the tasks on the minion.

    The cause is either the loss of the whole rack or availability zone at the same
    time, or a worker that has lost minions before without these jobs. Losses with
    suspects of their own are ignored, because several tasks that crash their minions
    look like a power failure.
    """
    others = [
        other
        for other in schedule.lost_incarnations
        if other.incarnation != lost.incarnation and not other.job_ids & lost.job_ids
        if not other.had_suspects
    ]
    on_any_worker = [other.job_ids for other in others]
    on_worker = [other.job_ids for other in others if other.place == lost.place]
    if is_unsteady(on_worker, on_any_worker, lost.job_ids):
        return True
    simultaneous = [
        other
        for other in others
        if abs(other.at_ms - lost.at_ms) <= const.CRASH_SETTLE_MS
    ]
    # Lost minions may have restarted by now and are not counted as survivors.
    before_ms = lost.at_ms - const.CRASH_SETTLE_MS
    survivors = [
        item.info
        for item in schedule.minions.values()
        if not item.failures and item.listed_ms < before_ms
    ]
    for area in ("rack", "zone"):
        name = getattr(lost, area)
        lost_count = sum(getattr(other, area) == name for other in simultaneous)
        has_survivor = any(getattr(info, area) == name for info in survivors)
        if name and not has_survivor and lost_count >= const.LEAST_LOST_AT_ONCE:
            return True
    return False


def is_unsteady(
    lost_on_worker: Sequence[frozenset[str]],
    lost_on_any_worker: Sequence[frozenset[str]],
    job_ids: frozenset[str],
) -> bool:
    """Return whether a worker loses minions without these jobs more than others do.

    The share of all losses matters because a series of crashing tasks causes losses on
    every worker.

    Args:
        lost_on_worker: The jobs on each minion that the worker recently lost.
        lost_on_any_worker: The same for all workers.
        job_ids: Jobs whose losses are ignored.
    """
    count = _count_without_jobs(lost_on_worker, job_ids)
    if count < const.UNSTEADY_INCARNATIONS:
        return False
    return const.UNSTEADY_SHARE_DIVISOR * count >= _count_without_jobs(
        lost_on_any_worker, job_ids
    )


def _count_without_jobs(lost: Sequence[frozenset[str]], job_ids: frozenset[str]) -> int:
    return sum(not aboard & job_ids for aboard in lost)


def risky_queues(schedule: Schedule) -> set[str]:
    """Return the queues with recent starts on several minions that were lost lately."""
    oldest_ms = schedule.now_ms - const.RISKY_MS
    counts: Counter[str] = Counter()
    for lost in reversed(schedule.lost_incarnations):
        if lost.at_ms < oldest_ms:
            break
        counts.update(lost.fresh_queues)
    return {
        queue for queue, count in counts.items() if count >= const.RISKY_INCARNATIONS
    }
