"""When to write a snapshot of the shared state to the log, and who does.

The host that ranks first for the interval writes; the others step in if no
new snapshot has come after their delay. Two that write one are harmless.
"""

from dataclasses import dataclass, replace

from courselead.core.context import Context
from courselead.core.effects import Effect, Note, Propose, WriteSnapshot
from courselead.core.events import Event, SnapshotSplit, Tick
from courselead.core.fleet.queries import live_hosts
from courselead.core.ranking import step_in_ms

DEFAULT_SNAPSHOT_EVERY = 5_000
STEP_IN_FACTOR = 10


@dataclass(frozen=True, slots=True)
class SnapshotsState:
    """Progress towards the next snapshot.

    Attributes:
        every: Offsets between two snapshots.
        due_since_ms: Since when one has been due here, None if it is not.
        written_at: Offset of the fleet state last written from here.
    """

    every: int = DEFAULT_SNAPSHOT_EVERY
    due_since_ms: int | None = None
    written_at: int = -1


def reduce(
    state: SnapshotsState, ctx: Context, event: Event
) -> tuple[SnapshotsState, tuple[Effect, ...]]:
    """Write a snapshot when it is due and this host's turn."""
    if isinstance(event, SnapshotSplit):
        return state, tuple(Propose(part) for part in event.parts)
    if not isinstance(event, Tick) or not ctx.member or not ctx.log_up:
        return state, ()
    newest = max(ctx.fleet.snapshot_at, state.written_at)
    if ctx.fleet.offset - newest < state.every:
        return replace(state, due_since_ms=None), ()
    since_ms = state.due_since_ms
    if since_ms is None:
        since_ms = ctx.now_ms
    key = f"snapshot:{ctx.fleet.snapshot_at}"
    names = live_hosts(ctx.fleet)
    wait_ms = step_in_ms(key, ctx.me.entry_host, names, ctx.me.seed)
    if ctx.now_ms - since_ms < wait_ms * STEP_IN_FACTOR:
        return replace(state, due_since_ms=since_ms), ()
    note = Note("info", "snapshot_begun", (("at", ctx.fleet.offset),))
    state = replace(state, due_since_ms=None, written_at=ctx.fleet.offset)
    return state, (note, WriteSnapshot(ctx.fleet))
