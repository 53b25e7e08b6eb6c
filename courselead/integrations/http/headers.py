"""Filtering of headers that must not be forwarded, and limits on response headers."""

from __future__ import annotations

from collections.abc import Iterable

from .const import (
    ATTR_CONNECTION,
    ATTR_CONTENT_LENGTH,
    ATTR_HOST,
    ATTR_TRANSFER_ENCODING,
    HOP_BY_HOP_HEADERS,
    SENDER_HEADERS,
    HttpLimits,
)

Header = tuple[bytes, bytes]
Headers = tuple[Header, ...]


def end_to_end_headers(headers: Iterable[Header], dropped: frozenset[bytes]) -> Headers:
    """Return the end-to-end headers, which may be forwarded.

    Args:
        headers: All headers as received.
        dropped: Lower-case names to drop in addition to the hop-by-hop headers.

    Returns:
        The remaining headers, also without those that a `Connection` header names.
    """
    received = tuple(headers)
    unwanted = HOP_BY_HOP_HEADERS | dropped | _named_by_connection(received)
    kept = []
    for name, value in received:
        if name.lower() in unwanted:
            continue
        kept.append((name, value))
    return tuple(kept)


def request_headers(headers: Iterable[Header], host: bytes, body: bytes) -> Headers:
    """Return the headers to send: the caller's, with this client's host and length."""
    kept = end_to_end_headers(headers, SENDER_HEADERS)
    length = str(len(body)).encode("ascii")
    return ((ATTR_HOST, host), (ATTR_CONTENT_LENGTH, length), *kept)


def answer_headers(headers: Iterable[Header]) -> Headers:
    """Return the headers of a response that may be forwarded to a caller.

    `Content-Length` is dropped if `Transfer-Encoding` is present: the chunks define the
    end of the body, and a recipient that trusted the length would end it elsewhere.
    """
    received = tuple(headers)
    names = {name.lower() for name, _ in received}
    dropped = frozenset[bytes]()
    if ATTR_TRANSFER_ENCODING in names:
        dropped = frozenset({ATTR_CONTENT_LENGTH})
    return end_to_end_headers(received, dropped)


def first_header_value(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of the header with this lower-case name."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def is_framed(headers: Iterable[Header]) -> bool:
    """Return whether a complete body can be told apart from a lost connection."""
    names = {name.lower() for name, _ in headers}
    return ATTR_CONTENT_LENGTH in names or ATTR_TRANSFER_ENCODING in names


def exceeded_limit(headers: Headers, limits: HttpLimits) -> str:
    """Return which limit the headers exceed, or an empty string."""
    if len(headers) > limits.max_header_count:
        return f"more than {limits.max_header_count} answer headers"
    size = 0
    for name, value in headers:
        size += len(name) + len(value)
    if size > limits.max_header_bytes:
        return f"answer headers over {limits.max_header_bytes} bytes"
    length = first_header_value(headers, ATTR_CONTENT_LENGTH)
    if length is None or ATTR_TRANSFER_ENCODING in {n.lower() for n, _ in headers}:
        return ""
    if int(length) > limits.max_answer_bytes:
        return f"answer body over {limits.max_answer_bytes} bytes"
    return ""


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named = set()
    for name, value in headers:
        if name.lower() != ATTR_CONNECTION:
            continue
        named.update(token.strip().lower() for token in value.split(b","))
    return frozenset(named)
