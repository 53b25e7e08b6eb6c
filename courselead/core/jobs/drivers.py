"""Assignment of tasks to the entry hosts that renew their leases."""

from dataclasses import replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.fleet.state import HostState, HostStatus
from courselead.core.jobs import const
from courselead.core.jobs.state import JobsState
from courselead.core.ranking import rendezvous_order

HOSTS_PER_TASK = 2
ALL_ZONES = ""


def refresh_zone_hosts(
    state: JobsState, ctx: Context
) -> tuple[JobsState, frozenset[str]]:
    """Update the hosts of each zone; return also the zones that changed."""
    zones: dict[str, list[str]] = {ALL_ZONES: []}
    for host in ctx.fleet.hosts.values():
        if not is_reachable(ctx, host):
            continue
        zones[ALL_ZONES].append(host.entry_host)
        zones.setdefault(host.availability_zone, []).append(host.entry_host)
    hosts = Map({zone: tuple(sorted(names)) for zone, names in zones.items()})
    if hosts == state.zone_hosts:
        return state, frozenset()
    changed = set()
    for zone in {*hosts, *state.zone_hosts}:
        if hosts.get(zone) != state.zone_hosts.get(zone):
            changed.add(zone)
    return replace(state, zone_hosts=hosts), frozenset(changed)


def is_reachable(ctx: Context, host: HostState) -> bool:
    """Return whether a host is a live member that has reported recently.

    A host from which this one has received no report yet counts as reachable,
    since the log lists it as live.
    """
    if host.status is not HostStatus.LIVE:
        return False
    if host.entry_host == ctx.me.entry_host:
        return True
    last_report_ms = ctx.last_report_ms.get(host.entry_host)
    return last_report_ms is None or ctx.now_ms - last_report_ms < const.PEER_TIMEOUT_MS


def hosts_of_zone(state: JobsState, zone: str) -> tuple[str, ...]:
    """Return the hosts that share a zone's tasks: its own, or all if it has none."""
    return state.zone_hosts.get(zone) or state.zone_hosts.get(ALL_ZONES, ())


def position_of(
    state: JobsState, entry_host: str, job_id: str, zone: str
) -> int | None:
    """Return 0 if a host is a job's primary, 1 if its backup, None otherwise."""
    order = rendezvous_order(f"job:{job_id}", hosts_of_zone(state, zone))[
        :HOSTS_PER_TASK
    ]
    return order.index(entry_host) if entry_host in order else None


def may_renew(state: JobsState, ctx: Context) -> bool:
    """Return whether this host may renew leases.

    If only this host is cut off from the log, the others may have declared it
    lost and placed its tasks elsewhere, so it stops renewing after a timeout
    on its own clock. While it reaches most members, the log is assumed to be
    down for all of them; then no host can place anything elsewhere.
    """
    if ctx.log_up:
        return True
    if ctx.now_ms - state.log_down_since_ms < const.ISOLATED_RENEW_MS:
        return True
    members = 0
    heard = 0
    for host in ctx.fleet.hosts.values():
        if host.status is not HostStatus.LIVE:
            continue
        members += 1
        heard += is_reachable(ctx, host)
    return heard * 2 > members
