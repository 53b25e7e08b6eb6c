"""The availability budget of a pool: what may be out at once."""

import math

from courselead.core.fleet.state import FleetState, PoolCount, WorkerState
from courselead.core.table import ServiceRow

_NONE = PoolCount()


def allowed_out(row: ServiceRow) -> int:
    """Return how many workers of the pool may be out at once."""
    return math.floor(row.availability_budget * row.workers)


def floor_of(row: ServiceRow) -> int:
    """Return how many workers must serve after a planned stop."""
    return row.workers - allowed_out(row)


def spare(fleet: FleetState, pool: str) -> int:
    """Return how many serving workers of a pool may be stopped now.

    A pool whose row was removed may be released freely.
    """
    serving = fleet.pools.get(pool, _NONE).serving
    row = fleet.table.services.get(pool)
    if row is None:
        return serving
    return max(0, serving - floor_of(row))


def may_stop(fleet: FleetState, worker: WorkerState) -> bool:
    """Return whether the budget lets a serving worker be stopped now."""
    return spare(fleet, worker.pool) >= 1
