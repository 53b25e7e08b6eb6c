"""Group commit of callers' records."""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import structlog
from returns.result import Success

from courselead.core.scheduler.records import (
    JobAccepted,
    JobCancelled,
    KeyedRecord,
    encode,
)
from courselead.daemon.scheduling.collector import Collector, Stored
from courselead.daemon.scheduling.ports import (
    AppendUnknown,
    HostCounters,
    KeyedLog,
)

_LOGGER = structlog.get_logger(__name__)

ATTEMPT_MS = 1_500
"""Time-out of one append: the store takes 4 ms, and up to 700 ms where it is
slow, behind one other append. A caller waits twice as long."""

RETRIES = 1
"""Repetitions of an append that was refused: a refusal is passed on at once, but for
one repetition, since the store turns calls away at its rate as well."""

RETRY_WITHIN_S = 0.3
"""Time after which an append that failed is not repeated: callers wait behind it, and
are told when to come back."""

RETRY_PAUSE_S = 0.02
MOST_RECORDS = 64
"""Records of one append: a bound of its size far below the store's."""

HELD_MOST_S = 1.0
"""Time at the owner's host after which a record is not tried here as well: its caller
leaves after three seconds, and an append may take half of that."""

AWAY_MS = 1_000
"""Time for which new records are refused after an append was not answered."""


@dataclass(slots=True, eq=False)
class _Waiting:
    record: KeyedRecord
    done: anyio.Event = field(default_factory=anyio.Event)
    stored: Stored = Stored(False, True, "not tried")


class JobWriter:
    """Stores callers' records: one append at a time, all that wait in the next."""

    def __init__(
        self,
        log: KeyedLog,
        counters: HostCounters,
        collector: Collector | None = None,
    ) -> None:
        """Start with nothing to store.

        Args:
            log: Where records are stored.
            counters: Of this host.
            collector: Hands records to the owner's host, which is tried first.
        """
        self._log = log
        self._collector = collector
        self._counters = counters
        self._line: list[_Waiting] = []
        self._wake = anyio.Event()
        self._away_until = 0.0

    async def store(self, record: JobAccepted | JobCancelled) -> Stored:
        """Store a record, by way of the owner's host if that answers."""
        encoded = encode(record)
        if self._collector is None:
            return await self.store_here(encoded)
        begun = anyio.current_time()
        handed = await self._collector.store(encoded)
        held_s = anyio.current_time() - begun
        if handed.ok or held_s >= HELD_MOST_S:
            return handed
        stored = await self.store_here(encoded)
        if stored.ok or not handed.in_doubt:
            return stored
        # The owner's host may store it yet, whatever the log says to this one.
        return Stored(False, True, stored.reason)

    async def store_here(self, record: KeyedRecord) -> Stored:
        """Store a record with this host's next append."""
        if anyio.current_time() < self._away_until:
            return Stored(False, False, "the log does not answer")
        waiting = _Waiting(record)
        self._line.append(waiting)
        self._wake.set()
        await waiting.done.wait()
        return waiting.stored

    async def run(self) -> None:
        """Store for good."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._line:
                group = self._line[:MOST_RECORDS]
                del self._line[:MOST_RECORDS]
                await self._commit(group)

    async def _commit(self, group: list[_Waiting]) -> None:
        stored = await self._append([item.record for item in group])
        for item in group:
            item.stored = stored
            item.done.set()

    async def _append(self, records: list[KeyedRecord]) -> Stored:
        doubt = False
        reason = ""
        begun = anyio.current_time()
        for attempt in range(1 + RETRIES):
            if attempt:
                if anyio.current_time() - begun >= RETRY_WITHIN_S:
                    break
                await anyio.sleep(RETRY_PAUSE_S)
            self._counters.add("append_calls")
            result = await self._log.append(records, ATTEMPT_MS)
            if isinstance(result, Success):
                self._away_until = 0.0
                return Stored(True)
            error = result.failure()
            reason = getattr(error, "reason", type(error).__name__)
            if isinstance(error, AppendUnknown):
                doubt = True
        _LOGGER.warning("append_failed", reason=reason, in_doubt=doubt)
        if doubt:
            self._away_until = anyio.current_time() + AWAY_MS / 1000
            self._refuse_line()
        return Stored(False, doubt, reason)

    def _refuse_line(self) -> None:
        """Give up what waits behind an append without an answer: it was never sent."""
        line, self._line = self._line, []
        for item in line:
            item.stored = Stored(False, False, "the log does not answer")
            item.done.set()
