"""Moves tasks out of zones that have been evacuated for some time.

Finite tasks run to their end where they are. Long-running tasks and checkpointed ones
are stopped within their budgets while there is free capacity outside, and start again
there. Nothing is moved back when a zone returns.
"""

from __future__ import annotations

from collections.abc import Iterable

from courselead.core.scheduler import caps, const, lives
from courselead.core.scheduler.doubt import UnseenTasks, find_unseen_tasks
from courselead.core.scheduler.isolation import Isolation
from courselead.core.scheduler.minion_filters import eligible_minions
from courselead.core.scheduler.models import NOTHING, Resources
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, RunPhase, StepRun, Unit

MOVE_AFTER_MS = 10_000
"""Time after which tasks are moved out of an evacuated zone.

A move costs a long-running task about a second of work, which a shorter evacuation does
not justify.
"""


def is_due(schedule: Schedule, zone: str) -> bool:
    """Return whether the tasks of a zone are to be moved out of it."""
    since_ms = schedule.evacuated_zones.get(zone)
    return since_ms is not None and schedule.now_ms - since_ms >= MOVE_AFTER_MS


def tick(schedule: Schedule) -> None:
    """Stop the runs that may be moved out of evacuated zones now."""
    if not any(is_due(schedule, zone) for zone in schedule.evacuated_zones):
        return
    if schedule.log_is_silent or schedule.lease_left_ms < const.LEAST_LEASE_MS:
        # Another owner may exist, or nothing may be started.
        return
    isolation = Isolation.create(schedule)
    pools: dict[str, _FreeCapacity] = {}
    # Steps of which no further task may be stopped in this tick, by their ids and by
    # whether the task works. A step may have hundreds of tasks, and each check of its
    # budget goes through all of them.
    refused: set[tuple[int, bool]] = set()
    for minion in schedule.minions.values():
        # The stop of a run on a silent minion does not arrive.
        if minion.failures or not is_due(schedule, minion.info.zone):
            continue
        for run in list(minion.runs.values()):
            key = (id(run.unit.step), run.is_working)
            if key in refused or not _is_movable(schedule, run):
                continue
            pool = schedule.pool_of(run.unit.job)
            if pool not in pools:
                pools[pool] = _FreeCapacity(schedule, pool, isolation)
            free_capacity = pools[pool]
            if not free_capacity.may_have_room_for(run.unit):
                continue
            if not schedule.may_interrupt(run):
                refused.add(key)
            elif free_capacity.reserve(run.unit):
                schedule.stop_run(run, const.ZONE_EVACUATED_REASON)


def minions_that_cannot_be_emptied(
    schedule: Schedule, minions: Iterable[Minion]
) -> list[Minion]:
    """Return the minions with long-running tasks that could not start elsewhere.

    The free capacity outside of the evacuated zones is given to the minions in order.
    """
    isolation = Isolation.create(schedule)
    pools: dict[str, _FreeCapacity] = {}
    found = []
    for minion in minions:
        for run in minion.runs.values():
            unit = run.unit
            if run.phase is RunPhase.STOPPING or not unit.spec.long_running:
                continue
            pool = schedule.pool_of(unit.job)
            if pool not in pools:
                pools[pool] = _FreeCapacity(schedule, pool, isolation)
            if not pools[pool].reserve(unit):
                found.append(minion)
                break
    return found


def _is_movable(schedule: Schedule, run: Run) -> bool:
    """Return whether a run may be moved if its step's budget and capacity allow it."""
    unit, spec = run.unit, run.unit.spec
    if run.phase is not RunPhase.RUNNING or spec.gang or unit.is_over:
        return False
    if not spec.long_running and not spec.checkpoints:
        return False
    if unit.placement_crash_count:
        # The next start of a suspect may have to wait for a minion without other tasks.
        return False
    return not _is_over_cap(schedule, unit.job.account)


def _is_over_cap(schedule: Schedule, account: str) -> bool:
    """Return whether a task of an account could not start again after a stop."""
    limit = caps.limit_of(schedule, account)
    if limit is None:
        return False
    used = schedule.account_use.get(account, NOTHING)
    used = used.plus(caps.unseen_use(schedule).get(account, NOTHING))
    pairs = zip(
        (used.cpu_milli, used.memory_mb, used.gpus),
        (limit.cpu_milli, limit.memory_mb, limit.gpus),
        strict=True,
    )
    return any(amount and use > amount for use, amount in pairs)


class _FreeCapacity:
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
        self._unseen: UnseenTasks = find_unseen_tasks(schedule, pool).with_pending(
            lives.tasks_with_pending_starts(schedule)
        )
        for minion in schedule.minions.values():
            for run in minion.runs.values():
                if run.phase is not RunPhase.STOPPING or run.unit.is_over:
                    continue
                if schedule.pool_of(run.unit.job) == pool:
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
