"""Follows the log and dispatches its batches as events."""

import random
from collections.abc import Callable

import anyio
import structlog

from courselead.core.events import BatchesRead, Event, LogReachable, SnapshotLoaded
from courselead.daemon.bootstrap import decode_record, find_start
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

MAX_BATCHES_PER_EVENT = 100


class LogFollower:
    """Delivers every batch of the log in order and reports outages of the log."""

    def __init__(
        self,
        client: LogClient,
        dispatch: Callable[[Event], None],
        seed: int,
    ) -> None:
        """Initialize; nothing is read before `run`.

        Args:
            client: Client of the log that nothing else uses for reads.
            dispatch: Receives the events.
            seed: Seed of the backoff's jitter.
        """
        self._client = client
        self._dispatch = dispatch
        self._backoff = Backoff(random.Random(seed))
        self._reported_up = False

    async def run(self) -> None:
        """Restore the state and follow the log; start over after a gap."""
        while True:
            start = await find_start(self._client)
            self._dispatch(SnapshotLoaded(now_ms(), start.fleet))
            _LOGGER.info("log_start", offset=start.read_from)
            reader = LogReader(
                self._client, start.read_from, self._backoff, self._on_reader_event
            )
            if start.read_from >= start.end:
                self._report_reachable(True)
            await self._follow(reader)
            _LOGGER.error("log_gap", offset=reader.offset)
            self._report_reachable(False)

    async def _follow(self, reader: LogReader) -> None:
        """Deliver pages until the log no longer retains the reader's offset."""
        async for page in reader:
            await self._deliver(page)
            if reader.offset >= page.next:
                self._report_reachable(True)

    async def _deliver(self, page: LogPage) -> None:
        """Dispatch a page in slices, so that a long page does not block the loop."""
        for first in range(0, len(page.records), MAX_BATCHES_PER_EVENT):
            records = page.records[first : first + MAX_BATCHES_PER_EVENT]
            batches = tuple((offset, decode_record(data)) for offset, data in records)
            self._dispatch(BatchesRead(now_ms(), batches))
            await anyio.sleep(0)

    def _on_reader_event(self, event: ReaderEvent) -> None:
        """Report an outage at once; its end is reported once reading has caught up."""
        if isinstance(event, ReaderDown):
            _LOGGER.warning("log_down", reason=event.reason)
            self._report_reachable(False)
        if isinstance(event, ReaderUp):
            _LOGGER.info("log_answers")

    def _report_reachable(self, up: bool) -> None:
        """Dispatch whether the log is reachable, if that has changed."""
        if up is self._reported_up:
            return
        self._reported_up = up
        self._dispatch(LogReachable(now_ms(), up))
