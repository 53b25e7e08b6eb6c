"""Copies of a log's newest records, sent by hosts on fast links to hosts on slow ones.

Several large records in quick succession take too long on a slow link. A host that has
already read them sends the newest of each key in one compressed reply.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import structlog
from returns.result import Failure, Result, Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import (
    HostCounters,
    KeyedLog,
    LogBatch,
    Newest,
    NewestRecord,
    ReadError,
    ReadFailed,
)
from courselead.daemon.scheduling.relay_messages import (
    CopyRequest,
    RelayReply,
    encode_reply,
    newest_from_reply,
    newest_reply,
)

_LOGGER = structlog.get_logger(__name__)

SLOW_RESPONSE_S = 0.15
"""Time for which a response may keep arriving before a copy is requested. Responses
usually take 0.01 s, and a configuration must be in force within 2 s."""

MAX_REQUEST_INTERVAL_S = 1.2
"""Maximum pause between two copy requests; the pause doubles after each. While the
store is down no host has a copy to send, and each request costs that host a read."""

SERVE_WAIT_S = 0.5
"""Maximum time for which a copy request waits until this host has read the requested
records, which takes up to 0.25 s on a fast link."""

ANY_END = 0
"""Used instead of a minimum end to request everything stored at the time of the
request."""


class LogCopy:
    """The newest record of each key of a log that this host follows."""

    def __init__(self) -> None:
        """Start without any record."""
        self.end = -1
        self.confirm: Callable[[], Awaitable[bool]] = _no_read
        self._records: dict[bytes, NewestRecord] = {}
        self._advanced = anyio.Event()
        self._encoded_reply = b""
        self._encoded_end = -1
        self._confirming = anyio.Lock()
        self._confirm_begun = -math.inf
        self._confirmed = False

    def replace(self, newest: Newest) -> None:
        """Replace all records by the newest record of each key."""
        self._records = {item.record.key: item for item in newest.records}
        self._advance(newest.end)

    def put(self, offset: int, record: KeyedRecord) -> None:
        """Add the next record of the log; a record without a value deletes its key."""
        known = self._records.get(record.key)
        if known is None or offset > known.offset:
            self._records[record.key] = NewestRecord(offset, record)
        self._advance(offset + 1)

    async def serve(self, at_least: int, confirmed: bool) -> bytes:
        """Return the encoded reply to a host that requests a copy.

        Args:
            at_least: Minimum end offset of the copy.
            confirmed: Whether to read the log first, so that the copy contains
                everything that was stored before the request.
        """
        if confirmed and not await self._confirm():
            return encode_reply(RelayReply("not_done", reason="the read failed"))
        with anyio.move_on_after(SERVE_WAIT_S):
            while self.end < at_least:
                await self._advanced.wait()
        if self.end < max(at_least, 0):
            return encode_reply(RelayReply("not_done", reason="not read that far"))
        return self._reply()

    async def _confirm(self) -> bool:
        """Read the log; requests that arrive before a read starts share it."""
        asked_at = anyio.current_time()
        async with self._confirming:
            if self._confirm_begun < asked_at:
                self._confirm_begun = anyio.current_time()
                self._confirmed = await self.confirm()
            return self._confirmed

    def _reply(self) -> bytes:
        """Return the reply, encoded once per end offset for all requests."""
        if self._encoded_end != self.end:
            present = [item for item in self._records.values() if item.record.value]
            newest = Newest(self.end, tuple(present))
            self._encoded_reply = encode_reply(newest_reply(newest))
            self._encoded_end = self.end
        return self._encoded_reply

    def _advance(self, end: int) -> None:
        self.end = end
        advanced, self._advanced = self._advanced, anyio.Event()
        advanced.set()


class CopyProvider(Protocol):
    """Requests copies from hosts on faster links."""

    async def request_copy(self, request: CopyRequest) -> RelayReply | None:
        """Return the first copy received, None if no host sends one."""
        ...


class CopyAssistedLog:
    """A log that is read from the store and, if that is slow, copied from another host.

    Both run concurrently: the store's response shows that there are new records, and it
    is used if no other host sends a copy.
    """

    def __init__(
        self, name: str, log: KeyedLog, provider: CopyProvider, counters: HostCounters
    ) -> None:
        """Initialize with the log's name between hosts and the provider of copies."""
        self._name = name
        self._log = log
        self._provider = provider
        self._counters = counters

    async def read(
        self, start: int, wait_ms: int
    ) -> Result[LogBatch | Newest, ReadError]:
        """Return records from an offset on, or a copy that extends beyond it."""
        race = _CopyRace()

        async def direct() -> Result[LogBatch, ReadError]:
            return await self._log.read(start, wait_ms, race.note_arrival)

        return await race.run(direct, self._copy)

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        race = _CopyRace()
        race.note_arrival(ANY_END)
        return await race.run(self._log.newest, self._copy)

    async def _copy(self, at_least: int) -> Newest | None:
        begun = anyio.current_time()
        request = CopyRequest(self._name, at_least, confirmed=at_least == ANY_END)
        reply = await self._provider.request_copy(request)
        if reply is None:
            return None
        newest = newest_from_reply(reply)
        self._counters.add("copies_taken")
        took_ms = int((anyio.current_time() - begun) * 1000)
        _LOGGER.info("copy_taken", log=self._name, end=newest.end, took_ms=took_ms)
        return newest


class _CopyRace:
    """A read from the store and copy requests that run concurrently with it."""

    def __init__(self) -> None:
        self._end = ANY_END
        self._arrived = anyio.Event()
        self._done = anyio.Event()
        self._result: Result[LogBatch | Newest, ReadError] = Failure(
            ReadFailed("not read")
        )

    def note_arrival(self, end: int) -> None:
        """Record that a response has begun to arrive, with the log's end offset."""
        self._end = end
        self._arrived.set()

    async def run(
        self,
        direct: Callable[[], Awaitable[Result[LogBatch | Newest, ReadError]]],
        copy: Callable[[int], Awaitable[Newest | None]],
    ) -> Result[LogBatch | Newest, ReadError]:
        """Return the store's response or a copy, whichever is complete first."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._read, direct)
            tasks.start_soon(self._request_copies, copy)
            await self._done.wait()
            tasks.cancel_scope.cancel()
        return self._result

    async def _read(
        self, direct: Callable[[], Awaitable[Result[LogBatch | Newest, ReadError]]]
    ) -> None:
        self._finish(await direct())

    async def _request_copies(
        self, copy: Callable[[int], Awaitable[Newest | None]]
    ) -> None:
        await self._arrived.wait()
        pause_s = SLOW_RESPONSE_S
        while True:
            await anyio.sleep(pause_s)
            newest = await copy(self._end)
            if newest is not None:
                self._finish(Success(newest))
                return
            pause_s = min(2 * pause_s, MAX_REQUEST_INTERVAL_S)

    def _finish(self, result: Result[LogBatch | Newest, ReadError]) -> None:
        if not self._done.is_set():
            self._result = result
            self._done.set()


async def _no_read() -> bool:
    return False
