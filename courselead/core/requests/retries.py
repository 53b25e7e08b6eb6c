"""Retries of failed attempts, limited by a budget per client account."""

from courselead.core.effects import Metric, ProblemKind
from courselead.core.requests import lifecycle
from courselead.core.requests.state import RequestState, RetryBucket
from courselead.core.requests.turn import Turn

RETRY_AFTER_MS = 1_000


def add_retry_tokens(turn: Turn, client_account: str) -> None:
    """Add the tokens earned by one request to its account's retry budget."""
    policy = turn.policies.retry
    tokens = _tokens(turn, client_account) + policy.ratio
    bucket = RetryBucket(min(policy.burst, tokens), turn.now)
    turn.retry_budgets = turn.retry_budgets.set(client_account, bucket)


def retry_after_not_run(turn: Turn, req: RequestState) -> None:
    """Retry after an attempt that did not run, or fail the request."""
    _retry(turn, req, ProblemKind.TARGET_FAILED, "no target took the request")


def retry_after_unknown(turn: Turn, req: RequestState, detail: str) -> None:
    """Retry an idempotent request after an attempt that may have run, else fail it."""
    if req.arrived.idempotent:
        _retry(turn, req, ProblemKind.TARGET_BROKE, "the target broke off")
        return
    _send_problem(
        turn,
        req,
        ProblemKind.TARGET_BROKE,
        f"the target broke off ({detail}) and may have run the request; "
        "check its effect before sending it again",
    )


def _retry(turn: Turn, req: RequestState, kind: ProblemKind, reason: str) -> None:
    """Schedule the next attempt of a request, or fail it if no retry is allowed.

    Args:
        turn: Working copy of the state.
        req: Request in phase DELAYED whose attempt has ended.
        kind: Kind of the problem if the attempts are used up.
        reason: First part of the problem's detail.
    """
    policy = turn.policies.retry
    arrived = req.arrived
    if req.deadline_ms <= turn.now:
        detail = f"{reason} before the deadline; allow more time"
        _send_problem(turn, req, ProblemKind.DEADLINE, detail)
        return
    if req.attempt >= policy.max_attempts:
        detail = f"{reason} in {req.attempt} attempts; try again later"
        _send_problem(turn, req, kind, detail)
        return
    seed = turn.ctx.me.seed
    due_ms = turn.now + policy.delay_ms(seed, arrived.request_id, req.attempt)
    if due_ms >= req.deadline_ms:
        detail = f"{reason} and no time is left for a retry; allow more time"
        _send_problem(turn, req, kind, detail)
        return
    tokens = _tokens(turn, arrived.client_account)
    if tokens < 1.0:
        detail = f"{reason} and the account's retry budget is spent; try again later"
        _send_problem(turn, req, ProblemKind.RETRY_BUDGET, detail)
        return
    bucket = RetryBucket(tokens - 1.0, turn.now)
    turn.retry_budgets = turn.retry_budgets.set(arrived.client_account, bucket)
    turn.measure(Metric.RETRY, 1, req, str(kind))
    lifecycle.schedule_retry(turn, req, due_ms)


def _send_problem(
    turn: Turn, req: RequestState, kind: ProblemKind, detail: str
) -> None:
    """Fail a request whose attempt has ended."""
    lifecycle.fail_request(turn, req, kind, detail, RETRY_AFTER_MS)


def _tokens(turn: Turn, client_account: str) -> float:
    """Return an account's retry tokens as of now."""
    policy = turn.policies.retry
    bucket = turn.retry_budgets.get(client_account)
    if bucket is None:
        return policy.burst
    gained = (turn.now - bucket.at_ms) * policy.floor_per_s / 1_000
    return min(policy.burst, bucket.tokens + gained)
