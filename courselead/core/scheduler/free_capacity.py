"""Free capacity outside of the evacuated zones, for tasks that are moved there."""

from __future__ import annotations

from courselead.core.scheduler.doubt import UnseenTasks, find_unseen_tasks
from courselead.core.scheduler.isolation import Isolation
from courselead.core.scheduler.minion_filters import eligible_minions
from courselead.core.scheduler.models import Resources
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, RunPhase, StepRun, Unit


class PoolCapacities:
    """Free capacity by pool, each collected when it is first needed."""

    def __init__(self, schedule: Schedule) -> None:
        """Initialize without any pool."""
        self._schedule = schedule
        self._isolation = Isolation.create(schedule)
        self._pools: dict[str, FreeCapacity] = {}

    def free_capacity_for(self, unit: Unit) -> FreeCapacity:
        """Return the free capacity of a unit's pool."""
        pool = unit.job.pool
        if pool not in self._pools:
            self._pools[pool] = FreeCapacity(self._schedule, pool, self._isolation)
        return self._pools[pool]


class FreeCapacity:
    """Free capacity of a pool's minions outside of the evacuated zones.

    What is reserved for one task is not free for the next one.
    """

    def __init__(
        self, schedule: Schedule, pool: str, isolation: Isolation | None
    ) -> None:
        """Reserve capacity for tasks that were stopped before or wait to be started."""
        self._isolation = isolation
        self._minions = eligible_minions(schedule, pool)
        self._free = {item.minion_id: item.free_capacity for item in self._minions}
        self._reserved_of_step: dict[tuple[int, str], int] = {}
        # Ids of steps whose tasks fit on no minion any more.
        self._full_steps: set[int] = set()
        self._unseen: UnseenTasks = find_unseen_tasks(schedule)
        for minion in schedule.minions.values():
            for run in minion.runs.values():
                if run.phase is not RunPhase.STOPPING or run.unit.is_over:
                    continue
                if run.unit.job.pool == pool:
                    self.reserve(run.unit)
        for unit in schedule.ready.get(pool, ()):
            if unit.spec.long_running and not unit.is_over and not unit.runs:
                self.reserve(unit)

    def may_have_room_for(self, unit: Unit) -> bool:
        """Return whether a unit may start now and its step is not known to be full."""
        return id(unit.step) not in self._full_steps and not self._unseen.blocks(unit)

    def reserve(self, unit: Unit) -> bool:
        """Reserve capacity for a task, and return whether there is enough."""
        if not self.may_have_room_for(unit):
            return False
        minions = self._minions
        if self._isolation is not None:
            minions = self._isolation.allowed_minions(unit, minions)
        spec = unit.spec
        for minion in minions:
            if not spec.charge.fits(self._free[minion.minion_id]):
                continue
            if spec.required_label and spec.required_label not in minion.info.labels:
                continue
            if spec.max_per_minion:
                count = self._count_of_step(unit.step, minion)
                if count >= spec.max_per_minion:
                    continue
            self._take(unit.step, minion, spec.charge)
            return True
        if not unit.crashes:
            # Suspects are kept from minions that other tasks of the step may use.
            self._full_steps.add(id(unit.step))
        return False

    def _take(self, step: StepRun, minion: Minion, charge: Resources) -> None:
        minion_id = minion.minion_id
        self._free[minion_id] = self._free[minion_id].minus(charge)
        key = (id(step), minion_id)
        self._reserved_of_step[key] = self._reserved_of_step.get(key, 0) + 1

    def _count_of_step(self, step: StepRun, minion: Minion) -> int:
        reserved = self._reserved_of_step.get((id(step), minion.minion_id), 0)
        return reserved + minion.step_count(step)
