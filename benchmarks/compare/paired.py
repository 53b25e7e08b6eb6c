"""Mean paired differences and their confidence intervals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

CONFIDENCE = 0.95
"""Confidence level of the intervals."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """A mean with its confidence interval, whose bounds are NaN below two values."""

    mean: float
    low: float
    high: float
    count: int

    @classmethod
    def from_values(cls, values: Sequence[float]) -> Estimate:
        """Return the mean of independent values with its Student's t interval."""
        mean = float(np.mean(values))
        if len(values) < 2:
            return cls(mean, float("nan"), float("nan"), len(values))
        error = float(stats.sem(values))
        if error == 0.0:
            return cls(mean, mean, mean, len(values))
        low, high = stats.t.interval(CONFIDENCE, len(values) - 1, mean, error)
        return cls(mean, float(low), float(high), len(values))

    def __str__(self) -> str:
        """Format as `+0.012 [-0.003, +0.027]`."""
        return f"{self.mean:+.3f} [{self.low:+.3f}, {self.high:+.3f}]"


def paired(base: dict[int, float], change: dict[int, float]) -> list[float]:
    """Return change minus base for the seeds that both have, ordered by seed."""
    return [change[seed] - base[seed] for seed in sorted(base.keys() & change.keys())]


def sums_by_seed(days: Sequence[dict[int, float]]) -> dict[int, float]:
    """Return the sum over the days for each seed that all days have."""
    if not days:
        return {}
    seeds = set.intersection(*(set(day) for day in days))
    return {seed: sum(day[seed] for day in days) for seed in sorted(seeds)}
