"""A listening socket that does not lose accepted connections when it is closed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum, auto

import anyio
import structlog

from courselead.integrations.http_api.handshakes import drop_new_handshakes

_LOGGER = structlog.get_logger(__name__)

BACKLOG = 512
"""Length of the kernel's accept queue."""

ACCEPTS_PER_ITERATION = 32
"""Most accepts in an iteration of the event loop. A connection over the limit is closed
some iterations after its accept, and has a file descriptor until then."""

ACCEPT_RETRY_S = 0.1
"""Delay after a failed accept; exchanges that end meanwhile free file descriptors."""

HANDSHAKE_WAIT_S = 0.05
"""Wait for handshakes in progress: several round trips within a region."""


class _AcceptResult(Enum):
    """Result of one accept call."""

    ACCEPTED = auto()
    EMPTY = auto()
    FAILED = auto()


class Listener:
    """Accepts connections and creates a protocol for each.

    asyncio's own server accepts a connection in one iteration of the event loop and
    creates its transport in a later one. If it is closed in between, it silently drops
    the connection, and a request on it is reset. This listener runs a task for each
    accepted connection until its protocol is attached, and `close` waits for all of
    them.
    """

    def __init__(
        self, sock: socket.socket, make_protocol: Callable[[], asyncio.Protocol]
    ) -> None:
        """Take over a bound socket, which is closed with the listener.

        Args:
            sock: A bound stream socket.
            make_protocol: Creates the protocol of a new connection.
        """
        self._sock = sock
        self._make_protocol = make_protocol
        self._loop = asyncio.get_running_loop()
        self._attach_tasks: set[asyncio.Task[None]] = set()
        self._resume_timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Start listening.

        Raises:
            OSError: Another socket has started to listen on the port.
        """
        self._sock.setblocking(False)
        self._sock.listen(BACKLOG)
        self._watch_socket()

    async def close(self, timeout_s: float) -> None:
        """Accept queued connections, stop listening, and wait for their protocols.

        Args:
            timeout_s: Longest wait for free file descriptors. Closing the listener
                while accepts fail for lack of them would reset all connections in its
                queue.
        """
        drop_new_handshakes(self._sock)
        # A handshake that completes after the close would be reset too.
        await anyio.sleep(HANDSHAKE_WAIT_S)
        result = self._accept_pending()
        with anyio.move_on_after(timeout_s):
            while result is not _AcceptResult.EMPTY:
                if result is _AcceptResult.FAILED:
                    await anyio.sleep(ACCEPT_RETRY_S)
                result = self._accept_pending()
        if result is not _AcceptResult.EMPTY:
            _LOGGER.warning("queue_left", waited_s=timeout_s)
        # No await between the last accept and this call, so no other task runs here.
        self._stop_listening()
        while self._attach_tasks:
            await asyncio.wait(self._attach_tasks)

    def abort(self) -> None:
        """Stop listening and drop connections that have no protocol yet."""
        self._stop_listening()
        for task in tuple(self._attach_tasks):
            task.cancel()

    def _stop_listening(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock)
        self._sock.close()

    def _watch_socket(self) -> None:
        self._loop.add_reader(self._sock, self._on_readable)

    def _on_readable(self) -> None:
        if self._accept_pending(ACCEPTS_PER_ITERATION) is not _AcceptResult.FAILED:
            return
        # Otherwise each event loop iteration would report the socket as readable.
        self._loop.remove_reader(self._sock)
        self._resume_timer = self._loop.call_later(ACCEPT_RETRY_S, self._watch_socket)

    def _accept_pending(self, max_accepts: int = BACKLOG) -> _AcceptResult:
        """Accept until the queue is empty or an accept fails."""
        for _ in range(max_accepts):
            result = self._accept()
            if result is not _AcceptResult.ACCEPTED:
                return result
        return _AcceptResult.ACCEPTED

    def _accept(self) -> _AcceptResult:
        try:
            conn, _ = self._sock.accept()
        except BlockingIOError:
            return _AcceptResult.EMPTY
        except ConnectionAbortedError:
            # The client has already reset the connection.
            return _AcceptResult.ACCEPTED
        except OSError as exc:
            _LOGGER.warning("accept_failed", reason=exc.strerror or type(exc).__name__)
            return _AcceptResult.FAILED
        task = self._loop.create_task(self._attach_protocol(conn))
        self._attach_tasks.add(task)
        task.add_done_callback(self._attach_tasks.discard)
        return _AcceptResult.ACCEPTED

    async def _attach_protocol(self, conn: socket.socket) -> None:
        conn.setblocking(False)
        try:
            await self._loop.connect_accepted_socket(self._make_protocol, conn)
        except OSError as exc:
            reason = exc.strerror or type(exc).__name__
            _LOGGER.info("connection_dropped", reason=reason)
            conn.close()
