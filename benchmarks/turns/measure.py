"""What a replay has served in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from benchmarks.turns.fleet import Served

WINDOW_MS = 2_000
LEAST_JOBS = 5
"""Windows with fewer jobs say nothing."""

WORTH_EACH = 0.3
WORTH_BY_WORK = 0.7
"""A job is worth so much, and so much times its work against its queue's mean."""


def in_time(jobs: Sequence[Served]) -> float:
    """Return the part of the jobs' worth that was served within its objective."""
    if not jobs:
        return 1.0
    means = _mean_works(jobs)
    owed = got = 0.0
    for job in jobs:
        worth = WORTH_EACH + WORTH_BY_WORK * job.work / means[job.queue]
        owed += worth
        got += worth * (job.late_ms <= 0)
    return got / owed


def worst_windows(jobs: Iterable[Served], count: int) -> float:
    """Return the mean share in time of the worst windows of time."""
    windows: dict[int, list[Served]] = defaultdict(list)
    for job in jobs:
        windows[job.at_ms // WINDOW_MS].append(job)
    shares = []
    for found in windows.values():
        if len(found) >= LEAST_JOBS:
            shares.append(in_time(found))
    return sum(sorted(shares)[:count]) / count


def _mean_works(jobs: Sequence[Served]) -> dict[str, float]:
    works: dict[str, list[int]] = defaultdict(list)
    for job in jobs:
        works[job.queue].append(job.work)
    return {queue: sum(found) / len(found) for queue, found in works.items()}
