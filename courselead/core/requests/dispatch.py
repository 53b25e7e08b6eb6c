"""Start queued requests in fair-queueing order while quota units are free."""

from courselead.core.effects import ProblemKind
from courselead.core.requests import admission, health, lifecycle, quota, routing
from courselead.core.requests.state import MAX_IN_FLIGHT_PER_HOST, RequestState
from courselead.core.requests.turn import Turn


def start_queued_requests(turn: Turn) -> None:
    """Start queued requests until none can be started.

    A pool or account that cannot start anything is removed from the fair-queueing
    order until a relevant change adds it back, so each call only visits pools and
    accounts that may be able to start a request.
    """
    if not turn.member:
        return
    while turn.account_order.ready and turn.in_flight_count < MAX_IN_FLIGHT_PER_HOST:
        account = turn.account_order.first
        if not quota.has_free_unit(turn, quota.account_quota(account)):
            turn.account_order = turn.account_order.deactivate(account)
            continue
        pool = turn.accounts[account].first
        _start_next_of_pool(turn, account, pool)


def _start_next_of_pool(turn: Turn, account: str, pool: str) -> None:
    """Start the next request of a pool, or mark the pool as blocked."""
    row = turn.ctx.fleet.table.services.get(pool)
    if row is None or not quota.has_free_unit(turn, quota.service_quota(pool)):
        lifecycle.mark_pool_blocked(turn, pool)
        return
    queue = turn.queues[pool]
    fairness = turn.policies.fairness
    index = queue.next_class(fairness.class_cost)
    req = turn.requests[queue.head(index)]
    if req.deadline_ms <= turn.now:
        fail_past_deadline(turn, req)
        return
    if queue.queued > 1 and _would_miss_deadline(turn, req):
        fail_past_deadline(turn, req)
        return
    target = routing.choose(turn, req)
    if target is None:
        refusal = admission.check_evacuations(turn, pool)
        if refusal is not None:
            admission.fail_evacuated(turn, req, refusal)
            return
        lifecycle.mark_pool_blocked(turn, pool)
        return
    queue = queue.served(index, fairness.class_cost(index))
    turn.queues = turn.queues.set(pool, queue)
    lifecycle.send_request(turn, req, target)
    pools = turn.accounts[account].charge(pool, fairness.service_cost(row))
    turn.accounts = turn.accounts.set(account, pools)
    account_row = turn.ctx.fleet.table.accounts.get(account)
    turn.account_order = turn.account_order.charge(
        account, fairness.account_cost(account_row)
    )
    if not queue.queued:
        lifecycle.mark_pool_blocked(turn, pool)


def _would_miss_deadline(turn: Turn, req: RequestState) -> bool:
    """Return whether a request would most likely be cut off at its deadline.

    Checked only while other requests are queued, which can use the slot instead.
    """
    if not turn.policies.refuse_unmeetable_deadlines:
        return False
    left_ms = req.deadline_ms - turn.now
    return (
        left_ms
        < health.expected_service_ms(turn, req.pool)
        * admission.START_SERVICE_TIME_FACTOR
    )


def fail_past_deadline(turn: Turn, req: object) -> None:
    """Fail a request whose deadline has passed or cannot be met."""
    lifecycle.fail_request(
        turn,
        req,
        ProblemKind.DEADLINE,
        "the deadline passed; allow more time or send less at once",
    )
