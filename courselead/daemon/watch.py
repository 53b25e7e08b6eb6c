"""Looks at the core's invariants now and then, counts and logs what is broken."""

import time

import anyio
import anyio.to_thread
import structlog

from courselead.core.effects import Measure, Metric
from courselead.core.invariants import check
from courselead.core.reducer import CoreState

_LOGGER = structlog.get_logger(__name__)

CHECK_MS = 1_000
# A look that takes 1 ms is repeated 100 ms later at the earliest, so that on a
# large fleet the looks take a hundredth of the time at most.
PAUSE_FACTOR = 100
MAX_LOGGED = 10


class InvariantWatch:
    """Checks the whole state about once a second, beside the reducer."""

    def __init__(self) -> None:
        self._next_ms = CHECK_MS
        self._looking = False

    def is_due(self, now_ms: int) -> bool:
        """Return whether it is time for a look, and none is under way."""
        return not self._looking and now_ms >= self._next_ms

    async def look(self, state: CoreState) -> tuple[Measure, ...]:
        """Check a state in a thread; return what is to be counted.

        The state is immutable, so the next events may be taken meanwhile.
        """
        self._looking = True
        began_ns = time.perf_counter_ns()
        faults = await anyio.to_thread.run_sync(check, state)
        took_ms = (time.perf_counter_ns() - began_ns) // 1_000_000
        self._looking = False
        self._next_ms = state.now_ms + max(CHECK_MS, took_ms * PAUSE_FACTOR)
        for fault in faults[:MAX_LOGGED]:
            _LOGGER.error("invariant_broken", fault=fault, offset=state.fleet.offset)
        measures = []
        for fault in faults:
            part = fault.partition(":")[0]
            measures.append(Measure(Metric.INVARIANT, 1, label=part))
        return tuple(measures)
