"""Notices that this process stood still, with requests waiting in its sockets.

A process that is frozen or suspended reads afterwards what has arrived meanwhile. What
its callers were told since, by other hosts, may not hold for requests that old.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import structlog

from courselead.core.scheduler import const
from courselead.daemon.scheduling.clocks import now_ms

_LOGGER = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.5
"""Interval between checks of the time."""

MAX_REQUEST_AGE_MS = const.EARLY_CANCEL_MS // 2
"""Age from which a submission is rejected. The cancel of a job that is not known yet
holds for twice as long, of which a late append may need seconds."""

READ_BACKLOG_MS = 2_000
"""Time after a standstill in which the requests are read that have waited for it."""


class StandstillWatch:
    """Tells whether requests that are read now may have waited for too long."""

    def __init__(self, clock: Callable[[], int] = now_ms) -> None:
        """Start the watch; the clock counts milliseconds, also while suspended."""
        self._clock = clock
        self._checked_ms = clock()
        self._suspect_until_ms = 0

    async def run(self) -> None:
        """Check the time until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._check()

    @property
    def has_old_requests(self) -> bool:
        """Return whether a request that is read now may be too old."""
        self._check()
        return self._checked_ms < self._suspect_until_ms

    def _check(self) -> None:
        before, self._checked_ms = self._checked_ms, self._clock()
        gap_ms = self._checked_ms - before
        if gap_ms < MAX_REQUEST_AGE_MS:
            return
        self._suspect_until_ms = self._checked_ms + READ_BACKLOG_MS
        _LOGGER.warning("stood_still", gap_ms=gap_ms, outcome="old requests rejected")
