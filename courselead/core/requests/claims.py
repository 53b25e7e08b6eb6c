"""Idempotency keys, which are claimed in the log before a request is sent."""

from dataclasses import dataclass, replace

from courselead.core.effects import (
    Effect,
    Metric,
    Problem,
    ProblemKind,
    Propose,
    ReplyProblem,
    ReplyReplay,
    RunState,
)
from courselead.core.events import RequestArrived
from courselead.core.fleet.claims import ClaimStatus, claim_status
from courselead.core.fleet.records import (
    Claim,
    ClaimEnd,
    ClaimOutcome,
    ClaimsEnded,
    ClaimsMade,
)
from courselead.core.fleet.state import AppliedRecord, ClaimKey
from courselead.core.requests import lifecycle, sync
from courselead.core.requests.state import Phase, RequestState
from courselead.core.requests.turn import Turn

# Every host keeps all claims of this period: 36,000 at ten per second for an hour.
CLAIM_TTL_MS = 3_600_000
KEY_IN_USE_RETRY_AFTER_MS = 1_000
LOG_DOWN_RETRY_AFTER_MS = 2_000
LOG_DOWN_DETAIL = (
    "the log that guards idempotency keys is not available, and nothing was "
    "run; send the request again later"
)


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to a request whose key belongs to an earlier request.

    Attributes:
        effect: Effect that answers the caller.
        label: Label of the outcome metric.
    """

    effect: Effect
    label: str


def needs_claim(event: RequestArrived) -> bool:
    """Return whether a request's key must be claimed before it is sent."""
    return bool(event.key) and not event.idempotent


def key_of(event: RequestArrived) -> ClaimKey:
    """Return the key under which the shared state stores a request's claim."""
    return (event.client_account, event.service, event.key)


def find_earlier_reply(turn: Turn, event: RequestArrived) -> ClaimReply | None:
    """Return the reply if the key is already known, None if it is free."""
    fleet = turn.ctx.fleet
    key = key_of(event)
    view = claim_status(fleet, key)
    if view is ClaimStatus.FREE:
        return None
    claim = fleet.claims[key]
    request_id = event.request_id
    if claim.fingerprint != event.fingerprint:
        return _problem_reply(
            request_id,
            ProblemKind.KEY_REUSED,
            RunState.NOT_RUN,
            "the idempotency key belongs to a different request; use a new key",
        )
    if view is ClaimStatus.PENDING_LIVE:
        return _problem_reply(
            request_id,
            ProblemKind.KEY_IN_USE,
            RunState.UNKNOWN,
            "a request with this idempotency key is under way; ask again later",
            KEY_IN_USE_RETRY_AFTER_MS,
        )
    if view is ClaimStatus.UNKNOWN:
        return _problem_reply(
            request_id,
            ProblemKind.KEY_UNKNOWN,
            RunState.UNKNOWN,
            "the earlier request with this idempotency key may have run; check "
            "its effect, then use a new key",
        )
    if claim.body_kept:
        replay = ReplyReplay(request_id, claim.status, claim.content_type, claim.body)
        return ClaimReply(replay, "replayed")
    return _problem_reply(
        request_id,
        ProblemKind.ALREADY_RAN,
        RunState.RAN,
        "the earlier request with this idempotency key ran; its answer was not kept",
        ran_status=claim.status,
    )


def propose_claim(turn: Turn, event: RequestArrived) -> None:
    """Propose a log record that claims a request's key."""
    me = turn.ctx.me
    claim = Claim(
        event.client_account,
        event.service,
        event.key,
        event.fingerprint,
        event.request_id,
        turn.ctx.wall_ms + CLAIM_TTL_MS,
    )
    turn.emit(Propose(ClaimsMade(me.entry_host, me.incarnation, (claim,))))


def handle_applied_claims(turn: Turn) -> None:
    """Handle this host's claims among the log records just applied."""
    me = turn.ctx.me
    for applied in turn.ctx.applied:
        record = applied.record
        if not isinstance(record, ClaimsMade) or record.entry_host != me.entry_host:
            continue
        for claim in record.claims:
            _handle_applied_claim(turn, applied, claim)


def recheck_after_snapshot(turn: Turn) -> None:
    """Look up this host's claims after loading a snapshot skipped log records.

    A claim that the snapshot does not contain may still be applied later, so its
    request keeps waiting.
    """
    for req in sync.waiting_requests(turn, Phase.CLAIMING):
        held = turn.ctx.fleet.claims.get(key_of(req.arrived))
        if held is None:
            continue
        is_own = held.request_id == req.arrived.request_id
        if is_own and held.outcome is ClaimOutcome.PENDING:
            lifecycle.enqueue_held(turn, replace(req, claimed=True), front=False)
            continue
        _answer_lost_claim(turn, req)


def handle_log_unreachable(turn: Turn) -> None:
    """Fail all requests that wait for a claim while the log is unreachable."""
    for req in sync.waiting_requests(turn, Phase.CLAIMING):
        lifecycle.fail_request(
            turn, req, ProblemKind.LOG_DOWN, LOG_DOWN_DETAIL, LOG_DOWN_RETRY_AFTER_MS
        )


def _handle_applied_claim(turn: Turn, applied: AppliedRecord, claim: Claim) -> None:
    """Handle one of this host's claims after it was applied."""
    key = (claim.client_account, claim.service, claim.key)
    held = turn.ctx.fleet.claims.get(key)
    won = (
        held is not None
        and held.request_id == claim.request_id
        and held.offset == applied.offset
        and held.outcome is ClaimOutcome.PENDING
    )
    req = turn.requests.get(claim.request_id)
    if req is None:
        if won:
            _free_key(turn, claim)
        return
    if req.phase is not Phase.CLAIMING:
        return
    if won and req.deadline_ms > turn.now:
        lifecycle.enqueue_held(turn, replace(req, claimed=True), front=False)
        return
    if won:
        lifecycle.fail_request(
            turn,
            replace(req, claimed=True),
            ProblemKind.DEADLINE,
            "the deadline passed before the key was claimed; allow more time",
        )
        return
    _answer_lost_claim(turn, req)


def _free_key(turn: Turn, claim: Claim) -> None:
    """Release the key of a request that was answered without being sent."""
    end = ClaimEnd(
        claim.client_account,
        claim.service,
        claim.key,
        claim.request_id,
        ClaimOutcome.NOT_RUN,
    )
    turn.emit(Propose(ClaimsEnded((end,))))


def _answer_lost_claim(turn: Turn, req: RequestState) -> None:
    """Answer a request whose claim lost to another request or was rejected."""
    reply = find_earlier_reply(turn, req.arrived)
    if reply is None:
        # The claim was rejected, and no other request holds the key (any more).
        lifecycle.fail_request(
            turn, req, ProblemKind.LOG_DOWN, LOG_DOWN_DETAIL, LOG_DOWN_RETRY_AFTER_MS
        )
        return
    lifecycle.remove_request(turn, req)
    turn.emit(reply.effect)
    turn.measure(Metric.OUTCOME, 1, req, reply.label)


def _problem_reply(
    request_id: str,
    kind: ProblemKind,
    run: RunState,
    detail: str,
    retry_after_ms: int = 0,
    ran_status: int = 0,
) -> ClaimReply:
    """Return a reply that carries a problem."""
    problem = Problem(kind, run, detail, retry_after_ms, ran_status)
    return ClaimReply(ReplyProblem(request_id, problem), str(kind))
