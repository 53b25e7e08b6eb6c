"""Demand that comes by turns: when a pool's next turn is due, learned from the last."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

ONSET_FACTOR = 2
"""A turn begins when jobs arrive at this many times their usual rate: turns reach
about five times the mean, and lulls a twentieth of it."""

ONSET_JOBS = 3
"""Least jobs of a turn within the window of the rate: one large job is no turn."""

LULL_SHARE = 0.25
"""A turn is over when the rate is below this part of its peak."""

LULL_MS = 1_500
"""Time for which it must be, as a second's rate is uneven."""

USUAL_WEIGHT = 0.01
"""Weight of a tick's count in the usual count: about ten seconds of memory."""

PERIOD_LEAST_MS = 4_000
PERIOD_MOST_MS = 120_000
"""Bounds of a believable time between two turns: shorter ones are noise, and longer
ones are not worth a guess."""

GRACE_MS = 1_500
"""Time after a turn was due until the guess is given up."""


class TurnMemory(msgspec.Struct, array_like=True):
    """What a new owner needs of a pool's turns; times are since 1970."""

    onset_ms: int = 0
    period_ms: int = 0
    peak_milli: int = 0


@dataclass(slots=True)
class Turns:
    """A pool's turns, followed tick by tick."""

    memory: TurnMemory
    usual_jobs: float = 0.0
    in_turn: bool = False
    peak_milli: int = 0
    low_since_ms: int = 0

    @property
    def seen(self) -> bool:
        """Return whether the pool has had a turn."""
        return self.memory.onset_ms > 0

    def follow(self, wall_ms: int, rate_milli: int, jobs: int) -> None:
        """Take the rate of a tick, and how many jobs it is made of."""
        usual = self.usual_jobs
        self.usual_jobs += USUAL_WEIGHT * (jobs - usual)
        if not self.in_turn:
            if jobs >= max(ONSET_JOBS, ONSET_FACTOR * usual):
                self._begin(wall_ms, rate_milli)
            return
        self.peak_milli = max(self.peak_milli, rate_milli)
        if rate_milli > LULL_SHARE * self.peak_milli:
            self.low_since_ms = wall_ms
        elif wall_ms - self.low_since_ms > LULL_MS:
            self.in_turn = False
            self.memory.peak_milli = self.peak_milli

    def due_milli(self, wall_ms: int, lead_ms: int) -> int:
        """Return the rate that is due within `lead_ms`, 0 if no turn is."""
        memory = self.memory
        if self.in_turn or not memory.period_ms:
            return 0
        left_ms = memory.onset_ms + memory.period_ms - wall_ms
        if -GRACE_MS <= left_ms <= lead_ms:
            return memory.peak_milli
        return 0

    def _begin(self, wall_ms: int, rate_milli: int) -> None:
        self.in_turn = True
        self.peak_milli = rate_milli
        self.low_since_ms = wall_ms
        period_ms = wall_ms - self.memory.onset_ms
        if self.seen and PERIOD_LEAST_MS <= period_ms <= PERIOD_MOST_MS:
            self.memory.period_ms = period_ms
        self.memory.onset_ms = wall_ms
