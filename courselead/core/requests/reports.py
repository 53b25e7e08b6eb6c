"""Reports to peers: requests in flight, and units wanted, lent and held."""

from dataclasses import replace

from immutables import Map

from courselead.core.effects import Metric, RecordMetric, SendPeer
from courselead.core.events import Loan, PeerReport
from courselead.core.fleet.queries import live_hosts
from courselead.core.requests import loans, quota, wants
from courselead.core.requests.shares import UNLIMITED
from courselead.core.requests.state import (
    IDLE_REPORT_INTERVAL_MS,
    LOAN_VALIDITY_MS,
    REPORT_INTERVAL_MS,
    BorrowedUnits,
    LentUnits,
    SentReport,
)
from courselead.core.requests.turn import Turn

_NOTHING_LENT = LentUnits()


def send_reports(turn: Turn) -> None:
    """Send a report to each reachable peer if the report interval has passed."""
    if turn.now - turn.reported_ms < REPORT_INTERVAL_MS or not turn.member:
        return
    turn.reported_ms = turn.now
    turn.serial += 1
    turn.emit(RecordMetric(Metric.SLOTS_IN_USE, turn.in_flight_count))
    me = turn.ctx.me.entry_host
    peers = [peer for peer in live_hosts(turn.ctx.fleet) if peer != me]
    peers = [peer for peer in peers if peer not in turn.unreachable]
    # Computed before any units are returned, since the lender waits for a report
    # of their return.
    loan_peers = _loan_peers(turn)
    wanted_units = wants.compute_wanted_units(turn) if peers else {}
    asked = wants.split_among_peers(turn, wanted_units, peers)
    holding = _update_held(turn, wanted_units)
    offered = _offer_loans(turn, peers)
    in_flight = ()
    if turn.policies.routing.uses_peers:
        in_flight = tuple(sorted(turn.in_flight_by_worker.items()))
    for peer in peers:
        has_content = bool(asked[peer] or holding.get(peer) or offered.get(peer))
        if not _is_due(
            turn, peer, has_content or peer in loan_peers or bool(in_flight)
        ):
            continue
        view = turn.peers.get(peer)
        heard = view.serial if view is not None else 0
        held = {**holding.get(peer, {}), loans.HEARD_SERIAL_KEY: heard}
        body = PeerReport(
            entry_host=me,
            incarnation=turn.ctx.me.incarnation,
            availability_zone=turn.ctx.me.availability_zone,
            serial=turn.serial,
            applied=turn.ctx.fleet.offset,
            in_flight=in_flight,
            wants=tuple(sorted(asked[peer].items())),
            loans=tuple(offered.get(peer, ())),
            holding=tuple(sorted(held.items())),
        )
        turn.emit(SendPeer(peer, body))


def _is_due(turn: Turn, peer: str, busy: bool) -> bool:
    """Return whether a peer gets a report now, and record that it was sent.

    With nothing to report, a peer gets one every `IDLE_REPORT_INTERVAL_MS`, so that
    it does not treat this host as silent, and one right after a report with content.
    """
    newest = turn.sent_reports.get(peer)
    idle = newest is not None and not busy and not newest.busy
    if idle and turn.now - newest.at_ms < IDLE_REPORT_INTERVAL_MS:
        return False
    turn.sent_reports = turn.sent_reports.set(peer, SentReport(turn.now, busy))
    return True


def _loan_peers(turn: Turn) -> set[str]:
    """Return the peers with loans in either direction."""
    names: set[str] = set()
    for by_peer in (*turn.lent.values(), *turn.borrowed.values()):
        names.update(by_peer)
    return names


def _update_held(turn: Turn, wanted_units: dict[str, int]) -> dict[str, dict[str, int]]:
    """Return the units held from each peer by quota, and release the rest.

    From now on, no more than the reported units may be used until a newer offer:
    the lender may count the rest as its own again.
    """
    holding: dict[str, dict[str, int]] = {}
    for quota_name in sorted(turn.borrowed):
        units_over_own = turn.in_use.get(quota_name, 0) - quota.own_units(
            turn, quota_name
        )
        held = _split_held(
            turn, quota_name, wanted_units.get(quota_name, 0), units_over_own
        )
        for peer, loan in sorted(turn.borrowed[quota_name].items()):
            units = held[peer]
            if not units:
                loans.set_borrowed(turn, quota_name, peer, None)
                continue
            kept = BorrowedUnits(min(loan.units, units), units, loan.received_ms)
            loans.set_borrowed(turn, quota_name, peer, kept)
            holding.setdefault(peer, {})[quota_name] = units
    return holding


def _split_held(
    turn: Turn, quota_name: str, wanted: int, units_over_own: int
) -> dict[str, int]:
    """Return the units of one quota held from each lender.

    Loans valid for new sends are counted first. Units in use beyond these are
    assigned to the remaining loans.
    """
    held: dict[str, int] = {}
    by_peer = sorted(turn.borrowed[quota_name].items())
    for peer, loan in by_peer:
        is_valid = turn.now - loan.received_ms < LOAN_VALIDITY_MS
        held[peer] = min(loan.units, wanted) if is_valid else 0
        wanted -= held[peer]
        units_over_own -= held[peer]
    for peer, loan in by_peer:
        if units_over_own <= 0:
            break
        more = min(loan.cap - held[peer], units_over_own)
        held[peer] += more
        units_over_own -= more
    return held


def _offer_loans(turn: Turn, peers: list[str]) -> dict[str, list[Loan]]:
    """Update what is lent to each peer, and return the offers by peer."""
    names = set(turn.lent)
    for peer in peers:
        view = turn.peers.get(peer)
        if view is not None and turn.now - view.last_report_ms < LOAN_VALIDITY_MS:
            names.update(view.wants)
    offered: dict[str, list[Loan]] = {}
    for quota_name in sorted(names):
        if not quota.is_current(turn, quota_name):
            _withdraw_offers(turn, quota_name)
            continue
        if quota.base_share(turn, quota_name) == UNLIMITED:
            continue
        _offer_quota(turn, quota_name, peers, offered)
    return offered


def _withdraw_offers(turn: Turn, quota_name: str) -> None:
    """Offer nothing more of a minion that has stopped serving.

    Units that are in use stay lent until their return is reported.
    """
    for peer, lent in sorted(turn.lent.get(quota_name, Map()).items()):
        _record_offer(turn, quota_name, peer, lent, 0)


def _offer_quota(
    turn: Turn, quota_name: str, peers: list[str], offered: dict[str, list[Loan]]
) -> None:
    """Update what is lent of one quota to each peer, and add it to `offered`."""
    in_use = turn.in_use.get(quota_name, 0)
    free_units = quota.own_units(turn, quota_name) - in_use
    spare = (
        free_units - 1
        if in_use and quota.base_share(turn, quota_name) > 1
        else free_units
    )
    has_work = wants.has_queued_work(turn, quota_name)
    count = len(peers)
    for index in range(count):
        peer = peers[(turn.serial + index) % count]
        before = turn.lent.get(quota_name, Map()).get(peer, _NOTHING_LENT)
        units = before.units
        offer = 0
        if not has_work:
            offer = min(_wanted_by(turn, peer, quota_name), units + max(spare, 0))
        if free_units < 0:
            offer = max(0, min(offer, units + free_units))
            free_units = min(0, free_units + units - offer)
        spare -= max(0, offer - units)
        _record_offer(turn, quota_name, peer, before, offer)
        if offer:
            offered.setdefault(peer, []).append(Loan(quota_name, offer, turn.serial))


def _record_offer(
    turn: Turn, quota_name: str, peer: str, before: LentUnits, offer: int
) -> None:
    """Record an offer, whose units count as lent from now on."""
    if not offer:
        if before is not _NOTHING_LENT:
            after = replace(before, offer=0) if before.units else None
            loans.set_lent(turn, quota_name, peer, after)
        return
    unheard_offers = (*before.unheard_offers, (turn.serial, offer))
    after = replace(
        before, unheard_offers=unheard_offers, offer=offer, offered_ms=turn.now
    )
    loans.set_lent(turn, quota_name, peer, after)


def _wanted_by(turn: Turn, peer: str, quota_name: str) -> int:
    """Return the units of a quota that a peer wants, 0 if its report is too old."""
    view = turn.peers.get(peer)
    if view is None or turn.now - view.last_report_ms >= LOAN_VALIDITY_MS:
        return 0
    return view.wants.get(quota_name, 0)
