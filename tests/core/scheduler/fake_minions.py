"""Fake minions of the simulated world, following the platform's protocol."""

from __future__ import annotations

from dataclasses import dataclass, field

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import Incarnation, MinionInfo, Resources

POOL = "p"

MAX_LISTED_ENDS = 500
"""Run ends in one answer to a poll, as the platform's protocol limits them."""


@dataclass
class FakeRun:
    task: str
    number: int
    started_ms: int
    length_ms: int
    long_running: bool
    gang: tuple[str, int] | None = None
    checkpoint: str = ""
    stop_at_ms: int | None = None
    # When the owner last could not reach it, or a stop of it was delayed.
    unreached_ms: int = 0
    # Run time after which the run crashes its minion.
    crash_ms: int | None = None
    # When a long-running task begins to work; None while its minion stands still.
    ready_ms: int | None = 0

    def is_at_work(self, now_ms: int) -> bool:
        """Return whether a long-running task serves its users."""
        return self.ready_ms is not None and now_ms >= self.ready_ms


@dataclass
class FakeMinion:
    """A fake minion that follows the platform's protocol."""

    minion_id: str
    worker_id: str
    capacity: Resources = Resources(4000, 4000)
    labels: tuple[str, ...] = ("a", "r1")
    zone: str = "z"
    pool: str = POOL
    slowness: float = 1.0
    fence: int = 0
    lease_ms: int = 0
    up: bool = True
    cut: bool = False
    draining: bool = False
    cold_until_ms: int = 0
    # Multiple of its usual time that a long-running task takes here to be ready.
    startup_factor: float = 1.0
    # While set, no task that is not ready yet becomes so.
    stands_still: bool = False
    fails_all: bool = False
    sequence: int = 0
    runs: dict[tuple[str, int], FakeRun] = field(default_factory=dict)
    ended: list[ev.EndReport] = field(default_factory=list)
    # When each run that is done has ended, by the number of its end.
    done_ms: dict[int, int] = field(default_factory=dict)
    # When its lease was last over.
    lapsed_ms: int = -1
    highest: dict[str, int] = field(default_factory=dict)
    clock_offset: int = 5_000
    born_ms: int = 0
    # Whether it has answered a poll.
    answers: bool = False
    capacity_before: Resources | None = None
    shrunk_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        return Incarnation(self.minion_id, self.born_ms)

    def clock(self, now_ms: int) -> int:
        return self.clock_offset + int(now_ms * self.slowness)

    def info(self) -> MinionInfo:
        return MinionInfo(
            self.minion_id,
            "",
            self.pool,
            self.zone,
            self.capacity,
            self.labels,
            self.draining,
            born_ms=self.born_ms,
        )
