"""Server for the incoming streams, which carry the peers' reports."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import structlog
from anyio.abc import Listener, SocketStream, TaskGroup
from anyio.streams.stapled import MultiListener

from courselead.core.events import PeerReport
from courselead.integrations.peers import const
from courselead.integrations.peers.codec import Frame, Hello
from courselead.integrations.peers.errors import (
    MalformedFrame,
    PeerError,
    PeerListenFailed,
    PeerSilent,
    TooManyStreams,
)
from courselead.integrations.peers.members import PeerRegistry
from courselead.integrations.peers.stream import FrameStream
from courselead.settings import Address

_LOGGER = structlog.get_logger(__name__)
NETWORK_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class PeerServer:
    """Accepts the streams of the peers and delivers their reports."""

    def __init__(
        self,
        listen: Address,
        hello: Hello,
        registry: PeerRegistry,
        on_report: Callable[[PeerReport], None],
    ) -> None:
        """Store the settings of the streams; no socket is opened yet."""
        self._listen = listen
        self._hello = hello
        self._registry = registry
        self._on_report = on_report
        self._streams_before_hello = 0
        self._stream_scopes: dict[str, anyio.CancelScope] = {}

    async def open(self) -> MultiListener[SocketStream]:
        """Open the listening socket and return it.

        Raises:
            PeerListenFailed: The socket could not be opened.
        """
        try:
            return await anyio.create_tcp_listener(
                local_host=self._listen.ip, local_port=self._listen.port
            )
        except OSError as exc:
            detail = f"cannot listen on {self._listen}; set another 'peer_listen'"
            raise PeerListenFailed(detail) from exc

    async def serve(self, listener: MultiListener[SocketStream]) -> None:
        """Serve an open listener until cancelled."""
        async with anyio.create_task_group() as tasks:
            for socket_listener in listener.listeners:
                tasks.start_soon(self._accept_streams, socket_listener, tasks)

    async def _accept_streams(
        self, listener: Listener[SocketStream], tasks: TaskGroup
    ) -> None:
        """Serve each incoming stream; continues after a failed accept.

        The listener's own loop ends at the first error, which would end the host.
        """
        while True:
            try:
                raw = await listener.accept()
            except OSError as exc:
                reason = exc.strerror or type(exc).__name__
                _LOGGER.warning("peer_accept_failed", reason=reason)
                await anyio.sleep(const.ACCEPT_RETRY_MS / 1000)
                continue
            tasks.start_soon(self._serve_stream, raw)

    async def _serve_stream(self, raw: SocketStream) -> None:
        stream = FrameStream(raw)
        try:
            hello, frames = await self._exchange_hellos(stream)
            await self._replace_stream(hello, stream, frames)
        except PeerError as exc:
            kind = type(exc).__name__
            _LOGGER.warning("peer_refused", kind=kind, reason=str(exc))
        except NETWORK_ERRORS:
            _LOGGER.info("peer_closed")
        finally:
            await stream.close()

    async def _exchange_hellos(self, stream: FrameStream) -> tuple[Hello, list[Frame]]:
        if self._streams_before_hello >= const.MAX_STREAMS_BEFORE_HELLO:
            raise TooManyStreams("too many open streams have not sent a hello")
        self._streams_before_hello += 1
        try:
            hello, frames = await stream.receive_hello()
            self._registry.register_hello(hello)
            await stream.send(self._hello)
        finally:
            self._streams_before_hello -= 1
        return hello, frames

    async def _replace_stream(
        self, hello: Hello, stream: FrameStream, frames: list[Frame]
    ) -> None:
        name = hello.entry_host
        previous_scope = self._stream_scopes.get(name)
        if previous_scope is not None:
            previous_scope.cancel()
        with anyio.CancelScope() as scope:
            self._stream_scopes[name] = scope
            try:
                await self._read_reports(hello, stream, frames)
            finally:
                if self._stream_scopes[name] is scope:
                    del self._stream_scopes[name]

    async def _read_reports(
        self, hello: Hello, stream: FrameStream, frames: list[Frame]
    ) -> None:
        while True:
            self._deliver(hello, frames)
            with anyio.move_on_after(const.IDLE_TIMEOUT_MS / 1000) as timeout:
                frames = await stream.receive()
            if timeout.cancelled_caught:
                raise PeerSilent(f"{hello.entry_host} sent no report")

    def _deliver(self, hello: Hello, frames: list[Frame]) -> None:
        newest: PeerReport | None = None
        for frame in frames:
            if not isinstance(frame, PeerReport):
                raise MalformedFrame(f"{hello.entry_host} sent a second hello")
            if self._registry.register_report(hello, frame):
                newest = frame
        # Of reports that arrive together only the newest one is relevant.
        if newest is not None:
            self._on_report(newest)
