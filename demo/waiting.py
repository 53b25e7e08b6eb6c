"""Polls for conditions that depend on other processes."""

import time
from collections.abc import Awaitable, Callable

import anyio

DEFAULT_TIMEOUT_S = 30.0
"""Default timeout, many times what any step takes on a busy machine."""

POLL_S = 0.05

Condition = Callable[[], Awaitable[bool]]


async def wait(
    what: str, condition: Condition, timeout_s: float = DEFAULT_TIMEOUT_S
) -> None:
    """Poll a condition until it holds.

    Raises:
        AssertionError: The condition does not hold within `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {timeout_s} s waiting until {what}")
        await anyio.sleep(POLL_S)
