"""Checks the core's invariants periodically, and counts and logs violations."""

import time

import anyio
import anyio.to_thread
import structlog

from courselead.core.effects import Metric, RecordMetric
from courselead.core.invariants import find_violations
from courselead.core.reducer import CoreState

_LOGGER = structlog.get_logger(__name__)

CHECK_INTERVAL_MS = 1_000
# After a check of 1 ms, the next one starts 100 ms later at the earliest, so that
# checks of a large fleet take at most a hundredth of the time.
CHECK_PAUSE_FACTOR = 100
MAX_LOGGED_VIOLATIONS = 10


class InvariantMonitor:
    """Checks the complete state about once a second, outside the reducer."""

    def __init__(self) -> None:
        self._next_check_ms = CHECK_INTERVAL_MS
        self._checking = False

    def is_due(self, now_ms: int) -> bool:
        """Return whether a check is due and none is running."""
        return not self._checking and now_ms >= self._next_check_ms

    async def run_check(self, state: CoreState) -> tuple[RecordMetric, ...]:
        """Check a state in a thread and return a measure for each violation.

        The state is immutable, so the next events can be handled meanwhile.
        """
        self._checking = True
        start_ns = time.perf_counter_ns()
        violations = await anyio.to_thread.run_sync(find_violations, state)
        duration_ms = (time.perf_counter_ns() - start_ns) // 1_000_000
        self._checking = False
        self._next_check_ms = state.now_ms + max(
            CHECK_INTERVAL_MS, duration_ms * CHECK_PAUSE_FACTOR
        )
        for violation in violations[:MAX_LOGGED_VIOLATIONS]:
            _LOGGER.error(
                "invariant_broken", fault=violation, offset=state.fleet.offset
            )
        measures = []
        for violation in violations:
            part = violation.partition(":")[0]
            measures.append(RecordMetric(Metric.INVARIANT, 1, label=part))
        return tuple(measures)
