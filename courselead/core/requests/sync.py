"""Update the data that is derived from the shared state."""

from collections.abc import Iterable

from immutables import Map

from courselead.core.effects import ProblemKind
from courselead.core.requests import admission, lifecycle, loans, quota, targets
from courselead.core.requests.state import IN_FLIGHT, Phase, RequestState
from courselead.core.requests.turn import Turn

REJOIN_RETRY_AFTER_MS = 2_000


def sync_with_fleet(turn: Turn) -> None:
    """Update all derived data if the shared state or the membership has changed."""
    before = turn.synced_fleet
    fleet = turn.ctx.fleet
    if before is not fleet:
        if turn.incarnation != turn.ctx.me.incarnation:
            _reset_loans(turn)
        loans.drop_loans_of_lost_peers(turn)
        pools = targets.sync_targets(turn, before)
        if quota.sync_bases(turn):
            retry_all_queued(turn)
        else:
            for pool in pools:
                lifecycle.mark_pool_ready(turn, pool)
        fail_evacuated_pools(turn, pools)
        turn.synced_fleet = fleet
    if turn.member and not turn.ctx.member:
        _handle_membership_loss(turn)
    turn.member = turn.ctx.member


def fail_evacuated_pools(turn: Turn, pools: Iterable[str]) -> None:
    """Fail the waiting requests of those pools that evacuations leave no target.

    This includes requests that a ceiling keeps from being tried.
    """
    refusals = {pool: admission.check_evacuations(turn, pool) for pool in pools}
    if not any(refusals.values()):
        return
    for req in waiting_requests(turn):
        refusal = refusals.get(req.pool)
        if refusal is not None:
            admission.fail_evacuated(turn, req, refusal)


def _reset_loans(turn: Turn) -> None:
    """Drop all loans when this host has a new incarnation.

    Peers have removed the old incarnation, so its loans in both directions are
    void. Its units still in use count as over the share until they are released.
    """
    turn.incarnation = turn.ctx.me.incarnation
    turn.lent = Map()
    turn.borrowed = Map()
    turn.shares = Map()


def apply_settled_shares(turn: Turn) -> None:
    """Drop share bases that have been settled, and retry queued work if any were."""
    if len(turn.bases) > 1 and quota.drop_settled_bases(turn):
        retry_all_queued(turn)


def retry_all_queued(turn: Turn) -> None:
    """Mark all targets and pools as ready to be tried again after a share change."""
    targets.mark_all_available(turn)
    for pool in sorted(turn.queues):
        lifecycle.mark_pool_ready(turn, pool)


def _handle_membership_loss(turn: Turn) -> None:
    """Fail all requests not in flight: without membership this host has no share."""
    for req in waiting_requests(turn):
        lifecycle.fail_request(
            turn,
            req,
            ProblemKind.LEAVING,
            "the fleet has written this entry host off; send it to another one",
            REJOIN_RETRY_AFTER_MS,
        )


def waiting_requests(turn: Turn, phase: Phase | None = None) -> list[RequestState]:
    """Return the requests not in flight, sorted by id.

    If a phase is given, only those in that phase are returned.
    """
    found = []
    for request_id in sorted(turn.requests):
        req = turn.requests[request_id]
        if req.phase in IN_FLIGHT:
            continue
        if phase is None or req.phase is phase:
            found.append(req)
    return found
