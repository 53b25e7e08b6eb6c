"""Group commit of proposed records: one append is in flight at a time.

A batch whose append failed or whose response was lost is sent again with the
same sequence number until it is known to be in the log; a duplicate is ignored
when it is applied. A token bucket limits the append rate, so that all entry
hosts together stay within their share of the log's capacity: at low rates a
proposal is appended at once, at high rates one append carries many proposals.
"""

from dataclasses import dataclass, replace

from courselead.core.context import Context
from courselead.core.effects import Append, Effect, LogEvent, Metric, RecordMetric
from courselead.core.events import AppendEnded, AppendResult
from courselead.core.fleet.queries import live_hosts
from courselead.core.fleet.records import Batch, Record, SnapshotPart

TOTAL_APPENDS_PER_S = 100.0  # by all live entry hosts together
MAX_APPEND_BURST = 10.0
MAX_BATCH_RECORDS = 400
MAX_PENDING_RECORDS = 20_000
INITIAL_RETRY_DELAY_MS = 200
MAX_RETRY_DELAY_MS = 3_000


@dataclass(frozen=True, slots=True)
class OutboxState:
    """Proposals that are not yet known to be in the log.

    Attributes:
        pending: Records not yet in a batch, oldest first.
        in_flight: The batch that is not yet known to be stored, None if none.
        appending: Whether an append of `in_flight` is running.
        next_seq: Sequence number of the next batch.
        retry_at_ms: Earliest time of the next attempt.
        failures: Failed attempts to append `in_flight`.
        tokens: Appends that may start without waiting.
        refilled_ms: When `tokens` was last updated.
        dropped: Records dropped because the outbox was full, not yet logged.
    """

    pending: tuple[Record, ...] = ()
    in_flight: Batch | None = None
    appending: bool = False
    next_seq: int = 1
    retry_at_ms: int = 0
    failures: int = 0
    tokens: float = MAX_APPEND_BURST
    refilled_ms: int = 0
    dropped: int = 0


def enqueue(state: OutboxState, records: tuple[Record, ...]) -> OutboxState:
    """Queue proposals; those that exceed `MAX_PENDING_RECORDS` are dropped.

    The proposer of a dropped record proposes it again after a timeout. An
    outcome that is never recorded counts as unknown, which is safe.
    """
    if not records:
        return state
    free = max(0, MAX_PENDING_RECORDS - len(state.pending))
    kept = records[:free]
    return replace(
        state,
        pending=state.pending + kept,
        dropped=state.dropped + len(records) - len(kept),
    )


def reset(state: OutboxState) -> OutboxState:
    """Start over for a new incarnation; pending records are proposed again."""
    return OutboxState(tokens=state.tokens, refilled_ms=state.refilled_ms)


def handle_append_ended(state: OutboxState, event: AppendEnded) -> OutboxState:
    """Handle the result of an append; schedule a retry unless it is stored."""
    batch = state.in_flight
    if batch is None or batch.seq != event.seq:
        return state
    if event.result is AppendResult.STORED:
        return _clear_in_flight(state)
    failures = state.failures + 1
    delay_ms = min(
        MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** min(failures - 1, 8)
    )
    return replace(
        state,
        appending=False,
        failures=failures,
        retry_at_ms=event.now_ms + delay_ms,
    )


def handle_batch_read(state: OutboxState, seq: int) -> OutboxState:
    """Handle that this host's batch `seq` was read back from the log."""
    batch = state.in_flight
    if batch is None or seq < batch.seq:
        return state
    return _clear_in_flight(state)


def flush(state: OutboxState, ctx: Context) -> tuple[OutboxState, tuple[Effect, ...]]:
    """Start the next append if there is one and it is due."""
    if state.appending:
        return state, ()
    if state.in_flight is None and not state.pending:
        return state, ()
    if ctx.now_ms < state.retry_at_ms:
        return state, ()
    state = _refill_tokens(state, ctx)
    if state.tokens < 1.0:
        return state, ()
    notes: tuple[Effect, ...] = ()
    if state.dropped:
        fields = (("records", state.dropped),)
        notes = (LogEvent("warning", "outbox_full", fields),)
        state = replace(state, dropped=0)
    if state.in_flight is None:
        state = _form_batch(state, ctx)
    batch = state.in_flight
    state = replace(state, appending=True, tokens=state.tokens - 1.0)
    size = RecordMetric(Metric.RECORD, len(batch.records))
    return state, (*notes, size, Append(batch))


def is_idle(state: OutboxState) -> bool:
    """Return whether no record waits to be stored in the log."""
    return state.in_flight is None and not state.pending


def _clear_in_flight(state: OutboxState) -> OutboxState:
    """Clear the batch in flight, which is now in the log."""
    return replace(state, in_flight=None, appending=False, failures=0, retry_at_ms=0)


def _refill_tokens(state: OutboxState, ctx: Context) -> OutboxState:
    """Add the tokens earned since the last refill."""
    hosts = max(1, len(live_hosts(ctx.fleet)))
    passed_ms = max(0, ctx.now_ms - state.refilled_ms)
    earned = passed_ms * TOTAL_APPENDS_PER_S / hosts / 1000.0
    tokens = min(MAX_APPEND_BURST, state.tokens + earned)
    return replace(state, tokens=tokens, refilled_ms=ctx.now_ms)


def _form_batch(state: OutboxState, ctx: Context) -> OutboxState:
    """Move the oldest proposals into a new batch in flight."""
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
    """Return the number of records in the next batch; a snapshot part ends it."""
    for index, record in enumerate(pending[:MAX_BATCH_RECORDS]):
        if isinstance(record, SnapshotPart):
            return index + 1
    return min(len(pending), MAX_BATCH_RECORDS)
