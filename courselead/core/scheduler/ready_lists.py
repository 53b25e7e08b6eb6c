"""The ready lists: units by pool that wait for a place.

A unit is on one list at most, also while its queue moves to another pool. On two lists
it could be started twice in one round. Adding and removing a unit takes constant time,
since a job may have thousands of units.
"""

from __future__ import annotations

from collections.abc import Iterable

from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Unit


def add(schedule: Schedule, unit: Unit) -> None:
    """Put a unit on the list of its pool; one that is there keeps its place."""
    pool = unit.job.pool
    if unit.ready_pool != pool:
        remove(schedule, unit)
        unit.ready_pool = pool
        unit.ready_ms = schedule.now_ms
        schedule.ready.setdefault(pool, {})[unit] = None
    schedule.dirty_pools.add(pool)


def remove(schedule: Schedule, unit: Unit) -> None:
    """Take a unit off its list, if it is on one."""
    if unit.ready_pool is None:
        return
    schedule.ready[unit.ready_pool].pop(unit, None)
    unit.ready_pool = None


def move(schedule: Schedule, unit: Unit) -> None:
    """Put a unit on the list of the pool that its queue has now.

    It has waited since it was put on the list of the former pool.
    """
    ready_ms = unit.ready_ms
    add(schedule, unit)
    unit.ready_ms = ready_ms


def reorder(schedule: Schedule, pool: str, units: Iterable[Unit]) -> None:
    """Put units of a pool's list first, in this order."""
    schedule.ready[pool] = dict.fromkeys(units) | schedule.ready[pool]
