"""Admission control: bounded queues and refusal of requests that cannot finish.

With the policy `refuse_unmeetable_deadlines`, a request that is not expected to finish
by its deadline is refused at once, with a retry time estimated from the current
backlog.
"""

from dataclasses import dataclass

from courselead.core.effects import ProblemKind
from courselead.core.events import RequestArrived
from courselead.core.requests import health, lifecycle, quota, targets
from courselead.core.requests.policies import FairnessPolicy
from courselead.core.requests.queue import CLASS_INDEX, ServiceQueue
from courselead.core.requests.state import MAX_WAITING_PER_HOST, RequestState
from courselead.core.requests.turn import Turn
from courselead.core.table import ServiceRow

DEFAULT_RETRY_AFTER_MS = 1_000
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 60_000
# An evacuation has no announced end, and most last longer than this.
EVACUATED_RETRY_AFTER_MS = 5_000
WAIT_TIME_FACTOR = 1.25
ADMISSION_SERVICE_TIME_FACTOR = 3.0
START_SERVICE_TIME_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason for not admitting a request.

    Attributes:
        retry_after_ms: Delay before a retry, 0 if a retry does not help.
    """

    kind: ProblemKind
    detail: str
    retry_after_ms: int = 0


def check_host_and_deadline(turn: Turn, event: RequestArrived) -> Refusal | None:
    """Return the refusal if the host cannot take requests or the deadline has passed.

    The host cannot take requests while it is shutting down or is not a member of the
    fleet: it has not joined yet or has been declared lost. Returns None otherwise.
    """
    if turn.leaving or turn.ctx.leaving:
        return Refusal(
            ProblemKind.LEAVING,
            "this entry host is stopping; send the request to another one",
            MIN_RETRY_AFTER_MS,
        )
    if event.deadline_ms <= turn.now:
        return Refusal(
            ProblemKind.DEADLINE,
            "the deadline had passed when the request came; allow more time",
        )
    if not turn.member:
        return Refusal(
            ProblemKind.LOG_DOWN,
            "this entry host is not yet a member of the fleet; use another one",
            DEFAULT_RETRY_AFTER_MS,
        )
    return None


def check_capacity(
    turn: Turn, event: RequestArrived, row: ServiceRow
) -> Refusal | None:
    """Return why the service cannot run the request in time, None if it can."""
    pool = row.pool
    view = turn.pools.get(pool)
    if view is None or not view.members:
        return Refusal(
            ProblemKind.NO_TARGET,
            "no worker of the service's pool serves now; try again later",
            DEFAULT_RETRY_AFTER_MS,
        )
    refusal = check_evacuations(turn, pool)
    if refusal is not None:
        return refusal
    queue = turn.queues.get(pool)
    if queue is None:
        queue = ServiceQueue(event.client_account)
    if queue.waiting >= row.queue_limit:
        return _refuse(
            turn,
            pool,
            ProblemKind.QUEUE_FULL,
            "the service's queue is full; send less at once or raise queue_limit",
            backlog_ms(turn, pool, queue.waiting),
        )
    if not turn.policies.refuse_unmeetable_deadlines:
        return None
    service_ms = health.expected_service_ms(turn, pool)
    ahead = count_ahead(queue, event, turn.policies.fairness)
    wait_ms = backlog_ms(turn, pool, ahead)
    if turn.now + needed_ms(wait_ms, service_ms) <= event.deadline_ms:
        return None
    return _refuse(
        turn,
        pool,
        ProblemKind.CANNOT_FINISH,
        "the request would not end by its deadline; allow more time or come later",
        wait_ms,
    )


def check_evacuations(turn: Turn, pool: str) -> Refusal | None:
    """Return the refusal if evacuations leave a pool no target, None otherwise.

    A worker that the platform is reclaiming is no target for new requests either.
    """
    view = turn.pools.get(pool)
    if not turn.ctx.fleet.evacuations or view is None:
        return None
    zones = set()
    for worker in view.members:
        target = turn.targets[worker]
        if targets.is_evacuated(turn, target):
            zones.add(target.availability_zone)
        elif worker not in turn.leaving_workers:
            return None
    if not zones:
        return None
    names = ", ".join(sorted(zones))
    return Refusal(
        ProblemKind.EVACUATED,
        f"no target is left, because availability zones are evacuated ({names}); "
        "try again later",
        EVACUATED_RETRY_AFTER_MS,
    )


def fail_evacuated(turn: Turn, req: RequestState, refusal: Refusal) -> None:
    """Fail a waiting request that evacuations leave no target."""
    lifecycle.fail_request(
        turn, req, refusal.kind, refusal.detail, refusal.retry_after_ms
    )


def needed_ms(wait_ms: int, service_ms: float) -> float:
    """Return the time that a new request needs until its deadline to be admitted.

    A request that has to wait must leave a margin for a slow service: it occupies a
    slot that others need, and the work is lost if its deadline cuts it off.
    """
    if wait_ms <= 0:
        return service_ms
    return wait_ms * WAIT_TIME_FACTOR + service_ms * ADMISSION_SERVICE_TIME_FACTOR


def count_ahead(
    queue: ServiceQueue, event: RequestArrived, fairness: FairnessPolicy
) -> int:
    """Return how many queued requests start before a new one.

    All queued requests of its own class do. Of another class, at most as many
    start as its weight grants in the meantime.
    """
    own = CLASS_INDEX[event.request_class]
    own_cost = fairness.class_cost(own)
    own_queued = len(queue.fifos[own].items)
    ahead = own_queued
    for index, fifo in enumerate(queue.fifos):
        if index == own or not fifo.items:
            continue
        granted = (own_queued + 1) * own_cost // fairness.class_cost(index)
        ahead += min(len(fifo.items), granted)
    return ahead


def backlog_ms(turn: Turn, pool: str, count: int) -> int:
    """Return how long starting `count` queued requests takes, in milliseconds.

    The drain rate is the number of requests in flight divided by the measured
    service time. The number in flight reflects all limits in effect (slots, loans,
    ceilings). Returns 0 if the rate is not known.
    """
    if count <= 0:
        return 0
    in_flight = turn.in_use.get(quota.service_quota(pool), 0)
    service_ms = health.expected_service_ms(turn, pool)
    if not in_flight or not service_ms:
        return 0
    return int(count * service_ms / in_flight)


def enforce_waiting_limit(turn: Turn) -> None:
    """Fail requests until no more than `MAX_WAITING_PER_HOST` are waiting.

    Each time, the newest request in the longest queue of the account most over its
    share is failed. An account that floods the host thus bears the cost itself.
    """
    while turn.waiting > MAX_WAITING_PER_HOST:
        pool = _longest_queue_over_share(turn)
        if not pool:
            return
        req = _newest_queued(turn, pool)
        lifecycle.fail_request(
            turn,
            req,
            ProblemKind.OVERLOAD,
            "the entry host's queues are full and the account is over its share; "
            "send less at once",
            _clamp_retry_after_ms(backlog_ms(turn, pool, turn.queues[pool].waiting)),
        )


def _longest_queue_over_share(turn: Turn) -> str:
    """Return the pool with the longest queue of the account most over its share.

    Returns "" if nothing is queued.
    """
    by_account: dict[str, int] = {}
    longest: dict[str, tuple[int, str]] = {}
    for pool, queue in turn.queues.items():
        if not queue.queued:
            continue
        account = queue.client_account
        by_account[account] = by_account.get(account, 0) + queue.queued
        longest[account] = max(longest.get(account, (0, "")), (queue.queued, pool))
    if not by_account:
        return ""
    rows = turn.ctx.fleet.table.accounts
    cost = turn.policies.fairness.account_cost
    load = {name: count * cost(rows.get(name)) for name, count in by_account.items()}
    worst = max(load, key=lambda name: (load[name], name))
    return longest[worst][1]


def _newest_queued(turn: Turn, pool: str) -> RequestState:
    """Return the newest queued request of the lowest class in a pool's queue."""
    for fifo in reversed(turn.queues[pool].fifos):
        if fifo.items:
            return turn.requests[fifo.last()]
    raise AssertionError(f"pool {pool} counts queued requests but its queue is empty")


def _refuse(
    turn: Turn, pool: str, kind: ProblemKind, detail: str, wait_ms: int
) -> Refusal:
    """Return a refusal; if a ceiling is reached, it states that instead."""
    account = turn.ctx.fleet.table.services[pool].client_account
    service_open = quota.has_free_unit(turn, quota.service_quota(pool))
    account_open = quota.has_free_unit(turn, quota.account_quota(account))
    if not service_open or not account_open:
        kind = ProblemKind.CEILING
        detail = "a ceiling of requests in flight is reached; send less at once"
    return Refusal(kind, detail, _clamp_retry_after_ms(wait_ms))


def _clamp_retry_after_ms(wait_ms: int) -> int:
    """Return a wait limited to the range of retry times sent to callers."""
    if wait_ms <= 0:
        return DEFAULT_RETRY_AFTER_MS
    return max(MIN_RETRY_AFTER_MS, min(wait_ms, MAX_RETRY_AFTER_MS))
