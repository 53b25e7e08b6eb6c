"""Followers of keyed logs: the newest record of each key, then all later records."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import structlog
from returns.result import Failure

from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.records import (
    EarlyCancel,
    JobAccepted,
    JobCancelled,
    JobProgress,
    KeyedRecord,
    OwnerHeartbeat,
    Record,
    decode,
)
from courselead.daemon.scheduling.log_copies import LogCopy
from courselead.daemon.scheduling.ports import (
    FollowedLog,
    HistoryGone,
    HostCounters,
    KeyedLog,
    LogBatch,
    Newest,
)

_LOGGER = structlog.get_logger(__name__)

READ_WAIT_MS = 1_000
"""Wait time of one read; a broken connection is detected within about a second."""

MIN_RETRY_S = 0.05
MAX_RETRY_S = 0.6
"""Bounds of the wait after a failed read, with jitter. Reads resume well within the 2 s
in which a configuration must be in force after the store has recovered."""

MAX_CATCH_UP_S = 2.0
"""Maximum time after which a host that is far behind the end of a log starts another
read for a caller, who waits for seconds at most."""

LARGE_READ_BYTES = 262_144
"""Size from which a read is logged; this program writes no record that large."""


class KeyedFollower:
    """Follows one log and applies each record once, in order."""

    def __init__(
        self,
        name: str,
        log: FollowedLog,
        on_record: Callable[[KeyedRecord], None],
        on_keys: Callable[[set[bytes]], None] = lambda keys: None,
        pause_s: float = 0.0,
        counters: HostCounters | None = None,
        log_copy: LogCopy | None = None,
    ) -> None:
        """Initialize without reading the log.

        Args:
            name: Name of the log in log lines and counters.
            log: Log to follow.
            on_record: Called with each record.
            on_keys: Called with the existing keys after a read of the newest records.
            pause_s: Pause between two reads, so that several records share a call.
            counters: Counters for reads, if they are counted.
            log_copy: Copy of the newest records for other hosts, if there is one.
        """
        self._name = name
        self._log = log
        self._on_record = on_record
        self._on_keys = on_keys
        self.pause_s = pause_s
        self._counters = counters
        self._log_copy = log_copy
        if log_copy is not None:
            log_copy.confirm = self.read_now
        self.on_recovery: Callable[[], None] = lambda: None
        self.on_read: Callable[[int, KeyedRecord], None] = lambda offset, record: None
        self.offset = -1
        self.last_answered_at = 0.0
        # When the newest read was sent after which nothing was left to read.
        self.caught_up_at = 0.0
        # End of the log according to the newest read, and when that was sent.
        self._end = -1
        self._end_read_at = 0.0
        self._newest_offsets: dict[bytes, int] = {}
        self._failures = 0
        self._lock = anyio.Lock()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            if not await self._poll(READ_WAIT_MS):
                max_s = min(MAX_RETRY_S, MIN_RETRY_S * 2**self._failures)
                await anyio.sleep(random.uniform(MIN_RETRY_S, max_s))
            elif self.pause_s:
                await anyio.sleep(self.pause_s)

    async def read_now(self) -> bool:
        """Apply all records that were stored before this call.

        The response to a read contains a limited number of records, and none at all if
        the history is gone, so several reads may be needed. Returns False if one fails
        or if they take too long.
        """
        begun_at = anyio.current_time()
        end = None
        while await self._poll(0):
            # A concurrent read may have been sent before this call.
            if end is None and self._end_read_at >= begun_at:
                end = self._end
            if end is not None and self.offset >= end:
                return True
            if anyio.current_time() - begun_at > MAX_CATCH_UP_S:
                _LOGGER.info(
                    "catch_up_incomplete", log=self._name, offset=self.offset, end=end
                )
                return False
        return False

    async def _poll(self, wait_ms: int) -> bool:
        if self.offset < 0:
            return await self._restart()
        sent_at = anyio.current_time()
        start = self.offset
        if self._counters is not None:
            self._counters.add(f"reads_{self._name}")
        result = await self._log.read(start, wait_ms)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, HistoryGone):
                _LOGGER.info("history_gone", log=self._name, offset=start)
                self.offset = -1
                return True
            return self._record_failure(error.reason)
        found = result.unwrap()
        if isinstance(found, Newest):
            if found.end > self.offset:
                self._apply_newest(found)
        else:
            self._log_large(found, sent_at)
            self._apply_batch(found)
        self._record_end(sent_at, found.end)
        if self.offset >= found.end:
            self.caught_up_at = max(self.caught_up_at, sent_at)
        return True

    def _log_large(self, batch: LogBatch, sent_at: float) -> None:
        """Log a read that is large enough to occupy a slow link."""
        size = sum(len(record.value) for record in batch.records)
        if size < LARGE_READ_BYTES:
            return
        _LOGGER.info(
            "large_read",
            log=self._name,
            offset=batch.start,
            records=len(batch.records),
            end=batch.end,
            bytes=size,
            took_ms=int((anyio.current_time() - sent_at) * 1000),
        )

    async def _restart(self) -> bool:
        sent_at = anyio.current_time()
        async with self._lock:
            if self.offset >= 0:
                return True
            result = await self._log.newest()
            if isinstance(result, Failure):
                error = result.failure()
                reason = "" if isinstance(error, HistoryGone) else error.reason
                return self._record_failure(reason)
            newest = result.unwrap()
            self._apply_newest(newest)
        self._record_end(sent_at, newest.end)
        self.caught_up_at = max(self.caught_up_at, sent_at)
        return True

    def _apply_newest(self, newest: Newest) -> None:
        self._newest_offsets = {}
        for item in sorted(newest.records, key=lambda item: item.offset):
            self._newest_offsets[item.record.key] = item.offset
            self._on_record(item.record)
        self._on_keys(set(self._newest_offsets))
        self.offset = newest.end
        if self._log_copy is not None:
            self._log_copy.replace(newest)

    def _apply_batch(self, batch: LogBatch) -> None:
        for position, record in enumerate(batch.records):
            offset = batch.start + position
            if offset < self.offset:
                continue
            self.offset = offset + 1
            self.on_read(offset, record)
            known = offset <= self._newest_offsets.get(record.key, -1)
            if not known:
                self._on_record(record)
            if self._log_copy is not None:
                self._log_copy.put(offset, record)

    def _record_end(self, sent_at: float, end: int) -> None:
        """Record that a read succeeded and what end of the log it reported."""
        if sent_at >= self._end_read_at:
            self._end_read_at = sent_at
            self._end = end
        self._record_success(sent_at)

    def _record_success(self, sent_at: float) -> None:
        if self._failures:
            _LOGGER.info("log_reached", log=self._name, failures=self._failures)
            self.on_recovery()
        self._failures = 0
        self.last_answered_at = max(self.last_answered_at, sent_at)

    def _record_failure(self, reason: str) -> bool:
        if self._failures == 0:
            _LOGGER.warning("log_unreachable", log=self._name, reason=reason)
        self._failures += 1
        return False


class JobFollower:
    """Keeps the state that results from the job log; every host runs one."""

    def __init__(
        self,
        log: KeyedLog,
        counters: HostCounters,
        on_read: Callable[[int, KeyedRecord], None] = lambda offset, record: None,
    ) -> None:
        """Initialize without reading the log.

        Args:
            log: Job log to follow.
            counters: Counters of this host.
            on_read: Called with the offset and each record that is read.
        """
        self.book = JobBook()
        self.on_change: Callable[[Record], None] = lambda record: None
        self.owner_seen_at = 0.0
        self._counters = counters
        self._follower = KeyedFollower(
            "jobs",
            log,
            self._apply,
            self.book.early_cancels.keep_only,
            pause_s=READ_PAUSE_S,
            counters=counters,
        )
        self._follower.on_recovery = self._on_log_recovered
        self._follower.on_read = on_read
        self._reading: anyio.Event | None = None
        self._next_read: anyio.Event | None = None
        self._last_outcome = False

    @property
    def offset(self) -> int:
        """Return the offset of the next record to be read."""
        return self._follower.offset

    @property
    def last_answered_at(self) -> float:
        """Return the time at which the latest successful read was sent."""
        return self._follower.last_answered_at

    @property
    def started(self) -> bool:
        """Return whether the log was read at least once."""
        return self._follower.offset >= 0

    async def run(self) -> None:
        """Follow the log until cancelled."""
        await self._follower.run()

    def set_continuous(self, continuous: bool) -> None:
        """Read without pauses (for the schedule owner), or with them again."""
        self._follower.pause_s = 0.0 if continuous else READ_PAUSE_S

    async def catch_up(self) -> bool:
        """Apply all records stored before this call; concurrent calls share reads."""
        if self._reading is not None:
            # The current read may have started before the latest records were stored.
            if self._next_read is None:
                return await self._read_after(self._reading)
            await self._next_read.wait()
            return self._last_outcome
        return await self._read(anyio.Event())

    def apply_stored(self, record: JobAccepted | JobCancelled | EarlyCancel) -> None:
        """Apply a record that this host has stored, before it is read back."""
        self.book.apply(record)

    def _on_log_recovered(self) -> None:
        """Restart the owner's timeout: it may have lost the log like this host."""
        self.owner_seen_at = anyio.current_time()

    async def _read_after(self, current: anyio.Event) -> bool:
        next_read = self._next_read = anyio.Event()
        try:
            await current.wait()
        except BaseException:
            self._last_outcome = False
            next_read.set()
            raise
        finally:
            self._next_read = None
        return await self._read(next_read)

    async def _read(self, done: anyio.Event) -> bool:
        self._reading = done
        self._counters.add("catch_ups")
        try:
            self._last_outcome = await self._follower.read_now()
            return self._last_outcome
        finally:
            self._reading = None
            done.set()

    def _apply(self, keyed: KeyedRecord) -> None:
        try:
            record = decode(keyed)
        except ValueError as exc:
            _LOGGER.error("record_malformed", reason=str(exc))
            return
        if isinstance(record, OwnerHeartbeat | JobProgress):
            self.owner_seen_at = anyio.current_time()
        self.book.apply(record)
        self.on_change(record)


READ_PAUSE_S = 0.15
"""Pause between reads of a host that does not own the schedule. Each read costs money,
and a caller's status request triggers its own read."""
