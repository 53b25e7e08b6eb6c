"""A small HTTP/1.1 server and client on asyncio, with faults to inject."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Request:
    """One request with its whole body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """One response; `reset` breaks the connection off instead."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    reset: bool = False


class Silent(Exception):
    """Raised by a handler that never answers on this connection."""


Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Serves a handler on a loopback address and port."""

    def __init__(self, handler: Handler, ip: str = "127.0.0.1") -> None:
        self._handler = handler
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((ip, 0))
        self.address = f"{ip}:{self._sock.getsockname()[1]}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, sock=self._sock, backlog=512
        )

    def silence(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        self._silenced |= self._writers

    def reset(self) -> None:
        """Reset the open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and break off all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if writer in self._silenced:
                    await asyncio.Event().wait()
                try:
                    answer = await self._handler(request)
                except Silent:
                    await asyncio.Event().wait()
                if writer in self._silenced:
                    await asyncio.Event().wait()
                if answer.reset:
                    writer.transport.abort()
                    return
                head = (
                    f"HTTP/1.1 {answer.status} X\r\n"
                    f"Content-Type: {answer.content_type}\r\n"
                    f"Content-Length: {len(answer.body)}\r\n\r\n"
                )
                writer.write(head.encode() + answer.body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; status 0 without a complete answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, body, headers or {})
    except (TimeoutError, OSError, ValueError, asyncio.IncompleteReadError):
        return 0, b""


async def _call(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str]
) -> tuple[int, bytes]:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines.append("Connection: close")
        fields = {"Host": address, "Content-Type": "application/json", **headers}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(head.split(" ", 2)[1])
        size = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                size = int(value)
        return status, await reader.readexactly(size)
    finally:
        writer.close()
