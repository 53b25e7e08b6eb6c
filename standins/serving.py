"""Runs any number of stand-ins as uvicorn servers in one process."""

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
    """Shows the app its connection, so that a fault can cut it."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Put the transport and the open connections into the scope's state."""
        super().connection_made(transport)
        self.app_state = {"transport": transport, "connections": self.connections}


class _Server(uvicorn.Server):
    """A uvicorn server that leaves the signals alone and tells when it is ready."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Make the event before the server runs."""
        super().__init__(config)
        self.ready = anyio.Event()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no handler: one process runs many servers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start, then say so."""
        await super().startup(sockets=sockets)
        self.ready.set()


class Listener:
    """One endpoint served at one loopback port."""

    def __init__(self, endpoint: Endpoint, port: int = 0) -> None:
        """Bind the port at once, so that the address is known."""
        self.endpoint = endpoint
        # Only with the protocol named does asyncio turn off Nagle's algorithm on the
        # accepted connections; with it, each small answer waits for a delayed ACK.
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
        """Return the connections that are open now."""
        return self._server.server_state.connections

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `leave`, `abort` or a cancellation."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._server.serve, [self._sock])
                await self._server.ready.wait()
                task_status.started(self.address)
        finally:
            self.abort()

    def leave(self) -> None:
        """Refuse new connections, finish what is in flight, then end."""
        self._close_port()
        self._server.should_exit = True

    def abort(self) -> None:
        """Cut every connection and end; nothing in flight is answered."""
        self._close_port()
        self._server.should_exit = True
        self._server.force_exit = True
        self.endpoint.cut()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Cut every connection, as the end of a process does, and go on listening."""
        for conn in list(self.connections):
            conn.transport.abort()

    def _close_port(self) -> None:
        servers: list[Any] = getattr(self._server, "servers", [])
        for server in servers:
            server.close()
        self._sock.close()
