"""Reducer of the fleet operations of one entry host: (state, event) to effects."""

from collections.abc import Iterable
from dataclasses import replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.effects import Effect
from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    BatchesRead,
    Event,
    LogReachable,
    MembersListed,
    SnapshotLoaded,
    Tick,
)
from courselead.core.fleet.records import HostBeat, HostLeft, HostLost, WorkersGone
from courselead.core.fleet.state import AppliedRecord, WorkerPhase, WorkerState
from courselead.core.operations import health, inventory, lifecycle, planner
from courselead.core.operations.draft import Draft, proposal_key
from courselead.core.operations.state import (
    PLAN_INTERVAL_MS,
    PROPOSAL_TIMEOUT_MS,
    SWEEP_INTERVAL_MS,
    SWEEPS_PER_STEADY_CHECK,
    OperationsState,
    Proposal,
)

STEADY_PHASES = frozenset({WorkerPhase.SERVING, WorkerPhase.FREE, WorkerPhase.GONE})
SETTLING_RECORDS = (HostBeat, HostLeft, HostLost)


def reduce(
    state: OperationsState, ctx: Context, event: Event
) -> tuple[OperationsState, tuple[Effect, ...]]:
    """Return the new state and the effects of an event.

    Args:
        state: Local state of the fleet operations.
        ctx: Shared state with the event's batches already applied, and the time.
        event: The event.
    """
    draft = Draft.from_state(state, ctx)
    if isinstance(event, Tick):
        _handle_tick(draft)
    elif isinstance(event, BatchesRead):
        _handle_batches(draft)
    elif isinstance(event, MembersListed):
        inventory.handle_list(draft, event)
        inventory.propose_changes(draft)
    elif isinstance(event, AgentAnswered):
        _handle_answer(draft, event)
    elif isinstance(event, AgentFailed):
        _handle_failure(draft, event)
    elif _is_log_resumed(event):
        # Verdicts on earlier proposals may have been missed.
        draft.state = replace(state, proposals=Map())
        for name in state.agents:
            _drop_if_gone(draft, name)
    return draft.finish()


def _is_log_resumed(event: Event) -> bool:
    """Return whether the log is reachable again, or a snapshot skipped part of it."""
    if isinstance(event, LogReachable):
        return event.up
    return isinstance(event, SnapshotLoaded)


def _handle_tick(draft: Draft) -> None:
    """Advance and poll the workers, and plan, each at its own interval."""
    state = draft.state
    if draft.now_ms - state.last_sweep_ms < SWEEP_INTERVAL_MS:
        return
    sweep_count = state.sweep_count + 1
    draft.state = replace(
        state,
        sweep_count=sweep_count,
        last_sweep_ms=draft.now_ms,
        proposals=_unexpired_proposals(draft),
    )
    if not draft.ctx.member:
        return
    for index, worker in enumerate(draft.ctx.fleet.workers.values()):
        is_steady = worker.phase in STEADY_PHASES and worker.worker not in state.failing
        if is_steady and (index + sweep_count) % SWEEPS_PER_STEADY_CHECK:
            continue
        _advance_worker(draft, worker)
    if draft.now_ms - state.last_plan_ms < PLAN_INTERVAL_MS:
        return
    draft.state = replace(
        draft.state, last_plan_ms=draft.now_ms, down_since_ms=_down_since_ms(draft)
    )
    inventory.propose_changes(draft)
    if draft.may_propose and not draft.ctx.leaving:
        planner.propose_plan(draft)
    draft.forget_unrequested_plans()


def _down_since_ms(draft: Draft) -> Map[str, int]:
    """Return when this host first saw each worker that is down now."""
    before = draft.state.down_since_ms
    found = {}
    for name, worker in draft.ctx.fleet.workers.items():
        if worker.phase is WorkerPhase.DOWN:
            found[name] = before.get(name, draft.now_ms)
    return Map(found)


def _advance_worker(draft: Draft, worker: WorkerState) -> None:
    """Take the next step of one worker."""
    if worker.phase is WorkerPhase.GONE:
        if worker.worker in draft.state.agents:
            draft.drop_view(worker.worker)
        return
    lifecycle.advance(draft, worker)
    health.poll_if_due(draft, worker)


def _handle_batches(draft: Draft) -> None:
    """Update this host's proposals and advance the workers that changed."""
    applied = draft.ctx.applied
    if not applied:
        return
    draft.state = replace(draft.state, proposals=_proposals_after(draft, applied))
    _drop_gone_workers(draft, applied)
    if not draft.ctx.member:
        return
    workers = draft.ctx.fleet.workers
    changed: dict[str, None] = {}
    may_settle = False
    for item in applied:
        if not item.verdict.accepted:
            continue
        may_settle = may_settle or isinstance(item.record, SETTLING_RECORDS)
        changed.update(dict.fromkeys(_workers_of(item.record)))
    for name in changed:
        worker = workers.get(name)
        if worker is not None:
            _advance_worker(draft, worker)
    if not may_settle:
        return
    for worker in workers.values():
        if worker.phase is WorkerPhase.STOPPING:
            lifecycle.advance(draft, worker)


def _drop_gone_workers(draft: Draft, applied: tuple[AppliedRecord, ...]) -> None:
    """Delete the views of workers that are gone, whether this host is a member or not.

    Otherwise a host that is no member would keep waiting for calls to them.
    """
    for item in applied:
        if not isinstance(item.record, WorkersGone):
            continue
        for name in _workers_of(item.record):
            _drop_if_gone(draft, name)


def _drop_if_gone(draft: Draft, name: str) -> None:
    """Delete the view of a worker if the worker is gone."""
    worker = draft.ctx.fleet.workers.get(name)
    if worker is not None and worker.phase is WorkerPhase.GONE:
        draft.drop_view(name)


def _handle_answer(draft: Draft, event: AgentAnswered) -> None:
    """Process an answer of an agent.

    An answer for another epoch or phase only shows that the agent is reachable.
    """
    worker = draft.ctx.fleet.workers.get(event.worker)
    if worker is None or event.op not in health.WORKER_OPS:
        return
    current = event.epoch == worker.epoch and _was_called_in_phase(draft, worker)
    if not current:
        health.record_contact(draft, worker)
        return
    known_boots = draft.get_view(worker).boots
    health.handle_answer(draft, worker, event)
    lifecycle.handle_answer(draft, worker, event, known_boots)


def _handle_failure(draft: Draft, event: AgentFailed) -> None:
    """Process a failed call to an agent."""
    worker = draft.ctx.fleet.workers.get(event.worker)
    if worker is None or event.op not in health.WORKER_OPS:
        return
    health.handle_failure(draft, worker, event)
    lifecycle.handle_failure(draft, worker)


def _was_called_in_phase(draft: Draft, worker: WorkerState) -> bool:
    """Return whether the latest call was made in the worker's current phase.

    An answer to an older call says nothing about the phase that began since.
    """
    return draft.get_view(worker).called_since == worker.since


def _unexpired_proposals(draft: Draft) -> Map[str, Proposal]:
    """Return the proposals that have not timed out."""
    proposals = draft.state.proposals
    for key, proposal in draft.state.proposals.items():
        if draft.now_ms - proposal.at_ms >= PROPOSAL_TIMEOUT_MS:
            proposals = proposals.delete(key)
    return proposals


def _proposals_after(
    draft: Draft, applied: tuple[AppliedRecord, ...]
) -> Map[str, Proposal]:
    """Return the remaining proposals after verdicts on some records.

    Accepted records are removed. Refused records of this host are kept, marked as
    refused, until they time out.
    """
    me = draft.ctx.me
    proposals = draft.state.proposals
    for item in applied:
        if not _workers_of(item.record):
            continue
        key = proposal_key(item.record)
        if key not in proposals:
            continue
        if item.verdict.accepted:
            proposals = proposals.delete(key)
            continue
        own = item.entry_host == me.entry_host and item.incarnation == me.incarnation
        if own:
            proposals = proposals.set(key, replace(proposals[key], refused=True))
    return proposals


def _workers_of(record: object) -> Iterable[str]:
    """Return the IDs of the workers that a record concerns."""
    worker = getattr(record, "worker", "")
    if worker:
        return (worker,)
    names = []
    for item in getattr(record, "workers", ()):
        names.append(item[0] if isinstance(item, tuple) else item.worker)
    return names
