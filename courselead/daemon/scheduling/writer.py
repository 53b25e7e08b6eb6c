"""Group commit of callers' records to the job log."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import structlog
from returns.result import Success

from courselead.core.scheduler.records import (
    EarlyCancel,
    JobAccepted,
    JobCancelled,
    KeyedRecord,
    encode,
)
from courselead.daemon.scheduling.owner_forwarder import OwnerForwarder, StoreResult
from courselead.daemon.scheduling.ports import (
    AppendUnknown,
    HostCounters,
    KeyedLog,
)
from courselead.daemon.scheduling.standstill import StandstillWatch

_LOGGER = structlog.get_logger(__name__)

APPEND_TIMEOUT_MS = 1_500
"""Timeout of one append. The store takes 4 ms, and up to 700 ms when it is slow, after
one other append. A caller waits twice as long as this timeout."""

RETRIES = 1
"""Retries of an append that failed. Failures are reported without delay, except for one
retry, because the store also refuses calls above its rate limit."""

RETRY_WINDOW_S = 0.3
"""Time after which a failed append is not retried: callers wait for it, and are told
when to try again."""

RETRY_PAUSE_S = 0.02
MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 1_048_576
"""Maximum records of one append and their size, half of the store's limit. An append
that is too large is refused with all its records."""

MAX_FORWARD_S = 1.0
"""Duration of a failed forward from which the record is not stored here instead: its
caller gives up after 3 s, and an append may take half of that."""

REJECT_MS = 1_000
"""Time for which new records are refused after an append without a response."""


_TOO_OLD = StoreResult(False, False, "this host stood still; send the request again")


@dataclass(slots=True, eq=False)
class _PendingRecord:
    record: KeyedRecord
    done: anyio.Event = field(default_factory=anyio.Event)
    stored: StoreResult = StoreResult(False, True, "not tried")


class JobWriter:
    """Stores callers' records, one append at a time; waiting records share the next."""

    def __init__(
        self,
        log: KeyedLog,
        counters: HostCounters,
        forwarder: OwnerForwarder | None = None,
        standstill: StandstillWatch | None = None,
    ) -> None:
        """Initialize with an empty queue.

        Args:
            log: Job log.
            counters: Counters of this host.
            forwarder: Forwards records to the owner's host, which is tried first.
            standstill: Tells whether records may have waited for too long.
        """
        self._log = log
        self._forwarder = forwarder
        self._counters = counters
        self._queue: list[_PendingRecord] = []
        self._wake = anyio.Event()
        self._rejecting_until = 0.0
        self._standstill = standstill or StandstillWatch()

    async def store(
        self, record: JobAccepted | JobCancelled | EarlyCancel
    ) -> StoreResult:
        """Store a record through the owner's host or, if that fails, directly."""
        if self._standstill.has_old_requests:
            return _TOO_OLD
        encoded = encode(record)
        if self._forwarder is None:
            return await self.store_here(encoded)
        begun = anyio.current_time()
        forwarded = await self._forwarder.store(encoded)
        forward_s = anyio.current_time() - begun
        if forwarded.ok or forward_s >= MAX_FORWARD_S:
            return forwarded
        stored = await self.store_here(encoded)
        if stored.ok or not forwarded.in_doubt:
            return stored
        # The owner's host may still store the record.
        return StoreResult(False, True, stored.reason)

    async def store_here(self, record: KeyedRecord) -> StoreResult:
        """Store a record with this host's next append."""
        if self._standstill.has_old_requests:
            return _TOO_OLD
        if anyio.current_time() < self._rejecting_until:
            return StoreResult(False, False, "the log does not answer")
        pending = _PendingRecord(record)
        self._queue.append(pending)
        self._wake.set()
        await pending.done.wait()
        return pending.stored

    async def run(self) -> None:
        """Store queued records until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._standstill.run)
            await self._store_queued()

    async def _store_queued(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._queue:
                await self._commit(self._take_batch())

    def _take_batch(self) -> list[_PendingRecord]:
        """Remove the records of the next append from the queue; at least one."""
        batch: list[_PendingRecord] = []
        size = 0
        for item in self._queue[:MAX_BATCH_RECORDS]:
            size += len(item.record.key) + len(item.record.value)
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(item)
        del self._queue[: len(batch)]
        return batch

    async def _commit(self, batch: list[_PendingRecord]) -> None:
        if self._standstill.has_old_requests:
            stored = _TOO_OLD
        else:
            stored = await self._append([item.record for item in batch])
        for item in batch:
            item.stored = stored
            item.done.set()

    async def _append(self, records: list[KeyedRecord]) -> StoreResult:
        uncertain = False
        reason = ""
        begun = anyio.current_time()
        for attempt in range(1 + RETRIES):
            if attempt:
                if anyio.current_time() - begun >= RETRY_WINDOW_S:
                    break
                await anyio.sleep(RETRY_PAUSE_S)
            self._counters.add("append_calls")
            result = await self._log.append(records, APPEND_TIMEOUT_MS)
            if isinstance(result, Success):
                self._rejecting_until = 0.0
                return StoreResult(True)
            error = result.failure()
            reason = getattr(error, "reason", type(error).__name__)
            if isinstance(error, AppendUnknown):
                uncertain = True
        _LOGGER.warning("append_failed", reason=reason, in_doubt=uncertain)
        if uncertain:
            self._rejecting_until = anyio.current_time() + REJECT_MS / 1000
            self._reject_queue()
        return StoreResult(False, uncertain, reason)

    def _reject_queue(self) -> None:
        """Refuse the queued records, which were never sent."""
        queue, self._queue = self._queue, []
        for item in queue:
            item.stored = StoreResult(False, False, "the log does not answer")
            item.done.set()
