"""Inputs to the selection of minions for a unit, and what is reserved for its gang."""

from __future__ import annotations

from courselead.core.scheduler.isolation import Isolation
from courselead.core.scheduler.models import Resources
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Unit


class Selection:
    """One unit for which minions are selected.

    Attributes:
        spec: The step of the unit.
        isolation: The running suspects, None if there is nothing to keep apart.
        warming_up: Ids of the minions that still run tasks slowly after their start.
        reserved: Number of earlier tasks of the unit's gang by minion, None if there
            are none.
    """

    __slots__ = ("schedule", "unit", "spec", "isolation", "warming_up", "reserved")

    def __init__(
        self,
        schedule: Schedule,
        unit: Unit,
        isolation: Isolation | None,
        warming_up: frozenset[str],
    ) -> None:
        """Start with nothing reserved."""
        self.schedule = schedule
        self.unit = unit
        self.spec = unit.step.spec
        self.isolation = isolation
        self.warming_up = warming_up
        self.reserved: dict[str, int] | None = None

    def warm(self, minions: list[Minion]) -> list[Minion]:
        """Return the minions that are not warming up."""
        if not self.warming_up:
            return minions
        return [item for item in minions if item.minion_id not in self.warming_up]

    def reserve(self, minion: Minion) -> None:
        """Reserve the resources of one task on a minion."""
        if self.reserved is None:
            self.reserved = {}
        count = self.reserved.get(minion.minion_id, 0)
        self.reserved[minion.minion_id] = count + 1

    def free_capacity(self, minion: Minion) -> Resources:
        """Return a minion's free resources without what is reserved."""
        count = self._reserved_on(minion)
        if not count:
            return minion.free_capacity
        return minion.free_capacity.minus(self.spec.charge.times(count))

    def step_count(self, minion: Minion) -> int:
        """Return how many tasks of the step a minion has, with those reserved."""
        return minion.step_count(self.unit.step) + self._reserved_on(minion)

    def _reserved_on(self, minion: Minion) -> int:
        if self.reserved is None:
            return 0
        return self.reserved.get(minion.minion_id, 0)
