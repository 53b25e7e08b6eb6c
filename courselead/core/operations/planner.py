"""Plans assignments, moves and maintenance, and proposes what falls to this host."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from courselead.core.fleet.budgets import can_stop_worker
from courselead.core.fleet.records import StopPlanned, WorkerAssigned
from courselead.core.fleet.state import FleetState, HostStatus
from courselead.core.operations import assignment, borrowing, placement
from courselead.core.operations.draft import Draft
from courselead.core.operations.maintenance import POLICIES
from courselead.core.operations.placement import NO_EXCLUSIONS, PlanningExclusions
from courselead.core.operations.state import NoOpInputs, OperationsConfig

GROUP_ASSIGN = "assign"
ASSIGNMENT_PLAN_KEY = "table"
SILENT_HOST_MS = 15_000
MINUTE_MS = 60_000


@dataclass(frozen=True, slots=True)
class Plan:
    """Records to propose now.

    Attributes:
        assigned: Assignments of free workers to pools.
        stops: Planned stops; each is within the budgets if the stops before it
            are applied first.
    """

    assigned: tuple[WorkerAssigned, ...] = ()
    stops: tuple[StopPlanned, ...] = ()


def make_plan(
    fleet: FleetState,
    wall_ms: int,
    cfg: OperationsConfig,
    exclusions: PlanningExclusions = NO_EXCLUSIONS,
) -> Plan:
    """Return the plan for the current fleet.

    Each step plans for the fleet as it will be after the steps before it: deficits
    are covered first, then spare workers are lent, and maintenance uses what is left
    of the budgets.
    """
    assigned = assignment.assign(fleet, exclusions)
    for record in assigned:
        fleet = placement.with_assignment(fleet, record)
    stops: list[StopPlanned] = []
    moves = assignment.rebalance(fleet, wall_ms, exclusions)
    fleet = _with_allowed_stops(fleet, moves, stops)
    fleet = _with_allowed_stops(
        fleet, assignment.release(fleet, wall_ms, exclusions), stops
    )
    loans = borrowing.plan(fleet, wall_ms, cfg, exclusions)
    for record in loans.assigned:
        fleet = placement.with_assignment(fleet, record)
    assigned.extend(loans.assigned)
    fleet = _with_allowed_stops(fleet, loans.moves, stops)
    policy = POLICIES[cfg.policy]
    stops.extend(policy.plan(fleet, wall_ms, cfg))
    return Plan(tuple(assigned), tuple(stops))


def propose_plan(draft: Draft) -> None:
    """Propose the parts of the plan for which it is this host's turn."""
    ctx = draft.ctx
    exclusions = PlanningExclusions(
        leaving=draft.state.leaving,
        absent=frozenset(draft.state.absent_since_ms),
        lost=_lost_workers(draft),
    )
    minute = ctx.wall_ms // MINUTE_MS
    fleet = ctx.fleet
    inputs = (fleet.workers, fleet.table, fleet.evacuations, exclusions, minute)
    if draft.state.plan_inputs.matches(*inputs):
        return
    plan = make_plan(ctx.fleet, ctx.wall_ms, draft.cfg, exclusions)
    if not plan.assigned and not plan.stops:
        draft.state = replace(draft.state, plan_inputs=NoOpInputs(inputs))
        return
    _propose_assigned(draft, plan)
    if _silent_hosts(ctx.fleet):
        return
    pools: dict[str, list[StopPlanned]] = {}
    for record in plan.stops:
        pool = ctx.fleet.workers[record.worker].pool
        pools.setdefault(pool, []).append(record)
    for pool, records in pools.items():
        # While earlier stops of the pool are undecided, the remaining budget is
        # unknown.
        group = f"stop:{pool}"
        if draft.is_group_undecided(group) or not draft.should_propose_plan(
            pool, records
        ):
            continue
        for record in records:
            draft.propose(record, group=group)


def _propose_assigned(draft: Draft, plan: Plan) -> None:
    """Propose the assignments if it is this host's turn."""
    if not plan.assigned or draft.is_group_undecided(GROUP_ASSIGN):
        return
    if not draft.should_propose_plan(ASSIGNMENT_PLAN_KEY, plan.assigned):
        return
    for record in plan.assigned:
        draft.propose(record, group=GROUP_ASSIGN)


def _with_allowed_stops(
    fleet: FleetState, records: Iterable[StopPlanned], stops: list[StopPlanned]
) -> FleetState:
    """Add the moves that the budgets allow to `stops`; return the fleet after them."""
    for record in records:
        worker = fleet.workers[record.worker]
        if not can_stop_worker(fleet, worker):
            continue
        stops.append(record)
        fleet = placement.with_planned_stop(fleet, record)
    return fleet


def _silent_hosts(fleet: FleetState) -> tuple[str, ...]:
    """Return the live entry hosts that have sent no heartbeat for too long.

    They may be cut off from the log and keep serving, so they would not settle a
    stop. Until they send a heartbeat or are lost, a planned stop would take a worker
    out of use without ever finishing.
    """
    names = []
    for host in fleet.hosts.values():
        silent_ms = fleet.now_ms - host.last_beat_ms
        if host.status is HostStatus.LIVE and silent_ms >= SILENT_HOST_MS:
            names.append(host.entry_host)
    return tuple(names)


def _lost_workers(draft: Draft) -> frozenset[str]:
    """Return the workers that have been down for so long that they are replaced."""
    names = []
    for name, since_ms in draft.state.down_since_ms.items():
        if draft.now_ms - since_ms >= draft.cfg.replace_after_ms:
            names.append(name)
    return frozenset(names)
