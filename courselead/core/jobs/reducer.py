"""Reducer for long jobs: new state and effects of this host for each event."""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import Effect
from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    BatchesRead,
    Event,
    JobsCancelAsked,
    JobsOffered,
    LogReachable,
    Tick,
)
from courselead.core.fleet.records import JobPlaced
from courselead.core.fleet.state import AppliedRecord, JobPhase
from courselead.core.jobs import (
    const,
    drivers,
    ends,
    fences,
    history,
    index,
    invariants,
    leases,
    pending_requests,
    quarantine,
    replies,
    scheduling,
)
from courselead.core.jobs.index import AffectedItems, pool_of
from courselead.core.jobs.placement import Policy
from courselead.core.jobs.state import JobsState

Step = tuple[JobsState, tuple[Effect, ...]]


def reduce(
    state: JobsState,
    ctx: Context,
    event: Event,
    policy: Policy = scheduling.DEFAULT_POLICY,
) -> Step:
    """Return the state after an event, and the effects to perform.

    Args:
        state: State before the event.
        ctx: Context of this host, with the event's batches applied.
        event: The event.
        policy: Placement policy.
    """
    state = _follow_log(state, ctx, event)
    state, effects = _handle_event(state, ctx, event)
    if isinstance(event, Tick | BatchesRead):
        state, more = scheduling.place(state, ctx, policy)
        effects += more
        state, more = leases.send_due_starts(state, ctx)
        effects += more
    return state, effects


def _handle_event(state: JobsState, ctx: Context, event: Event) -> Step:
    """Handle one event."""
    match event:
        case Tick():
            return _tick(state, ctx)
        case BatchesRead():
            return pending_requests.answer_applied(state, ctx)
        case LogReachable(up=False):
            return replace(state, log_down_since_ms=event.now_ms), ()
        case JobsOffered():
            return pending_requests.submit(state, ctx, event)
        case JobsCancelAsked():
            return pending_requests.cancel(state, ctx, event)
        case AgentAnswered():
            return _handle_answer(state, ctx, event)
        case AgentFailed():
            return replies.handle_failure(state, ctx, event)
    return state, ()


def _handle_answer(state: JobsState, ctx: Context, event: AgentAnswered) -> Step:
    """Handle an agent's response.

    The end of an evicted job is proposed at once, so that the urgent job does
    not wait for the next tick.
    """
    state, effects = replies.handle_answer(state, ctx, event)
    if event.job_id not in state.evictions:
        return state, effects
    state, more = ends.propose_due(state, ctx)
    return state, effects + more


def _tick(state: JobsState, ctx: Context) -> Step:
    """Handle a tick: run all periodic checks and send what is due."""
    state = _redistribute_tasks(state, ctx)
    state = _drop_expired_entries(state, ctx)
    state, effects = pending_requests.propose_cancellations(state, ctx)
    state, more = _check_workers(state, ctx)
    effects += more
    for handle_due in (
        pending_requests.answer_expired,
        leases.send_due_calls,
        ends.propose_due,
    ):
        state, more = handle_due(state, ctx)
        effects += more
    return state, effects


def _check_workers(state: JobsState, ctx: Context) -> Step:
    """Check invariants and lost and failing workers, but not at every tick."""
    if ctx.now_ms - state.last_check_ms < const.WORKER_CHECK_INTERVAL_MS:
        return state, ()
    state = replace(state, last_check_ms=ctx.now_ms)
    faults = invariants.report(state, ctx)
    state = fences.end_expired(state, ctx)
    state, effects = quarantine.propose_due(state, ctx)
    return state, faults + effects


def _follow_log(state: JobsState, ctx: Context, event: Event) -> JobsState:
    """Update the local state to the offset of the shared state."""
    if state.index.offset == ctx.fleet.offset:
        return state
    is_step = isinstance(event, BatchesRead) and bool(event.batches)
    if not is_step or event.batches[0][0] > state.index.offset + 1:
        return _rebuild(state, ctx)
    affected = index.find_affected(ctx.applied, ctx.fleet)
    for applied in ctx.applied:
        state = history.record_applied(state, ctx, applied)
        state = _handle_own_verdict(state, ctx, applied)
    updated = index.update(state.index, ctx.fleet, affected.jobs)
    state = replace(state, index=updated)
    state = ends.drop_outdated(state, ctx, affected.jobs)
    state = _drop_evictions(state, ctx)
    state = _redistribute_tasks(state, ctx)
    state = leases.update_tasks(state, ctx, affected.jobs, from_log=True)
    return scheduling.schedule_plans(state, ctx, _affected_pools(ctx, affected))


def _rebuild(state: JobsState, ctx: Context) -> JobsState:
    """Rebuild the local state after a jump of the shared state."""
    for applied in ctx.applied:
        state = _handle_own_verdict(state, ctx, applied)
    state = replace(state, index=index.rebuild(ctx.fleet))
    state = history.rebuild_running(state, ctx)
    job_ids = frozenset(ctx.fleet.jobs)
    state = ends.drop_outdated(state, ctx, frozenset(state.pending_ends))
    state, _ = drivers.refresh_zone_hosts(state, ctx)
    state = leases.update_tasks(
        state, ctx, job_ids | frozenset(state.tasks), from_log=False
    )
    pools = frozenset(state.index.waiting) | frozenset(state.next_plan_ms)
    return scheduling.schedule_plans(state, ctx, pools)


def _affected_pools(ctx: Context, affected: AffectedItems) -> frozenset[str]:
    """Return the pools in which records may have changed the free capacity.

    Jobs that were only placed are left out, since placements free none.
    """
    pools = set()
    for job_id in affected.jobs - affected.placed:
        job = ctx.fleet.jobs.get(job_id)
        if job is not None:
            pools.add(pool_of(job))
    for name in affected.workers:
        worker = ctx.fleet.workers.get(name)
        if worker is not None and worker.pool:
            pools.add(worker.pool)
    return frozenset(pools)


def _handle_own_verdict(
    state: JobsState, ctx: Context, applied: AppliedRecord
) -> JobsState:
    """Handle the verdict of a placement that this host proposed."""
    me = ctx.me
    if (applied.entry_host, applied.incarnation) != (me.entry_host, me.incarnation):
        return state
    record = applied.record
    if not isinstance(record, JobPlaced):
        return state
    if record.job_id in state.pending_placements:
        state = replace(
            state, pending_placements=state.pending_placements.delete(record.job_id)
        )
    job = ctx.fleet.jobs.get(record.job_id)
    if not applied.verdict.accepted and job and pool_of(job) in state.next_plan_ms:
        state = replace(
            state, next_plan_ms=state.next_plan_ms.set(pool_of(job), ctx.now_ms)
        )
    return leases.add_start(state, ctx, applied)


def _redistribute_tasks(state: JobsState, ctx: Context) -> JobsState:
    """Reassign tasks to hosts if the set of reachable hosts changed."""
    state, zones = drivers.refresh_zone_hosts(state, ctx)
    if not zones:
        return state
    job_ids = []
    for name, on_worker in ctx.fleet.jobs_on.items():
        worker = ctx.fleet.workers.get(name)
        zone = worker.availability_zone if worker else drivers.ALL_ZONES
        task_zone = zone if zone in state.zone_hosts else drivers.ALL_ZONES
        if task_zone in zones or zone in zones:
            job_ids.extend(on_worker)
    state = leases.update_tasks(state, ctx, frozenset(job_ids), from_log=False)
    return scheduling.schedule_plans(state, ctx, frozenset(state.next_plan_ms))


def _drop_expired_entries(state: JobsState, ctx: Context) -> JobsState:
    """Drop overdue placements, expired worker back-offs and finished evictions.

    The verdict of a placement that is overdue may never come.
    """
    pending_placements = state.pending_placements
    for job_id, pending in state.pending_placements.items():
        if ctx.now_ms - pending.at_ms >= const.PROPOSAL_TIMEOUT_MS:
            pending_placements = pending_placements.delete(job_id)
    avoided_until_ms = state.avoided_until_ms
    for worker, until_ms in state.avoided_until_ms.items():
        if ctx.now_ms >= until_ms:
            avoided_until_ms = avoided_until_ms.delete(worker)
    return _drop_evictions(
        replace(
            state,
            pending_placements=pending_placements,
            avoided_until_ms=avoided_until_ms,
        ),
        ctx,
    )


def _drop_evictions(state: JobsState, ctx: Context) -> JobsState:
    """Drop evictions that are completed or have timed out."""
    evictions = state.evictions
    for job_id, eviction in state.evictions.items():
        job = ctx.fleet.jobs.get(job_id)
        is_running = job is not None and job.phase is JobPhase.PLACED
        is_recent = ctx.now_ms - eviction.at_ms < const.EVICTION_TIMEOUT_MS
        if not is_running or not is_recent:
            evictions = evictions.delete(job_id)
    return replace(state, evictions=evictions)
