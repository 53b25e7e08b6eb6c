"""Follows the log from an offset, through its outages."""

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
    """The log answers (for the first time, or again)."""


@dataclass(frozen=True, slots=True)
class ReaderDown:
    """The log stopped answering; the reader goes on trying."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReaderGone:
    """The next offset is no longer kept: restore a snapshot, then `seek`."""

    offset: int
    first: int
    next: int


ReaderEvent = ReaderUp | ReaderDown | ReaderGone


class Backoff:
    """Waits that double up to a cap, each drawn anew so that readers spread out."""

    def __init__(
        self,
        rng: random.Random,
        first_ms: int = DEFAULT_BACKOFF_FIRST_MS,
        max_ms: int = DEFAULT_BACKOFF_MAX_MS,
    ) -> None:
        """Start at the shortest wait."""
        self._rng = rng
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._limit_ms = first_ms

    def next_ms(self, at_least_ms: int = 0) -> float:
        """Return the next wait, never under what the log asked for."""
        wait_ms = self._rng.uniform(self._limit_ms / 2, self._limit_ms)
        self._limit_ms = min(self._limit_ms * 2, self._max_ms)
        return at_least_ms + wait_ms

    def reset(self) -> None:
        """Begin again at the shortest wait, after a success."""
        self._limit_ms = self._first_ms


class LogReader:
    """An async iterator over pages, each beginning where the last one ended.

    A page may be empty: it says that the log answered and that `next` was reached.
    The iteration ends only when the offset is gone and the callback did not `seek`.
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
        """Follow the log from an offset on; `sleep` takes seconds."""
        self.offset = offset
        self._client = client
        self._backoff = backoff
        self.on_event = on_event
        self._limit = limit
        self._wait_ms = wait_ms
        self._sleep = sleep
        self._up: bool | None = None

    def seek(self, offset: int) -> None:
        """Go on from another offset, after a snapshot was restored."""
        self.offset = offset

    def __aiter__(self) -> LogReader:
        """Iterate over the pages from the current offset."""
        return self

    async def __anext__(self) -> LogPage:
        """Return the next page, retrying until there is one."""
        while True:
            read = await self._client.read(self.offset, self._limit, self._wait_ms)
            if isinstance(read, Success):
                return self._delivered(read.unwrap())
            failure = read.failure()
            if isinstance(failure, OffsetGone):
                self._report_gone(failure)
                continue
            self._report_down(failure.reason)
            wait_ms = self._backoff.next_ms(failure.retry_after_ms)
            await self._sleep(wait_ms / 1000)

    def _delivered(self, page: LogPage) -> LogPage:
        self._report_up()
        self._backoff.reset()
        self.offset += len(page.records)
        return page

    def _report_up(self) -> None:
        if self._up is not True:
            self._up = True
            self.on_event(ReaderUp())

    def _report_down(self, reason: str) -> None:
        if self._up is not False:
            self._up = False
            self.on_event(ReaderDown(reason))

    def _report_gone(self, gone: OffsetGone) -> None:
        lost = self.offset
        self._report_up()
        self.on_event(ReaderGone(lost, gone.first, gone.next))
        if self.offset == lost:
            raise StopAsyncIteration
