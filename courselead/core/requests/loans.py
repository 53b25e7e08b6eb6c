"""Loans of idle quota units between entry hosts.

A report states the total units lent per quota. The borrower may start sends on a
loan for `LOAN_VALIDITY_MS` after receiving it, by its own clock. The lender counts
units as used from the first report that offers them, until a report that the
borrower made after receiving that offer states that it holds fewer. A report lists
the held units by quota name; under `HEARD_SERIAL_KEY` it carries the serial number
of the newest report received from the peer.
"""

from dataclasses import replace

from immutables import Map

from courselead.core.events import Loan, PeerReport, PeerReported
from courselead.core.fleet.queries import is_live
from courselead.core.requests import lifecycle, quota, targets
from courselead.core.requests.state import (
    LOAN_VALIDITY_MS,
    MAX_EXCHANGE_MS,
    BorrowedUnits,
    LentUnits,
    PeerView,
)
from courselead.core.requests.turn import Turn

HEARD_SERIAL_KEY = "heard"

# Assumed maximum time that a report is in transit.
MAX_REPORT_DELAY_MS = 5_000
LOAN_RECLAIM_AFTER_MS = LOAN_VALIDITY_MS + MAX_EXCHANGE_MS + MAX_REPORT_DELAY_MS


def handle_peer_report(turn: Turn, event: PeerReported) -> None:
    """Apply a peer's report; drop it if out of order or not from a live host."""
    report = event.report
    peer = report.entry_host
    if not is_live(turn.ctx.fleet, peer, report.incarnation):
        return
    known = turn.peers.get(peer)
    if known is not None and not _is_newer(known, report):
        return
    turn.peers = turn.peers.set(
        peer,
        PeerView(
            report.incarnation,
            report.serial,
            turn.now,
            Map(report.wants),
            Map(report.in_flight),
        ),
    )
    _update_lent(turn, peer, Map(report.holding))
    _update_borrowed(turn, peer, report.loans)


def reclaim_from_silent_peers(turn: Turn) -> None:
    """Reclaim the units lent to peers that have not reported for too long.

    By then the loan has expired for new sends, and requests sent on it have ended
    or were aborted at their deadline.
    """
    for quota_name in sorted(turn.lent):
        for peer, lent in sorted(turn.lent[quota_name].items()):
            view = turn.peers.get(peer)
            last_report_ms = view.last_report_ms if view is not None else 0
            if turn.now - max(last_report_ms, lent.offered_ms) <= LOAN_RECLAIM_AFTER_MS:
                continue
            set_lent(turn, quota_name, peer, None)
            _retry_blocked_work(turn, quota_name)


def drop_loans_of_lost_peers(turn: Turn) -> None:
    """Drop loans from and to incarnations that are no longer live members.

    Minion slots lent to such a peer are reclaimed at once. Ceiling units stay lent
    until the peer has been silent for `LOAN_RECLAIM_AFTER_MS`.
    """
    fleet = turn.ctx.fleet
    for peer in sorted(turn.peers):
        view = turn.peers[peer]
        if is_live(fleet, peer, view.incarnation):
            continue
        turn.peers = turn.peers.delete(peer)
        for quota_name in sorted(turn.borrowed):
            set_borrowed(turn, quota_name, peer, None)
        for quota_name in sorted(turn.lent):
            if peer in turn.lent[quota_name] and quota.worker_of(quota_name):
                set_lent(turn, quota_name, peer, None)
                _retry_blocked_work(turn, quota_name)


def set_lent(turn: Turn, quota_name: str, peer: str, lent: LentUnits | None) -> None:
    """Set or, with None, remove the units of a quota lent to a peer."""
    by_peer = turn.lent.get(quota_name, Map())
    if lent is None:
        by_peer = by_peer.delete(peer) if peer in by_peer else by_peer
    else:
        by_peer = by_peer.set(peer, lent)
    if by_peer:
        turn.lent = turn.lent.set(quota_name, by_peer)
    elif quota_name in turn.lent:
        turn.lent = turn.lent.delete(quota_name)


def set_borrowed(
    turn: Turn, quota_name: str, peer: str, loan: BorrowedUnits | None
) -> None:
    """Set or, with None, remove the units of a quota borrowed from a peer."""
    by_peer = turn.borrowed.get(quota_name, Map())
    if loan is None:
        by_peer = by_peer.delete(peer) if peer in by_peer else by_peer
    else:
        by_peer = by_peer.set(peer, loan)
    if by_peer:
        turn.borrowed = turn.borrowed.set(quota_name, by_peer)
    elif quota_name in turn.borrowed:
        turn.borrowed = turn.borrowed.delete(quota_name)


def _is_newer(known: PeerView, report: PeerReport) -> bool:
    """Return whether a report is newer than the last one from its sender."""
    if report.incarnation != known.incarnation:
        return report.incarnation > known.incarnation
    return report.serial > known.serial


def _update_lent(turn: Turn, peer: str, holding: Map[str, int]) -> None:
    """Update the units lent to a peer from the units that it reports as held.

    Offers that the peer has not received yet still count as lent.
    """
    heard = holding.get(HEARD_SERIAL_KEY, 0)
    for quota_name in sorted(turn.lent):
        lent = turn.lent[quota_name].get(peer)
        if lent is None:
            continue
        unheard_offers = tuple(
            offer for offer in lent.unheard_offers if offer[0] > heard
        )
        held = holding.get(quota_name, 0)
        if len(unheard_offers) == len(lent.unheard_offers):
            # The peer has received no new offer, so it cannot hold more than before.
            held = min(held, lent.held)
        after = replace(lent, held=held, unheard_offers=unheard_offers)
        if after.units == 0 and after.offer == 0:
            after = None
        set_lent(turn, quota_name, peer, after)
        if after is None or after.units < lent.units:
            _retry_blocked_work(turn, quota_name)


def _update_borrowed(turn: Turn, peer: str, loans: tuple[Loan, ...]) -> None:
    """Update borrowed units from a report; loans that it does not list are over."""
    offered = {loan.quota: loan.units for loan in loans}
    for quota_name in sorted(turn.borrowed):
        loan = turn.borrowed[quota_name].get(peer)
        if loan is None or quota_name in offered:
            continue
        set_borrowed(turn, quota_name, peer, replace(loan, units=0))
    for quota_name in sorted(offered):
        if not quota.is_current(turn, quota_name):
            continue
        units = offered[quota_name]
        before = turn.borrowed.get(quota_name, Map()).get(peer)
        cap = max(units, before.cap if before is not None else 0)
        set_borrowed(turn, quota_name, peer, BorrowedUnits(units, cap, turn.now))
        _retry_blocked_work(turn, quota_name)


def _retry_blocked_work(turn: Turn, quota_name: str) -> None:
    """Mark targets and pools as ready that the quota may have blocked."""
    worker = quota.worker_of(quota_name)
    if worker:
        target = turn.targets.get(worker)
        if target is not None:
            targets.mark_available(turn, worker)
            lifecycle.mark_pool_ready(turn, target.pool)
        return
    if quota_name.startswith(quota.SERVICE_PREFIX):
        lifecycle.mark_pool_ready(turn, quota_name[len(quota.SERVICE_PREFIX) :])
        return
    lifecycle.mark_account_ready(turn, quota_name[len(quota.ACCOUNT_PREFIX) :])
