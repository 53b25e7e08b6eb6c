"""One kept HTTP/1.1 connection with a parser in C, one exchange at a time."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field

import httptools
from returns.result import Failure, Result, Success

from courselead.integrations.http.errors import ExchangeError, MaybeSent, NotSent
from courselead.integrations.lean_http.const import (
    CONNECT_TIMEOUT_MS,
    MAX_ANSWER_BYTES,
    USER_TIMEOUT_MS,
)


@dataclass(frozen=True, slots=True)
class Call:
    """A request; `target` is the path with its query."""

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    def encode(self, host: str) -> bytes:
        """Return the bytes to send."""
        lines = [f"{self.method} {self.target} HTTP/1.1", f"Host: {host}"]
        for name, value in self.headers:
            lines.append(f"{name}: {value}")
        if self.body or self.method == "POST":
            size = len(self.body)
            lines.append(f"Content-Length: {size}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + self.body


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer, its body read to the end."""

    status: int
    body: bytes


@dataclass(slots=True)
class _Exchange:
    """What the parser collects for the request under way."""

    done: asyncio.Future[Result[Answer, ExchangeError]]
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0


class _Protocol(asyncio.Protocol):
    """Feeds the parser and ends the exchange."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.exchange: _Exchange | None = None
        self.usable = True
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            # A byte beyond an answer would be read as the answer to the next request.
            self.close("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self.close(f"malformed answer: {exc}")

    def connection_lost(self, exc: Exception | None) -> None:
        self.close("connection closed by the other side")

    def on_body(self, body: bytes) -> None:
        if self.exchange is None:
            return
        self.exchange.size += len(body)
        if self.exchange.size > MAX_ANSWER_BYTES:
            self.close("answer over the size limit")
            return
        self.exchange.chunks.append(body)

    def on_message_complete(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        answer = Answer(self._parser.get_status_code(), b"".join(exchange.chunks))
        if not exchange.done.done():
            exchange.done.set_result(Success(answer))

    def expire(self, timeout_ms: int) -> None:
        """Give up the exchange under way; the reason tells how much of it came."""
        came = 0 if self.exchange is None else self.exchange.size
        self.close(f"no answer within {timeout_ms} ms, {came} bytes had come")

    def close(self, reason: str) -> None:
        """Close the connection and fail the exchange under way."""
        self.usable = False
        exchange, self.exchange = self.exchange, None
        if self.transport is not None:
            self.transport.abort()
        if exchange is not None and not exchange.done.done():
            exchange.done.set_result(Failure(MaybeSent(reason)))


class LeanConnection:
    """A connection to one `ip:port`, opened on need and kept while it is clean."""

    def __init__(self, address: str) -> None:
        """Keep the address; nothing is opened yet."""
        self.address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._protocol: _Protocol | None = None

    async def call(self, call: Call, timeout_ms: int) -> Result[Answer, ExchangeError]:
        """Send a request and return the whole answer.

        A call that fails, times out or is cancelled closes the connection.
        """
        protocol = self._protocol
        if protocol is None or not protocol.usable:
            opened = await self._open(min(CONNECT_TIMEOUT_MS, timeout_ms))
            if isinstance(opened, NotSent):
                return Failure(opened)
            protocol = opened
        loop = asyncio.get_running_loop()
        exchange = _Exchange(loop.create_future())
        protocol.exchange = exchange
        assert protocol.transport is not None
        protocol.transport.write(call.encode(self.address))
        timer = loop.call_later(timeout_ms / 1000, protocol.expire, timeout_ms)
        try:
            return await exchange.done
        except BaseException:
            protocol.close("cancelled")
            raise
        finally:
            timer.cancel()

    def close(self) -> None:
        """Close the connection, whatever it is doing."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            protocol.close("closed here")

    async def _open(self, timeout_ms: int) -> _Protocol | NotSent:
        loop = asyncio.get_running_loop()
        self.close()
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                transport, protocol = await loop.create_connection(
                    _Protocol, self._host, self._port
                )
        except TimeoutError:
            return NotSent(f"no connection within {timeout_ms} ms")
        except OSError as exc:
            reason = exc.strerror or type(exc).__name__
            return NotSent(f"connect: {reason}")
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self._protocol = protocol
        return protocol
