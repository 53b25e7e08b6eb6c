"""Entry hosts' own liveness: join, heartbeat, rejoin, and holding peers lost.

A host is held lost only by a peer that has itself read the log without a
break for the whole time, has seen no new heartbeat in it, and has heard
nothing on the peer stream either. So a zone that is cut from the platform
alone, and still talks to its peers, is never written off; and a host that
has just come back from an outage of the log writes nobody off. Silence is
counted up to the newest record read, not up to now, and anew after a break in
the records: while nothing comes from the log, not even this host's own
heartbeats, the log is silent and not the peers, whether or not this host has
noticed an outage.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.effects import Effect, Note, Propose
from courselead.core.events import BatchesRead, Event, LogReachable, Tick
from courselead.core.fleet.queries import live_hosts
from courselead.core.fleet.records import (
    HostBeat,
    HostJoined,
    HostLeft,
    HostLost,
    StopPlanned,
)
from courselead.core.ranking import score, step_in_ms

JOIN_RETRY_MS = 5_000
DEFAULT_BEAT_MS = 2_000
# Every host reads every heartbeat, so each beats less often the more there are.
BEAT_MS_PER_HOST = 200
BEATS_UNTIL_LOST = 3
DEFAULT_LOST_AFTER_MS = 10_000
BEAT_JITTER_MS = 200


@dataclass(frozen=True, slots=True)
class SeenBeat:
    """When this host saw the newest heartbeat of another."""

    offset: int
    seen_ms: int


@dataclass(frozen=True, slots=True)
class PresenceState:
    """What this host knows of its own and its peers' liveness.

    Attributes:
        join_at_ms: Earliest time to propose the join (again).
        beat_at_ms: When the next heartbeat is due.
        reading_since_ms: Since when the log has been read without a break,
            None while it cannot be read.
        read_ms: When the newest records were read.
        beats: Newest heartbeat seen of each other host.
        lost_proposed: Heartbeat offsets named in `HostLost` proposals.
        leave_proposed: Whether the leave has been proposed.
        diverged: Hosts whose digest mismatch has been reported.
        stops: Offsets of planned stops that this host has yet to settle.
    """

    beat_ms: int = DEFAULT_BEAT_MS
    lost_after_ms: int = DEFAULT_LOST_AFTER_MS
    join_at_ms: int = 0
    beat_at_ms: int = 0
    reading_since_ms: int | None = None
    read_ms: int = 0
    beats: Map[str, SeenBeat] = field(default_factory=Map)
    lost_proposed: Map[str, int] = field(default_factory=Map)
    leave_proposed: bool = False
    diverged: frozenset[str] = frozenset()
    stops: tuple[int, ...] = ()


def reduce(
    state: PresenceState, ctx: Context, event: Event, settled: int, drained: bool
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Take in one event.

    Args:
        state: This part's state.
        ctx: The view of this reduction.
        event: What happened.
        settled: Offset up to which releases and stops are settled here.
        drained: Whether nothing of this host is in flight.
    """
    if isinstance(event, LogReachable):
        since_ms = event.now_ms if event.up else None
        return replace(state, reading_since_ms=since_ms), ()
    if isinstance(event, BatchesRead):
        if event.batches:
            state = _note_read(state, ctx)
        return _observe(state, ctx)
    if isinstance(event, Tick):
        return _on_tick(state, ctx, settled, drained)
    return state, ()


def _note_read(state: PresenceState, ctx: Context) -> PresenceState:
    """Note that records came; after a break, reading begins anew.

    This host's own heartbeats come back through the log, so that a pause much
    longer than theirs is a break, whatever the others do.
    """
    since_ms = state.reading_since_ms
    break_ms = _beat_ms(state, ctx) * 3 // 2 + BEAT_JITTER_MS
    if since_ms is None or ctx.now_ms - state.read_ms > break_ms:
        since_ms = ctx.now_ms
    return replace(state, reading_since_ms=since_ms, read_ms=ctx.now_ms)


def _observe(
    state: PresenceState, ctx: Context
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Note new heartbeats, and digests that do not match."""
    beats = state.beats
    notes: list[Effect] = []
    diverged = state.diverged
    if state.reading_since_ms is None:
        state = replace(state, reading_since_ms=ctx.now_ms)
    for name, host in ctx.fleet.hosts.items():
        if host.diverged_at >= 0 and name not in diverged:
            diverged = diverged | {name}
            fields = (("entry_host", name), ("offset", host.diverged_at))
            notes.append(Note("error", "state_diverged", fields))
        old = beats.get(name)
        if old is not None and old.offset == host.last_beat:
            continue
        beats = beats.set(name, SeenBeat(host.last_beat, ctx.now_ms))
    state = replace(state, beats=beats, diverged=diverged, stops=_stops(state, ctx))
    return state, tuple(notes)


def _stops(state: PresenceState, ctx: Context) -> tuple[int, ...]:
    """Return the offsets of planned stops not yet told as settled."""
    mine = ctx.fleet.hosts.get(ctx.me.entry_host)
    told = mine.settled if mine is not None else -1
    new = tuple(
        applied.offset
        for applied in ctx.applied
        if applied.verdict.accepted and isinstance(applied.record, StopPlanned)
    )
    return tuple(offset for offset in state.stops + new if offset > told)


def _on_tick(
    state: PresenceState, ctx: Context, settled: int, drained: bool
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Join, beat, leave, and hold silent peers for lost, as due."""
    if state.reading_since_ms is None or not ctx.log_up:
        return state, ()
    if ctx.leaving:
        return _leave(state, ctx, drained)
    if not ctx.member:
        return _join(state, ctx)
    state, beat = _beat(state, ctx, settled)
    state, lost = _find_lost(state, ctx)
    return state, beat + lost


def _join(
    state: PresenceState, ctx: Context
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the join, again after a while if it has not come."""
    if ctx.now_ms < state.join_at_ms:
        return state, ()
    me = ctx.me
    record = HostJoined(
        me.entry_host, me.incarnation, me.availability_zone, me.peer_address
    )
    state = replace(state, join_at_ms=ctx.now_ms + JOIN_RETRY_MS)
    return state, (Propose(record),)


def _beat(
    state: PresenceState, ctx: Context, settled: int
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the heartbeat, at once when a stop has just been settled."""
    waiting = any(offset <= settled for offset in state.stops)
    beat_ms = _beat_ms(state, ctx)
    early_ms = beat_ms * 3 // 4 if waiting else 0
    if ctx.now_ms < state.beat_at_ms - early_ms:
        return state, ()
    jitter_ms = score(f"beat:{ctx.now_ms}", ctx.me.entry_host, ctx.me.seed)
    jitter_ms %= BEAT_JITTER_MS
    state = replace(state, beat_at_ms=ctx.now_ms + beat_ms + jitter_ms)
    record = HostBeat(
        entry_host=ctx.me.entry_host,
        incarnation=ctx.me.incarnation,
        applied=ctx.fleet.offset,
        settled=settled,
        digest_at=ctx.fleet.offset,
        digest=ctx.fleet.digest,
    )
    return state, (Propose(record),)


def _beat_ms(state: PresenceState, ctx: Context) -> int:
    """Return the pause between two heartbeats with as many hosts as there are."""
    return max(state.beat_ms, len(live_hosts(ctx.fleet)) * BEAT_MS_PER_HOST)


def _leave(
    state: PresenceState, ctx: Context, drained: bool
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose the leave once nothing is in flight."""
    if not drained or not ctx.member or state.leave_proposed:
        return state, ()
    record = HostLeft(ctx.me.entry_host, ctx.me.incarnation)
    return replace(state, leave_proposed=True), (Propose(record),)


def _find_lost(
    state: PresenceState, ctx: Context
) -> tuple[PresenceState, tuple[Effect, ...]]:
    """Propose as lost the peers silent in the log and on the stream."""
    effects: list[Effect] = []
    lost_proposed = state.lost_proposed
    names = live_hosts(ctx.fleet)
    lost_after_ms = max(state.lost_after_ms, BEATS_UNTIL_LOST * _beat_ms(state, ctx))
    for name in names:
        if name == ctx.me.entry_host:
            continue
        beat = state.beats.get(name)
        if beat is None or lost_proposed.get(name) == beat.offset:
            continue
        silent_ms = _silent_ms(state, ctx, name, beat)
        wait_ms = step_in_ms(f"lost:{name}", ctx.me.entry_host, names, ctx.me.seed)
        if silent_ms < lost_after_ms + wait_ms:
            continue
        host = ctx.fleet.hosts[name]
        record = HostLost(name, host.incarnation, beat.offset, ctx.me.entry_host)
        effects.append(Propose(record))
        fields = (("entry_host", name), ("silent_ms", silent_ms))
        effects.append(Note("warning", "entry_host_lost", fields))
        lost_proposed = lost_proposed.set(name, beat.offset)
    return replace(state, lost_proposed=lost_proposed), tuple(effects)


def _silent_ms(state: PresenceState, ctx: Context, name: str, beat: SeenBeat) -> int:
    """Return for how long others were heard in the log, and a host nowhere."""
    heard_ms = max(beat.seen_ms, ctx.heard_ms.get(name, 0))
    heard_ms = max(heard_ms, state.reading_since_ms or 0)
    return state.read_ms - heard_ms
