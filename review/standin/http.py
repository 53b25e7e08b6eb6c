"""A small HTTP/1.1 server and client for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl

STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class Request:
    """One request with its whole body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as a JSON object, empty if there is no body."""
        return json.loads(self.body) if self.body else {}


@dataclass(frozen=True, slots=True)
class Response:
    """One response; `body` is sent as it is."""

    status: int
    body: bytes = b""


def json_response(status: int, document: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(document, separators=(",", ":")).encode())


Handler = Callable[[Request], Awaitable[Response | None]]
"""Answers a request; None closes the connection without an answer."""


class HttpServer:
    """Serves one address until it is closed."""

    def __init__(self, handler: Handler) -> None:
        """Store the handler; no socket is opened yet."""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on an address; port 0 selects a free one."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        bound_ip, bound_port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{bound_ip}:{bound_port}"

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in self._writers:
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                response = await self._handler(request)
                if response is None:
                    return
                writer.write(_encode_response(response))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # asyncio logs a cancelled handler as an error, so it ends quietly.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    path, _, query = target.partition("?")
    headers = _decode_headers(lines)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, path, dict(parse_qsl(query)), headers, body)


def _decode_headers(lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return headers


def _encode_response(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} X\r\n"
        f"Content-Type: application/json\r\n"
        f"Content-Length: {len(response.body)}\r\n\r\n"
    )
    return head.encode() + response.body


async def call(
    address: str,
    method: str,
    path: str,
    document: object = None,
    host: str = "",
    timeout_s: float = 3.0,
) -> tuple[int, dict]:
    """Send one request on a new connection, as a client does.

    Returns:
        Status and JSON body; status 0 if no complete answer came in time.
    """
    body = b"" if document is None else json.dumps(document).encode()
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                f"X-Courselead-Deadline-Ms: {int(timeout_s * 1000)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await reader.readuntil(b"\r\n\r\n")
            first, *lines = answer.decode("latin-1").split("\r\n")
            length = int(_decode_headers(lines).get("content-length", "0"))
            content = await reader.readexactly(length)
            status = int(first.split(" ")[1])
            return status, json.loads(content) if content[:1] == b"{" else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.transport.abort()
