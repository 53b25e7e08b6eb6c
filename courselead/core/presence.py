"""Liveness of entry hosts: joining, heartbeats, rejoining, and detecting lost peers.

A host proposes a peer as lost only if it has read the log without interruption
for the whole timeout and has received neither a heartbeat of that peer in the
log nor a report on the peer stream. A zone that has lost the platform but can
still reach its peers is therefore never declared lost, and a host that has just
recovered from a log outage declares no peer lost.

The silence of a peer is measured up to the newest record read rather than up to
the current time, and restarts after a gap in the records. While no records
arrive, not even this host's own heartbeats, the log is unavailable rather than
the peers, even if this host has not detected an outage.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.effects import Effect, LogEvent, Propose
from courselead.core.events import BatchesRead, Event, LogReachable, Tick
from courselead.core.fleet.queries import live_hosts
from courselead.core.fleet.records import (
    HostBeat,
    HostJoined,
    HostLeft,
    HostLost,
    StopPlanned,
)
from courselead.core.ranking import rendezvous_score, takeover_delay_ms

JOIN_RETRY_MS = 5_000
DEFAULT_BEAT_MS = 2_000
# Every host reads every heartbeat, so the interval grows with the number of hosts.
HEARTBEAT_MS_PER_HOST = 200
MISSED_HEARTBEATS_UNTIL_LOST = 3
DEFAULT_LOST_AFTER_MS = 10_000
HEARTBEAT_JITTER_MS = 200


@dataclass(frozen=True, slots=True)
class ObservedHeartbeat:
    """The newest heartbeat of another host, and when this host read it."""

    offset: int
    seen_ms: int


@dataclass(frozen=True, slots=True)
class PresenceState:
    """Liveness of this host and its peers, as observed by this host.

    Attributes:
        beat_ms: Minimum interval between two heartbeats.
        lost_after_ms: Minimum silence after which a peer is proposed as lost.
        next_join_ms: Earliest time of the next join proposal.
        next_heartbeat_ms: When the next heartbeat is due.
        reading_since_ms: Start of the current uninterrupted reading of the log,
            None while the log cannot be read.
        last_read_ms: When the newest records were read.
        heartbeats: Newest heartbeat read of each host.
        proposed_losses: Heartbeat offset named in the newest `HostLost` proposal
            for each host.
        leave_proposed: Whether the leave has been proposed.
        reported_diverged: Hosts whose digest mismatch has been logged.
        unsettled_stops: Offsets of planned stops that this host has not yet
            reported as settled.
    """

    beat_ms: int = DEFAULT_BEAT_MS
    lost_after_ms: int = DEFAULT_LOST_AFTER_MS
    next_join_ms: int = 0
    next_heartbeat_ms: int = 0
    reading_since_ms: int | None = None
    last_read_ms: int = 0
    heartbeats: Map[str, ObservedHeartbeat] = field(default_factory=Map)
    proposed_losses: Map[str, int] = field(default_factory=Map)
    leave_proposed: bool = False
    reported_diverged: frozenset[str] = frozenset()
    unsettled_stops: tuple[int, ...] = ()


def reduce(
    state: PresenceState, ctx: Context, event: Event, settled: int, drained: bool
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Handle one event.

    Args:
        state: The current presence state.
        ctx: The context of this reduction.
        event: The event to handle.
        settled: Offset up to which this host has settled releases and stops.
        drained: Whether this host has nothing in flight.
    """
    if isinstance(event, LogReachable):
        since_ms = event.now_ms if event.up else None
        return replace(state, reading_since_ms=since_ms), ()
    if isinstance(event, BatchesRead):
        if event.batches:
            state = _record_read(state, ctx)
        return _track_heartbeats(state, ctx)
    if isinstance(event, Tick):
        return _on_tick(state, ctx, settled, drained)
    return state, ()


def _record_read(state: PresenceState, ctx: Context) -> PresenceState:
    """Record that records arrived; restart the uninterrupted period after a gap.

    This host reads its own heartbeats back from the log, so a pause much longer
    than its heartbeat interval is a gap, whatever the other hosts do.
    """
    since_ms = state.reading_since_ms
    max_pause_ms = _heartbeat_interval_ms(state, ctx) * 3 // 2 + HEARTBEAT_JITTER_MS
    if since_ms is None or ctx.now_ms - state.last_read_ms > max_pause_ms:
        since_ms = ctx.now_ms
    return replace(state, reading_since_ms=since_ms, last_read_ms=ctx.now_ms)


def _track_heartbeats(
    state: PresenceState, ctx: Context
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Record new heartbeats, and log each host whose digest does not match."""
    heartbeats = state.heartbeats
    notes: list[Effect] = []
    diverged = state.reported_diverged
    if state.reading_since_ms is None:
        state = replace(state, reading_since_ms=ctx.now_ms)
    for name, host in ctx.fleet.hosts.items():
        if host.diverged_at >= 0 and name not in diverged:
            diverged = diverged | {name}
            fields = (("entry_host", name), ("offset", host.diverged_at))
            notes.append(LogEvent("error", "state_diverged", fields))
        old = heartbeats.get(name)
        if old is not None and old.offset == host.last_beat:
            continue
        heartbeats = heartbeats.set(name, ObservedHeartbeat(host.last_beat, ctx.now_ms))
    state = replace(
        state,
        heartbeats=heartbeats,
        reported_diverged=diverged,
        unsettled_stops=_find_unsettled_stops(state, ctx),
    )
    return state, tuple(notes)


def _find_unsettled_stops(state: PresenceState, ctx: Context) -> tuple[int, ...]:
    """Return the offsets of planned stops not yet reported as settled."""
    host = ctx.fleet.hosts.get(ctx.me.entry_host)
    reported = host.settled if host is not None else -1
    new = tuple(
        applied.offset
        for applied in ctx.applied
        if applied.verdict.accepted and isinstance(applied.record, StopPlanned)
    )
    return tuple(offset for offset in state.unsettled_stops + new if offset > reported)


def _on_tick(
    state: PresenceState, ctx: Context, settled: int, drained: bool
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the join, heartbeat, leave and loss records that are due."""
    if state.reading_since_ms is None or not ctx.log_up:
        return state, ()
    if ctx.leaving:
        return _propose_leave(state, ctx, drained)
    if not ctx.member:
        return _propose_join(state, ctx)
    state, heartbeat = _propose_heartbeat(state, ctx, settled)
    state, lost = _propose_lost_hosts(state, ctx)
    return state, heartbeat + lost


def _propose_join(
    state: PresenceState, ctx: Context
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the join; repeat it until it is read back from the log."""
    if ctx.now_ms < state.next_join_ms:
        return state, ()
    me = ctx.me
    record = HostJoined(
        me.entry_host, me.incarnation, me.availability_zone, me.peer_address
    )
    state = replace(state, next_join_ms=ctx.now_ms + JOIN_RETRY_MS)
    return state, (Propose(record),)


def _propose_heartbeat(
    state: PresenceState, ctx: Context, settled: int
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the heartbeat when due, earlier if a stop was settled meanwhile."""
    has_settled_stop = any(offset <= settled for offset in state.unsettled_stops)
    interval_ms = _heartbeat_interval_ms(state, ctx)
    early_ms = interval_ms * 3 // 4 if has_settled_stop else 0
    if ctx.now_ms < state.next_heartbeat_ms - early_ms:
        return state, ()
    jitter_ms = rendezvous_score(f"beat:{ctx.now_ms}", ctx.me.entry_host, ctx.me.seed)
    jitter_ms %= HEARTBEAT_JITTER_MS
    state = replace(state, next_heartbeat_ms=ctx.now_ms + interval_ms + jitter_ms)
    record = HostBeat(
        entry_host=ctx.me.entry_host,
        incarnation=ctx.me.incarnation,
        applied=ctx.fleet.offset,
        settled=settled,
        digest_at=ctx.fleet.offset,
        digest=ctx.fleet.digest,
    )
    return state, (Propose(record),)


def _heartbeat_interval_ms(state: PresenceState, ctx: Context) -> int:
    """Return the interval between two heartbeats for the current number of hosts."""
    return max(state.beat_ms, len(live_hosts(ctx.fleet)) * HEARTBEAT_MS_PER_HOST)


def _propose_leave(
    state: PresenceState, ctx: Context, drained: bool
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the leave once nothing is in flight."""
    if not drained or not ctx.member or state.leave_proposed:
        return state, ()
    record = HostLeft(ctx.me.entry_host, ctx.me.incarnation)
    return replace(state, leave_proposed=True), (Propose(record),)


def _propose_lost_hosts(
    state: PresenceState, ctx: Context
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose as lost the peers that are silent in the log and on the stream."""
    effects: list[Effect] = []
    proposed_losses = state.proposed_losses
    names = live_hosts(ctx.fleet)
    lost_after_ms = max(
        state.lost_after_ms,
        MISSED_HEARTBEATS_UNTIL_LOST * _heartbeat_interval_ms(state, ctx),
    )
    for name in names:
        if name == ctx.me.entry_host:
            continue
        heartbeat = state.heartbeats.get(name)
        if heartbeat is None or proposed_losses.get(name) == heartbeat.offset:
            continue
        silent_ms = _silent_ms(state, ctx, name, heartbeat)
        wait_ms = takeover_delay_ms(
            f"lost:{name}", ctx.me.entry_host, names, ctx.me.seed
        )
        if silent_ms < lost_after_ms + wait_ms:
            continue
        host = ctx.fleet.hosts[name]
        record = HostLost(name, host.incarnation, heartbeat.offset, ctx.me.entry_host)
        effects.append(Propose(record))
        fields = (("entry_host", name), ("silent_ms", silent_ms))
        effects.append(LogEvent("warning", "entry_host_lost", fields))
        proposed_losses = proposed_losses.set(name, heartbeat.offset)
    return replace(state, proposed_losses=proposed_losses), tuple(effects)


def _silent_ms(
    state: PresenceState, ctx: Context, name: str, heartbeat: ObservedHeartbeat
) -> int:
    """Return the time from a host's last sign of life to the newest record read."""
    last_seen_ms = max(heartbeat.seen_ms, ctx.last_report_ms.get(name, 0))
    last_seen_ms = max(last_seen_ms, state.reading_since_ms or 0)
    return state.last_read_ms - last_seen_ms
