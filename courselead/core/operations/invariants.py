"""Invariants of the fleet operations, checked in tests and benchmarks."""

from courselead.core.fleet.budgets import min_serving_workers
from courselead.core.fleet.records import StopPlanned, StopPurpose
from courselead.core.fleet.state import AppliedRecord, FleetState, WorkerPhase
from courselead.core.operations.maintenance import STOP_PHASES
from courselead.core.operations.state import OperationsState


def find_budget_violations(
    fleet: FleetState, applied: tuple[AppliedRecord, ...]
) -> list[str]:
    """Return the pools that a stop in a batch left with too few serving workers.

    Args:
        fleet: Shared state immediately after the batch was applied.
        applied: Verdicts on the records of the batch.
    """
    found = []
    for pool in _stopped_pools(fleet, applied):
        row = fleet.table.services.get(pool)
        count = fleet.pools.get(pool)
        serving = count.serving if count else 0
        if row is not None and serving < min_serving_workers(row):
            found.append(
                f"{pool}: {serving} serving, {min_serving_workers(row)} required"
            )
    return found


def find_excess_stops(fleet: FleetState) -> list[str]:
    """Return the pools with more planned stops than budget and surplus allow.

    Lost workers are not counted, because a loss after a stop is not a planning
    error.
    """
    out: dict[str, int] = {}
    for worker in fleet.workers.values():
        if worker.phase in STOP_PHASES:
            out[worker.pool] = out.get(worker.pool, 0) + 1
    found = []
    for pool, count in sorted(out.items()):
        row = fleet.table.services.get(pool)
        if row is None:
            continue
        allowed = fleet.pools[pool].members - min_serving_workers(row)
        if count > allowed:
            found.append(f"{pool}: {count} stopped, {allowed} allowed")
    return found


def find_multi_zone_maintenance(fleet: FleetState) -> list[str]:
    """Return the pools with workers stopped for maintenance in several zones."""
    zones: dict[str, set[str]] = {}
    for worker in fleet.workers.values():
        if worker.phase not in STOP_PHASES:
            continue
        if worker.purpose is StopPurpose.MAINTENANCE:
            zones.setdefault(worker.pool, set()).add(worker.availability_zone)
    return [
        f"{pool}: out in {len(names)} zones"
        for pool, names in sorted(zones.items())
        if len(names) > 1
    ]


def find_local_violations(state: OperationsState, fleet: FleetState) -> list[str]:
    """Return the faults in the local state, compared with the shared state."""
    found = []
    for name in state.agents:
        worker = fleet.workers.get(name)
        if worker is None:
            found.append(f"{name}: view of an unknown worker")
        elif worker.phase is WorkerPhase.GONE and state.agents[name].call_pending:
            found.append(f"{name}: call to a worker that is gone")
    for name, view in state.agents.items():
        if view.first_failure_ms >= 0 and not view.failures:
            found.append(f"{name}: time of a first failure, but no failures")
    return found


def _stopped_pools(fleet: FleetState, applied: tuple[AppliedRecord, ...]) -> list[str]:
    """Return the sorted pools of the stops that a batch planned successfully."""
    pools = set()
    for item in applied:
        if not item.verdict.accepted or not isinstance(item.record, StopPlanned):
            continue
        worker = fleet.workers[item.record.worker]
        if worker.phase is WorkerPhase.STOPPING:
            pools.add(worker.pool)
    return sorted(pools)
