"""Availability budget of a pool: how many workers may be unavailable at once."""

import math

from courselead.core.fleet.queries import is_evacuated, pool_count, usable_workers
from courselead.core.fleet.state import FleetState, WorkerState
from courselead.core.table import ServiceRow


def max_unavailable_workers(row: ServiceRow) -> int:
    """Return how many workers of the pool may be unavailable at the same time."""
    return math.floor(row.availability_budget * row.workers)


def min_serving_workers(row: ServiceRow) -> int:
    """Return how many workers must still be serving after a planned stop."""
    return row.workers - max_unavailable_workers(row)


def serving_count(fleet: FleetState, pool: str, *, evacuated: bool = False) -> int:
    """Return how many serving workers of a pool count for its budget.

    Workers in evacuated zones are unavailable: they do not count when a worker
    outside is stopped. With `evacuated`, they count. This is for stops of these
    workers, which must leave enough workers for the time when their zones are
    restored.
    """
    if evacuated or not fleet.evacuations:
        return pool_count(fleet, pool).serving
    return len(usable_workers(fleet, pool))


def spare(fleet: FleetState, pool: str, *, evacuated: bool = False) -> int:
    """Return how many serving workers of a pool may be stopped now.

    All workers of a pool may be stopped once its service row has been removed.

    Args:
        fleet: Shared state.
        pool: Name of the pool.
        evacuated: Whether workers in evacuated zones are to be stopped; see
            `serving_count`.
    """
    row = fleet.table.services.get(pool)
    if row is None:
        return pool_count(fleet, pool).serving
    serving = serving_count(fleet, pool, evacuated=evacuated)
    return max(0, serving - min_serving_workers(row))


def spare_beside(fleet: FleetState, worker: WorkerState) -> int:
    """Return how many workers such as this one its pool may stop now."""
    return spare(fleet, worker.pool, evacuated=is_evacuated(fleet, worker))


def can_stop_worker(fleet: FleetState, worker: WorkerState) -> bool:
    """Return whether the budget allows stopping a serving worker now."""
    return spare_beside(fleet, worker) >= 1
