"""Bounds of the lean HTTP client."""

CONNECT_TIMEOUT_MS = 1_000
"""Time to open a connection: a lost opening packet is sent again after about 1 s."""

USER_TIMEOUT_MS = 3_000
"""Time until the kernel gives up on bytes that are not acknowledged."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Longest body read: four times the largest append of the platform's log."""
