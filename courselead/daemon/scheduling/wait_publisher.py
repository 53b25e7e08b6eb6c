"""Expected waits of overloaded pools, which the owner stores with its heartbeats."""

from __future__ import annotations

import anyio
import structlog

from courselead.core.scheduler import pool_loads
from courselead.core.scheduler.records import PoolWait
from courselead.core.scheduler.schedule import Schedule

_LOGGER = structlog.get_logger(__name__)


class WaitPublisher:
    """Computes the expected waits at intervals and logs their begin and end.

    Attributes:
        waits: The newest expected waits by pool. Only deployments with client accounts
            have them.
    """

    def __init__(self, fence: int) -> None:
        """Initialize without waits, for the owner with a fencing token."""
        self._fence = fence
        self.waits: dict[str, PoolWait] = {}
        self._computed_at = 0.0

    def update(self, schedule: Schedule, interval_s: float) -> bool:
        """Compute the waits if an interval has passed; return whether to store them.

        The end of a pool's wait has to be stored as well.
        """
        now = anyio.current_time()
        if now - self._computed_at < interval_s:
            return False
        self._computed_at = now
        before, self.waits = self.waits, {}
        if schedule.config.accounts:
            self.waits = pool_loads.expected_waits(schedule)
        for pool, wait in self.waits.items():
            if pool not in before:
                self._log_overload(pool, wait)
        for pool in before.keys() - self.waits.keys():
            _LOGGER.info("pool_overload_over", pool=pool, fence=self._fence)
        return bool(before or self.waits)

    def _log_overload(self, pool: str, wait: PoolWait) -> None:
        _LOGGER.info(
            "pool_overloaded",
            pool=pool,
            wait_ms=wait.wait_ms,
            accounts=len(wait.accounts),
            zones=list(wait.zones),
            fence=self._fence,
        )
