"""The two clocks of the scheduling daemon, in milliseconds."""

import time

# CLOCK_BOOTTIME includes time in suspension, during which leases on other hosts and
# minions keep running. On systems without it, the monotonic clock counts suspension.
_STEADY = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_ms() -> int:
    """Return the monotonic time, including time in suspension."""
    return time.clock_gettime_ns(_STEADY) // 1_000_000


def wall_ms() -> int:
    """Return the wall-clock time since the Unix epoch."""
    return int(time.time() * 1000)
