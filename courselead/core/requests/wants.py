"""Units that this host asks its peers to lend."""

from courselead.core.ranking import rendezvous_score
from courselead.core.requests import health, quota, shares, targets
from courselead.core.requests.queue import ServiceQueue
from courselead.core.requests.state import LOAN_VALIDITY_MS, PoolView
from courselead.core.requests.turn import Turn

MAX_WANTED_UNITS = 64
MAX_WANTED_TARGETS = 32


def compute_wanted_units(turn: Turn) -> dict[str, int]:
    """Return the units wanted in addition to the own ones, by quota.

    Borrowed units in use remain wanted. Idle borrowed units remain wanted while
    requests are queued that may also need another quota. More units are wanted for
    queued requests, at targets that have free slots according to all reports. Nothing
    is wanted of a minion that has stopped serving.
    """
    wanted_units: dict[str, int] = {}
    for quota_name in turn.borrowed:
        if not quota.is_current(turn, quota_name):
            continue
        units = _units_over_own(turn, quota_name)
        if has_queued_work(turn, quota_name):
            units = max(units, _valid_loan_units(turn, quota_name))
        if units > 0:
            wanted_units[quota_name] = units
    for pool in sorted(turn.queues):
        queue = turn.queues[pool]
        if queue.queued:
            _add_for_queue(turn, wanted_units, pool, queue)
    return wanted_units


def split_among_peers(
    turn: Turn, wanted_units: dict[str, int], peers: list[str]
) -> dict[str, dict]:
    """Return the units to request from each peer, by quota.

    A peer is asked for the units that it already lends plus part of the missing
    ones. In total twice the missing units are requested, since some peers have
    no idle units. Surplus units are returned at once.
    """
    asked: dict[str, dict[str, int]] = {peer: {} for peer in peers}
    for quota_name in sorted(wanted_units):
        missing = wanted_units[quota_name]
        loans = turn.borrowed.get(quota_name, {})
        for peer in peers:
            loan = loans.get(peer)
            if loan is None or turn.now - loan.received_ms >= LOAN_VALIDITY_MS:
                continue
            kept = min(loan.units, missing)
            missing -= kept
            if kept:
                asked[peer][quota_name] = kept
        if missing > 0:
            _spread_missing(turn, asked, quota_name, missing)
    return asked


def _spread_missing(
    turn: Turn, asked: dict[str, dict[str, int]], quota_name: str, missing: int
) -> None:
    """Spread the missing units of a quota over the peers that have a share of it."""
    lenders = [peer for peer in _lenders(turn, quota_name) if peer in asked]
    if not lenders:
        return
    count = len(lenders)
    units_each = missing if count == 1 else -(-2 * missing // count)
    start = turn.serial % count
    for index in range(min(count, 2 * missing)):
        peer = lenders[(start + index) % count]
        asked[peer][quota_name] = asked[peer].get(quota_name, 0) + units_each


def _lenders(turn: Turn, quota_name: str) -> list[str]:
    """Return the hosts that have a base share of a quota under the newest basis."""
    basis = turn.bases[-1]
    worker = quota.worker_of(quota_name)
    if worker:
        zone = turn.targets[worker].availability_zone
        holders = shares.minion_holders(basis, zone)
    else:
        holders = shares.ceiling_holders(basis)
    return [holder.entry_host for holder in holders]


def _units_over_own(turn: Turn, quota_name: str) -> int:
    """Return the units in use above the own ones."""
    return max(0, turn.in_use.get(quota_name, 0) - quota.own_units(turn, quota_name))


def _valid_loan_units(turn: Turn, quota_name: str) -> int:
    """Return the borrowed units that are valid for new sends."""
    loans = turn.borrowed.get(quota_name, {})
    return sum(
        loan.units
        for loan in loans.values()
        if turn.now - loan.received_ms < LOAN_VALIDITY_MS
    )


def has_queued_work(turn: Turn, quota_name: str) -> bool:
    """Return whether this host has queued requests that need the quota."""
    worker = quota.worker_of(quota_name)
    if worker:
        pools = [turn.targets[worker].pool]
    elif quota_name.startswith(quota.SERVICE_PREFIX):
        pools = [quota_name[len(quota.SERVICE_PREFIX) :]]
    else:
        account = quota_name[len(quota.ACCOUNT_PREFIX) :]
        pools = [
            pool
            for pool, queue in turn.queues.items()
            if queue.client_account == account
        ]
    queues = [turn.queues[pool] for pool in pools if pool in turn.queues]
    return any(queue.queued for queue in queues)


def _add_for_queue(
    turn: Turn, wanted_units: dict[str, int], pool: str, queue: ServiceQueue
) -> None:
    """Add the units that the queued requests of a pool need to `wanted_units`."""
    need = min(queue.queued, MAX_WANTED_UNITS)
    for quota_name in (
        quota.account_quota(queue.client_account),
        quota.service_quota(pool),
    ):
        if quota.has_free_unit(turn, quota_name):
            continue
        more = min(
            wanted_units.get(quota_name, _units_over_own(turn, quota_name)) + need,
            MAX_WANTED_UNITS,
        )
        wanted_units[quota_name] = max(wanted_units.get(quota_name, 0), more)
    view = turn.pools.get(pool)
    if view is None or view.same_zone or view.other_zones:
        return
    _add_minion_slots(turn, wanted_units, pool, view, need)


def _add_minion_slots(
    turn: Turn, wanted_units: dict[str, int], pool: str, view: PoolView, need: int
) -> None:
    """Add free slots of the pool's minions to `wanted_units`, same zone first."""
    row = turn.ctx.fleet.table.services.get(pool)
    if row is None:
        return
    asked = 0
    for worker in _order_members(turn, view):
        if need <= 0 or asked >= MAX_WANTED_TARGETS:
            return
        target = turn.targets[worker]
        used = turn.in_use.get(target.quota, 0)
        peers = sum(peer.in_flight.get(worker, 0) for peer in turn.peers.values())
        units = min(row.slots - used - peers, need)
        if units <= 0 or not health.units_allowed(
            health.get_health(turn, worker), turn.now, 1
        ):
            continue
        wanted_units[target.quota] = _units_over_own(turn, target.quota) + units
        need -= units
        asked += 1


def _order_members(turn: Turn, view: PoolView) -> list[str]:
    """Return a pool's members, rotated per host and report, this zone first.

    Members that get no new requests are left out.
    """
    entry_host = turn.ctx.me.entry_host
    members = []
    for worker in view.members:
        if worker in turn.leaving_workers:
            continue
        if not targets.is_evacuated(turn, turn.targets[worker]):
            members.append(worker)
    start = rendezvous_score(entry_host, str(turn.serial)) % max(1, len(members))
    rotated = members[start:] + members[:start]
    return sorted(rotated, key=lambda one: not turn.targets[one].same_zone)
