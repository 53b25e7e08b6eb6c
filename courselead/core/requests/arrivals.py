"""Handling of new requests: refuse, answer from a stored claim, or admit."""

from courselead.core.effects import (
    LogEvent,
    Metric,
    Problem,
    ProblemKind,
    RecordMetric,
    ReplyProblem,
    RunState,
)
from courselead.core.events import RequestArrived
from courselead.core.requests import admission, claims, lifecycle, retries
from courselead.core.requests.admission import Refusal
from courselead.core.requests.state import MAX_EXCHANGE_MS, Phase, RequestState
from courselead.core.requests.turn import Turn
from courselead.core.table import ServiceRow, pool_name


def handle_request_arrived(turn: Turn, event: RequestArrived) -> None:
    """Admit a request, or send its final answer at once."""
    if event.request_id in turn.requests:
        fields = (("request_id", event.request_id),)
        turn.emit(LogEvent("error", "request_id_in_use", fields))
        return
    pool = pool_name(event.client_account, event.service)
    row = turn.ctx.fleet.table.services.get(pool)
    if row is None:
        _refuse(
            turn,
            event,
            Refusal(
                ProblemKind.NO_SUCH_SERVICE,
                "the table has no such service; check its name or add its row",
            ),
        )
        return
    refusal = admission.check_host_and_deadline(turn, event)
    if refusal is not None:
        _refuse(turn, event, refusal)
        return
    if claims.needs_claim(event):
        _arrived_with_key(turn, event, row)
        return
    refusal = admission.check_capacity(turn, event, row)
    if refusal is not None:
        _refuse(turn, event, refusal)
        return
    _admit(turn, event, row, Phase.QUEUED)


def _arrived_with_key(turn: Turn, event: RequestArrived, row: ServiceRow) -> None:
    """Handle a request whose idempotency key must be claimed before it is sent."""
    reply = claims.find_earlier_reply(turn, event)
    if reply is not None:
        turn.emit(reply.effect)
        _measure_outcome(turn, event, reply.label)
        return
    if not turn.ctx.log_up:
        detail = claims.LOG_DOWN_DETAIL
        kind = ProblemKind.LOG_DOWN
        _refuse(turn, event, Refusal(kind, detail, claims.LOG_DOWN_RETRY_AFTER_MS))
        return
    refusal = admission.check_capacity(turn, event, row)
    if refusal is not None:
        _refuse(turn, event, refusal)
        return
    _admit(turn, event, row, Phase.CLAIMING)
    claims.propose_claim(turn, event)


def _admit(turn: Turn, event: RequestArrived, row: ServiceRow, phase: Phase) -> None:
    """Admit a request in its initial phase and enforce the limit per host."""
    deadline_ms = min(event.deadline_ms, turn.now + MAX_EXCHANGE_MS)
    req = RequestState(event, row.pool, deadline_ms, phase, since_ms=turn.now)
    retries.add_retry_tokens(turn, event.client_account)
    lifecycle.add_request(turn, req, row.queue_limit)
    admission.enforce_waiting_limit(turn)


def _refuse(turn: Turn, event: RequestArrived, refusal: Refusal) -> None:
    """Reply with a refusal; the request was not run."""
    problem = Problem(
        refusal.kind, RunState.NOT_RUN, refusal.detail, refusal.retry_after_ms
    )
    turn.emit(ReplyProblem(event.request_id, problem))
    _measure_outcome(turn, event, str(refusal.kind))


def _measure_outcome(turn: Turn, event: RequestArrived, label: str) -> None:
    """Emit the outcome metric of a request that was not admitted."""
    cls = str(event.request_class)
    turn.emit(RecordMetric(Metric.OUTCOME, 1, event.client_account, cls, label))
