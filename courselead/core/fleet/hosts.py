"""Handlers for entry host records, and the computation of agreed time."""

from dataclasses import replace

from immutables import Map

from courselead.core.fleet import verdicts
from courselead.core.fleet.due import remove_expired
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.queries import is_live
from courselead.core.fleet.records import HostBeat, HostJoined, HostLeft, HostLost
from courselead.core.fleet.state import FleetState, HostState, HostStatus, Verdict

_HandlerResult = tuple[FleetState, Verdict]


def host_joined(
    fleet: FleetState, origin: Origin, record: HostJoined
) -> _HandlerResult:
    """Add a new incarnation of a host, which replaces any older one."""
    if not _is_author(origin, record.entry_host, record.incarnation):
        return fleet, verdicts.rejected(verdicts.NOT_AUTHOR)
    known = fleet.hosts.get(record.entry_host)
    if known is not None and record.incarnation <= known.incarnation:
        return fleet, verdicts.rejected(verdicts.HOST_NOT_NEWER)
    host = HostState(
        entry_host=record.entry_host,
        incarnation=record.incarnation,
        availability_zone=record.availability_zone,
        peer_address=record.peer_address,
        status=HostStatus.LIVE,
        joined=origin.offset,
        last_beat=origin.offset,
        last_beat_ms=origin.at_ms,
        applied=-1,
        settled=-1,
        last_seq=origin.seq,
    )
    return _with_heartbeat(fleet, host), verdicts.ACCEPTED


def host_beat(fleet: FleetState, origin: Origin, record: HostBeat) -> _HandlerResult:
    """Process a heartbeat; the applied and settled offsets never decrease."""
    if not _is_author(origin, record.entry_host, record.incarnation):
        return fleet, verdicts.rejected(verdicts.NOT_AUTHOR)
    if record.applied >= origin.offset or record.settled > record.applied:
        return fleet, verdicts.rejected(verdicts.BEAT_AHEAD)
    known = fleet.hosts[record.entry_host]
    diverged_at = known.diverged_at
    if diverged_at < 0 and _digest_differs(fleet, record):
        diverged_at = record.digest_at
    host = HostState(
        entry_host=known.entry_host,
        incarnation=known.incarnation,
        availability_zone=known.availability_zone,
        peer_address=known.peer_address,
        status=known.status,
        joined=known.joined,
        last_beat=origin.offset,
        last_beat_ms=origin.at_ms,
        applied=max(known.applied, record.applied),
        settled=max(known.settled, record.settled),
        last_seq=origin.seq,
        diverged_at=diverged_at,
    )
    return remove_expired(_with_heartbeat(fleet, host)), verdicts.ACCEPTED


def host_left(fleet: FleetState, origin: Origin, record: HostLeft) -> _HandlerResult:
    """Mark an entry host as left after a graceful shutdown."""
    if not _is_author(origin, record.entry_host, record.incarnation):
        return fleet, verdicts.rejected(verdicts.NOT_AUTHOR)
    host = replace(fleet.hosts[record.entry_host], status=HostStatus.LEFT)
    return _with_host(fleet, host), verdicts.ACCEPTED


def host_lost(fleet: FleetState, origin: Origin, record: HostLost) -> _HandlerResult:
    """Mark an entry host as lost if it has sent no newer heartbeat."""
    if record.by != origin.entry_host:
        return fleet, verdicts.rejected(verdicts.NOT_AUTHOR)
    if record.entry_host == record.by:
        return fleet, verdicts.rejected(verdicts.HOST_ITSELF)
    if not is_live(fleet, record.entry_host, record.incarnation):
        return fleet, verdicts.rejected(verdicts.HOST_UNKNOWN)
    host = fleet.hosts[record.entry_host]
    if host.last_beat != record.last_beat:
        return fleet, verdicts.rejected(verdicts.HOST_HEARD)
    host = replace(host, status=HostStatus.LOST)
    return _with_host(fleet, host), verdicts.ACCEPTED


def agreed_time_ms(hosts: Map[str, HostState], previous_ms: int) -> int:
    """Return the lower median of the live hosts' timestamps; it never decreases.

    With two or more live hosts, one wrong clock cannot move agreed time past a
    correct one: the lower median of two timestamps is the lower one, and of three
    or more it equals or lies between timestamps of correct clocks.

    Args:
        hosts: All entry hosts.
        previous_ms: Agreed time so far.
    """
    timestamps = [
        host.last_beat_ms for host in hosts.values() if host.status is HostStatus.LIVE
    ]
    if not timestamps:
        return previous_ms
    timestamps.sort()
    middle = (len(timestamps) - 1) // 2
    return max(previous_ms, timestamps[middle])


def _with_heartbeat(fleet: FleetState, host: HostState) -> FleetState:
    """Return the fleet state with a host heartbeat and the new agreed time."""
    hosts = fleet.hosts.set(host.entry_host, host)
    return replace(fleet, hosts=hosts, now_ms=agreed_time_ms(hosts, fleet.now_ms))


def _with_host(fleet: FleetState, host: HostState) -> FleetState:
    """Return the fleet state with the state of one host replaced."""
    return replace(fleet, hosts=fleet.hosts.set(host.entry_host, host))


def _is_author(origin: Origin, entry_host: str, incarnation: int) -> bool:
    """Return whether a record refers to the incarnation that wrote it."""
    return origin.entry_host == entry_host and origin.incarnation == incarnation


def _digest_differs(fleet: FleetState, record: HostBeat) -> bool:
    """Return whether a heartbeat's digest differs from the local digest.

    Returns False if the local digest at that offset is no longer stored.
    """
    if not record.digest or not fleet.digests:
        return False
    index = record.digest_at - fleet.digests[0][0]
    if not 0 <= index < len(fleet.digests):
        return False
    return fleet.digests[index][1] != record.digest
