"""Recurring bursts of demand of a pool.

The time of a pool's next burst is predicted from the interval between the last two.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

ONSET_FACTOR = 2
"""Ratio of job arrivals to their usual rate from which a burst begins.

Bursts reach about five times the mean rate, and lulls a twentieth of it.
"""

ONSET_JOBS = 3
"""Minimum jobs within the rate window for a burst: one large job is not a burst."""

LULL_SHARE = 0.25
"""Share of its peak rate below which a burst is over."""

LULL_MS = 1_500
"""Time for which the rate must stay this low, as one-second rates vary."""

USUAL_WEIGHT = 0.01
"""Weight of a tick's job count in the moving average: about ten seconds of memory."""

MIN_PERIOD_MS = 4_000
MAX_PERIOD_MS = 120_000
"""Bounds of the interval between two bursts that is used for predictions.

Shorter intervals are noise, and longer ones are not worth a prediction.
"""

MAX_PEAK_MILLI = 2**53
"""Largest peak that is stored, in thousandths of a core: records have 64-bit integers.

The needs of jobs that arrive together are not limited in sum.
"""

GRACE_MS = 1_500
"""Time after a predicted burst was due until the prediction is dropped."""


class BurstMemory(msgspec.Struct, array_like=True):
    """State of a pool's burst tracking for the next owner; times are since 1970."""

    onset_ms: int = 0
    period_ms: int = 0
    peak_milli: int = 0


@dataclass(slots=True)
class BurstTracker:
    """Detects and predicts the bursts of a pool, updated on every tick."""

    memory: BurstMemory
    usual_jobs: float = 0.0
    in_burst: bool = False
    peak_milli: int = 0
    low_since_ms: int = 0

    @property
    def seen(self) -> bool:
        """Return whether the pool has had a burst."""
        return self.memory.onset_ms > 0

    def update_rate(self, wall_ms: int, rate_milli: int, jobs: int) -> None:
        """Update with the rate of a tick and the number of jobs it is based on."""
        usual = self.usual_jobs
        self.usual_jobs += USUAL_WEIGHT * (jobs - usual)
        if not self.in_burst:
            if jobs >= max(ONSET_JOBS, ONSET_FACTOR * usual):
                self._begin(wall_ms, rate_milli)
            return
        self.peak_milli = max(self.peak_milli, rate_milli)
        if rate_milli > LULL_SHARE * self.peak_milli:
            self.low_since_ms = wall_ms
        elif wall_ms - self.low_since_ms > LULL_MS:
            self.in_burst = False
            self.memory.peak_milli = min(self.peak_milli, MAX_PEAK_MILLI)

    def due_milli(self, wall_ms: int, lead_ms: int) -> int:
        """Return the peak rate of a burst due within `lead_ms`, 0 if none is due."""
        memory = self.memory
        if self.in_burst or not memory.period_ms:
            return 0
        left_ms = memory.onset_ms + memory.period_ms - wall_ms
        if -GRACE_MS <= left_ms <= lead_ms:
            return memory.peak_milli
        return 0

    def _begin(self, wall_ms: int, rate_milli: int) -> None:
        self.in_burst = True
        self.peak_milli = rate_milli
        self.low_since_ms = wall_ms
        period_ms = wall_ms - self.memory.onset_ms
        if self.seen and MIN_PERIOD_MS <= period_ms <= MAX_PERIOD_MS:
            self.memory.period_ms = period_ms
        self.memory.onset_ms = wall_ms
