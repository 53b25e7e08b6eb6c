"""Assignment of workers to pools: free workers first, then surplus workers.

A move drains a worker, so moves are planned only for deficits that no free worker
covers: there are never more moves than the sum of these deficits.
"""

from collections.abc import Callable

from courselead.core.fleet.queries import is_evacuated
from courselead.core.fleet.records import StopPlanned, WorkerAssigned
from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState
from courselead.core.operations.placement import (
    NO_EXCLUSIONS,
    PlanningExclusions,
    Spread,
    WorkersByRack,
    assign_record,
    free_workers,
    group_by_rack,
    move_record,
    pool_deficits,
    pool_spreads,
    pool_with_largest_deficit,
    take_least_represented,
)
from courselead.core.operations.reach import cut_off_zones


def assign(
    fleet: FleetState, exclusions: PlanningExclusions = NO_EXCLUSIONS
) -> list[WorkerAssigned]:
    """Return assignments of free workers, for the pool with the largest deficit first.

    Each worker is taken from the zone, then the rack, where the pool has the fewest
    workers.
    """
    available = group_by_rack(free_workers(fleet, exclusions))
    if not available:
        return []
    spreads = pool_spreads(fleet, exclusions)
    deficits = pool_deficits(fleet, spreads)
    records = []
    while deficits and available:
        pool = pool_with_largest_deficit(fleet, deficits)
        worker = take_least_represented(spreads[pool], available)
        spreads[pool].add(worker.availability_zone, worker.rack)
        _decrement_deficit(deficits, pool)
        records.append(assign_record(fleet, worker, pool))
    return records


def rebalance(
    fleet: FleetState, wall_ms: int, exclusions: PlanningExclusions = NO_EXCLUSIONS
) -> list[StopPlanned]:
    """Return the moves from pools with surplus workers to pools with a deficit.

    Expects a fleet whose free workers are already assigned. Of all surplus workers,
    the one is moved that leaves both pools most evenly spread.
    """
    spreads = pool_spreads(fleet, exclusions)
    deficits = pool_deficits(fleet, spreads)
    if not deficits:
        return []
    donors = _donor_workers(fleet, spreads, exclusions)
    records = []
    while deficits and donors:
        pool = pool_with_largest_deficit(fleet, deficits)
        worker = _take_best_donor_worker(donors, spreads, spreads[pool])
        donor = worker.pool
        _decrement_deficit(deficits, pool)
        spreads[pool].add(worker.availability_zone, worker.rack)
        records.append(move_record(fleet, worker, pool, wall_ms))
        if donor not in spreads:
            continue
        spreads[donor].add(worker.availability_zone, worker.rack, -1)
        row = fleet.table.services[donor]
        if spreads[donor].workers <= row.workers:
            donors.pop(donor, None)
    return records


def release(
    fleet: FleetState, wall_ms: int, exclusions: PlanningExclusions = NO_EXCLUSIONS
) -> list[StopPlanned]:
    """Return the stops that release workers from their pools.

    These are the workers of pools without a service row and the workers that the
    platform is reclaiming.
    """
    records = []
    for worker in _movable_workers(fleet):
        has_row = worker.pool in fleet.table.services
        if has_row and worker.worker not in exclusions.leaving:
            continue
        records.append(move_record(fleet, worker, "", wall_ms))
    return records


def _movable_workers(fleet: FleetState) -> list[WorkerState]:
    """Return the serving workers outside cut-off zones, sorted by ID."""
    cut = cut_off_zones(fleet)
    workers = []
    for worker in fleet.workers.values():
        if worker.phase is WorkerPhase.SERVING and worker.availability_zone not in cut:
            workers.append(worker)
    return sorted(workers, key=lambda item: item.worker)


def _donor_workers(
    fleet: FleetState, spreads: dict[str, Spread], exclusions: PlanningExclusions
) -> dict[str, WorkersByRack]:
    """Return the serving workers of pools with a surplus, by pool, zone and rack.

    Workers in evacuated zones are left out: no pool could use them.
    """
    pools: dict[str, list[WorkerState]] = {}
    for worker in _movable_workers(fleet):
        if worker.worker in exclusions.leaving or is_evacuated(fleet, worker):
            continue
        row = fleet.table.services.get(worker.pool)
        if row is None or spreads[worker.pool].workers > row.workers:
            pools.setdefault(worker.pool, []).append(worker)
    return {pool: group_by_rack(workers) for pool, workers in pools.items()}


def _take_best_donor_worker(
    donors: dict[str, WorkersByRack], spreads: dict[str, Spread], receiver: Spread
) -> WorkerState:
    """Remove and return the worker whose move leaves both pools most evenly spread."""
    best = None
    for donor, by_rack in donors.items():
        score = _move_scorer(spreads.get(donor, Spread()), receiver)
        for zone, racks in by_rack.items():
            for rack in racks:
                choice = (*score(zone, rack), donor, zone, rack)
                if best is None or choice < best:
                    best = choice
    assert best is not None
    donor, zone, rack = best[-3:]
    by_rack = donors[donor]
    worker = by_rack[zone][rack].pop()
    if not by_rack[zone][rack]:
        del by_rack[zone][rack]
    if not by_rack[zone]:
        del by_rack[zone]
    if not by_rack:
        del donors[donor]
    return worker


def _move_scorer(
    donor: Spread, receiver: Spread
) -> Callable[[str, str], tuple[int, int]]:
    """Return a function that scores moving a worker in a rack; lower is more even."""

    def score(zone: str, rack: str) -> tuple[int, int]:
        donor_zone, donor_rack = donor.zone_and_rack_counts(zone, rack)
        receiver_zone, receiver_rack = receiver.zone_and_rack_counts(zone, rack)
        return receiver_zone - donor_zone, receiver_rack - donor_rack

    return score


def _decrement_deficit(deficits: dict[str, int], pool: str) -> None:
    """Reduce the deficit of a pool by one worker, and remove it at zero."""
    deficits[pool] -= 1
    if not deficits[pool]:
        del deficits[pool]
