"""An HTTP/1.1 connection that runs one exchange at a time."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import h11
import httpcore
from returns.result import Failure, Result, Success

from .backend import SocketBackend, SocketStream
from .const import HttpLimits
from .errors import ConnectionBusy, ExchangeError, IncompleteBody, MaybeSent, NotSent
from .headers import (
    Header,
    Headers,
    answer_headers,
    exceeded_limit,
    is_framed,
    request_headers,
)

_HTTP_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.UnsupportedProtocol,
    httpcore.ConnectionNotAvailable,
    h11.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request; `target` is the path with its query.

    `fresh` forces a new connection even if the open one could be reused.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    fresh: bool = False


class SingleConnection:
    """A connection to one address, opened on demand and reused only when clean."""

    def __init__(self, address: str, limits: HttpLimits | None = None) -> None:
        """Store the `ip:port` address; no connection is opened yet."""
        host, _, port = address.rpartition(":")
        self.address = address
        self._host = host.strip("[]").encode("ascii")
        self._port = int(port)
        self._limits = limits or HttpLimits()
        self._backend = SocketBackend()
        self._conn: httpcore.AsyncHTTPConnection | None = None
        self._open_answer: StreamedResponse | None = None

    def is_clean(self) -> bool:
        """Return whether the next exchange may reuse the open connection.

        It may if the last response was read completely, the server has not closed the
        connection, and neither the parser's buffer nor the kernel's holds a byte beyond
        that response. Such a byte would be read as the response to the next request.
        """
        if self._conn is None or self._open_answer is not None:
            return False
        if not self._conn.is_available() or self._conn.has_expired():
            return False
        return _trailing_bytes(self._conn) == b""

    async def exchange(
        self, req: HttpRequest, timeout_ms: int
    ) -> Result[StreamedResponse, ExchangeError]:
        """Send a request and return the response with its body still unread.

        The timeout covers reading the body as well. A failed, timed-out or cancelled
        exchange closes the connection.

        Raises:
            ConnectionBusy: The last response is still open.
        """
        if self._open_answer is not None:
            raise ConnectionBusy("read or close the open response first")
        invalid_reason = _invalid_reason(req)
        if invalid_reason:
            return Failure(NotSent(invalid_reason))
        if req.fresh or not self.is_clean():
            self.close()
        deadline = anyio.current_time() + timeout_ms / 1000
        sent_before = self._sent_bytes()
        reason = f"no answer within {timeout_ms} ms"
        response = None
        try:
            with anyio.move_on_at(deadline):
                response = await self._connection().handle_async_request(
                    self._build_request(req)
                )
        except _HTTP_ERRORS as exc:
            reason = _describe_error(exc)
        except BaseException:
            self.close()
            raise
        if response is None:
            return Failure(self._fail_exchange(sent_before, reason))
        return self._accept_response(response, deadline)

    def close(self) -> None:
        """Close the connection at once, even during an exchange."""
        stream = self._stream()
        self._conn = None
        self._backend.stream = None
        self._open_answer = None
        if stream is not None:
            stream.close()

    def release(self, answer: StreamedResponse) -> None:
        """Mark the connection as free after a response was read or closed."""
        if self._open_answer is answer:
            self._open_answer = None

    def _connection(self) -> httpcore.AsyncHTTPConnection:
        if self._conn is None:
            self._conn = httpcore.AsyncHTTPConnection(
                httpcore.Origin(b"http", self._host, self._port),
                keepalive_expiry=self._limits.keepalive_ms / 1000,
                network_backend=self._backend,
            )
        return self._conn

    def _build_request(self, req: HttpRequest) -> httpcore.Request:
        timeout_s = self._limits.connect_timeout_ms / 1000
        host = self.address.encode("ascii")
        return httpcore.Request(
            req.method,
            httpcore.URL(
                scheme=b"http", host=self._host, port=self._port, target=req.target
            ),
            headers=list(request_headers(req.headers, host, req.body)),
            content=req.body,
            extensions={"timeout": {"connect": timeout_s}},
        )

    def _stream(self) -> SocketStream | None:
        return self._backend.stream

    def _sent_bytes(self) -> int:
        stream = self._stream()
        return 0 if stream is None else stream.sent_bytes

    def _fail_exchange(self, sent_before: int, reason: str) -> ExchangeError:
        nothing_sent = self._sent_bytes() == sent_before
        self.close()
        return NotSent(reason) if nothing_sent else MaybeSent(reason)

    def _accept_response(
        self, response: httpcore.Response, deadline: float
    ) -> Result[StreamedResponse, ExchangeError]:
        received = tuple(response.headers)
        reason = exceeded_limit(received, self._limits)
        if response.status == 101:
            reason = "the target switched protocols unasked"
        if reason:
            self.close()
            return Failure(MaybeSent(reason))
        answer = StreamedResponse(
            self, response, deadline, self._limits.max_answer_bytes
        )
        self._open_answer = answer
        return Success(answer)


class StreamedResponse:
    """A response whose body is read from the connection chunk by chunk.

    It must be read to its end or closed. Closing it early closes its connection.
    """

    def __init__(
        self,
        owner: SingleConnection,
        response: httpcore.Response,
        deadline: float,
        max_bytes: int,
    ) -> None:
        """Wrap an httpcore response; `deadline` is a time on anyio's clock."""
        self.status = response.status
        self.headers: Headers = answer_headers(response.headers)
        self.framed = is_framed(response.headers)
        self._owner = owner
        self._response = response
        self._chunks = response.stream.__aiter__()
        self._deadline = deadline
        self._remaining_bytes = max_bytes
        self._ended = False
        self._failure: IncompleteBody | None = None

    def __aiter__(self) -> StreamedResponse:
        """Iterate over the chunks of the body."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk.

        Raises:
            IncompleteBody: The body is incomplete, too large or did not arrive in time.
        """
        if self._failure is not None:
            raise self._failure
        if self._ended:
            raise StopAsyncIteration
        chunk = await self._next_chunk()
        if chunk is None:
            self._ended = True
            self._owner.release(self)
            raise StopAsyncIteration
        self._remaining_bytes -= len(chunk)
        if self._remaining_bytes < 0:
            raise self._fail("over the size limit")
        return chunk

    async def read_all(self) -> bytes:
        """Return the whole body.

        Raises:
            IncompleteBody: The body is incomplete, too large or did not arrive in time.
        """
        chunks = [chunk async for chunk in self]
        return b"".join(chunks)

    def close(self) -> None:
        """Discard the rest of the body; closes the connection if there is any."""
        if not self._ended:
            self._fail("closed by the reader before its end")

    async def _next_chunk(self) -> bytes | None:
        reason = "not read within the timeout"
        try:
            with anyio.move_on_at(self._deadline):
                return await self._read_chunk()
        except _HTTP_ERRORS as exc:
            reason = _describe_error(exc)
        except BaseException:
            self.close()
            raise
        raise self._fail(reason)

    async def _read_chunk(self) -> bytes | None:
        try:
            return await self._chunks.__anext__()
        except StopAsyncIteration:
            # Closing the response resets the parser for the next exchange.
            await self._response.aclose()
            return None

    def _fail(self, reason: str) -> IncompleteBody:
        self._ended = True
        self._failure = IncompleteBody(reason)
        self._owner.release(self)
        self._owner.close()
        return self._failure


def _invalid_reason(req: HttpRequest) -> str:
    if req.method.upper() == b"CONNECT":
        return "CONNECT would turn the connection into a tunnel"
    if not req.target.startswith(b"/"):
        return "the request target must be a path"
    return ""


def _describe_error(exc: Exception) -> str:
    text = str(exc)
    kind = type(exc).__name__
    return f"{kind}: {text}"


def _trailing_bytes(conn: httpcore.AsyncHTTPConnection) -> bytes:
    # httpcore gives no public access to its parser's buffer. If these private names
    # change, no connection is known to be clean and none is reused.
    parser = getattr(getattr(conn, "_connection", None), "_h11_state", None)
    if parser is None:
        return b"?"
    data, _ = parser.trailing_data
    return data
