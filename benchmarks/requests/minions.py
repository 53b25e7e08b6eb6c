"""Minions as plain servers with slots."""

from dataclasses import dataclass, field
from random import Random

SLOTS = 8
FAIL_MS = 2


@dataclass(slots=True)
class Minion:
    """One minion, and how many sends of all hosts are on it.

    Attributes:
        slow: Factor on its service times.
        failing: Whether it answers everything with an error at once.
        running: Requests that take a slot.
        outstanding: Sends of all hosts not yet answered.
        over_ms: Time for which more than its slots were outstanding.
    """

    worker: str
    zone: str
    slow: float = 1.0
    failing: bool = False
    running: int = 0
    outstanding: int = 0
    most: int = 0
    over_ms: int = 0
    refused: int = 0
    _since_ms: int = 0
    _rng: Random = field(default_factory=Random)

    def service_ms(self, mean_ms: float) -> int:
        """Draw a service time: lognormal, its median at 0.88 of the mean."""
        drawn = self._rng.lognormvariate(0, 0.5) / 1.133
        return max(1, round(mean_ms * self.slow * drawn))

    def seed(self, text: str) -> None:
        """Make its service times its own."""
        self._rng.seed(text)

    def count(self, change: int, now_ms: int, from_ms: int) -> None:
        """Count a send that began or ended."""
        if self.outstanding > SLOTS and now_ms > from_ms:
            self.over_ms += now_ms - max(self._since_ms, from_ms)
        self._since_ms = now_ms
        self.outstanding += change
        if now_ms > from_ms:
            self.most = max(self.most, self.outstanding)
