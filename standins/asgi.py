"""The HTTP layer shared by the stand-ins: reads calls and sends replies."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote

import msgpack
import msgspec

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

JSON_TYPE = b"application/json"
MSGPACK_TYPE = b"application/msgpack"


@dataclass(frozen=True, slots=True)
class Call:
    """A request with its whole body.

    Attributes:
        connections: Number of open connections to the listener.
    """

    method: str
    path: str
    segments: tuple[str, ...]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    connections: int

    def json(self) -> dict[str, Any]:
        """Return the body's JSON object.

        Raises:
            msgspec.ValidationError: The body is not a JSON object.
            msgspec.DecodeError: The body is not JSON.
        """
        return msgspec.json.decode(self.body or b"{}", type=dict[str, Any])


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a call; with `close` the connection is closed after it."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    close: bool = False


Handler = Callable[[Call], Awaitable["Reply | None"]]


def json_reply(
    status: int, data: Any, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> Reply:
    """Return a reply with a JSON body."""
    content_type = (b"content-type", JSON_TYPE)
    return Reply(status, msgspec.json.encode(data), (content_type, *headers))


def msgpack_reply(status: int, data: Any) -> Reply:
    """Return a reply with a msgpack body."""
    body = msgpack.packb(data, use_bin_type=True)
    return Reply(status, body, ((b"content-type", MSGPACK_TYPE),))


def error_reply(status: int, error: str, **more: Any) -> Reply:
    """Return a reply whose JSON body names an error."""
    return json_reply(status, {"error": error, **more})


async def read_call(scope: Scope, receive: Receive) -> Call | None:
    """Read a whole request; return None if the caller disconnects before its end."""
    parts = []
    more = True
    while more:
        event = await receive()
        if event["type"] != "http.request":
            return None
        parts.append(event.get("body", b""))
        more = event.get("more_body", False)
    raw_path = scope["raw_path"].decode("ascii")
    query = scope["query_string"].decode("latin-1")
    headers = {}
    for name, value in scope["headers"]:
        headers[name.decode("latin-1")] = value.decode("latin-1")
    return Call(
        method=scope["method"],
        path=scope["path"],
        segments=tuple(unquote(part) for part in raw_path.split("/")[1:]),
        query=dict(parse_qsl(query, keep_blank_values=True)),
        headers=headers,
        body=b"".join(parts),
        connections=len(scope["state"]["connections"]),
    )


async def send_reply(send: Send, reply: Reply, truncate: bool = False) -> None:
    """Send a reply; with `truncate` only half of its body."""
    length = str(len(reply.body)).encode("ascii")
    headers = [(b"content-length", length), *reply.headers]
    if reply.close:
        headers.append((b"connection", b"close"))
    start = {
        "type": "http.response.start",
        "status": reply.status,
        "headers": headers,
    }
    await send(start)
    body = reply.body[: len(reply.body) // 2] if truncate else reply.body
    await send({"type": "http.response.body", "body": body, "more_body": truncate})


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller's connection is closed."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
