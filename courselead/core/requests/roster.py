"""Indexable set of a pool's targets that may have a free unit."""

from dataclasses import dataclass, field

from immutables import Map


@dataclass(frozen=True, slots=True)
class TargetSet:
    """Persistent set with add, drop and lookup by position in O(log n).

    Membership is a hint. Every target with a free unit is a member, except those in
    evacuated zones; a member found to have none is dropped, and added again when it
    may have one.

    Attributes:
        workers: Worker by position; positions run from 0 without gaps.
        positions: Position by worker.
    """

    workers: Map[int, str] = field(default_factory=Map)
    positions: Map[str, int] = field(default_factory=Map)

    def __len__(self) -> int:
        """Return the number of targets in the set."""
        return len(self.workers)

    def __contains__(self, worker: str) -> bool:
        """Return whether a target is in the set."""
        return worker in self.positions

    def add(self, worker: str) -> "TargetSet":
        """Return the set with a target appended; unchanged if already present."""
        if worker in self.positions:
            return self
        size = len(self.workers)
        return TargetSet(
            self.workers.set(size, worker), self.positions.set(worker, size)
        )

    def drop(self, worker: str) -> "TargetSet":
        """Return the set without a target; the last target takes its position."""
        position = self.positions.get(worker)
        if position is None:
            return self
        end = len(self.workers) - 1
        workers = self.workers
        positions = self.positions.delete(worker)
        if position != end:
            last = workers[end]
            workers = workers.set(position, last)
            positions = positions.set(last, position)
        return TargetSet(workers.delete(end), positions)
