"""Reads the body of one request over ASGI."""

from __future__ import annotations

import anyio

from courselead.integrations.http_api.asgi import Message, Receive
from courselead.integrations.http_api.errors import (
    BodyTimeout,
    BodyTooLarge,
    CallerLeft,
)

_DISCONNECT = "http.disconnect"


class BodyReader:
    """Reads a body within limits.

    Attributes:
        complete: Whether the end of the body has been read.
    """

    def __init__(self, receive: Receive) -> None:
        """Wrap the receive callable of an ASGI call."""
        self.complete = False
        self._receive = receive

    async def read(self, max_bytes: int, timeout_s: float) -> bytes:
        """Return the whole body.

        Raises:
            BodyTooLarge: It is larger than `max_bytes`.
            BodyTimeout: It did not arrive within `timeout_s`.
            CallerLeft: The caller closed the connection, or the server refused the
                request and closed it.
        """
        # A list of chunks would hold an object for each piece that the caller sends.
        body = bytearray()
        with anyio.move_on_after(timeout_s):
            while not self.complete:
                body += await self.next_chunk()
                if len(body) > max_bytes:
                    raise BodyTooLarge(max_bytes)
            return bytes(body)
        raise BodyTimeout(timeout_s)

    async def next_chunk(self) -> bytes:
        """Return the next part of the body.

        Raises:
            CallerLeft: The connection was closed.
        """
        message: Message = await self._receive()
        if message["type"] == _DISCONNECT:
            raise CallerLeft
        self.complete = not message.get("more_body", False)
        return message.get("body", b"")
