"""Virtual time and a simulated network, both driven by one seed."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

START_WALL_MS = 1_700_000_000_000
SLOW_FACTOR = 40


class Scheduler:
    """Calls functions in order of virtual time; the seed decides the order of ties."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_ms = 0
        self._heap: list[tuple] = []
        self._count = 0

    @property
    def wall_ms(self) -> int:
        """Return the simulated wall clock time."""
        return START_WALL_MS + self.now_ms

    def after(self, delay_ms: int, call: Callable, *args: object) -> None:
        """Schedule a function call after a delay."""
        self._count += 1
        entry = (self.now_ms + delay_ms, self.rng.random(), self._count, call, args)
        heapq.heappush(self._heap, entry)

    def run_until(self, end_ms: int) -> None:
        """Run all calls that are due up to a time."""
        while self._heap and self._heap[0][0] <= end_ms:
            self.now_ms, _, _, call, args = heapq.heappop(self._heap)
            call(*args)
        self.now_ms = end_ms


@dataclass(slots=True)
class Network:
    """Reachability and delays between the simulated processes.

    Attributes:
        cuts: Pairs of availability zones that cannot reach each other.
        off_platform: Entry hosts that can reach neither the log nor the
            membership list.
        platform_down: Whether no entry host can reach the log and the list.
        slow: Entry hosts whose messages are all delayed by `SLOW_FACTOR`.
        answers_to_lose: Number of further answers to lose, by entry host.
    """

    sched: Scheduler
    cuts: set[frozenset[str]] = field(default_factory=set)
    off_platform: set[str] = field(default_factory=set)
    platform_down: bool = False
    slow: set[str] = field(default_factory=set)
    answers_to_lose: dict[str, int] = field(default_factory=dict)

    def zones_connected(self, one: str, other: str) -> bool:
        """Return whether two availability zones can reach each other."""
        return frozenset((one, other)) not in self.cuts

    def reaches_platform(self, host: str) -> bool:
        """Return whether a host can reach the log and the membership list."""
        return not self.platform_down and host not in self.off_platform

    def delay_ms(self, host: str) -> int:
        """Return a random one-way delay of a message from or to a host."""
        delay = self.sched.rng.randint(1, 6)
        return delay * SLOW_FACTOR if host in self.slow else delay

    def loses(self, host: str) -> bool:
        """Return whether to lose an answer to a host, and count it."""
        left = self.answers_to_lose.get(host, 0)
        if not left:
            return False
        self.answers_to_lose[host] = left - 1
        return True
