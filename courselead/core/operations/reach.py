"""Availability zones that may be cut off from the rest of the fleet."""

from courselead.core.fleet.state import FleetState, HostStatus


def cut_off_zones(fleet: FleetState) -> frozenset[str]:
    """Return the zones that have lost entry hosts and no live one.

    Such a zone may be partitioned and keep serving on its own workers with its
    last known state, so its entry hosts would not learn of a planned stop. No
    stop is planned for its workers until one of its entry hosts is back.
    """
    lost = set()
    live = set()
    for host in fleet.hosts.values():
        if host.status is HostStatus.LOST:
            lost.add(host.availability_zone)
        elif host.status is HostStatus.LIVE:
            live.add(host.availability_zone)
    return frozenset(lost - live)
