"""Group commit: proposals wait here and leave as batches, one at a time.

A batch whose append failed or whose answer was lost is sent again with the
same sequence number until it is known to be in the log; the copy is ignored
when it is applied. Appends are paced by a token bucket, so that all entry
hosts together keep to their part of what the log takes: at low rates a
proposal leaves at once, at high rates one append carries many.
"""

from dataclasses import dataclass, replace

from courselead.core.context import Context
from courselead.core.effects import Append, Effect, Measure, Metric, Note
from courselead.core.events import AppendEnded, AppendResult
from courselead.core.fleet.queries import live_hosts
from courselead.core.fleet.records import Batch, Record, SnapshotPart

LOG_APPENDS_PER_S = 100.0
BURST = 10.0
MAX_BATCH_RECORDS = 400
MAX_PENDING = 20_000
RETRY_MS = 200
MAX_RETRY_MS = 3_000


@dataclass(frozen=True, slots=True)
class OutboxState:
    """Proposals not yet known to be in the log.

    Attributes:
        pending: Records not yet in a batch, oldest first.
        in_flight: The batch being appended, None if none.
        appending: Whether an append of it is under way now.
        next_seq: Number of the next batch.
        retry_at_ms: Earliest time of the next try.
        failures: Tries of `in_flight` that failed.
        tokens: Appends that may be made at once.
        refilled_ms: When `tokens` was worked out.
        dropped: Records dropped because the outbox was full.
    """

    pending: tuple[Record, ...] = ()
    in_flight: Batch | None = None
    appending: bool = False
    next_seq: int = 1
    retry_at_ms: int = 0
    failures: int = 0
    tokens: float = BURST
    refilled_ms: int = 0
    dropped: int = 0


def add(state: OutboxState, records: tuple[Record, ...]) -> OutboxState:
    """Queue proposals; beyond the bound the newest are dropped.

    Whoever proposed a dropped record proposes it again after a timeout, and
    an outcome that is never recorded counts as unknown, which is safe.
    """
    if not records:
        return state
    room = max(0, MAX_PENDING - len(state.pending))
    kept = records[:room]
    return replace(
        state,
        pending=state.pending + kept,
        dropped=state.dropped + len(records) - len(kept),
    )


def renew(state: OutboxState) -> OutboxState:
    """Start over for a new incarnation; what was pending is proposed anew."""
    return OutboxState(tokens=state.tokens, refilled_ms=state.refilled_ms)


def ended(state: OutboxState, event: AppendEnded) -> OutboxState:
    """Take in how an append ended."""
    batch = state.in_flight
    if batch is None or batch.seq != event.seq:
        return state
    if event.result is AppendResult.STORED:
        return _done(state)
    failures = state.failures + 1
    wait_ms = min(MAX_RETRY_MS, RETRY_MS * 2 ** min(failures - 1, 8))
    return replace(
        state,
        appending=False,
        failures=failures,
        retry_at_ms=event.now_ms + wait_ms,
    )


def seen(state: OutboxState, seq: int) -> OutboxState:
    """Take in that this host's batch `seq` was read back from the log."""
    batch = state.in_flight
    if batch is None or seq < batch.seq:
        return state
    return _done(state)


def flush(state: OutboxState, ctx: Context) -> tuple[OutboxState, tuple[Effect, ...]]:
    """Start the next append if there is one and it is time for it."""
    if state.appending:
        return state, ()
    if state.in_flight is None and not state.pending:
        return state, ()
    if ctx.now_ms < state.retry_at_ms:
        return state, ()
    state = _refill(state, ctx)
    if state.tokens < 1.0:
        return state, ()
    notes: tuple[Effect, ...] = ()
    if state.dropped:
        fields = (("records", state.dropped),)
        notes = (Note("warning", "outbox_full", fields),)
        state = replace(state, dropped=0)
    if state.in_flight is None:
        state = _next_batch(state, ctx)
    batch = state.in_flight
    state = replace(state, appending=True, tokens=state.tokens - 1.0)
    size = Measure(Metric.RECORD, len(batch.records))
    return state, (*notes, size, Append(batch))


def idle(state: OutboxState) -> bool:
    """Whether nothing waits for the log."""
    return state.in_flight is None and not state.pending


def _done(state: OutboxState) -> OutboxState:
    """Forget the batch in flight: it is in the log."""
    return replace(state, in_flight=None, appending=False, failures=0, retry_at_ms=0)


def _refill(state: OutboxState, ctx: Context) -> OutboxState:
    """Add the tokens earned since the last time."""
    hosts = max(1, len(live_hosts(ctx.fleet)))
    passed_ms = max(0, ctx.now_ms - state.refilled_ms)
    earned = passed_ms * LOG_APPENDS_PER_S / hosts / 1000.0
    tokens = min(BURST, state.tokens + earned)
    return replace(state, tokens=tokens, refilled_ms=ctx.now_ms)


def _next_batch(state: OutboxState, ctx: Context) -> OutboxState:
    """Move the oldest proposals into a batch."""
    count = _batch_length(state.pending)
    batch = Batch(
        entry_host=ctx.me.entry_host,
        incarnation=ctx.me.incarnation,
        seq=state.next_seq,
        at_ms=ctx.wall_ms,
        snapshot=ctx.fleet.snapshot_at,
        records=state.pending[:count],
    )
    return replace(
        state,
        pending=state.pending[count:],
        in_flight=batch,
        next_seq=state.next_seq + 1,
    )


def _batch_length(pending: tuple[Record, ...]) -> int:
    """Return how many records the next batch takes: a snapshot part ends it."""
    for index, record in enumerate(pending[:MAX_BATCH_RECORDS]):
        if isinstance(record, SnapshotPart):
            return index + 1
    return min(len(pending), MAX_BATCH_RECORDS)
