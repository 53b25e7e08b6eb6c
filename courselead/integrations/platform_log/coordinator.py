"""Reader that follows the log from an offset on and retries during outages."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from returns.result import Success

from .client import LogClient
from .const import (
    DEFAULT_BACKOFF_FIRST_MS,
    DEFAULT_BACKOFF_MAX_MS,
    DEFAULT_READ_LIMIT,
    DEFAULT_READ_WAIT_MS,
)
from .errors import OffsetGone
from .models import LogPage


@dataclass(frozen=True, slots=True)
class ReaderUp:
    """The log responds, for the first time or after an outage."""


@dataclass(frozen=True, slots=True)
class ReaderDown:
    """The log no longer responds; the reader keeps retrying."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReaderOffsetGone:
    """The next offset is no longer retained: restore a snapshot, then call `seek`."""

    offset: int
    first: int
    next: int


ReaderEvent = ReaderUp | ReaderDown | ReaderOffsetGone


class Backoff:
    """Exponential backoff with a maximum and with jitter, which spreads out readers."""

    def __init__(
        self,
        rng: random.Random,
        first_ms: int = DEFAULT_BACKOFF_FIRST_MS,
        max_ms: int = DEFAULT_BACKOFF_MAX_MS,
    ) -> None:
        """Start with the shortest delay."""
        self._rng = rng
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._limit_ms = first_ms

    def next_ms(self, at_least_ms: int = 0) -> float:
        """Return the next delay, added to the minimum that the log asked for."""
        wait_ms = self._rng.uniform(self._limit_ms / 2, self._limit_ms)
        self._limit_ms = min(self._limit_ms * 2, self._max_ms)
        return at_least_ms + wait_ms

    def reset(self) -> None:
        """Return to the shortest delay after a success."""
        self._limit_ms = self._first_ms


class LogReader:
    """Async iterator over pages; each begins where the previous one ended.

    An empty page means that the log has responded and that `next` has been reached.
    The iteration ends only if the offset is gone and the callback did not call `seek`.
    """

    def __init__(
        self,
        client: LogClient,
        offset: int,
        backoff: Backoff,
        on_event: Callable[[ReaderEvent], None],
        limit: int = DEFAULT_READ_LIMIT,
        wait_ms: int = DEFAULT_READ_WAIT_MS,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        """Initialize the reader at an offset; `sleep` is called with seconds."""
        self.offset = offset
        self._client = client
        self._backoff = backoff
        self.on_event = on_event
        self._limit = limit
        self._wait_ms = wait_ms
        self._sleep = sleep
        self._is_up: bool | None = None

    def seek(self, offset: int) -> None:
        """Continue from another offset, after a snapshot has been restored."""
        self.offset = offset

    def __aiter__(self) -> LogReader:
        """Iterate over the pages from the current offset."""
        return self

    async def __anext__(self) -> LogPage:
        """Return the next page; retries until there is one."""
        while True:
            result = await self._client.read(self.offset, self._limit, self._wait_ms)
            if isinstance(result, Success):
                return self._advance(result.unwrap())
            failure = result.failure()
            if isinstance(failure, OffsetGone):
                self._report_gone(failure)
                continue
            self._report_down(failure.reason)
            wait_ms = self._backoff.next_ms(failure.retry_after_ms)
            await self._sleep(wait_ms / 1000)

    def _advance(self, page: LogPage) -> LogPage:
        self._report_up()
        self._backoff.reset()
        self.offset += len(page.records)
        return page

    def _report_up(self) -> None:
        if self._is_up is not True:
            self._is_up = True
            self.on_event(ReaderUp())

    def _report_down(self, reason: str) -> None:
        if self._is_up is not False:
            self._is_up = False
            self.on_event(ReaderDown(reason))

    def _report_gone(self, gone: OffsetGone) -> None:
        lost_offset = self.offset
        self._report_up()
        self.on_event(ReaderOffsetGone(lost_offset, gone.first, gone.next))
        if self.offset == lost_offset:
            raise StopAsyncIteration
