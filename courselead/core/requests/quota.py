"""Quotas of three kinds: minion slots, service ceilings and account ceilings.

Quota names are `minion:<worker>:<epoch>` with the epoch of the minion's start,
`service:<pool>` and `account:<client_account>`. A host may use its base share, minus
the units it lends, plus the units it borrows. The shares of all entry hosts sum to at
most the minion's slots or the ceiling.
"""

from dataclasses import replace

from immutables import Map

from courselead.core.fleet.queries import unsettled_hosts
from courselead.core.fleet.state import WorkerState
from courselead.core.requests import shares
from courselead.core.requests.shares import UNLIMITED
from courselead.core.requests.state import (
    LOAN_VALIDITY_MS,
    RequestsState,
    ShareBasis,
    Target,
)
from courselead.core.requests.turn import Turn

MINION_PREFIX = "minion:"
SERVICE_PREFIX = "service:"
ACCOUNT_PREFIX = "account:"


def minion_quota(worker: str, epoch: int) -> str:
    """Return the quota name of a minion's slots."""
    return f"{MINION_PREFIX}{worker}:{epoch}"


def service_quota(pool: str) -> str:
    """Return the quota name of a service's ceiling."""
    return f"{SERVICE_PREFIX}{pool}"


def account_quota(client_account: str) -> str:
    """Return the quota name of an account's ceiling."""
    return f"{ACCOUNT_PREFIX}{client_account}"


def worker_of(quota: str) -> str:
    """Return the worker of a minion quota, "" for other kinds."""
    if not quota.startswith(MINION_PREFIX):
        return ""
    return quota[len(MINION_PREFIX) :].rpartition(":")[0]


def is_current(turn: Turn | RequestsState, quota: str) -> bool:
    """Return whether a quota is a ceiling or belongs to a serving minion."""
    worker = worker_of(quota)
    if not worker:
        return True
    target = turn.targets.get(worker)
    return target is not None and target.quota == quota


def base_share(turn: Turn, quota: str) -> int:
    """Return the base share of a quota, computing and caching it if needed.

    The share of a minion that has stopped serving is 0 and not cached: nothing would
    remove it from the cache.
    """
    share = turn.shares.get(quota)
    if share is None:
        share = _compute_base_share(turn, quota)
        if is_current(turn, quota):
            turn.shares = turn.shares.set(quota, share)
    return share


def own_units(turn: Turn, quota: str) -> int:
    """Return the base share minus the units lent to peers."""
    units = base_share(turn, quota)
    lent = turn.lent.get(quota)
    if lent is None:
        return units
    return units - lent_units(lent)


def lent_units(lent: Map) -> int:
    """Return the units of one quota lent to all peers."""
    return sum(one.units for one in lent.values())


def usable_units(turn: Turn, quota: str) -> int:
    """Return the limit on units in use for new sends, valid loans included."""
    units = own_units(turn, quota)
    loans = turn.borrowed.get(quota)
    if loans is None:
        return units
    for loan in loans.values():
        if turn.now - loan.received_ms < LOAN_VALIDITY_MS:
            units += loan.units
    return units


def has_free_unit(turn: Turn, quota: str) -> bool:
    """Return whether another unit of a quota may be used."""
    return turn.in_use.get(quota, 0) < usable_units(turn, quota)


def acquire_unit(turn: Turn, quota: str) -> None:
    """Count one more unit of a quota as in use."""
    turn.in_use = turn.in_use.set(quota, turn.in_use.get(quota, 0) + 1)


def release_unit(turn: Turn, quota: str) -> None:
    """Count one unit of a quota as no longer in use."""
    left = turn.in_use[quota] - 1
    if left:
        turn.in_use = turn.in_use.set(quota, left)
        return
    turn.in_use = turn.in_use.delete(quota)


def units_over_share(turn: Turn, quota: str) -> int:
    """Return the units in use above the own units and the caps of all loans."""
    units = turn.in_use.get(quota, 0) - own_units(turn, quota)
    loans = turn.borrowed.get(quota)
    if loans is None:
        return units
    return units - sum(loan.cap for loan in loans.values())


def is_over_share(turn: Turn) -> bool:
    """Return whether any current quota is used above its share and loans."""
    for quota in turn.in_use:
        if is_current(turn, quota) and units_over_share(turn, quota) > 0:
            return True
    for quota in turn.lent:
        if is_current(turn, quota) and units_over_share(turn, quota) > 0:
            return True
    return False


def sync_bases(turn: Turn) -> bool:
    """Update the share bases from the shared state; return whether shares changed."""
    fleet = turn.ctx.fleet
    newest = shares.basis_of(
        fleet, turn.synced_fleet.offset if turn.synced_fleet else -1
    )
    bases = turn.bases
    if not bases:
        # Earlier bases are unknown to this host: start with one that grants nothing.
        bases = (shares.ShareBasis(-1, -1, (), newest.table), newest)
    elif bases[-1].holders != newest.holders or _limits_differ(bases[-1], newest):
        bases = (*bases, newest)
    elif bases[-1].table is not newest.table:
        # No limit has changed: keep the basis and only update its table.
        turn.bases = bases = (*bases[:-1], replace(bases[-1], table=newest.table))
    changed = bases is not turn.bases
    if not changed and len(bases) > 1 and turn.synced_fleet.hosts is not fleet.hosts:
        # A heartbeat may have settled the last share granted under an older basis.
        turn.shares = Map()
        changed = True
    if changed:
        turn.bases = bases
        turn.shares = Map()
    return drop_settled_bases(turn) or changed


def drop_settled_bases(turn: Turn) -> bool:
    """Drop all bases before the newest one that all other hosts have settled.

    Nothing is dropped while this host is over its share. Returns whether any basis
    was dropped.
    """
    if len(turn.bases) == 1:
        turn.over_share = False
        return False
    turn.over_share = is_over_share(turn)
    if turn.over_share:
        return False
    me = turn.ctx.me.entry_host
    for index in range(len(turn.bases) - 1, 0, -1):
        waiting_for = unsettled_hosts(turn.ctx.fleet, turn.bases[index].offset)
        if any(name != me for name in waiting_for):
            continue
        turn.bases = turn.bases[index:]
        turn.shares = Map()
        return True
    return False


def _compute_base_share(turn: Turn, quota: str) -> int:
    """Return the smallest share of a quota under all bases not yet settled."""
    me = turn.ctx.me
    worker = worker_of(quota)
    if not worker:
        return min(
            _ceiling_share(basis, quota, me.entry_host, me.incarnation)
            for basis in turn.bases
        )
    target = turn.targets.get(worker)
    if target is None or target.quota != quota:
        return 0
    units = UNLIMITED
    for index, basis in enumerate(turn.bases):
        if not _is_share_in_use(turn, index, target):
            continue
        share = shares.minion_share(basis, target, me.entry_host, me.incarnation)
        units = min(units, share)
    return 0 if units == UNLIMITED else units


def _is_share_in_use(turn: Turn, index: int, target: Target) -> bool:
    """Return whether any other host may still use its share under a basis.

    Only hosts that had a share of this minion count. Otherwise a host of another
    zone that cannot reach the log would keep this zone's hosts from their slots.
    The newest basis always counts.
    """
    if index == len(turn.bases) - 1:
        return True
    me = turn.ctx.me.entry_host
    settled = turn.bases[index + 1].offset
    unsettled = unsettled_hosts(turn.ctx.fleet, settled)
    for holder in shares.former_holders(turn.bases, index, target, me):
        if holder.entry_host == me or holder.entry_host not in unsettled:
            continue
        host = turn.ctx.fleet.hosts[holder.entry_host]
        # A newer incarnation does not inherit the share of an older one.
        if host.incarnation == holder.incarnation:
            return True
    return False


def _limits_differ(old: ShareBasis, new: ShareBasis) -> bool:
    """Return whether the tables differ in a limit that is split into shares."""
    if old.table is new.table:
        return False
    return shares.limits_of(old.table) != shares.limits_of(new.table)


def _ceiling_share(
    basis: shares.ShareBasis, quota: str, entry_host: str, incarnation: int
) -> int:
    """Return a host's share of a ceiling quota under one basis."""
    if quota.startswith(SERVICE_PREFIX):
        total = shares.service_ceiling(basis, quota[len(SERVICE_PREFIX) :])
    else:
        total = shares.account_ceiling(basis, quota[len(ACCOUNT_PREFIX) :])
    return shares.ceiling_share(basis, quota, total, entry_host, incarnation)


def build_target(worker: WorkerState, own_zone: str) -> Target:
    """Return the target for a worker's serving minion."""
    zone = worker.availability_zone
    return Target(
        worker.worker,
        worker.pool,
        worker.epoch,
        zone,
        worker.minion_address,
        minion_quota(worker.worker, worker.minion_epoch),
        zone == own_zone,
    )
