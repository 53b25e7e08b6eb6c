"""The one reducer over all events of an entry host.

The shared part folds the log; the local parts (requests, operations, jobs,
presence, edits, snapshots) see the result through a `Context` and answer with
effects. Proposals go through the outbox and leave as batches.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core import edits, outbox, presence, snapshots
from courselead.core.context import Context
from courselead.core.edits import EditsState
from courselead.core.effects import Effect, Left, Note, Propose
from courselead.core.events import (
    AppendEnded,
    BatchesRead,
    Event,
    LeaveAsked,
    LogReachable,
    PeerReported,
    SnapshotLoaded,
    Tick,
)
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.state import Applied, FleetState, HostStatus
from courselead.core.identity import Identity
from courselead.core.jobs import reducer as jobs
from courselead.core.jobs.state import JobsState
from courselead.core.operations import reducer as operations
from courselead.core.operations.state import OperationsState
from courselead.core.outbox import OutboxState
from courselead.core.presence import PresenceState
from courselead.core.requests import reducer as requests
from courselead.core.requests.settle import is_drained, settled_offset
from courselead.core.requests.state import RequestsState
from courselead.core.snapshots import SnapshotsState


@dataclass(frozen=True, slots=True)
class CoreState:
    """All state of one entry host.

    Attributes:
        superseded: Whether a newer incarnation under this host's name is in
            the log: this one must end.
        ended: Whether `Left` has been given.
        ever_member: Whether this process has ever been a member.
        applied: Verdicts of the newest event's records.
    """

    me: Identity
    fleet: FleetState = field(default_factory=FleetState)
    outbox: OutboxState = field(default_factory=OutboxState)
    presence: PresenceState = field(default_factory=PresenceState)
    edits: EditsState = field(default_factory=EditsState)
    snapshots: SnapshotsState = field(default_factory=SnapshotsState)
    requests: RequestsState = field(default_factory=RequestsState)
    operations: OperationsState = field(default_factory=OperationsState)
    jobs: JobsState = field(default_factory=JobsState)
    heard_ms: Map[str, int] = field(default_factory=Map)
    now_ms: int = 0
    wall_ms: int = 0
    log_up: bool = False
    leaving: bool = False
    superseded: bool = False
    ended: bool = False
    ever_member: bool = False
    applied: tuple[Applied, ...] = ()

    @property
    def member(self) -> bool:
        """Whether the log holds this incarnation as live."""
        host = self.fleet.hosts.get(self.me.entry_host)
        if host is None or host.incarnation != self.me.incarnation:
            return False
        return host.status is HostStatus.LIVE


def reduce(state: CoreState, event: Event) -> tuple[CoreState, tuple[Effect, ...]]:
    """Take in one event: return the next state and what is to be done."""
    state, applied = _take_in(state, event)
    ever_member = state.ever_member or state.member
    state = replace(state, applied=applied, ever_member=ever_member)
    state, notes = _check_standing(state)
    ctx = _context(state, applied)
    state, effects = _reduce_parts(state, ctx, event)
    state, out = _to_outbox(state, ctx, event, effects)
    state, left = _leave_when_done(state)
    return state, notes + out + left


def _take_in(state: CoreState, event: Event) -> tuple[CoreState, tuple[Applied, ...]]:
    """Bring clocks, the log and the fleet state up to date."""
    state = replace(state, now_ms=max(state.now_ms, event.now_ms))
    if isinstance(event, Tick):
        return replace(state, wall_ms=event.wall_ms), ()
    if isinstance(event, LogReachable):
        return replace(state, log_up=event.up), ()
    if isinstance(event, LeaveAsked):
        return replace(state, leaving=True), ()
    if isinstance(event, PeerReported):
        heard_ms = state.heard_ms.set(event.report.entry_host, event.now_ms)
        return replace(state, heard_ms=heard_ms), ()
    if isinstance(event, SnapshotLoaded):
        return _load(state, event.fleet), ()
    if isinstance(event, BatchesRead):
        return _apply(state, event)
    return state, ()


def _load(state: CoreState, fleet: FleetState) -> CoreState:
    """Take over a snapshot, unless it is older than what is in force here."""
    if fleet.offset <= state.fleet.offset:
        return state
    return replace(state, fleet=fleet)


def _apply(
    state: CoreState, event: BatchesRead
) -> tuple[CoreState, tuple[Applied, ...]]:
    """Fold batches into the fleet state."""
    fleet = state.fleet
    box = state.outbox
    all_applied: list[Applied] = []
    for offset, batch in event.batches:
        fleet, applied = apply_batch(fleet, offset, batch)
        all_applied.extend(applied)
        if batch is None or batch.entry_host != state.me.entry_host:
            continue
        if batch.incarnation == state.me.incarnation:
            box = outbox.seen(box, batch.seq)
    return replace(state, fleet=fleet, outbox=box), tuple(all_applied)


def _check_standing(state: CoreState) -> tuple[CoreState, tuple[Effect, ...]]:
    """Take a new incarnation after being written off; end if superseded."""
    host = state.fleet.hosts.get(state.me.entry_host)
    if host is None or state.superseded:
        return state, ()
    if host.incarnation > state.me.incarnation:
        fields = (("incarnation", host.incarnation),)
        note = Note("error", "superseded_by_newer_incarnation", fields)
        return replace(state, superseded=True, leaving=True), (note,)
    if host.incarnation < state.me.incarnation or host.status is not HostStatus.LOST:
        return state, ()
    me = replace(state.me, incarnation=state.me.incarnation + 1)
    fresh = PresenceState(
        beat_ms=state.presence.beat_ms,
        lost_after_ms=state.presence.lost_after_ms,
        reading_since_ms=state.presence.reading_since_ms,
        beats=state.presence.beats,
        diverged=state.presence.diverged,
    )
    note = Note("warning", "rejoining", (("incarnation", me.incarnation),))
    box = outbox.renew(state.outbox)
    return replace(state, me=me, presence=fresh, outbox=box), (note,)


def _context(state: CoreState, applied: tuple[Applied, ...]) -> Context:
    """Return what the parts may see in this reduction."""
    return Context(
        me=state.me,
        fleet=state.fleet,
        applied=applied,
        log_up=state.log_up,
        member=state.member,
        leaving=state.leaving,
        now_ms=state.now_ms,
        wall_ms=state.wall_ms,
        heard_ms=state.heard_ms,
        leaving_workers=state.requests.leaving_workers,
    )


def _reduce_parts(
    state: CoreState, ctx: Context, event: Event
) -> tuple[CoreState, tuple[Effect, ...]]:
    """Let each local part take in the event."""
    req_state, out = requests.reduce(state.requests, ctx, event)
    if isinstance(event, requests.ONLY_REQUESTS):
        return replace(state, requests=req_state), out
    op_state, op_out = operations.reduce(state.operations, ctx, event)
    job_state, job_out = jobs.reduce(state.jobs, ctx, event)
    edit_state, edit_out = edits.reduce(state.edits, ctx, event)
    snap_state, snap_out = snapshots.reduce(state.snapshots, ctx, event)
    settled = settled_offset(req_state, ctx.fleet)
    drained = is_drained(req_state)
    drained = drained and not edit_state.waiting and not job_state.asks
    here, here_out = presence.reduce(state.presence, ctx, event, settled, drained)
    state = replace(
        state,
        requests=req_state,
        operations=op_state,
        jobs=job_state,
        edits=edit_state,
        snapshots=snap_state,
        presence=here,
    )
    return state, out + op_out + job_out + edit_out + snap_out + here_out


def _to_outbox(
    state: CoreState, ctx: Context, event: Event, effects: tuple[Effect, ...]
) -> tuple[CoreState, tuple[Effect, ...]]:
    """Queue the proposals among the effects, and append when it is time."""
    box = state.outbox
    if isinstance(event, AppendEnded):
        box = outbox.ended(box, event)
    records = tuple(eff.record for eff in effects if isinstance(eff, Propose))
    others = tuple(eff for eff in effects if not isinstance(eff, Propose))
    box = outbox.add(box, records)
    box, out = outbox.flush(box, ctx)
    return replace(state, outbox=box), others + out


def _leave_when_done(state: CoreState) -> tuple[CoreState, tuple[Effect, ...]]:
    """Give `Left` once nothing is in flight and the log knows of the leave."""
    if not state.leaving or state.ended or not is_drained(state.requests):
        return state, ()
    host = state.fleet.hosts.get(state.me.entry_host)
    gone = host is None or host.status is HostStatus.LEFT or state.superseded
    if not gone:
        return state, ()
    return replace(state, ended=True), (Left(),)
