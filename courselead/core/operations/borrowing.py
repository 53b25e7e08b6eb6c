"""Lends spare workers to pools whose availability budget is below one worker.

Such a pool must always serve with all its wanted workers, so one of them can be
stopped only while the pool has a spare. For its maintenance wave it borrows a free
worker or, if there is none, a surplus worker of another pool. After the wave, the
spare is moved on or released, unless moving costs more than leaving it idle until
the next wave. The `move_cost` of the account is the cost of one move, in idle days.
"""

from dataclasses import dataclass

from courselead.core.fleet.budgets import max_unavailable_workers, spare
from courselead.core.fleet.queries import usable_workers
from courselead.core.fleet.records import StopPlanned, WorkerAssigned
from courselead.core.fleet.state import FleetState, WorkerPhase, WorkerState
from courselead.core.fleet.windows import is_window_open
from courselead.core.operations.maintenance import is_due
from courselead.core.operations.placement import (
    NO_EXCLUSIONS,
    PlanningExclusions,
    Spread,
    assign_record,
    free_workers,
    group_by_rack,
    move_record,
    pool_spreads,
    take_least_represented,
)
from courselead.core.operations.reach import cut_off_zones
from courselead.core.operations.state import OperationsConfig
from courselead.core.table import AccountRow, ServiceRow

DAY_MS = 86_400_000
MOVES_PER_LOAN = 2  # to the pool and back


@dataclass(slots=True)
class _ZeroBudgetPool:
    """A pool whose availability budget is below one worker.

    Attributes:
        workers: Its current workers, except those that are leaving.
        due: Whether maintenance of at least one of them is due.
    """

    row: ServiceRow
    spread: Spread
    workers: list[WorkerState]
    due: bool

    @property
    def surplus_workers(self) -> int:
        """Return how many more workers the pool has than it wants."""
        return self.spread.workers - self.row.workers

    def most_overdue_first(self) -> tuple[int, str]:
        """Return the sort key that puts the most overdue pool first."""
        return min(item.maintained_ms for item in self.workers), self.row.pool


@dataclass(frozen=True, slots=True)
class Loans:
    """Pool changes that lend, pass on or release spare workers."""

    assigned: tuple[WorkerAssigned, ...] = ()
    moves: tuple[StopPlanned, ...] = ()


def plan(
    fleet: FleetState,
    wall_ms: int,
    cfg: OperationsConfig,
    exclusions: PlanningExclusions = NO_EXCLUSIONS,
) -> Loans:
    """Return the spare workers to lend, pass on and release now."""
    if not cfg.maintain:
        return Loans()
    zero_budget = _zero_budget_pools(fleet, wall_ms, cfg, exclusions)
    if not zero_budget:
        return Loans()
    needing = [item for item in zero_budget.values() if _needs_spare(item, wall_ms)]
    needing.sort(key=_ZeroBudgetPool.most_overdue_first)
    available = group_by_rack(free_workers(fleet, exclusions))
    assigned = []
    while needing and available:
        pool = needing.pop(0)
        worker = take_least_represented(pool.spread, available)
        assigned.append(assign_record(fleet, worker, pool.row.pool))
    moves = []
    for donor, worker in _idle_workers(fleet, zero_budget, exclusions):
        if needing:
            receiver = needing.pop(0).row.pool
            moves.append(move_record(fleet, worker, receiver, wall_ms))
        elif donor in zero_budget and _should_release_spare(
            fleet, zero_budget[donor], wall_ms, cfg
        ):
            moves.append(move_record(fleet, worker, "", wall_ms))
    return Loans(tuple(assigned), tuple(moves))


def _zero_budget_pools(
    fleet: FleetState,
    wall_ms: int,
    cfg: OperationsConfig,
    exclusions: PlanningExclusions,
) -> dict[str, _ZeroBudgetPool]:
    """Return the pools that have workers and a budget below one worker."""
    services = fleet.table.services
    names = [pool for pool, row in services.items() if not max_unavailable_workers(row)]
    if not names:
        return {}
    spreads = pool_spreads(fleet, exclusions)
    zero_budget = {
        pool: _ZeroBudgetPool(services[pool], spreads[pool], [], False)
        for pool in names
    }
    for worker in fleet.workers.values():
        pool = zero_budget.get(worker.pool)
        if pool is None or worker.worker in exclusions.leaving:
            continue
        pool.workers.append(worker)
        pool.due = pool.due or is_due(worker, wall_ms, cfg)
    return {pool: item for pool, item in zero_budget.items() if item.workers}


def _needs_spare(pool: _ZeroBudgetPool, wall_ms: int) -> bool:
    """Return whether a pool needs a spare to start its maintenance wave.

    A pool with a deficit gets its missing workers first.
    """
    return (
        pool.due
        and pool.surplus_workers == 0
        and is_window_open(pool.row.window, wall_ms)
    )


def _idle_workers(
    fleet: FleetState,
    zero_budget: dict[str, _ZeroBudgetPool],
    exclusions: PlanningExclusions,
) -> list[tuple[str, WorkerState]]:
    """Return the surplus workers that their pools do not need for maintenance."""
    spreads = pool_spreads(fleet, exclusions)
    cut_off = cut_off_zones(fleet)
    idle = []
    for pool, row in sorted(fleet.table.services.items()):
        surplus = spreads[pool].workers - row.workers
        if surplus < 1 or (pool in zero_budget and zero_budget[pool].due):
            continue
        members = [
            fleet.workers[name]
            for name in usable_workers(fleet, pool)
            if name not in exclusions.leaving
            and fleet.workers[name].availability_zone not in cut_off
        ]
        members.sort(key=lambda item: _fullest_rack_first(spreads[pool], item))
        count = min(surplus, spare(fleet, pool))
        idle.extend((pool, worker) for worker in members[:count])
    return idle


def _fullest_rack_first(spread: Spread, worker: WorkerState) -> tuple[int, int, str]:
    """Return the sort key that puts workers of the fullest zone and rack first."""
    zone, rack = spread.zone_and_rack_counts(worker.availability_zone, worker.rack)
    return -zone, -rack, worker.worker


def _should_release_spare(
    fleet: FleetState, pool: _ZeroBudgetPool, wall_ms: int, cfg: OperationsConfig
) -> bool:
    """Return whether a spare is released rather than kept until the next wave."""
    if any(item.phase is not WorkerPhase.SERVING for item in pool.workers):
        return False
    oldest = min(item.maintained_ms for item in pool.workers)
    idle_ms = oldest + cfg.maintenance_period_ms - wall_ms
    accounts = fleet.table.accounts
    name = pool.row.client_account
    cost = accounts.get(name, AccountRow(name)).move_cost
    return idle_ms / DAY_MS > MOVES_PER_LOAN * cost
