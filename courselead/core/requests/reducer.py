"""Reducer of the request path: dispatches events to their handlers."""

from collections.abc import Callable

from courselead.core.context import Context
from courselead.core.effects import Effect
from courselead.core.events import (
    AnswerBroken,
    AnswerEnded,
    AnswerStarted,
    BatchesRead,
    CallerGone,
    Event,
    LeaveAsked,
    LogReachable,
    MembersListed,
    PeerReachable,
    PeerReported,
    RequestArrived,
    SendNotRun,
    SendUnknown,
    SnapshotLoaded,
    Tick,
)
from courselead.core.fleet.state import WorkerPhase
from courselead.core.requests import (
    arrivals,
    attempts,
    claims,
    health,
    lifecycle,
    loans,
    reports,
    sync,
    targets,
    timers,
)
from courselead.core.requests.dispatch import fail_past_deadline, start_queued_requests
from courselead.core.requests.state import (
    IGNORE_OLDER_LIST_MS,
    IN_FLIGHT,
    RequestsState,
)
from courselead.core.requests.turn import Turn

REQUEST_PATH_EVENTS = (
    RequestArrived,
    CallerGone,
    SendNotRun,
    SendUnknown,
    AnswerStarted,
    AnswerEnded,
    AnswerBroken,
    PeerReported,
    PeerReachable,
)


def reduce(
    state: RequestsState, ctx: Context, event: Event
) -> tuple[RequestsState, tuple[Effect, ...]]:
    """Process one event and return the next state and its effects."""
    turn = Turn(state, ctx)
    if turn.synced_fleet is not ctx.fleet or turn.member != ctx.member:
        sync.sync_with_fleet(turn)
    _process_due_requests(turn)
    handler = _HANDLERS.get(type(event))
    if handler is not None:
        handler(turn, event)
    start_queued_requests(turn)
    return turn.freeze(), tuple(turn.effects)


def _process_due_requests(turn: Turn) -> None:
    """Process the requests whose deadline or retry time has passed."""
    for due in timers.pop_due(turn):
        req = turn.requests.get(due.arrived.request_id)
        if req is None or timers.due_ms(req) > turn.now:
            continue
        if req.deadline_ms > turn.now:
            lifecycle.enqueue_held(turn, req, front=True)
            continue
        if req.phase in IN_FLIGHT:
            attempts.record_timeout(turn, req)
        fail_past_deadline(turn, req)


def _on_tick(turn: Turn, event: Tick) -> None:
    for worker in health.pop_expired_cooldowns(turn):
        target = turn.targets.get(worker)
        if target is None:
            continue
        targets.mark_available(turn, worker)
        lifecycle.mark_pool_ready(turn, target.pool)
    sync.apply_settled_shares(turn)
    loans.reclaim_from_silent_peers(turn)
    reports.send_reports(turn)


def _on_batches(turn: Turn, event: BatchesRead) -> None:
    claims.handle_applied_claims(turn)


def _on_snapshot(turn: Turn, event: SnapshotLoaded) -> None:
    claims.recheck_after_snapshot(turn)


def _on_log(turn: Turn, event: LogReachable) -> None:
    if not event.up:
        claims.handle_log_unreachable(turn)


def _on_members(turn: Turn, event: MembersListed) -> None:
    # The platform's list lags by varying times. An older list would let a leaving
    # worker be used again, so it is ignored, but only for `IGNORE_OLDER_LIST_MS`.
    older = event.version < turn.list_version
    if older and turn.now - turn.listed_ms < IGNORE_OLDER_LIST_MS:
        return
    turn.list_version = event.version
    turn.listed_ms = turn.now
    leaving = frozenset(event.leaving_workers)
    leaving |= _removed_from_list(turn, event, turn.leaving_workers - leaving)
    back = sorted(turn.leaving_workers - leaving)
    newly_leaving = leaving - turn.leaving_workers
    turn.leaving_workers = leaving
    smaller_pools = {
        turn.targets[name].pool for name in newly_leaving if name in turn.targets
    }
    sync.fail_evacuated_pools(turn, smaller_pools)
    for worker in back:
        target = turn.targets.get(worker)
        if target is None:
            continue
        targets.mark_available(turn, worker)
        lifecycle.mark_pool_ready(turn, target.pool)


def _removed_from_list(
    turn: Turn, event: MembersListed, before: frozenset[str]
) -> frozenset[str]:
    """Return the workers that were leaving and are no longer in the list.

    They are not used again until the shared state records them as gone.
    """
    if not before:
        return before
    gone = before - {info.worker for info in event.workers}
    workers = turn.ctx.fleet.workers
    known = [name for name in gone if name in workers]
    return frozenset(
        name for name in known if workers[name].phase is not WorkerPhase.GONE
    )


def _on_leave(turn: Turn, event: LeaveAsked) -> None:
    turn.leaving = True


def _on_reachable(turn: Turn, event: PeerReachable) -> None:
    if event.up:
        turn.unreachable = turn.unreachable - {event.entry_host}
        return
    turn.unreachable = turn.unreachable | {event.entry_host}


_HANDLERS: dict[type, Callable[[Turn, Event], None]] = {
    RequestArrived: arrivals.handle_request_arrived,
    CallerGone: attempts.handle_caller_gone,
    SendNotRun: attempts.handle_send_not_run,
    SendUnknown: attempts.handle_send_unknown,
    AnswerStarted: attempts.handle_answer_started,
    AnswerEnded: attempts.handle_answer_ended,
    AnswerBroken: attempts.handle_answer_broken,
    Tick: _on_tick,
    BatchesRead: _on_batches,
    SnapshotLoaded: _on_snapshot,
    LogReachable: _on_log,
    MembersListed: _on_members,
    LeaveAsked: _on_leave,
    PeerReported: loans.handle_peer_report,
    PeerReachable: _on_reachable,
}
