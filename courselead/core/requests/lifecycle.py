"""State transitions of a request that keep all counters and queues consistent."""

from dataclasses import replace

from courselead.core.effects import (
    Abort,
    Metric,
    Problem,
    ProblemKind,
    Propose,
    ReplyProblem,
    RunState,
    Send,
)
from courselead.core.events import AnswerEnded
from courselead.core.fleet.records import ClaimEnd, ClaimOutcome, ClaimsEnded
from courselead.core.requests import quota, targets, timers
from courselead.core.requests.fair_queue import FairQueue
from courselead.core.requests.queue import ServiceQueue
from courselead.core.requests.state import IN_FLIGHT, Phase, RequestState, Target
from courselead.core.requests.turn import Turn

MAX_KEPT_ANSWER_BYTES = 2_048

_EMPTY_LADDER = FairQueue()


def add_request(turn: Turn, req: RequestState, queue_limit: int) -> None:
    """Add a new request in its initial phase."""
    request_id = req.arrived.request_id
    queue = _get_queue(turn, req)
    if queue.limit != queue_limit:
        turn.queues = turn.queues.set(req.pool, replace(queue, limit=queue_limit))
    timers.schedule(turn, request_id, req.deadline_ms)
    turn.waiting += 1
    if req.phase is Phase.QUEUED:
        enqueue(turn, req, front=False)
        return
    turn.requests = turn.requests.set(request_id, req)
    _change_held_count(turn, req, 1)


def enqueue(turn: Turn, req: RequestState, front: bool) -> None:
    """Put a request that already counts as waiting into its queue."""
    arrived = req.arrived
    queue = _get_queue(turn, req)
    queue, position = queue.push(arrived.request_class, arrived.request_id, front)
    turn.queues = turn.queues.set(req.pool, queue)
    req = replace(req, phase=Phase.QUEUED, queue_position=position, since_ms=turn.now)
    turn.requests = turn.requests.set(arrived.request_id, req)
    mark_pool_ready(turn, req.pool)


def enqueue_held(turn: Turn, req: RequestState, front: bool) -> None:
    """Move a request that waited for a claim or a retry into its queue."""
    _change_held_count(turn, req, -1)
    enqueue(turn, req, front)


def end_attempt(turn: Turn, req: RequestState, maybe_ran: bool) -> RequestState:
    """Release the units of an attempt that ended without an answer.

    Returns:
        The request in phase DELAYED. The caller must schedule a retry or fail it.
    """
    release_units(turn, req)
    tried_workers = req.tried_workers
    if req.worker not in tried_workers:
        tried_workers = (*tried_workers, req.worker)
    req = replace(
        req,
        phase=Phase.DELAYED,
        due_ms=req.deadline_ms,
        tried_workers=tried_workers,
        worker="",
        quota="",
        since_ms=turn.now,
        maybe_ran=req.maybe_ran or maybe_ran,
    )
    turn.requests = turn.requests.set(req.arrived.request_id, req)
    turn.waiting += 1
    _change_held_count(turn, req, 1)
    return req


def schedule_retry(turn: Turn, req: RequestState, due_ms: int) -> None:
    """Set the time at which a DELAYED request returns to its queue."""
    request_id = req.arrived.request_id
    turn.requests = turn.requests.set(request_id, replace(req, due_ms=due_ms))
    timers.schedule(turn, request_id, due_ms)


def send_request(turn: Turn, req: RequestState, target: Target) -> None:
    """Send a request that has already been removed from its queue."""
    arrived = req.arrived
    attempt = req.attempt + 1
    turn.measure(Metric.QUEUE_MS, turn.now - req.since_ms, req)
    req = replace(
        req,
        phase=Phase.SENT,
        attempt=attempt,
        worker=target.worker,
        quota=target.quota,
        since_ms=turn.now,
    )
    turn.requests = turn.requests.set(arrived.request_id, req)
    turn.waiting -= 1
    turn.in_flight_count += 1
    quota.acquire_unit(turn, target.quota)
    quota.acquire_unit(turn, quota.service_quota(req.pool))
    quota.acquire_unit(turn, quota.account_quota(arrived.client_account))
    count = turn.in_flight_by_worker.get(target.worker, 0) + 1
    turn.in_flight_by_worker = turn.in_flight_by_worker.set(target.worker, count)
    turn.emit(
        Send(
            arrived.request_id,
            attempt,
            target.worker,
            target.address,
            not arrived.idempotent,
            req.deadline_ms - turn.now,
        )
    )


def release_units(turn: Turn, req: RequestState) -> None:
    """Release all units of a request in flight, and mark what may use them."""
    account = req.arrived.client_account
    turn.in_flight_count -= 1
    quota.release_unit(turn, req.quota)
    quota.release_unit(turn, quota.service_quota(req.pool))
    quota.release_unit(turn, quota.account_quota(account))
    count = turn.in_flight_by_worker[req.worker] - 1
    if count:
        turn.in_flight_by_worker = turn.in_flight_by_worker.set(req.worker, count)
    else:
        turn.in_flight_by_worker = turn.in_flight_by_worker.delete(req.worker)
    targets.mark_available(turn, req.worker)
    mark_pool_ready(turn, req.pool)
    mark_account_ready(turn, account)


def remove_request(turn: Turn, req: RequestState) -> None:
    """Remove a request in any phase and update all counters and queues."""
    request_id = req.arrived.request_id
    turn.requests = turn.requests.delete(request_id)
    if req.phase in IN_FLIGHT:
        release_units(turn, req)
        return
    turn.waiting -= 1
    if req.phase is not Phase.QUEUED:
        _change_held_count(turn, req, -1)
        return
    queue = turn.queues[req.pool].remove(req.arrived.request_class, req.queue_position)
    turn.queues = turn.queues.set(req.pool, queue)
    if not queue.queued:
        mark_pool_blocked(turn, req.pool)


def fail_request(
    turn: Turn,
    req: RequestState,
    kind: ProblemKind,
    detail: str,
    retry_after_ms: int = 0,
) -> None:
    """End a request with a problem; an attempt in flight is aborted.

    If the answer has already started, no problem is sent.
    """
    request_id = req.arrived.request_id
    sent = req.phase in IN_FLIGHT
    if sent:
        turn.emit(Abort(request_id, req.attempt))
    maybe_ran = sent or req.maybe_ran
    run = RunState.UNKNOWN if maybe_ran else RunState.NOT_RUN
    if req.phase is not Phase.ANSWERING:
        problem = Problem(kind, run, detail, retry_after_ms)
        turn.emit(ReplyProblem(request_id, problem))
    remove_request(turn, req)
    propose_claim_end(
        turn, req, ClaimOutcome.UNKNOWN if maybe_ran else ClaimOutcome.NOT_RUN
    )
    turn.measure(Metric.OUTCOME, 1, req, str(kind))


def propose_claim_end(
    turn: Turn,
    req: RequestState,
    outcome: ClaimOutcome,
    answer: AnswerEnded | None = None,
) -> None:
    """Propose a log record with the outcome of a request that holds a claim."""
    if not req.claimed:
        return
    arrived = req.arrived
    end = ClaimEnd(
        arrived.client_account,
        arrived.service,
        arrived.key,
        arrived.request_id,
        outcome,
    )
    if answer is not None:
        kept = answer.body_kept and len(answer.body) <= MAX_KEPT_ANSWER_BYTES
        end = replace(
            end,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body if kept else b"",
            body_kept=kept,
        )
    turn.emit(Propose(ClaimsEnded((end,))))


def mark_pool_ready(turn: Turn, pool: str) -> None:
    """Add a pool with queued requests to the fair-queueing order."""
    queue = turn.queues.get(pool)
    if queue is None or not queue.queued:
        return
    account = queue.client_account
    pool_order = turn.accounts.get(account)
    if pool_order is None or pool not in pool_order:
        pool_order = (pool_order or _EMPTY_LADDER).activate(pool)
        turn.accounts = turn.accounts.set(account, pool_order)
    turn.account_order = turn.account_order.activate(account)


def mark_account_ready(turn: Turn, client_account: str) -> None:
    """Add an account to the fair-queueing order if any of its pools is in it."""
    pool_order = turn.accounts.get(client_account)
    if pool_order is not None and pool_order.ready:
        turn.account_order = turn.account_order.activate(client_account)


def mark_pool_blocked(turn: Turn, pool: str) -> None:
    """Remove a pool from the fair-queueing order: nothing queued, or no free unit."""
    account = turn.queues[pool].client_account
    pool_order = turn.accounts.get(account)
    if pool_order is None:
        return
    pool_order = pool_order.deactivate(pool)
    turn.accounts = turn.accounts.set(account, pool_order)
    if not pool_order.ready:
        turn.account_order = turn.account_order.deactivate(account)


def _get_queue(turn: Turn, req: RequestState) -> ServiceQueue:
    """Return the queue of a request's pool, a new one if there is none."""
    queue = turn.queues.get(req.pool)
    if queue is None:
        queue = ServiceQueue(req.arrived.client_account)
    return queue


def _change_held_count(turn: Turn, req: RequestState, count: int) -> None:
    """Change the number of requests that wait outside the fifos."""
    queue = _get_queue(turn, req)
    queue = replace(queue, held=queue.held + count)
    turn.queues = turn.queues.set(req.pool, queue)
