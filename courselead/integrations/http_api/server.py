"""The uvicorn-based server of the HTTP interface."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Iterable, Iterator

import anyio
import uvicorn
from anyio.abc import TaskStatus

from courselead.integrations.http_api import const
from courselead.integrations.http_api.app import HttpApi
from courselead.integrations.http_api.asgi import (
    Message,
    Receive,
    Scope,
    Send,
    connection_of,
)
from courselead.integrations.http_api.capacity import ServerCapacity
from courselead.integrations.http_api.errors import ListenFailed
from courselead.integrations.http_api.host import Header
from courselead.integrations.http_api.listener import Listener
from courselead.integrations.http_api.protocol import LimitedProtocol
from courselead.integrations.http_api.waiting_connections import WaitingConnections
from courselead.settings import Address, LimitSettings

_TIMEOUT_CHECK_INTERVAL_S = 0.25
_CANCELLED_WAIT_S = 1.0
_CLOSE_NOTICE_S = 0.5
_DEFAULT_DRAIN_MS = 30_000


class HttpServer:
    """Listens for callers until it is stopped or cancelled."""

    def __init__(
        self,
        app: HttpApi,
        listen: Address,
        limits: LimitSettings,
        drain_ms: int = _DEFAULT_DRAIN_MS,
        capacity: ServerCapacity | None = None,
    ) -> None:
        """Configure the server; no socket is opened yet.

        Args:
            app: The ASGI application.
            listen: Address to listen on; port 0 selects a free port.
            limits: Limits on connections and request heads.
            drain_ms: Time that open exchanges have to end after `stop`.
            capacity: What connections may use, with the same limits. Servers of one
                process share a part of it; by default this one has its own.
        """
        # The application logs each of these events itself.
        logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
        self._listen = listen
        self._closed = anyio.Event()
        self._capacity = capacity or ServerCapacity.from_limits(limits)
        self._server = _Server(_config(app, self._capacity, drain_ms))

    async def run(
        self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until stopped; reports the bound address through `task_status`.

        Raises:
            ListenFailed: The socket could not be opened.
        """
        try:
            await self._run(task_status)
        finally:
            self._closed.set()

    def stop(self) -> None:
        """Stop listening, wait for open exchanges, then return from `run`.

        For `_CLOSE_NOTICE_S` before that, requests are still served, and responses
        carry `Connection: close` so that callers close their connections themselves.
        """
        self._server.should_exit = True

    @property
    def stopping(self) -> bool:
        """Return whether responses now carry `Connection: close`."""
        return self._server.config.http_protocol_class.stopping

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.server_state.connections)

    async def wait_closed(self) -> None:
        """Wait until `run` has returned; until then responses may be in progress."""
        await self._closed.wait()

    async def _run(self, task_status: TaskStatus[Address]) -> None:
        sock = _bind(self._listen)
        # Connections inherit the size from the listening socket.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._capacity.receive_buffer_bytes
        )
        ip, port = sock.getsockname()[:2]
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._check_timeouts)
                tasks.start_soon(self._report_address, task_status, Address(ip, port))
                await self._server.serve(sockets=[sock])
                await self._server.wait_for_cancelled()
                tasks.cancel_scope.cancel()
        finally:
            self._server.drop_all()
            sock.close()

    async def _report_address(
        self, status: TaskStatus[Address], address: Address
    ) -> None:
        await self._server.listening.wait()
        status.started(address)

    async def _check_timeouts(self) -> None:
        while True:
            await anyio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            now = anyio.current_time()
            for conn in tuple(self._server.server_state.connections):
                conn.check_timeouts(now)  # type: ignore[union-attr]


class _ConnectionApp:
    """ASGI middleware for what concerns the connection of every request.

    It refuses requests on connections over the limit, notes for how long the
    application holds a request, and adds `Connection: close` to responses while the
    server stops: a caller that sees this header does not send another request on a
    connection that is about to close. The middleware covers peers, probes and metrics
    as well, whose applications know nothing of this.
    """

    def __init__(self, app: HttpApi) -> None:
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        conn: LimitedProtocol = connection_of(scope)  # type: ignore[assignment]
        if conn.over_limit:
            conn.refuse_over_limit()
            return

        async def send_with_notice(message: Message) -> None:
            if conn.stopping and message["type"] == "http.response.start":
                message = {
                    **message,
                    "headers": _with_connection_close(message["headers"]),
                }
            await send(message)

        conn.app_started()
        try:
            await self._app(scope, receive, send_with_notice)
        finally:
            conn.app_ended()


def _with_connection_close(headers: Iterable[Header]) -> list[Header]:
    """Return response headers with `Connection: close` as their connection header."""
    kept = [header for header in headers if header[0].lower() != const.ATTR_CONNECTION]
    return [*kept, (const.ATTR_CONNECTION, b"close")]


class _Server(uvicorn.Server):
    """uvicorn's server without signal handlers, since the daemon installs its own."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = anyio.Event()
        self.listener: Listener | None = None
        self._drain_s = config.timeout_graceful_shutdown or 0.0
        # asyncio servers that uvicorn would close; `Listener` replaces them.
        self.servers = []

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Listen with a `Listener` instead of an asyncio server."""
        await self.lifespan.startup()
        (sock,) = sockets or []
        self.listener = Listener(sock, self._make_protocol)
        self.listener.open()
        self.started = True
        self.listening.set()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        """Give callers time to close their connections, then close the rest."""
        # `_config` creates a protocol class for each server.
        self.config.http_protocol_class.stopping = True  # type: ignore[attr-defined]
        with anyio.move_on_after(_CLOSE_NOTICE_S):
            while self.server_state.connections:
                await anyio.sleep(_CLOSE_NOTICE_S / 50)
        if self.listener is not None:
            await self.listener.close(self._drain_s)
        await super().shutdown(sockets)

    def _make_protocol(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(  # type: ignore[call-arg]
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )

    async def wait_for_cancelled(self) -> None:
        """Give cancelled exchanges time to send their error response."""
        with anyio.move_on_after(_CANCELLED_WAIT_S):
            while self.server_state.tasks or self.server_state.connections:
                await anyio.sleep(_CANCELLED_WAIT_S / 100)

    def drop_all(self) -> None:
        """Abort all connections and tasks that a cancelled run leaves open."""
        if self.listener is not None:
            self.listener.abort()
        for conn in tuple(self.server_state.connections):
            conn.transport.abort()
        for task in tuple(self.server_state.tasks):
            task.cancel()


def _config(app: HttpApi, capacity: ServerCapacity, drain_ms: int) -> uvicorn.Config:
    # uvicorn creates the protocols, so this server's limits are set on a subclass.
    bound = {"capacity": capacity, "waiting": WaitingConnections()}
    protocol = type("BoundProtocol", (LimitedProtocol,), bound)
    limits = capacity.limits
    return uvicorn.Config(
        _ConnectionApp(app),
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=limits.idle_ms / 1000,  # type: ignore[arg-type]
        timeout_graceful_shutdown=drain_ms / 1000,  # type: ignore[arg-type]
        h11_max_incomplete_event_size=limits.header_bytes,
        reset_contextvars=True,
    )


def _bind(listen: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in listen.ip else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((listen.ip, listen.port))
    except OSError as exc:
        sock.close()
        reason = exc.strerror or "the socket was refused"
        raise ListenFailed(str(listen), reason) from exc
    return sock
