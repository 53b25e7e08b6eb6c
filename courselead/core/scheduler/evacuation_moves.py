"""Moves tasks out of zones that have been evacuated for some time.

Finite tasks run to their end where they are. Long-running tasks and checkpointed ones
are stopped within their budgets while there is free capacity outside, and start again
there. Nothing is moved back when a zone returns.
"""

from __future__ import annotations

from collections.abc import Iterable

from courselead.core.scheduler import budgets, caps, const
from courselead.core.scheduler.free_capacity import PoolCapacities
from courselead.core.scheduler.models import NOTHING
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Run, RunPhase

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
    pools = PoolCapacities(schedule)
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
            free_capacity = pools.free_capacity_for(run.unit)
            if not free_capacity.may_have_room_for(run.unit):
                continue
            if not budgets.may_interrupt(schedule, run):
                refused.add(key)
            elif free_capacity.reserve(run.unit):
                schedule.stop_run(run, const.ZONE_EVACUATED_REASON)


def minions_that_cannot_be_emptied(
    schedule: Schedule, minions: Iterable[Minion]
) -> list[Minion]:
    """Return the minions with long-running tasks that could not start elsewhere.

    The free capacity outside of the evacuated zones is given to the minions in order.
    """
    pools = PoolCapacities(schedule)
    found = []
    for minion in minions:
        for run in minion.runs.values():
            unit = run.unit
            if run.phase is RunPhase.STOPPING or not unit.spec.long_running:
                continue
            if not pools.free_capacity_for(unit).reserve(unit):
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
