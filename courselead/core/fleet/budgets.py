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


def serving_count(
    fleet: FleetState, pool: str, *, include_evacuated: bool = False
) -> int:
    """Return how many serving workers of a pool count for its budget.

    Workers in evacuated zones are unavailable, so they do not count when a worker
    outside is stopped. They count when one of them is stopped, since the pool needs
    enough workers once the zones are restored.
    """
    if include_evacuated or not fleet.evacuations:
        return pool_count(fleet, pool).serving
    return len(usable_workers(fleet, pool))


def spare(fleet: FleetState, pool: str, *, include_evacuated: bool = False) -> int:
    """Return how many serving workers of a pool may be stopped now.

    All workers of a pool may be stopped once its service row has been removed.

    Args:
        fleet: Shared state.
        pool: Name of the pool.
        include_evacuated: Whether workers in evacuated zones count, as for stops
            of such workers; see `serving_count`.
    """
    row = fleet.table.services.get(pool)
    if row is None:
        return pool_count(fleet, pool).serving
    serving = serving_count(fleet, pool, include_evacuated=include_evacuated)
    return max(0, serving - min_serving_workers(row))


def spare_for(fleet: FleetState, worker: WorkerState) -> int:
    """Return the budget of a worker's pool for stops of workers such as this one.

    It differs between workers inside and outside evacuated zones.
    """
    return spare(fleet, worker.pool, include_evacuated=is_evacuated(fleet, worker))


def can_stop_worker(fleet: FleetState, worker: WorkerState) -> bool:
    """Return whether the budget allows stopping a serving worker now."""
    return spare_for(fleet, worker) >= 1
