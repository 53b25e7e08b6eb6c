"""Placement of waiting jobs: by class and deadline, fair between pools."""

import heapq
from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import Effect, Propose
from courselead.core.events import AgentOp
from courselead.core.fleet.records import JobPlaced, JobsEnded
from courselead.core.fleet.state import FleetState
from courselead.core.jobs import const, drivers, leases
from courselead.core.jobs.index import CLASS_RANK
from courselead.core.jobs.placement import MaintenanceAwareFit, Policy
from courselead.core.jobs.pool_plan import Choice, PoolPlan
from courselead.core.jobs.state import Eviction, JobsState, PendingPlacement
from courselead.core.ranking import takeover_delay_ms
from courselead.core.table import RequestClass

Step = tuple[JobsState, tuple[Effect, ...]]

DEFAULT_POLICY = MaintenanceAwareFit()
_URGENT = CLASS_RANK[RequestClass.URGENT]


def delay_ms(state: JobsState, ctx: Context, pool: str) -> int:
    """Return how long this host waits for another one to place a pool's jobs."""
    names = drivers.hosts_of_zone(state, drivers.ALL_ZONES)
    delay = takeover_delay_ms(f"place:{pool}", ctx.me.entry_host, names, ctx.me.seed)
    queue = state.index.waiting.get(pool)
    if queue and queue[0][0] == _URGENT:
        return delay // const.URGENT_STEP_IN_DIVISOR
    return delay


def schedule_plans(state: JobsState, ctx: Context, pools: frozenset[str]) -> JobsState:
    """Schedule placement passes for pools, after this host's step-in delay."""
    plans = state.next_plan_ms
    for pool in sorted(pools):
        if pool not in state.index.waiting:
            if pool in plans:
                plans = plans.delete(pool)
            continue
        plans = plans.set(pool, ctx.now_ms + delay_ms(state, ctx, pool))
    return replace(state, next_plan_ms=plans)


def place(state: JobsState, ctx: Context, policy: Policy) -> Step:
    """Propose placements in the pools whose next pass is due."""
    if not ctx.log_up or not ctx.member or ctx.leaving:
        return state, ()
    due = [pool for pool, at_ms in state.next_plan_ms.items() if at_ms <= ctx.now_ms]
    if not due:
        return state, ()
    due_plans = []
    plans = state.next_plan_ms
    for pool in sorted(due):
        plans = plans.set(pool, ctx.now_ms + _retry_ms(state, ctx, pool))
        plan = PoolPlan.from_state(state, ctx, pool, policy)
        if plan.queue:
            due_plans.append(plan)
    state = replace(state, next_plan_ms=plans)
    return _place_in_turn(state, ctx, due_plans)


def _place_in_turn(state: JobsState, ctx: Context, plans: list["PoolPlan"]) -> Step:
    """Place jobs one by one, by class and then by the pools' weighted shares."""
    heap = []
    served = state.served
    for number, plan in enumerate(plans):
        head = plan.queue[0][0]
        heap.append((head, served.get(plan.pool, 0.0), number))
    heapq.heapify(heap)
    effects: list[Effect] = []
    pending = state.pending_placements
    while heap and len(effects) < const.MAX_PLACEMENTS_PER_PASS:
        _, share, number = heapq.heappop(heap)
        plan = plans[number]
        choice = plan.next_choice()
        if choice is None:
            continue
        effects.append(_proposal(ctx, choice))
        pending = pending.set(choice.key[3], _pending_placement(ctx, choice))
        share += 1.0 / _weight(ctx.fleet, plan.pool)
        served = served.set(plan.pool, share)
        heapq.heappush(heap, (choice.key[0], share, number))
    state = replace(state, pending_placements=pending, served=served)
    for plan in plans:
        state, more = _evict_and_refuse(state, ctx, plan)
        effects.extend(more)
    return state, tuple(effects)


def _evict_and_refuse(state: JobsState, ctx: Context, plan: PoolPlan) -> Step:
    """Evict jobs for urgent ones, and refuse jobs that no worker can run."""
    effects: list[Effect] = []
    evictions = state.evictions
    for job_id, for_job in plan.evictions.items():
        job = ctx.fleet.jobs[job_id]
        worker = ctx.fleet.workers[job.worker]
        evictions = evictions.set(job_id, Eviction(for_job, job.worker, ctx.now_ms))
        effects.append(leases.task_call(job, worker, AgentOp.CHECKPOINT_TASK))
    if plan.unplaceable:
        effects.append(Propose(JobsEnded(tuple(plan.unplaceable))))
    return replace(state, evictions=evictions), tuple(effects)


def _proposal(ctx: Context, choice: Choice) -> Propose:
    """Return the record that places a job."""
    job = ctx.fleet.jobs[choice.key[3]]
    return Propose(
        JobPlaced(
            job_id=job.spec.job_id,
            attempt=job.attempt + 1,
            worker=choice.candidate.worker,
            epoch=choice.candidate.epoch,
            cores=choice.need.cores,
            memory_mb=choice.need.memory_mb,
            lease_ms=const.LEASE_MS,
        )
    )


def _pending_placement(ctx: Context, choice: Choice) -> PendingPlacement:
    """Return the pending placement for a choice."""
    need = choice.need
    return PendingPlacement(
        choice.candidate.worker, need.cores, need.memory_mb, ctx.now_ms
    )


def _retry_ms(state: JobsState, ctx: Context, pool: str) -> int:
    """Return the delay until the next pass over an unchanged pool."""
    return const.PLAN_RETRY_MS + delay_ms(state, ctx, pool) * 2


def _weight(fleet: FleetState, pool: str) -> float:
    """Return the weight of a pool: its account's weight times its service's share."""
    row = fleet.table.services.get(pool)
    if row is None:
        return 1.0
    account = fleet.table.accounts.get(row.client_account)
    weight = account.weight if account else 1.0
    return max(weight * row.share, 1e-6)
