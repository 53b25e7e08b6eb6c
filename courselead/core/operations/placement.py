"""Distribution of a pool's workers over zones and racks, and planned changes to it."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from courselead.core import ranking
from courselead.core.fleet.pool_index import with_worker
from courselead.core.fleet.queries import is_evacuated
from courselead.core.fleet.records import StopPlanned, StopPurpose, WorkerAssigned
from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState

UNUSABLE_PHASES = frozenset({WorkerPhase.GONE, WorkerPhase.QUARANTINED})

FailureDomain = tuple[str, str]
WorkersByRack = dict[str, dict[str, list[WorkerState]]]


@dataclass(frozen=True, slots=True)
class PlanningExclusions:
    """Workers that are not fully usable for planning.

    Attributes:
        leaving: Workers that the platform is reclaiming.
        absent: Workers missing from the platform's list. The list lags, so they
            stay in their pools, but are not assigned to a pool.
        lost: Workers that have been down for so long that they are replaced in
            their pools. They stay members, so a pool has surplus workers when
            they return.
    """

    leaving: frozenset[str] = frozenset()
    absent: frozenset[str] = frozenset()
    lost: frozenset[str] = frozenset()


NO_EXCLUSIONS = PlanningExclusions()


@dataclass(slots=True)
class Spread:
    """Number of workers of one pool in each zone and rack."""

    workers: int = 0
    zones: dict[str, int] = field(default_factory=dict)
    racks: dict[FailureDomain, int] = field(default_factory=dict)

    def add(self, zone: str, rack: str, count: int = 1) -> None:
        """Add workers in a rack, or remove them with a negative count."""
        self.workers += count
        self.zones[zone] = self.zones.get(zone, 0) + count
        domain = (zone, rack)
        self.racks[domain] = self.racks.get(domain, 0) + count

    def zone_and_rack_counts(self, zone: str, rack: str) -> tuple[int, int]:
        """Return the number of workers in the zone and in its rack."""
        return self.zones.get(zone, 0), self.racks.get((zone, rack), 0)


def pool_after_moves(worker: WorkerState) -> str:
    """Return the pool of a worker after its planned stop, if any, has ended."""
    if worker.phase in UNUSABLE_PHASES:
        return ""
    if worker.purpose is StopPurpose.MOVE:
        return worker.next_pool
    return worker.pool


def pool_spreads(
    fleet: FleetState, exclusions: PlanningExclusions
) -> dict[str, Spread]:
    """Return the spread of each pool of the table, as it is after current moves.

    Workers that are leaving or lost and those in evacuated zones are not counted.
    """
    uncounted = exclusions.leaving | exclusions.lost
    spreads = {pool: Spread() for pool in fleet.table.services}
    for worker in fleet.workers.values():
        if worker.worker in uncounted or is_evacuated(fleet, worker):
            continue
        spread = spreads.get(pool_after_moves(worker))
        if spread is not None:
            spread.add(worker.availability_zone, worker.rack)
    return spreads


def pool_deficits(fleet: FleetState, spreads: dict[str, Spread]) -> dict[str, int]:
    """Return the number of missing workers of each pool that has a deficit."""
    deficits = {}
    for pool, row in fleet.table.services.items():
        missing = row.workers - spreads[pool].workers
        if missing > 0:
            deficits[pool] = missing
    return deficits


def pool_with_largest_deficit(fleet: FleetState, deficits: dict[str, int]) -> str:
    """Return the pool with the largest deficit relative to its wanted workers."""
    services = fleet.table.services
    return min(
        deficits, key=lambda pool: (-deficits[pool] / services[pool].workers, pool)
    )


def free_workers(
    fleet: FleetState, exclusions: PlanningExclusions
) -> list[WorkerState]:
    """Return the workers that can be assigned to a pool."""
    excluded = exclusions.leaving | exclusions.absent
    free = []
    for worker in fleet.workers.values():
        if worker.phase is not WorkerPhase.FREE or worker.worker in excluded:
            continue
        if not is_evacuated(fleet, worker):
            free.append(worker)
    return free


def group_by_rack(workers: Iterable[WorkerState]) -> WorkersByRack:
    """Return workers by zone and rack, in an order that is the same on every host."""
    by_rack: WorkersByRack = {}
    ordered = sorted(
        workers, key=lambda item: ranking.rendezvous_score("free", item.worker)
    )
    for worker in ordered:
        racks = by_rack.setdefault(worker.availability_zone, {})
        racks.setdefault(worker.rack, []).append(worker)
    return by_rack


def take_least_represented(spread: Spread, available: WorkersByRack) -> WorkerState:
    """Remove and return a worker from the zone, then rack, where a pool has fewest."""
    zone = min(available, key=lambda name: (spread.zones.get(name, 0), name))
    racks = available[zone]
    rack = min(racks, key=lambda name: (spread.racks.get((zone, name), 0), name))
    worker = racks[rack].pop()
    if not racks[rack]:
        del racks[rack]
    if not racks:
        del available[zone]
    return worker


def assign_record(fleet: FleetState, worker: WorkerState, pool: str) -> WorkerAssigned:
    """Return the record that assigns a free worker to a pool."""
    return WorkerAssigned(worker.worker, worker.epoch, pool, fleet.table.version)


def move_record(
    fleet: FleetState, worker: WorkerState, next_pool: str, wall_ms: int
) -> StopPlanned:
    """Return the record that stops a worker to move it; "" releases it."""
    return StopPlanned(
        worker.worker,
        worker.epoch,
        StopPurpose.MOVE,
        next_pool,
        fleet.table.version,
        wall_ms,
    )


def with_assignment(fleet: FleetState, record: WorkerAssigned) -> FleetState:
    """Return the fleet as it will be after an assignment is applied."""
    worker = fleet.workers[record.worker]
    worker = replace(worker, pool=record.pool, phase=WorkerPhase.STARTING)
    return with_worker(fleet, worker)


def with_planned_stop(fleet: FleetState, record: StopPlanned) -> FleetState:
    """Return the fleet as it will be after a planned stop is applied."""
    worker = replace(
        fleet.workers[record.worker],
        phase=WorkerPhase.STOPPING,
        purpose=record.purpose,
        next_pool=record.next_pool,
    )
    return with_worker(fleet, worker)
