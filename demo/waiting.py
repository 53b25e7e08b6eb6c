"""Waiting for something that other processes bring about."""

import time
from collections.abc import Awaitable, Callable

import anyio

BOUND_S = 30.0
"""Longest wait: many times what anything here takes on a busy machine."""

POLL_S = 0.05

Condition = Callable[[], Awaitable[bool]]


async def wait(what: str, condition: Condition, bound_s: float = BOUND_S) -> None:
    """Wait for a condition, and fail if it has not come about in time."""
    end = time.monotonic() + bound_s
    while not await condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {bound_s} s: {what}")
        await anyio.sleep(POLL_S)
