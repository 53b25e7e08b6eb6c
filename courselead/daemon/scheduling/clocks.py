"""The two clocks of the scheduling daemon, in milliseconds."""

import time


def now_ms() -> int:
    """Return the steady clock."""
    return int(time.monotonic() * 1000)


def wall_ms() -> int:
    """Return the time since 1970."""
    return int(time.time() * 1000)
