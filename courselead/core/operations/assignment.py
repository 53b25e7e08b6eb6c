"""Gives free workers to the pools that are short of them."""

from dataclasses import dataclass, field

from courselead.core import ranking
from courselead.core.fleet.records import StopPurpose, WorkerAssigned
from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState
from courselead.core.operations.draft import Draft

GROUP_ASSIGN = "assign"
KEY_TABLE = "table"
UNUSABLE = frozenset({WorkerPhase.GONE, WorkerPhase.QUARANTINED})

Place = tuple[str, str]


@dataclass(slots=True)
class Spread:
    """How the workers of one pool lie over zones and racks."""

    workers: int = 0
    zones: dict[str, int] = field(default_factory=dict)
    racks: dict[Place, int] = field(default_factory=dict)

    def add(self, zone: str, rack: str, count: int = 1) -> None:
        """Count a worker in, or out with a negative count."""
        self.workers += count
        self.zones[zone] = self.zones.get(zone, 0) + count
        place = (zone, rack)
        self.racks[place] = self.racks.get(place, 0) + count


def pool_after_moves(worker: WorkerState) -> str:
    """Return the pool that a worker is in once its planned stop has ended."""
    if worker.phase in UNUSABLE:
        return ""
    if worker.purpose is StopPurpose.MOVE:
        return worker.next_pool
    return worker.pool


def spreads(fleet: FleetState) -> dict[str, Spread]:
    """Return the spread of each pool of the table, moves under way included."""
    found = {pool: Spread() for pool in fleet.table.services}
    for worker in fleet.workers.values():
        spread = found.get(pool_after_moves(worker))
        if spread is not None:
            spread.add(worker.availability_zone, worker.rack)
    return found


def deficits(fleet: FleetState, found: dict[str, Spread]) -> dict[str, int]:
    """Return how many workers each pool is short of, those above zero only."""
    short = {}
    for pool, row in fleet.table.services.items():
        missing = row.workers - found[pool].workers
        if missing > 0:
            short[pool] = missing
    return short


def neediest(fleet: FleetState, short: dict[str, int]) -> str:
    """Return the pool with the greatest part of its workers missing."""
    services = fleet.table.services
    return min(short, key=lambda pool: (-short[pool] / services[pool].workers, pool))


def free_workers(fleet: FleetState, leaving: frozenset[str]) -> list[WorkerState]:
    """Return the workers that can be given to a pool."""
    free = []
    for worker in fleet.workers.values():
        if worker.phase is not WorkerPhase.FREE or worker.worker in leaving:
            continue
        free.append(worker)
    return free


def assign(
    fleet: FleetState, leaving: frozenset[str] = frozenset()
) -> list[WorkerAssigned]:
    """Return the assignments of free workers, the neediest pool first.

    Each worker goes to the zone, then the rack, where the pool has least.
    """
    found = spreads(fleet)
    short = deficits(fleet, found)
    stock = _by_place(free_workers(fleet, leaving))
    records = []
    while short and stock:
        pool = neediest(fleet, short)
        zone, rack = _emptiest(found[pool], stock)
        worker = stock[zone][rack].pop()
        _prune(stock, zone, rack)
        found[pool].add(zone, rack)
        short[pool] -= 1
        if not short[pool]:
            del short[pool]
        version = fleet.table.version
        records.append(WorkerAssigned(worker.worker, worker.epoch, pool, version))
    return records


def propose(draft: Draft) -> None:
    """Propose the assignments of free workers, if this host plans them."""
    fleet = draft.ctx.fleet
    if draft.group_waits(GROUP_ASSIGN):
        return
    records = assign(fleet, draft.state.leaving)
    if not records:
        draft.unwanted(KEY_TABLE)
        return
    if not draft.plans(KEY_TABLE):
        return
    for record in records:
        draft.propose(record, group=GROUP_ASSIGN)


Stock = dict[str, dict[str, list[WorkerState]]]


def _by_place(workers: list[WorkerState]) -> Stock:
    """Return workers by zone and rack, in the same order on every host."""
    stock: Stock = {}
    ordered = sorted(workers, key=lambda item: ranking.score("free", item.worker))
    for worker in ordered:
        racks = stock.setdefault(worker.availability_zone, {})
        racks.setdefault(worker.rack, []).append(worker)
    return stock


def _emptiest(spread: Spread, stock: Stock) -> Place:
    """Return the zone and rack with stock where a pool has fewest workers."""
    zone = min(stock, key=lambda name: (spread.zones.get(name, 0), name))
    racks = stock[zone]
    rack = min(racks, key=lambda name: (spread.racks.get((zone, name), 0), name))
    return zone, rack


def _prune(stock: Stock, zone: str, rack: str) -> None:
    """Remove a place that has no worker left."""
    if not stock[zone][rack]:
        del stock[zone][rack]
    if not stock[zone]:
        del stock[zone]
