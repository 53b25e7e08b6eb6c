"""Updates of workers together with the pool counts and the index of pools."""

from bisect import bisect_left
from dataclasses import replace

from immutables import Map

from courselead.core.fleet.state import (
    FleetState,
    PoolCount,
    WorkerPhase,
    WorkerState,
)

_EMPTY_POOL = PoolCount()


def with_worker(fleet: FleetState, worker: WorkerState) -> FleetState:
    """Return the fleet state with one worker replaced and its pools updated."""
    old = fleet.workers.get(worker.worker)
    workers = fleet.workers.set(worker.worker, worker)
    pools = fleet.pools
    serving = fleet.serving
    if old is not None and old.pool:
        is_serving = old.phase is WorkerPhase.SERVING
        pools = _adjust_pool_count(pools, old.pool, -1, -int(is_serving))
        if is_serving:
            serving = _remove_from_index(serving, old.pool, old.worker)
    if worker.pool:
        is_serving = worker.phase is WorkerPhase.SERVING
        pools = _adjust_pool_count(pools, worker.pool, 1, int(is_serving))
        if is_serving:
            serving = _add_to_index(serving, worker.pool, worker.worker)
    return replace(fleet, workers=workers, pools=pools, serving=serving)


def _adjust_pool_count(
    pools: Map[str, PoolCount], pool: str, members: int, serving: int
) -> Map[str, PoolCount]:
    """Return the pool counts with one pool adjusted; empty pools are removed."""
    count = pools.get(pool, _EMPTY_POOL)
    count = PoolCount(count.members + members, count.serving + serving)
    if count == _EMPTY_POOL:
        return pools.delete(pool)
    return pools.set(pool, count)


def _add_to_index(
    index: Map[str, tuple[str, ...]], pool: str, worker: str
) -> Map[str, tuple[str, ...]]:
    """Return the index with a worker inserted in sort order."""
    names = index.get(pool, ())
    position = bisect_left(names, worker)
    return index.set(pool, (*names[:position], worker, *names[position:]))


def _remove_from_index(
    index: Map[str, tuple[str, ...]], pool: str, worker: str
) -> Map[str, tuple[str, ...]]:
    """Return the index with a worker removed."""
    names = index[pool]
    position = bisect_left(names, worker)
    remaining = names[:position] + names[position + 1 :]
    if not remaining:
        return index.delete(pool)
    return index.set(pool, remaining)
