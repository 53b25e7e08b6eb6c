"""Base class of log wrappers that change appends only."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Result

from courselead.daemon.scheduling.ports import (
    KeyedLog,
    LogBatch,
    Newest,
    ReadError,
)


class ReadPassthrough:
    """Passes reads on to the wrapped log."""

    def __init__(self, log: KeyedLog) -> None:
        """Initialize with the log to wrap."""
        self._log = log

    async def read(
        self,
        start: int,
        wait_ms: int,
        on_arrival: Callable[[int], None] | None = None,
    ) -> Result[LogBatch, ReadError]:
        """Return records from an offset on."""
        return await self._log.read(start, wait_ms, on_arrival)

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        return await self._log.newest()
