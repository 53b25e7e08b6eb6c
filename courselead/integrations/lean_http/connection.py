"""A persistent HTTP/1.1 connection that uses httptools, a parser in C.

It runs one exchange at a time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import httptools
from returns.result import Failure, Result, Success

from courselead.integrations.http.errors import ExchangeError, MaybeSent, NotSent
from courselead.integrations.lean_http.const import (
    CONNECT_TIMEOUT_MS,
    MAX_ANSWER_BYTES,
    MAX_ANSWER_MS,
    USER_TIMEOUT_MS,
)

MaySend = Callable[[], bool]
"""Returns whether a request that is about to be sent is still wanted."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request and options for its response.

    Attributes:
        method: HTTP method.
        target: The path with its query.
        body: Request body.
        headers: Names and values.
        max_pause_ms: Longest pause between parts of the response. The call's timeout
            then covers only the time until the first part. 0 if the timeout covers the
            whole response.
        on_body: Called with each part of the response body as it arrives.
    """

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    max_pause_ms: int = 0
    on_body: Callable[[bytes], None] | None = None

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
    """A response with its complete body."""

    status: int
    body: bytes


@dataclass(slots=True)
class _Exchange:
    """State of the exchange in progress, filled by the parser."""

    done: asyncio.Future[Result[Answer, ExchangeError]]
    on_body: Callable[[bytes], None] | None = None
    chunks: list[bytes] = field(default_factory=list)
    size: int = 0
    last_received_at: float | None = None


class _Protocol(asyncio.Protocol):
    """Feeds received data to the parser and completes the exchange."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.exchange: _Exchange | None = None
        self.usable = True
        self.verified = False
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        if self.exchange is None:
            # This data would be read as the response to the next request.
            self.close("bytes without a request")
            return
        self.exchange.last_received_at = asyncio.get_running_loop().time()
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
        if self.exchange.on_body is not None:
            self.exchange.on_body(body)

    def on_message_complete(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        answer = Answer(self._parser.get_status_code(), b"".join(exchange.chunks))
        if not exchange.done.done():
            exchange.done.set_result(Success(answer))

    def close(self, reason: str) -> None:
        """Close the connection and fail the exchange in progress."""
        self.usable = False
        exchange, self.exchange = self.exchange, None
        if self.transport is not None:
            self.transport.abort()
        if exchange is not None and not exchange.done.done():
            exchange.done.set_result(Failure(MaybeSent(reason)))


class _ExchangeTimer:
    """Ends an exchange when it times out or when its response stalls."""

    def __init__(
        self,
        protocol: _Protocol,
        exchange: _Exchange,
        timeout_ms: int,
        max_pause_ms: int,
    ) -> None:
        self._protocol = protocol
        self._exchange = exchange
        self._timeout_ms = timeout_ms
        self._max_pause_s = max_pause_ms / 1000
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + MAX_ANSWER_MS / 1000
        self._timer = self._loop.call_later(timeout_ms / 1000, self._expire)

    def stop(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()

    def _expire(self) -> None:
        last_received_at = self._exchange.last_received_at
        if self._max_pause_s and last_received_at is not None:
            # A large response on a slow link can take longer than the timeout, and a
            # retry would start again from the first byte. So only a pause ends it.
            due = min(last_received_at + self._max_pause_s, self._deadline)
            if due > self._loop.time():
                self._timer = self._loop.call_at(due, self._expire)
                return
        received_bytes = self._exchange.size
        reason = f"no answer within {self._timeout_ms} ms"
        if received_bytes:
            reason = f"the answer stopped, {received_bytes} bytes had come"
        self._protocol.close(reason)


class LeanConnection:
    """A connection to one address, opened on demand and reused while it is clean.

    Attributes:
        address: The server's `ip:port`.
    """

    def __init__(self, address: str) -> None:
        """Store the address; no connection is opened yet."""
        self.address = address
        self._host, _, self._port = address.rpartition(":")
        self._protocol: _Protocol | None = None

    def mark_verified(self) -> None:
        """Mark the identity of the peer as verified until this connection closes."""
        if self._protocol is not None:
            self._protocol.verified = True

    @property
    def is_verified(self) -> bool:
        """Return whether the connection is usable and its peer's identity verified."""
        protocol = self._protocol
        return protocol is not None and protocol.usable and protocol.verified

    async def call(
        self,
        call: Call,
        timeout_ms: int,
        verified_only: bool = False,
        may_send: MaySend | None = None,
    ) -> Result[Answer, ExchangeError]:
        """Send a request and return the complete response.

        A call that fails, times out or is cancelled closes the connection.

        Args:
            call: The request.
            timeout_ms: Timeout of the exchange, see `Call.max_pause_ms`.
            verified_only: Whether to send the request only on a verified connection.
            may_send: Asked at the moment of sending; the request is not sent if it
                returns False.
        """
        if verified_only and not self.is_verified:
            return Failure(NotSent("the connection has ended"))
        protocol = self._protocol
        if protocol is None or not protocol.usable:
            opened = await self._open(min(CONNECT_TIMEOUT_MS, timeout_ms))
            if isinstance(opened, NotSent):
                return Failure(opened)
            protocol = opened
        if may_send is not None and not may_send():
            return Failure(NotSent("it may not be sent any more"))
        loop = asyncio.get_running_loop()
        exchange = _Exchange(loop.create_future(), call.on_body)
        protocol.exchange = exchange
        assert protocol.transport is not None
        protocol.transport.write(call.encode(self.address))
        timer = _ExchangeTimer(protocol, exchange, timeout_ms, call.max_pause_ms)
        try:
            return await exchange.done
        except BaseException:
            protocol.close("cancelled")
            raise
        finally:
            timer.stop()

    def close(self) -> None:
        """Close the connection at once, even during an exchange."""
        protocol, self._protocol = self._protocol, None
        if protocol is not None:
            protocol.close("closed here")

    async def _open(self, timeout_ms: int) -> _Protocol | NotSent:
        loop = asyncio.get_running_loop()
        self.close()
        if not self._port.isdecimal():
            return NotSent("the address has no port; it must be ip:port")
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                transport, protocol = await loop.create_connection(
                    _Protocol, self._host, self._port
                )
            sock = transport.get_extra_info("socket")
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
            )
        except TimeoutError:
            return NotSent(f"no connection within {timeout_ms} ms")
        except OSError as exc:
            reason = exc.strerror or type(exc).__name__
            return NotSent(f"connect: {reason}")
        except (ValueError, OverflowError) as exc:
            # The host or the port is not a possible one, such as a host with a zero
            # byte or an empty label, or a port over 65,535.
            return NotSent(f"the address cannot be connected to: {exc}")
        self._protocol = protocol
        return protocol
