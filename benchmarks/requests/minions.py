"""Model of a minion: a server with a fixed number of slots."""

from dataclasses import dataclass, field
from random import Random

SLOTS = 8
FAILURE_DELAY_MS = 2


@dataclass(slots=True)
class Minion:
    """One minion and its load from all entry hosts.

    Attributes:
        slowdown: Factor applied to its service times.
        failing: Whether it answers every request with an error after
            FAILURE_DELAY_MS.
        running: Requests that occupy a slot.
        outstanding: Sends of all entry hosts that are not answered yet.
        max_outstanding: Maximum of `outstanding` after the warm-up.
        overload_ms: Time with more outstanding sends than slots.
        refused: Requests refused because all slots were occupied.
    """

    worker: str
    zone: str
    slowdown: float = 1.0
    failing: bool = False
    running: int = 0
    outstanding: int = 0
    max_outstanding: int = 0
    overload_ms: int = 0
    refused: int = 0
    _changed_ms: int = 0
    _rng: Random = field(default_factory=Random)

    def draw_service_ms(self, mean_ms: float) -> int:
        """Draw a lognormal service time whose median is 0.88 of the mean."""
        drawn = self._rng.lognormvariate(0, 0.5) / 1.133
        return max(1, round(mean_ms * self.slowdown * drawn))

    def seed_rng(self, text: str) -> None:
        """Seed the random generator of the service times."""
        self._rng.seed(text)

    def record_send(self, change: int, now_ms: int, count_from_ms: int) -> None:
        """Update the number of outstanding sends.

        Args:
            change: 1 for a send that starts, -1 for one that ends.
            now_ms: Current time.
            count_from_ms: Start of the measurement, after the warm-up.
        """
        if self.outstanding > SLOTS and now_ms > count_from_ms:
            self.overload_ms += now_ms - max(self._changed_ms, count_from_ms)
        self._changed_ms = now_ms
        self.outstanding += change
        if now_ms > count_from_ms:
            self.max_outstanding = max(self.max_outstanding, self.outstanding)
