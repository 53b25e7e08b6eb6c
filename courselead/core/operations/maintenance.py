"""Policies that choose the workers to stop for maintenance.

The default, `RackByRack`, finishes whole racks (failure domains) within the budgets
of all their pools, and never stops workers of one pool in two zones at the same
time, so that a pool survives the additional loss of a zone. The other policies are
baselines for the benchmark.
"""

from typing import Protocol

from courselead.core.fleet.budgets import can_stop_worker, spare_for
from courselead.core.fleet.queries import is_evacuated
from courselead.core.fleet.records import StopPlanned, StopPurpose
from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState
from courselead.core.fleet.windows import is_window_open
from courselead.core.operations.placement import FailureDomain
from courselead.core.operations.reach import cut_off_zones
from courselead.core.operations.state import OperationsConfig

STOP_PHASES = frozenset({WorkerPhase.STOPPING, WorkerPhase.STOPPED})


class MaintenancePolicy(Protocol):
    """Chooses the workers to stop for maintenance."""

    name: str

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to propose now.

        Args:
            fleet: Shared state, including the moves planned in the same pass.
            now_wall_ms: Wall clock time, milliseconds.
            cfg: Settings, of which the period and the wave apply.
        """
        ...


def is_due(worker: WorkerState, now_wall_ms: int, cfg: OperationsConfig) -> bool:
    """Return whether maintenance of a worker is due."""
    if not cfg.maintain:
        return False
    if worker.maintained_ms < cfg.wave_from_ms:
        return True
    return now_wall_ms - worker.maintained_ms >= cfg.maintenance_period_ms


def due_workers(
    fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
) -> list[WorkerState]:
    """Return the serving workers that are due and whose pool's window is open.

    The most overdue workers come first. Workers of zones that may be cut off are
    left out.
    """
    due = []
    if not cfg.maintain:
        return due
    services = fleet.table.services
    cut_off = cut_off_zones(fleet)
    for worker in fleet.workers.values():
        if worker.phase is not WorkerPhase.SERVING or worker.pool not in services:
            continue
        if worker.availability_zone in cut_off:
            continue
        if not is_due(worker, now_wall_ms, cfg):
            continue
        if is_window_open(services[worker.pool].window, now_wall_ms):
            due.append(worker)
    return sorted(due, key=_most_overdue_first)


def is_out_for_maintenance(worker: WorkerState) -> bool:
    """Return whether a worker is stopped for maintenance or starting again.

    The state does not record why a worker is starting, so every starting worker
    counts.
    """
    if worker.phase is WorkerPhase.STARTING:
        return True
    return worker.phase in STOP_PHASES and worker.purpose is StopPurpose.MAINTENANCE


class RackByRack:
    """Stops whole racks as the budgets allow, in one zone of each pool at a time."""

    name = "rack_by_rack"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to propose now; see `MaintenancePolicy`."""
        racks: dict[FailureDomain, list[WorkerState]] = {}
        for worker in due_workers(fleet, now_wall_ms, cfg):
            racks.setdefault(_failure_domain(worker), []).append(worker)
        if not racks:
            return ()
        outage = _PlannedOutage(fleet)
        chosen = []
        for domain in sorted(racks, key=lambda item: outage.sort_key(racks[item])):
            for worker in racks[domain]:
                if outage.can_stop(worker):
                    outage.add_stop(worker)
                    chosen.append(_stop_record(fleet, worker, now_wall_ms))
        return tuple(chosen)


class OneAtATime:
    """Baseline: stops one worker of the whole fleet at a time."""

    name = "one_at_a_time"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to propose now; see `MaintenancePolicy`."""
        if any(is_out_for_maintenance(worker) for worker in fleet.workers.values()):
            return ()
        for worker in due_workers(fleet, now_wall_ms, cfg):
            if can_stop_worker(fleet, worker):
                return (_stop_record(fleet, worker, now_wall_ms),)
        return ()


class OneRackAtATime:
    """Baseline: stops all due workers of one rack, regardless of the budgets.

    Stops that exceed a budget are refused when they are applied, and are planned
    again when the rack is chosen the next time.
    """

    name = "one_rack_at_a_time"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to propose now; see `MaintenancePolicy`."""
        if any(is_out_for_maintenance(worker) for worker in fleet.workers.values()):
            return ()
        due = due_workers(fleet, now_wall_ms, cfg)
        for first in due:
            if not can_stop_worker(fleet, first):
                continue
            rack = [
                item for item in due if _failure_domain(item) == _failure_domain(first)
            ]
            return tuple(_stop_record(fleet, item, now_wall_ms) for item in rack)
        return ()


class AllBudgetAllows:
    """Baseline: stops every worker that the budgets allow, the most overdue first."""

    name = "all_budget_allows"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to propose now; see `MaintenancePolicy`."""
        budgets = _RemainingBudgets(fleet)
        chosen = []
        for worker in due_workers(fleet, now_wall_ms, cfg):
            if budgets.remaining(worker) < 1:
                continue
            budgets.add_stop(worker)
            chosen.append(_stop_record(fleet, worker, now_wall_ms))
        return tuple(chosen)


POLICIES: dict[str, MaintenancePolicy] = {
    policy.name: policy
    for policy in (RackByRack(), OneAtATime(), OneRackAtATime(), AllBudgetAllows())
}


class _RemainingBudgets:
    """How many more workers of each pool may be stopped while planning.

    Stops in evacuated zones take nothing from the budget for stops outside, because
    workers there are unavailable already. Budgets and planned stops are kept by pool
    and by whether the workers are in an evacuated zone.
    """

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._spares: dict[tuple[str, bool], int] = {}
        self._stops: dict[tuple[str, bool], int] = {}

    def remaining(self, worker: WorkerState) -> int:
        """Return how many more workers such as this one its pool may stop now."""
        evacuated = is_evacuated(self._fleet, worker)
        key = (worker.pool, evacuated)
        if key not in self._spares:
            self._spares[key] = spare_for(self._fleet, worker)
        stops = self._stops.get((worker.pool, False), 0)
        if evacuated:
            stops += self._stops.get(key, 0)
        return self._spares[key] - stops

    def add_stop(self, worker: WorkerState) -> None:
        """Count a worker as stopped."""
        key = (worker.pool, is_evacuated(self._fleet, worker))
        self._stops[key] = self._stops.get(key, 0) + 1


class _PlannedOutage:
    """Workers already out for maintenance, and remaining budgets, while planning."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._budgets = _RemainingBudgets(fleet)
        self._pool_zones: dict[str, set[str]] = {}
        self._racks: set[FailureDomain] = set()
        self._zones: set[str] = set()
        for worker in fleet.workers.values():
            if is_out_for_maintenance(worker):
                self._add_location(worker)

    def sort_key(
        self, rack: list[WorkerState]
    ) -> tuple[bool, bool, bool, bool, int, FailureDomain]:
        """Return the sort key of a rack.

        Racks of evacuated zones come first, since they serve nothing. Of the others,
        racks with workers already out come first, then racks that can be stopped as
        a whole, then racks of a zone with workers already out, then the most overdue.
        """
        domain = _failure_domain(rack[0])
        return (
            not is_evacuated(self._fleet, rack[0]),
            domain not in self._racks,
            not self._can_stop_all(rack),
            domain[0] not in self._zones,
            rack[0].maintained_ms,
            domain,
        )

    def can_stop(self, worker: WorkerState) -> bool:
        """Return whether a worker can be stopped now.

        Its pool must have budget left, and no workers out in another zone.
        """
        if self._budgets.remaining(worker) < 1:
            return False
        zones = self._pool_zones.get(worker.pool, set())
        return zones <= {worker.availability_zone}

    def add_stop(self, worker: WorkerState) -> None:
        """Count a worker as stopped."""
        self._budgets.add_stop(worker)
        self._add_location(worker)

    def _can_stop_all(self, rack: list[WorkerState]) -> bool:
        """Return whether all given workers of a rack can be stopped together."""
        wanted: dict[str, int] = {}
        for worker in rack:
            wanted[worker.pool] = wanted.get(worker.pool, 0) + 1
            if not self.can_stop(worker):
                return False
            if self._budgets.remaining(worker) < wanted[worker.pool]:
                return False
        return True

    def _add_location(self, worker: WorkerState) -> None:
        """Record the rack and zone of a worker that is out."""
        zone = worker.availability_zone
        self._racks.add(_failure_domain(worker))
        self._zones.add(zone)
        self._pool_zones.setdefault(worker.pool, set()).add(zone)


def _stop_record(fleet: FleetState, worker: WorkerState, wall_ms: int) -> StopPlanned:
    """Return the planned stop of a worker for maintenance."""
    return StopPlanned(
        worker.worker,
        worker.epoch,
        StopPurpose.MAINTENANCE,
        "",
        fleet.table.version,
        wall_ms,
    )


def _failure_domain(worker: WorkerState) -> FailureDomain:
    """Return the failure domain of a worker."""
    return (worker.availability_zone, worker.rack)


def _most_overdue_first(worker: WorkerState) -> tuple[int, str]:
    """Return the sort key that puts the most overdue worker first."""
    return (worker.maintained_ms, worker.worker)
