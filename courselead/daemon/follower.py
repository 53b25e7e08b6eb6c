"""Follows the log and turns what it holds into events."""

import random
from collections.abc import Callable

import anyio
import structlog

from courselead.core.events import BatchesRead, Event, LogReachable, SnapshotLoaded
from courselead.daemon.bootstrap import decode, find_start
from courselead.daemon.clock import now_ms
from courselead.integrations.platform_log import (
    Backoff,
    LogClient,
    LogPage,
    LogReader,
    ReaderDown,
    ReaderEvent,
    ReaderUp,
)

_LOGGER = structlog.get_logger(__name__)

SLICE_BATCHES = 100


class Follower:
    """Delivers every batch of the log in order, and says when it cannot."""

    def __init__(
        self,
        client: LogClient,
        dispatch: Callable[[Event], None],
        seed: int,
    ) -> None:
        """Keep the client; nothing runs yet.

        Args:
            client: Of the log, used by nobody else for reads.
            dispatch: Where the events go.
            seed: Of the backoff's jitter.
        """
        self._client = client
        self._dispatch = dispatch
        self._backoff = Backoff(random.Random(seed))
        self._caught_up = False

    async def run(self) -> None:
        """Rebuild the state and follow the log; start over after a gap."""
        while True:
            start = await find_start(self._client)
            self._dispatch(SnapshotLoaded(now_ms(), start.fleet))
            _LOGGER.info("log_start", offset=start.read_from)
            reader = LogReader(
                self._client, start.read_from, self._backoff, self._on_reader_event
            )
            if start.read_from >= start.end:
                self._set_up(True)
            await self._follow(reader)
            _LOGGER.error("log_gap", offset=reader.offset)
            self._set_up(False)

    async def _follow(self, reader: LogReader) -> None:
        """Deliver pages until the reader's offset is no longer kept."""
        async for page in reader:
            await self._deliver(page)
            if reader.offset >= page.next:
                self._set_up(True)

    async def _deliver(self, page: LogPage) -> None:
        """Give a page to the core in slices, so that a long one blocks nothing."""
        for first in range(0, len(page.records), SLICE_BATCHES):
            records = page.records[first : first + SLICE_BATCHES]
            batches = tuple((offset, decode(data)) for offset, data in records)
            self._dispatch(BatchesRead(now_ms(), batches))
            await anyio.sleep(0)

    def _on_reader_event(self, event: ReaderEvent) -> None:
        """Report an outage at once; its end only when caught up."""
        if isinstance(event, ReaderDown):
            _LOGGER.warning("log_down", reason=event.reason)
            self._set_up(False)
        if isinstance(event, ReaderUp):
            _LOGGER.info("log_answers")

    def _set_up(self, up: bool) -> None:
        """Report a change of the log's standing."""
        if up is self._caught_up:
            return
        self._caught_up = up
        self._dispatch(LogReachable(now_ms(), up))
