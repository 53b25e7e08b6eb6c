"""Base shares: how a quota is split among the entry hosts.

The host list comes from the log, so all hosts compute the same split. While a
change of the list or the table is not settled by all hosts, a host uses the
smallest of its shares under the bases concerned. One host thus gives up a unit
before another one uses it.
"""

from dataclasses import replace

from courselead.core.fleet.state import FleetState, HostStatus
from courselead.core.ranking import rendezvous_order
from courselead.core.requests.state import ShareBasis, ShareHolder, Target
from courselead.core.table import ServiceRow, Table

UNLIMITED = 1 << 30


def basis_of(fleet: FleetState, after: int) -> ShareBasis:
    """Return the share basis that is in effect in a shared state.

    Args:
        fleet: The shared state.
        after: Offset of the shared state seen before this one, -1 if none.
    """
    holders = []
    for name in sorted(fleet.hosts):
        host = fleet.hosts[name]
        if host.status is HostStatus.LEFT:
            continue
        live = host.status is HostStatus.LIVE
        zone = host.availability_zone
        holders.append(ShareHolder(name, host.incarnation, zone, live))
    return ShareBasis(after, fleet.offset, tuple(holders), fleet.table)


def minion_holders(basis: ShareBasis, availability_zone: str) -> list[ShareHolder]:
    """Return the hosts among which the slots of a minion in a zone are split.

    These are the live hosts of the zone, or all live hosts if the zone has none.
    Slots of a lost host are reclaimed at once: if it still sends, the minion itself
    refuses what exceeds its slots, which is safe to report as not run.
    """
    live = [holder for holder in basis.holders if holder.live]
    same_zone = [one for one in live if one.availability_zone == availability_zone]
    return same_zone or live


def former_holders(
    bases: tuple[ShareBasis, ...], index: int, target: Target, me: str
) -> list[ShareHolder]:
    """Return the hosts that may have had a share of a minion under an older basis.

    The first basis of a host that has just started has no holders and represents
    all earlier bases, which it does not know. Then the other hosts of the zone may
    have had a share, or all other hosts if the zone has no other.
    """
    basis = bases[index]
    if basis.holders:
        return minion_holders(basis, target.availability_zone)
    newest = bases[-1]
    others = tuple(one for one in newest.holders if one.entry_host != me)
    unknown = replace(newest, holders=others)
    return minion_holders(unknown, target.availability_zone)


def limits_of(table: Table) -> tuple[dict[str, tuple[int, int]], dict[str, int]]:
    """Return all limits of a table that are split into shares.

    These are slots and ceiling by service, and the ceiling by account.
    """
    services = {name: (row.slots, row.ceiling) for name, row in table.services.items()}
    accounts = {name: row.ceiling for name, row in table.accounts.items()}
    return services, accounts


def ceiling_holders(basis: ShareBasis) -> list[ShareHolder]:
    """Return the hosts among which a ceiling is split, lost hosts included.

    No minion refuses requests above a ceiling. The share of a lost host, which may
    still be sending, therefore stays reserved until it rejoins or leaves, so that
    the fleet stays below the ceiling rather than exceeding it.
    """
    return list(basis.holders)


def reserved_units(basis: ShareBasis, quota: str, total: int) -> int:
    """Return how many units of a ceiling are reserved for lost hosts."""
    holders = ceiling_holders(basis)
    lost = [one for one in holders if not one.live]
    return sum(split_share(quota, total, holders, one.entry_host) for one in lost)


def split_share(
    quota: str, total: int, holders: list[ShareHolder], entry_host: str
) -> int:
    """Return a host's part of an even split; rendezvous rank assigns the remainder."""
    base, remainder = divmod(total, len(holders))
    if not remainder:
        return base
    ranked = rendezvous_order(quota, [holder.entry_host for holder in holders])
    return base + (1 if ranked.index(entry_host) < remainder else 0)


def minion_share(
    basis: ShareBasis, target: Target, entry_host: str, incarnation: int
) -> int:
    """Return a host's share of a minion's slots under a basis."""
    row = basis.table.services.get(target.pool)
    if row is None:
        return UNLIMITED
    holders = minion_holders(basis, target.availability_zone)
    if not _is_live_holder(holders, entry_host, incarnation):
        return 0
    return split_share(target.quota, row.slots, holders, entry_host)


def ceiling_share(
    basis: ShareBasis, quota: str, total: int, entry_host: str, incarnation: int
) -> int:
    """Return a host's share of a ceiling under a basis; a total of 0 is no limit."""
    if total <= 0:
        return UNLIMITED
    holders = ceiling_holders(basis)
    if not _is_live_holder(holders, entry_host, incarnation):
        return 0
    return split_share(quota, total, holders, entry_host)


def service_ceiling(basis: ShareBasis, pool: str) -> int:
    """Return a service's ceiling, 0 if it has none."""
    row: ServiceRow | None = basis.table.services.get(pool)
    return row.ceiling if row is not None else 0


def account_ceiling(basis: ShareBasis, client_account: str) -> int:
    """Return an account's ceiling, 0 if it has none."""
    row = basis.table.accounts.get(client_account)
    return row.ceiling if row is not None else 0


def _is_live_holder(
    holders: list[ShareHolder], entry_host: str, incarnation: int
) -> bool:
    """Return whether this incarnation of a host is a live holder."""
    for holder in holders:
        if holder.entry_host != entry_host:
            continue
        return holder.live and holder.incarnation == incarnation
    return False
