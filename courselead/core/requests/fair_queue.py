"""Start-time fair queueing (SFQ) among children with different weights."""

from bisect import bisect_left
from dataclasses import dataclass, field

from immutables import Map


@dataclass(frozen=True, slots=True)
class FairQueue:
    """Persistent SFQ scheduler: active children ordered by virtual start tag.

    A child that becomes inactive (no work, or no free unit) returns with the current
    virtual time as its earliest start tag. It neither accumulates credit while
    inactive nor loses the credit it had.

    Attributes:
        virtual_time: Start tag of the child served last.
        tags: Start tag of an active child, finish tag of an inactive one.
        ready: Active children as (start tag, name) in ascending order.
    """

    virtual_time: int = 0
    tags: Map[str, int] = field(default_factory=Map)
    ready: tuple[tuple[int, str], ...] = ()

    def __contains__(self, name: str) -> bool:
        """Return whether a child is active."""
        return self._position(name) >= 0

    @property
    def first(self) -> str:
        """Return the child to serve next; at least one must be active."""
        return self.ready[0][1]

    def activate(self, name: str) -> "FairQueue":
        """Return the scheduler with a child activated."""
        if self._position(name) >= 0:
            return self
        tag = max(self.virtual_time, self.tags.get(name, 0))
        ready = _insert(self.ready, (tag, name))
        return FairQueue(self.virtual_time, self.tags.set(name, tag), ready)

    def deactivate(self, name: str) -> "FairQueue":
        """Return the scheduler with a child deactivated."""
        position = self._position(name)
        if position < 0:
            return self
        ready = self.ready[:position] + self.ready[position + 1 :]
        return FairQueue(self.virtual_time, self.tags, ready)

    def charge(self, name: str, cost: int) -> "FairQueue":
        """Return the scheduler after serving an active child once at a cost."""
        position = self._position(name)
        if position < 0:
            return self
        start = self.ready[position][0]
        rest = self.ready[:position] + self.ready[position + 1 :]
        tag = start + cost
        ready = _insert(rest, (tag, name))
        return FairQueue(max(self.virtual_time, start), self.tags.set(name, tag), ready)

    def _position(self, name: str) -> int:
        tag = self.tags.get(name)
        if tag is None or not self.ready:
            return -1
        position = bisect_left(self.ready, (tag, name))
        if position == len(self.ready) or self.ready[position][1] != name:
            return -1
        return position


def _insert(
    ready: tuple[tuple[int, str], ...], entry: tuple[int, str]
) -> tuple[tuple[int, str], ...]:
    """Return the ordered entries with another entry inserted."""
    if not ready:
        return (entry,)
    position = bisect_left(ready, entry)
    return (*ready[:position], entry, *ready[position:])
