"""Workers and the counts and index of the pools they belong to."""

from bisect import bisect_left
from dataclasses import replace

from immutables import Map

from courselead.core.fleet.state import (
    FleetState,
    PoolCount,
    WorkerPhase,
    WorkerState,
)

_NONE = PoolCount()


def with_worker(fleet: FleetState, worker: WorkerState) -> FleetState:
    """Return the fleet with one worker's state set and the pools in step."""
    old = fleet.workers.get(worker.worker)
    workers = fleet.workers.set(worker.worker, worker)
    pools = fleet.pools
    serving = fleet.serving
    if old is not None and old.pool:
        serves = old.phase is WorkerPhase.SERVING
        pools = _counted(pools, old.pool, -1, -int(serves))
        if serves:
            serving = _without(serving, old.pool, old.worker)
    if worker.pool:
        serves = worker.phase is WorkerPhase.SERVING
        pools = _counted(pools, worker.pool, 1, int(serves))
        if serves:
            serving = _with(serving, worker.pool, worker.worker)
    return replace(fleet, workers=workers, pools=pools, serving=serving)


def _counted(
    pools: Map[str, PoolCount], pool: str, members: int, serving: int
) -> Map[str, PoolCount]:
    """Return the counts with one pool's changed; an empty pool has none."""
    count = pools.get(pool, _NONE)
    count = PoolCount(count.members + members, count.serving + serving)
    if count == _NONE:
        return pools.delete(pool)
    return pools.set(pool, count)


def _with(
    index: Map[str, tuple[str, ...]], pool: str, worker: str
) -> Map[str, tuple[str, ...]]:
    """Return the index with a worker added in order."""
    names = index.get(pool, ())
    place = bisect_left(names, worker)
    return index.set(pool, (*names[:place], worker, *names[place:]))


def _without(
    index: Map[str, tuple[str, ...]], pool: str, worker: str
) -> Map[str, tuple[str, ...]]:
    """Return the index without a worker."""
    names = index[pool]
    place = bisect_left(names, worker)
    rest = names[:place] + names[place + 1 :]
    if not rest:
        return index.delete(pool)
    return index.set(pool, rest)
