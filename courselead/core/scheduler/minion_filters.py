"""Filters on minions: where a round may start tasks at all, and where a unit fits.

Filters take and return lists, since a function call for each minion would noticeably
slow down a placement round.
"""

from __future__ import annotations

from collections.abc import Callable

from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.selection import Selection
from courselead.core.scheduler.state import Minion

PoolFilter = Callable[[Schedule, list[Minion]], list[Minion]]


def eligible_minions(schedule: Schedule, pool: str) -> list[Minion]:
    """Return the minions of a pool on which tasks may be started now."""
    minions = [item for item in schedule.minions.values() if item.info.pool == pool]
    for keep in POOL_FILTERS:
        minions = keep(schedule, minions)
    return minions


def fitting_minions(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Return the minions on which one more task of a unit fits."""
    minions = with_room(selection, minions)
    spec = selection.spec
    if spec.required_label:
        minions = with_label(selection, minions)
    if spec.max_per_minion:
        minions = below_step_limit(selection, minions)
    return minions


def in_open_zones(schedule: Schedule, minions: list[Minion]) -> list[Minion]:
    """Keep the minions of the zones in which tasks may be started."""
    zones = {item.info.zone for item in minions}
    closed_zones = [zone for zone in zones if not schedule.may_start_in(zone)]
    if not closed_zones:
        return minions
    return [item for item in minions if item.info.zone not in closed_zones]


def in_service(schedule: Schedule, minions: list[Minion]) -> list[Minion]:
    """Keep the listed minions that nobody is taking out of service."""
    return [
        item
        for item in minions
        if item.listed and not item.cordoned and not item.info.draining
    ]


def responsive(schedule: Schedule, minions: list[Minion]) -> list[Minion]:
    """Keep the minions that answer this owner and do not pause after a refusal."""
    now_ms = schedule.now_ms
    return [
        item
        for item in minions
        if item.synced
        and not item.failures
        and now_ms >= item.rest_until_ms
        and not item.is_unresponsive(now_ms)
    ]


def with_storable_starts(schedule: Schedule, minions: list[Minion]) -> list[Minion]:
    """Keep the minions whose starts need not be stored first, or can be stored.

    A start is stored as part of a record of all that may run on its minion, which is
    not known until the minion has listed all of its run ends.
    """
    if schedule.log_accepts_records and not schedule.partly_reported:
        return minions
    return [
        item
        for item in minions
        if not schedule.stores_starts_on(item)
        or (schedule.log_accepts_records and schedule.has_reported_all(item))
    ]


POOL_FILTERS: tuple[PoolFilter, ...] = (
    in_open_zones,
    in_service,
    responsive,
    with_storable_starts,
)
"""Filters that hold for all units of a pool, applied once in a round.

The filter by zone comes first, as an evacuation may remove most minions.
"""


def with_room(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Keep the minions with free resources for a task."""
    fits = selection.spec.charge.fits
    if selection.reserved:
        return [item for item in minions if fits(selection.free_capacity(item))]
    return [item for item in minions if fits(item.free_capacity)]


def with_label(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Keep the minions with the label that the step requires."""
    label = selection.spec.required_label
    return [item for item in minions if label in item.info.labels]


def below_step_limit(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Keep the minions that may run another task of the step."""
    limit = selection.spec.max_per_minion
    return [item for item in minions if selection.step_count(item) < limit]
