"""Limits of the low-overhead HTTP client."""

CONNECT_TIMEOUT_MS = 1_000
"""Connect timeout; the kernel retransmits a lost SYN after about 1 s."""

USER_TIMEOUT_MS = 3_000
"""TCP_USER_TIMEOUT: how long sent data may stay unacknowledged."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest response body: four times the largest append of the platform's log."""

MAX_ANSWER_MS = 20_000
"""Timeout of a response that keeps arriving. The largest body takes 13 s on a link
of 5 Mbit/s."""
