"""Top-level reducer of an entry host.

It applies the log to the shared fleet state first. The local parts (requests,
operations, jobs, presence, edits, snapshots) then read the result through a
`Context` and return effects. Proposed records go through the outbox, which
appends them to the log in batches.
"""

from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core import edits, outbox, presence, snapshots
from courselead.core.context import Context
from courselead.core.edits import EditsState
from courselead.core.effects import Effect, Left, LogEvent, Propose
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
from courselead.core.fleet.state import AppliedRecord, FleetState, HostStatus
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
    """Complete state of one entry host.

    Attributes:
        superseded: Whether the log holds a newer incarnation under this host's
            name, so that this process has to exit.
        leave_completed: Whether the `Left` effect has been returned.
        ever_member: Whether this process has ever been a member of the fleet.
        applied: Records applied by the newest event, with their verdicts.
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
    last_report_ms: Map[str, int] = field(default_factory=Map)
    now_ms: int = 0
    wall_ms: int = 0
    log_up: bool = False
    leaving: bool = False
    superseded: bool = False
    leave_completed: bool = False
    ever_member: bool = False
    applied: tuple[AppliedRecord, ...] = ()

    @property
    def member(self) -> bool:
        """Whether this incarnation is live in the fleet state."""
        host = self.fleet.hosts.get(self.me.entry_host)
        if host is None or host.incarnation != self.me.incarnation:
            return False
        return host.status is HostStatus.LIVE


def reduce(state: CoreState, event: Event) -> tuple[CoreState, tuple[Effect, ...]]:
    """Handle one event and return the next state and the effects to perform."""
    state, applied = _update_shared_state(state, event)
    ever_member = state.ever_member or state.member
    state = replace(state, applied=applied, ever_member=ever_member)
    state, notes = _check_membership(state)
    ctx = _build_context(state, applied)
    state, effects = _reduce_parts(state, ctx, event)
    state, others = _enqueue_proposals(state, ctx, event, effects)
    state, left = _complete_leave(state)
    return state, notes + others + left


def _update_shared_state(
    state: CoreState, event: Event
) -> tuple[CoreState, tuple[AppliedRecord, ...]]:
    """Update the clocks, the log's availability and the fleet state."""
    state = replace(state, now_ms=max(state.now_ms, event.now_ms))
    if isinstance(event, Tick):
        return replace(state, wall_ms=event.wall_ms), ()
    if isinstance(event, LogReachable):
        return replace(state, log_up=event.up), ()
    if isinstance(event, LeaveAsked):
        return replace(state, leaving=True), ()
    if isinstance(event, PeerReported):
        last_report_ms = state.last_report_ms.set(event.report.entry_host, event.now_ms)
        return replace(state, last_report_ms=last_report_ms), ()
    if isinstance(event, SnapshotLoaded):
        return _load_snapshot(state, event.fleet), ()
    if isinstance(event, BatchesRead):
        return _apply_batches(state, event)
    return state, ()


def _load_snapshot(state: CoreState, fleet: FleetState) -> CoreState:
    """Load a snapshot unless the current fleet state is as recent."""
    if fleet.offset <= state.fleet.offset:
        return state
    return replace(state, fleet=fleet)


def _apply_batches(
    state: CoreState, event: BatchesRead
) -> tuple[CoreState, tuple[AppliedRecord, ...]]:
    """Apply batches to the fleet state."""
    fleet = state.fleet
    outbox_state = state.outbox
    all_applied: list[AppliedRecord] = []
    for offset, batch in event.batches:
        fleet, applied = apply_batch(fleet, offset, batch)
        all_applied.extend(applied)
        if batch is None or batch.entry_host != state.me.entry_host:
            continue
        if batch.incarnation == state.me.incarnation:
            outbox_state = outbox.handle_batch_read(outbox_state, batch.seq)
    return replace(state, fleet=fleet, outbox=outbox_state), tuple(all_applied)


def _check_membership(state: CoreState) -> tuple[CoreState, tuple[Effect, ...]]:
    """Rejoin under a new incarnation if declared lost; leave if superseded."""
    host = state.fleet.hosts.get(state.me.entry_host)
    if host is None or state.superseded:
        return state, ()
    if host.incarnation > state.me.incarnation:
        fields = (("incarnation", host.incarnation),)
        note = LogEvent("error", "superseded_by_newer_incarnation", fields)
        return replace(state, superseded=True, leaving=True), (note,)
    if host.incarnation < state.me.incarnation or host.status is not HostStatus.LOST:
        return state, ()
    me = replace(state.me, incarnation=state.me.incarnation + 1)
    new_presence = PresenceState(
        beat_ms=state.presence.beat_ms,
        lost_after_ms=state.presence.lost_after_ms,
        reading_since_ms=state.presence.reading_since_ms,
        heartbeats=state.presence.heartbeats,
        reported_diverged=state.presence.reported_diverged,
    )
    note = LogEvent("warning", "rejoining", (("incarnation", me.incarnation),))
    outbox_state = outbox.reset(state.outbox)
    return replace(state, me=me, presence=new_presence, outbox=outbox_state), (note,)


def _build_context(state: CoreState, applied: tuple[AppliedRecord, ...]) -> Context:
    """Return the context for the local parts in this reduction."""
    return Context(
        me=state.me,
        fleet=state.fleet,
        applied=applied,
        log_up=state.log_up,
        member=state.member,
        leaving=state.leaving,
        now_ms=state.now_ms,
        wall_ms=state.wall_ms,
        last_report_ms=state.last_report_ms,
        leaving_workers=state.requests.leaving_workers,
    )


def _reduce_parts(
    state: CoreState, ctx: Context, event: Event
) -> tuple[CoreState, tuple[Effect, ...]]:
    """Pass the event to each local part."""
    req_state, req_out = requests.reduce(state.requests, ctx, event)
    if isinstance(event, requests.REQUEST_PATH_EVENTS):
        return replace(state, requests=req_state), req_out
    op_state, op_out = operations.reduce(state.operations, ctx, event)
    job_state, job_out = jobs.reduce(state.jobs, ctx, event)
    edit_state, edit_out = edits.reduce(state.edits, ctx, event)
    snap_state, snap_out = snapshots.reduce(state.snapshots, ctx, event)
    settled = settled_offset(req_state, ctx.fleet)
    drained = is_drained(req_state)
    drained = drained and not edit_state.waiting and not job_state.pending_requests
    presence_state, presence_out = presence.reduce(
        state.presence, ctx, event, settled, drained
    )
    state = replace(
        state,
        requests=req_state,
        operations=op_state,
        jobs=job_state,
        edits=edit_state,
        snapshots=snap_state,
        presence=presence_state,
    )
    return state, req_out + op_out + job_out + edit_out + snap_out + presence_out


def _enqueue_proposals(
    state: CoreState, ctx: Context, event: Event, effects: tuple[Effect, ...]
) -> tuple[CoreState, tuple[Effect, ...]]:
    """Move proposals from the effects to the outbox and start a due append."""
    outbox_state = state.outbox
    if isinstance(event, AppendEnded):
        outbox_state = outbox.handle_append_ended(outbox_state, event)
    records = tuple(effect.record for effect in effects if isinstance(effect, Propose))
    others = tuple(effect for effect in effects if not isinstance(effect, Propose))
    outbox_state = outbox.enqueue(outbox_state, records)
    outbox_state, append_effects = outbox.flush(outbox_state, ctx)
    return replace(state, outbox=outbox_state), others + append_effects


def _complete_leave(state: CoreState) -> tuple[CoreState, tuple[Effect, ...]]:
    """Return `Left` once nothing is in flight and the leave is in the log."""
    if not state.leaving or state.leave_completed or not is_drained(state.requests):
        return state, ()
    host = state.fleet.hosts.get(state.me.entry_host)
    has_left = host is None or host.status is HostStatus.LEFT or state.superseded
    if not has_left:
        return state, ()
    return replace(state, leave_completed=True), (Left(),)
