"""Handlers for the outcome of a send attempt, and for callers that disconnect."""

from dataclasses import replace

from courselead.core.effects import Abort, Metric
from courselead.core.events import (
    AnswerBroken,
    AnswerEnded,
    AnswerStarted,
    CallerGone,
    NotRunReason,
    SendNotRun,
    SendUnknown,
)
from courselead.core.fleet.records import ClaimOutcome
from courselead.core.requests import health, lifecycle, retries
from courselead.core.requests.state import IN_FLIGHT, Phase, RequestState
from courselead.core.requests.turn import Turn


def handle_send_not_run(turn: Turn, event: SendNotRun) -> None:
    """Handle an attempt that did not run; the request may be retried elsewhere."""
    req = _find_current_attempt(turn, event.request_id, event.attempt)
    if req is None or req.phase is not Phase.SENT:
        return
    _record_not_run(turn, req, event.reason)
    req = lifecycle.end_attempt(turn, req, maybe_ran=False)
    retries.retry_after_not_run(turn, req)


def handle_send_unknown(turn: Turn, event: SendUnknown) -> None:
    """Handle an attempt that may have run."""
    req = _find_current_attempt(turn, event.request_id, event.attempt)
    if req is None or req.phase is not Phase.SENT:
        return
    _record_failure(turn, req)
    req = lifecycle.end_attempt(turn, req, maybe_ran=True)
    retries.retry_after_unknown(turn, req, event.detail)


def handle_answer_started(turn: Turn, event: AnswerStarted) -> None:
    """Handle the start of an answer to the caller."""
    req = _find_current_attempt(turn, event.request_id, event.attempt)
    if req is None or req.phase is not Phase.SENT:
        return
    req = replace(req, phase=Phase.ANSWERING)
    turn.requests = turn.requests.set(event.request_id, req)


def handle_answer_ended(turn: Turn, event: AnswerEnded) -> None:
    """Handle a complete answer and finish the request."""
    req = _find_current_attempt(turn, event.request_id, event.attempt)
    if req is None:
        return
    took_ms = turn.now - req.since_ms
    if _is_current_minion(turn, req):
        if event.status >= health.FIRST_ERROR_STATUS:
            health.record_failure(turn, req.worker)
        else:
            health.record_success(turn, req.worker, req.pool, took_ms)
    lifecycle.remove_request(turn, req)
    lifecycle.propose_claim_end(turn, req, ClaimOutcome.RAN, event)
    turn.measure(Metric.LATENCY_MS, took_ms, req)
    turn.measure(Metric.OUTCOME, 1, req, "answered")


def handle_answer_broken(turn: Turn, event: AnswerBroken) -> None:
    """Handle an answer that broke off; the caller sees the interrupted answer."""
    req = _find_current_attempt(turn, event.request_id, event.attempt)
    if req is None:
        return
    _record_failure(turn, req)
    lifecycle.remove_request(turn, req)
    lifecycle.propose_claim_end(turn, req, ClaimOutcome.UNKNOWN)
    turn.measure(Metric.OUTCOME, 1, req, "broken")


def handle_caller_gone(turn: Turn, event: CallerGone) -> None:
    """Handle a caller that disconnected: abort or dequeue its request."""
    req = turn.requests.get(event.request_id)
    if req is None:
        return
    sent = req.phase in IN_FLIGHT
    if sent:
        turn.emit(Abort(event.request_id, req.attempt))
    lifecycle.remove_request(turn, req)
    maybe_ran = sent or req.maybe_ran
    outcome = ClaimOutcome.UNKNOWN if maybe_ran else ClaimOutcome.NOT_RUN
    lifecycle.propose_claim_end(turn, req, outcome)
    turn.measure(Metric.OUTCOME, 1, req, "caller_gone")


def record_timeout(turn: Turn, req: RequestState) -> None:
    """Update the health data after a deadline passed while a request was in flight.

    The target is slow and may be down.
    """
    took_ms = turn.now - req.since_ms
    if not _is_current_minion(turn, req):
        return
    # The elapsed time is only a lower bound of the service time, so it is recorded
    # only if it exceeds the current estimate.
    if took_ms > health.expected_service_ms(turn, req.pool):
        health.record_service_time(turn, req.pool, took_ms)
    if req.phase is Phase.SENT and took_ms >= health.MIN_TIMEOUT_FAILURE_MS:
        health.record_failure(turn, req.worker)


def _find_current_attempt(
    turn: Turn, request_id: str, attempt: int
) -> RequestState | None:
    """Return the request if the event belongs to its newest attempt, else None."""
    req = turn.requests.get(request_id)
    if req is None or req.attempt != attempt or req.phase not in IN_FLIGHT:
        return None
    return req


def _is_current_minion(turn: Turn, req: RequestState) -> bool:
    """Return whether the minion the request was sent to is still the serving one."""
    target = turn.targets.get(req.worker)
    return target is not None and target.quota == req.quota


def _record_failure(turn: Turn, req: RequestState) -> None:
    """Record a failure of the minion that the request was sent to."""
    if _is_current_minion(turn, req):
        health.record_failure(turn, req.worker)


def _record_not_run(turn: Turn, req: RequestState, reason: NotRunReason) -> None:
    """Record that the minion did not take the request that was sent to it."""
    if _is_current_minion(turn, req):
        health.record_not_run(turn, req.worker, reason)
