"""Which workers are stopped for maintenance now: the policies.

The chosen one, `RackByRack`, finishes whole failure domains within the budgets
of all pools in them, and never has workers of one pool out in two zones, so
that the loss of a zone on top is survivable. The others are baselines.
"""

from typing import Protocol

from courselead.core.fleet.budgets import spare
from courselead.core.fleet.records import StopPlanned, StopPurpose
from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState
from courselead.core.fleet.windows import is_open
from courselead.core.operations.placement import Place
from courselead.core.operations.reach import cut_zones
from courselead.core.operations.state import OperationsConfig

STOPS = frozenset({WorkerPhase.STOPPING, WorkerPhase.STOPPED})


class MaintenancePolicy(Protocol):
    """Chooses the workers to stop for maintenance."""

    name: str

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to be claimed now.

        Args:
            fleet: Shared state, moves planned in the same pass included.
            now_wall_ms: Wall time, milliseconds.
            cfg: Period and wave.
        """
        ...


def is_due(worker: WorkerState, now_wall_ms: int, cfg: OperationsConfig) -> bool:
    """Return whether a worker's maintenance is due."""
    if not cfg.maintain:
        return False
    if worker.maintained_ms < cfg.wave_from_ms:
        return True
    return now_wall_ms - worker.maintained_ms >= cfg.maintenance_period_ms


def due_workers(
    fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
) -> list[WorkerState]:
    """Return the serving workers that are due and in an open window.

    The most overdue come first; those of zones that may be cut off are left out.
    """
    due = []
    if not cfg.maintain:
        return due
    services = fleet.table.services
    cut = cut_zones(fleet)
    for worker in fleet.workers.values():
        if worker.phase is not WorkerPhase.SERVING or worker.pool not in services:
            continue
        if worker.availability_zone in cut:
            continue
        if not is_due(worker, now_wall_ms, cfg):
            continue
        if is_open(services[worker.pool].window, now_wall_ms):
            due.append(worker)
    return sorted(due, key=_overdue)


def is_out_by_plan(worker: WorkerState) -> bool:
    """Return whether a worker is out for maintenance, or comes up again.

    What makes a worker start is not kept, so any that starts counts.
    """
    if worker.phase is WorkerPhase.STARTING:
        return True
    return worker.phase in STOPS and worker.purpose is StopPurpose.MAINTENANCE


class RackByRack:
    """Whole racks as the budgets allow, one zone of a pool at a time."""

    name = "rack_by_rack"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to be claimed now; see `MaintenancePolicy`."""
        racks: dict[Place, list[WorkerState]] = {}
        for worker in due_workers(fleet, now_wall_ms, cfg):
            racks.setdefault(_place(worker), []).append(worker)
        if not racks:
            return ()
        outage = _Outage(fleet)
        chosen = []
        for place in sorted(racks, key=lambda item: outage.order(racks[item])):
            for worker in racks[place]:
                if outage.admits(worker):
                    outage.take(worker)
                    chosen.append(_stop(fleet, worker, now_wall_ms))
        return tuple(chosen)


class OneAtATime:
    """Baseline: one worker of the whole fleet at a time."""

    name = "one_at_a_time"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to be claimed now; see `MaintenancePolicy`."""
        if any(is_out_by_plan(worker) for worker in fleet.workers.values()):
            return ()
        for worker in due_workers(fleet, now_wall_ms, cfg):
            if spare(fleet, worker.pool) >= 1:
                return (_stop(fleet, worker, now_wall_ms),)
        return ()


class OneRackAtATime:
    """Baseline: all due workers of one rack, whatever the budgets say.

    What goes beyond a budget is refused when it is applied, and comes again
    with a later turn of the rack.
    """

    name = "one_rack_at_a_time"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to be claimed now; see `MaintenancePolicy`."""
        if any(is_out_by_plan(worker) for worker in fleet.workers.values()):
            return ()
        due = due_workers(fleet, now_wall_ms, cfg)
        for first in due:
            if spare(fleet, first.pool) < 1:
                continue
            rack = [item for item in due if _place(item) == _place(first)]
            return tuple(_stop(fleet, item, now_wall_ms) for item in rack)
        return ()


class AllBudgetAllows:
    """Baseline: everything the budgets allow, the most overdue first."""

    name = "all_budget_allows"

    def plan(
        self, fleet: FleetState, now_wall_ms: int, cfg: OperationsConfig
    ) -> tuple[StopPlanned, ...]:
        """Return the stops to be claimed now; see `MaintenancePolicy`."""
        room: dict[str, int] = {}
        chosen = []
        for worker in due_workers(fleet, now_wall_ms, cfg):
            pool = worker.pool
            left = room.setdefault(pool, spare(fleet, pool))
            if left < 1:
                continue
            room[pool] = left - 1
            chosen.append(_stop(fleet, worker, now_wall_ms))
        return tuple(chosen)


POLICIES: dict[str, MaintenancePolicy] = {
    policy.name: policy
    for policy in (RackByRack(), OneAtATime(), OneRackAtATime(), AllBudgetAllows())
}


class _Outage:
    """What is out, and what the budgets still allow, while a plan is made."""

    def __init__(self, fleet: FleetState) -> None:
        self._fleet = fleet
        self._room: dict[str, int] = {}
        self._pool_zones: dict[str, set[str]] = {}
        self._racks: set[Place] = set()
        self._zones: set[str] = set()
        for worker in fleet.workers.values():
            if is_out_by_plan(worker):
                self._note(worker)

    def order(self, rack: list[WorkerState]) -> tuple[bool, bool, bool, int, Place]:
        """Return where a rack stands in the order.

        Racks begun come first, then those that can be taken as a whole, then
        those of a zone begun, then the most overdue.
        """
        place = _place(rack[0])
        return (
            place not in self._racks,
            not self._admits_all(rack),
            place[0] not in self._zones,
            rack[0].maintained_ms,
            place,
        )

    def admits(self, worker: WorkerState) -> bool:
        """Return whether a worker's pool can spare it now."""
        if self._left(worker.pool) < 1:
            return False
        zones = self._pool_zones.get(worker.pool, set())
        return zones <= {worker.availability_zone}

    def take(self, worker: WorkerState) -> None:
        """Count a worker out."""
        self._room[worker.pool] = self._left(worker.pool) - 1
        self._note(worker)

    def _left(self, pool: str) -> int:
        """Return how many more workers of a pool may be stopped."""
        if pool not in self._room:
            self._room[pool] = spare(self._fleet, pool)
        return self._room[pool]

    def _admits_all(self, rack: list[WorkerState]) -> bool:
        """Return whether all of a rack can be stopped at once."""
        wanted: dict[str, int] = {}
        for worker in rack:
            wanted[worker.pool] = wanted.get(worker.pool, 0) + 1
            if not self.admits(worker):
                return False
        return all(self._left(pool) >= count for pool, count in wanted.items())

    def _note(self, worker: WorkerState) -> None:
        """Note where a worker is out."""
        zone = worker.availability_zone
        self._racks.add(_place(worker))
        self._zones.add(zone)
        self._pool_zones.setdefault(worker.pool, set()).add(zone)


def _stop(fleet: FleetState, worker: WorkerState, wall_ms: int) -> StopPlanned:
    """Return the planned stop of a worker for maintenance."""
    return StopPlanned(
        worker.worker,
        worker.epoch,
        StopPurpose.MAINTENANCE,
        "",
        fleet.table.version,
        wall_ms,
    )


def _place(worker: WorkerState) -> Place:
    """Return the failure domain of a worker."""
    return (worker.availability_zone, worker.rack)


def _overdue(worker: WorkerState) -> tuple[int, str]:
    """Return the sort key of the most overdue first."""
    return (worker.maintained_ms, worker.worker)
