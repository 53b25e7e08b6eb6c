"""Sequential appends of the owner's records under its fence."""

from __future__ import annotations

import anyio
import structlog
from returns.result import Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import (
    AppendFenced,
    HostCounters,
    KeyedLog,
    ProducerMark,
)

_LOGGER = structlog.get_logger(__name__)

APPEND_TIMEOUT_MS = 1_500
"""Timeout after which the same append is retried, equal to that of callers' appends.
The store recognizes a retry by its sequence number."""

APPEND_RETRY_S = 0.1
"""Pause before an append is retried, or a read of the log after it."""

_PRODUCER = "owner"


class FencedLog:
    """Appends under one fence until a newer owner has appended."""

    def __init__(self, log: KeyedLog, fence: int, counters: HostCounters) -> None:
        """Initialize with the log and the fence."""
        self._log = log
        self._fence = fence
        self._counters = counters
        self._sequence = 0

    async def append(self, records: list[KeyedRecord]) -> int | None:
        """Store records, retrying without a limit, and return their first offset.

        Returns None if a newer owner has appended: the records will never be stored.
        """
        mark = ProducerMark(_PRODUCER, self._fence, self._sequence)
        failures = 0
        while True:
            self._counters.add("save_calls")
            begun = anyio.current_time()
            result = await self._log.append(records, APPEND_TIMEOUT_MS, mark=mark)
            outcome = "ok" if isinstance(result, Success) else "failed"
            self._counters.record_duration("save", outcome, begun)
            if isinstance(result, Success):
                if failures:
                    _LOGGER.info("log_writable", failures=failures)
                self._sequence += 1
                return result.unwrap().offset
            error = result.failure()
            if isinstance(error, AppendFenced):
                return None
            failures += 1
            if failures == 1:
                _LOGGER.warning("log_not_writable", reason=str(error))
            await anyio.sleep(APPEND_RETRY_S)
