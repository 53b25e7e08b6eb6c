"""Helpers for small ASGI applications: read a request body, send a response."""

from __future__ import annotations

from collections.abc import Sequence

from courselead.integrations.http_api.asgi import Receive, Send
from courselead.integrations.http_api.body_reader import BodyReader
from courselead.settings.const import DEFAULT_BODY_BYTES, DEFAULT_BODY_TIMEOUT_MS

CONTENT_LENGTH = b"content-length"


async def read_body(
    receive: Receive,
    max_bytes: int = DEFAULT_BODY_BYTES,
    timeout_s: float = DEFAULT_BODY_TIMEOUT_MS / 1000,
) -> bytes:
    """Return a request's whole body.

    Raises:
        BodyTooLarge: It is larger than `max_bytes`.
        BodyTimeout: It did not arrive within `timeout_s`.
        CallerLeft: The connection was closed before its end.
    """
    return await BodyReader(receive).read(max_bytes, timeout_s)


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    headers: Sequence[tuple[bytes, bytes]] = (),
) -> None:
    """Send a complete response with a `Content-Length`."""
    length = (CONTENT_LENGTH, str(len(body)).encode())
    start = {"status": status, "headers": [*headers, length]}
    await send({"type": "http.response.start", **start})
    await send({"type": "http.response.body", "body": body})
