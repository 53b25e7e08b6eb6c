"""One HTTP request and its response over ASGI."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from courselead.integrations.http_api import const
from courselead.integrations.http_api.asgi import (
    Message,
    Receive,
    Scope,
    Send,
    connection_of,
)
from courselead.integrations.http_api.body_reader import BodyReader
from courselead.integrations.http_api.errors import (
    BodyTimeout,
    BodyTooLarge,
    CallerLeft,
    CallerStalled,
    Refusal,
)
from courselead.integrations.http_api.host import Header
from courselead.integrations.http_api.problems import (
    ApiProblem,
    HttpProblemKind,
    bad_request,
    body_timeout,
    body_too_large,
)
from courselead.settings import LimitSettings

_RESPONSE_START = "http.response.start"
_RESPONSE_BODY = "http.response.body"
_DISCONNECT = "http.disconnect"
_CONNECTION_CLOSE = (const.ATTR_CONNECTION, b"close")


class Exchange:
    """Reads one request within the limits and writes its response."""

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        limits: LimitSettings,
        request_id: str,
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        """Wrap the arguments of an ASGI call.

        Args:
            scope: ASGI connection scope.
            receive: ASGI receive callable.
            send: ASGI send callable.
            limits: Limits on the head, the body and write times.
            request_id: Id of this exchange.
            is_ready: Whether this host should get further requests.
        """
        self.method: str = scope["method"]
        self.path: bytes = scope["raw_path"]
        self.query: bytes = scope["query_string"]
        self.http_version: str = scope["http_version"]
        self.headers: tuple[Header, ...] = tuple(scope["headers"])
        self.request_id = request_id
        self.client_account = ""
        self.started = False
        self.status = 0
        self._receive = receive
        self._send_raw = send
        self._limits = limits
        self._is_ready = is_ready
        self._body = BodyReader(receive)
        self.connection = connection_of(scope)

    def header_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header, by its lower-case name."""
        return [value for key, value in self.headers if key == name]

    def single_header(self, name: bytes) -> str | None:
        """Return the value of a header that may occur at most once.

        Raises:
            Refusal: It occurs more than once, or is not ASCII.
        """
        found = self.header_values(name)
        if not found:
            return None
        shown = name.decode("ascii")
        if len(found) > 1:
            raise Refusal(bad_request(f"send {shown} at most once"))
        try:
            return found[0].decode("ascii")
        except UnicodeDecodeError as exc:
            raise Refusal(bad_request(f"send {shown} in ASCII")) from exc

    def check_head(self) -> None:
        """Check the size of the head and that it has only one body framing.

        Raises:
            Refusal: The head is too large, or has both `Content-Length` and
                `Transfer-Encoding`.
        """
        size = len(self.method) + len(self.path) + len(self.query)
        for name, value in self.headers:
            size += len(name) + len(value)
        if size > self._limits.header_bytes:
            max_bytes = self._limits.header_bytes
            detail = f"send at most {max_bytes} bytes of headers"
            raise Refusal(
                ApiProblem(HttpProblemKind.HEAD_TOO_LARGE, detail, close=True)
            )
        if self.header_values(const.ATTR_TRANSFER_ENCODING) and self.header_values(
            const.ATTR_CONTENT_LENGTH
        ):
            detail = "send Content-Length or Transfer-Encoding, not both"
            raise Refusal(ApiProblem(HttpProblemKind.BAD_REQUEST, detail, close=True))

    async def read_body(self, timeout_ms: int, max_bytes: int | None = None) -> bytes:
        """Return the whole body.

        Raises:
            Refusal: It is too large or did not arrive in time.
            CallerLeft: The caller closed the connection.
        """
        limit = self._limits.body_bytes if max_bytes is None else max_bytes
        declared = self.single_header(const.ATTR_CONTENT_LENGTH)
        if declared is not None and int(declared) > limit:
            raise Refusal(body_too_large(limit))
        try:
            return await self._body.read(limit, timeout_ms / 1000)
        except BodyTooLarge as exc:
            raise Refusal(body_too_large(limit)) from exc
        except BodyTimeout as exc:
            raise Refusal(body_timeout(timeout_ms)) from exc

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller disconnects; call it only after reading the body."""
        while True:
            message = await self._receive()
            if message["type"] == _DISCONNECT:
                return

    async def start(self, status: int, headers: tuple[Header, ...]) -> None:
        """Write the head of the response."""
        all_headers = [*headers]
        all_headers.append((const.ATTR_REQUEST_ID, self.request_id.encode("ascii")))
        if not self._is_ready() and _CONNECTION_CLOSE not in all_headers:
            all_headers.append(_CONNECTION_CLOSE)
        self.started = True
        self.status = status
        await self._send(
            {"type": _RESPONSE_START, "status": status, "headers": all_headers}
        )

    async def write(self, chunk: bytes) -> None:
        """Write a chunk of the response body."""
        await self._send({"type": _RESPONSE_BODY, "body": chunk, "more_body": True})

    async def finish(self) -> None:
        """Complete the response."""
        await self._send({"type": _RESPONSE_BODY, "body": b"", "more_body": False})

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: bytes = const.TYPE_JSON,
        headers: tuple[Header, ...] = (),
    ) -> None:
        """Write a complete response with a `Content-Length`."""
        await self._start_with_body(status, body, content_type, headers)
        await self.finish()

    async def respond_problem(self, problem: ApiProblem) -> None:
        """Write a problem as the complete response."""
        body = problem.body(self.request_id)
        headers = problem.response_headers()
        await self._start_with_body(problem.status, body, const.TYPE_PROBLEM, headers)
        if problem.kind is HttpProblemKind.BODY_TOO_LARGE:
            await self._drain()
        await self.finish()

    async def _start_with_body(
        self, status: int, body: bytes, content_type: bytes, headers: tuple[Header, ...]
    ) -> None:
        length = str(len(body)).encode("ascii")
        fixed = (
            (const.ATTR_CONTENT_TYPE, content_type),
            (const.ATTR_CONTENT_LENGTH, length),
        )
        await self.start(status, (*fixed, *headers))
        await self.write(body)

    async def _drain(self) -> None:
        # Closing while the caller still sends would reset the connection and could
        # discard the response before the caller has read it.
        left = const.DRAIN_BYTES
        with anyio.move_on_after(const.DRAIN_MS / 1000):
            while not self._body.complete and left > 0:
                try:
                    chunk = await self._body.next_chunk()
                except CallerLeft:
                    return
                left -= len(chunk)

    async def _send(self, message: Message) -> None:
        with anyio.move_on_after(self._limits.idle_ms / 1000):
            await self._send_raw(message)
            return
        if self.connection is not None:
            self.connection.abort()
        raise CallerStalled
