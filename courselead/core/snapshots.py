"""Decides when this host writes a snapshot of the fleet state to the log.

The host that ranks first for the interval writes it; the others take over if no
new snapshot has appeared after their delay. Two snapshots of one interval do no
harm.
"""

from dataclasses import dataclass, replace

from courselead.core.context import Context
from courselead.core.effects import Effect, LogEvent, Propose, WriteSnapshot
from courselead.core.events import Event, SnapshotSplit, Tick
from courselead.core.fleet.queries import live_hosts
from courselead.core.ranking import takeover_delay_ms

DEFAULT_SNAPSHOT_EVERY = 5_000
TAKEOVER_DELAY_FACTOR = 10


@dataclass(frozen=True, slots=True)
class SnapshotsState:
    """Progress towards the next snapshot.

    Attributes:
        interval: Number of offsets between two snapshots.
        due_since_ms: When this host first saw that a snapshot is due, None if
            none is.
        last_written_offset: Offset of the fleet state that this host last wrote
            as a snapshot, -1 if none.
    """

    interval: int = DEFAULT_SNAPSHOT_EVERY
    due_since_ms: int | None = None
    last_written_offset: int = -1


def reduce(
    state: SnapshotsState, ctx: Context, event: Event
) -> tuple[SnapshotsState, tuple[Effect, ...]]:
    """Write a snapshot when one is due and this host's delay has passed."""
    if isinstance(event, SnapshotSplit):
        return state, tuple(Propose(part) for part in event.parts)
    if not isinstance(event, Tick) or not ctx.member or not ctx.log_up:
        return state, ()
    newest = max(ctx.fleet.snapshot_at, state.last_written_offset)
    if ctx.fleet.offset - newest < state.interval:
        return replace(state, due_since_ms=None), ()
    since_ms = state.due_since_ms
    if since_ms is None:
        since_ms = ctx.now_ms
    key = f"snapshot:{ctx.fleet.snapshot_at}"
    names = live_hosts(ctx.fleet)
    wait_ms = takeover_delay_ms(key, ctx.me.entry_host, names, ctx.me.seed)
    if ctx.now_ms - since_ms < wait_ms * TAKEOVER_DELAY_FACTOR:
        return replace(state, due_since_ms=since_ms), ()
    note = LogEvent("info", "snapshot_begun", (("at", ctx.fleet.offset),))
    state = replace(state, due_since_ms=None, last_written_offset=ctx.fleet.offset)
    return state, (note, WriteSnapshot(ctx.fleet))
