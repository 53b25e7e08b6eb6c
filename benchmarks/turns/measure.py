"""Shares of jobs that a run served in time."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from benchmarks.turns.fleet import JobResult

WINDOW_MS = 2_000
MIN_JOBS = 5
"""Windows with fewer jobs are ignored."""

WORTH_PER_JOB = 0.3
WORTH_BY_WORK = 0.7
"""Worth of a job: a constant, plus a part proportional to its work relative to the mean
of its queue."""


def in_time_share(jobs: Sequence[JobResult]) -> float:
    """Return the share of the worth of jobs that met their objective."""
    if not jobs:
        return 1.0
    means = _mean_works(jobs)
    total = earned = 0.0
    for job in jobs:
        worth = WORTH_PER_JOB + WORTH_BY_WORK * job.work / means[job.queue]
        total += worth
        earned += worth * (job.late_ms <= 0)
    return earned / total


def worst_windows_share(jobs: Iterable[JobResult], count: int) -> float:
    """Return the mean in-time share of the worst windows."""
    windows: dict[int, list[JobResult]] = defaultdict(list)
    for job in jobs:
        windows[job.at_ms // WINDOW_MS].append(job)
    shares = []
    for grouped in windows.values():
        if len(grouped) >= MIN_JOBS:
            shares.append(in_time_share(grouped))
    return sum(sorted(shares)[:count]) / count


def _mean_works(jobs: Sequence[JobResult]) -> dict[str, float]:
    works: dict[str, list[int]] = defaultdict(list)
    for job in jobs:
        works[job.queue].append(job.work)
    return {queue: sum(grouped) / len(grouped) for queue, grouped in works.items()}
