"""Invariants of the request state; the daemon counts violations."""

from collections import Counter

from courselead.core.context import Context
from courselead.core.fleet.queries import is_live
from courselead.core.fleet.state import FleetState
from courselead.core.identity import Identity
from courselead.core.requests import quota
from courselead.core.requests.state import (
    IN_FLIGHT,
    MAX_WAITING_PER_HOST,
    Phase,
    RequestsState,
)
from courselead.core.requests.turn import Turn


def check_requests(
    state: RequestsState, fleet: FleetState, me: Identity
) -> tuple[str, ...]:
    """Return one sentence for each violated invariant, () if all hold."""
    faults: list[str] = []
    _check_counts(state, faults)
    _check_queues(state, faults)
    _check_quotas(state, fleet, me, faults)
    return tuple(faults)


def _check_counts(state: RequestsState, faults: list[str]) -> None:
    """Compare the counters with the requests in flight."""
    in_use: Counter[str] = Counter()
    in_flight_by_worker: Counter[str] = Counter()
    in_flight_count = 0
    for req in state.requests.values():
        if req.phase not in IN_FLIGHT:
            continue
        in_flight_count += 1
        in_flight_by_worker[req.worker] += 1
        in_use[req.quota] += 1
        in_use[quota.service_quota(req.pool)] += 1
        in_use[quota.account_quota(req.arrived.client_account)] += 1
    if dict(state.in_use) != dict(in_use):
        faults.append("units in use differ from the requests in flight")
    if dict(state.in_flight_by_worker) != dict(in_flight_by_worker):
        faults.append("requests by worker differ from the requests in flight")
    if state.in_flight_count != in_flight_count:
        faults.append("the total in flight differs from the requests in flight")
    if state.in_flight_count + state.waiting != len(state.requests):
        faults.append("a request is neither in flight nor waiting, or is both")


def _check_queues(state: RequestsState, faults: list[str]) -> None:
    """Compare the queues with the phases of the requests, and check their limits."""
    waiting = 0
    for pool, queue in state.queues.items():
        waiting += queue.waiting
        queued = 0
        first_attempts = 0
        for fifo in queue.fifos:
            for position, request_id in fifo.items.items():
                queued += 1
                req = state.requests.get(request_id)
                if (
                    req is None
                    or req.phase is not Phase.QUEUED
                    or req.queue_position != position
                ):
                    faults.append(
                        f"{pool} queues a request that is not at that position"
                    )
                elif req.attempt == 0:
                    first_attempts += 1
        if queued != queue.queued:
            faults.append(
                f"{pool} has a queue length that differs from its queued requests"
            )
        if first_attempts > queue.limit:
            faults.append(f"{pool} queues more requests than its limit")
        pool_order = state.accounts.get(queue.client_account)
        if not queue.queued and pool_order is not None and pool in pool_order:
            faults.append(
                f"{pool} is in the fair-queueing order but has no queued request"
            )
    if waiting != state.waiting:
        faults.append("the total waiting differs from the queues")
    if state.waiting > MAX_WAITING_PER_HOST:
        faults.append("more requests wait than the limit per host")


def _check_quotas(
    state: RequestsState, fleet: FleetState, me: Identity, faults: list[str]
) -> None:
    """Compare the units in use with the current shares and loans.

    While a change of the host list is being settled, use may exceed the new share.
    The change must then be reported as not settled.
    """
    member = is_live(fleet, me.entry_host, me.incarnation)
    turn = Turn(state, Context(me, fleet, (), True, member, False, 0, 0))
    for name in {*state.in_use, *state.lent}:
        if not quota.is_current(turn, name):
            continue
        if quota.units_over_share(turn, name) <= 0:
            continue
        if len(state.bases) > 1 and state.over_share:
            continue
        faults.append(f"{name} is used above the current share and loans")
