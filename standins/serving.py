"""Runs stand-ins as uvicorn servers, several in one process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import anyio
import anyio.abc
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from standins.faults import Endpoint

LOOPBACK = "127.0.0.1"
_BACKLOG = 256


class StandinProtocol(H11Protocol):
    """Gives the app access to its connection, so that a fault can abort it."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Add the transport and the open connections to the scope's state."""
        super().connection_made(transport)
        self.app_state = {"transport": transport, "connections": self.connections}


class _Server(uvicorn.Server):
    """A uvicorn server that handles no signals and reports when it is ready."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Create the event that `startup` sets."""
        super().__init__(config)
        self.ready = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handler, as one process runs many servers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start the server, then set `ready`."""
        await super().startup(sockets=sockets)
        self.ready.set()


class Listener:
    """Serves one endpoint on a loopback port."""

    def __init__(self, endpoint: Endpoint, port: int = 0) -> None:
        """Bind the port, so that the address is known before serving."""
        self.endpoint = endpoint
        # asyncio disables Nagle's algorithm on accepted connections only if the socket
        # names its protocol. Otherwise each small answer waits for a delayed ACK.
        self._sock = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((LOOPBACK, port))
        bound_port = self._sock.getsockname()[1]
        self.address = f"{LOOPBACK}:{bound_port}"
        config = uvicorn.Config(
            endpoint,
            log_level="warning",
            lifespan="off",
            access_log=False,
            http=StandinProtocol,
            backlog=_BACKLOG,
        )
        self._server = _Server(config)

    @property
    def connections(self) -> set[Any]:
        """Return the open connections."""
        return self._server.server_state.connections

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `shut_down`, `abort` or cancellation."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._server.serve, [self._sock])
                await self._server.ready.wait()
                task_status.started(self.address)
        finally:
            self.abort()

    def shut_down(self) -> None:
        """Refuse new connections, finish the requests in flight, then end."""
        self._close_port()
        self._server.should_exit = True

    def abort(self) -> None:
        """Abort every connection and end; requests in flight get no answer."""
        self._close_port()
        self._server.should_exit = True
        self._server.force_exit = True
        self.endpoint.cancel_calls()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Abort every connection, like the end of a process, but keep listening."""
        for conn in list(self.connections):
            conn.transport.abort()

    def _close_port(self) -> None:
        servers: list[Any] = getattr(self._server, "servers", [])
        for server in servers:
            server.close()
        self._sock.close()
