"""Limits and header names of HTTP exchanges."""

from __future__ import annotations

from dataclasses import dataclass

DEFAULT_CONNECT_TIMEOUT_MS = 1_000
DEFAULT_KEEPALIVE_MS = 3_000
DEFAULT_MAX_ANSWER_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_HEADER_BYTES = 32 * 1024
DEFAULT_MAX_HEADER_COUNT = 100
DEFAULT_MAX_IDLE = 4

ATTR_CONNECTION = b"connection"
ATTR_CONTENT_LENGTH = b"content-length"
ATTR_HOST = b"host"
ATTR_TRANSFER_ENCODING = b"transfer-encoding"

# RFC 9110, section 7.6.1, and older header names that are still in use.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

# Set by this client from the body and the address, never copied from a caller.
# `expect` is dropped because the body is sent without waiting for a 100 response.
SENDER_HEADERS = frozenset({b"host", b"content-length", b"expect"})


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one exchange.

    `keepalive_ms` is shorter than the idle timeout of any server in use, so that this
    client closes an idle connection before the server does.
    """

    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    keepalive_ms: int = DEFAULT_KEEPALIVE_MS
    max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES
    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_header_count: int = DEFAULT_MAX_HEADER_COUNT
