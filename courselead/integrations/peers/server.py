"""Incoming streams: the peers' reports."""

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
from courselead.integrations.peers.members import Members
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
    """Takes in the streams of the peers."""

    def __init__(
        self,
        listen: Address,
        hello: Hello,
        members: Members,
        on_report: Callable[[PeerReport], None],
    ) -> None:
        """Keep what each stream needs; nothing is opened yet."""
        self._listen = listen
        self._hello = hello
        self._members = members
        self._on_report = on_report
        self._strangers = 0
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def open(self) -> MultiListener[SocketStream]:
        """Return the open listener.

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
            for part in listener.listeners:
                tasks.start_soon(self._accept_all, part, tasks)

    async def _accept_all(
        self, listener: Listener[SocketStream], tasks: TaskGroup
    ) -> None:
        """Serve each stream that comes in, also after an accept that failed.

        The listener's own loop ends with the first error, and the host with it.
        """
        while True:
            try:
                raw = await listener.accept()
            except OSError as exc:
                reason = exc.strerror or type(exc).__name__
                _LOGGER.warning("peer_accept_failed", reason=reason)
                await anyio.sleep(const.ACCEPT_RETRY_MS / 1000)
                continue
            tasks.start_soon(self._serve, raw)

    async def _serve(self, raw: SocketStream) -> None:
        stream = FrameStream(raw)
        try:
            hello, frames = await self._greet(stream)
            await self._take_over(hello, stream, frames)
        except PeerError as exc:
            kind = type(exc).__name__
            _LOGGER.warning("peer_refused", kind=kind, reason=str(exc))
        except NETWORK_ERRORS:
            _LOGGER.info("peer_closed")
        finally:
            await stream.close()

    async def _greet(self, stream: FrameStream) -> tuple[Hello, list[Frame]]:
        if self._strangers >= const.MAX_STRANGERS:
            raise TooManyStreams("too many streams without a hello")
        self._strangers += 1
        try:
            hello, frames = await stream.receive_hello()
            self._members.greet(hello)
            await stream.send(self._hello)
        finally:
            self._strangers -= 1
        return hello, frames

    async def _take_over(
        self, hello: Hello, stream: FrameStream, frames: list[Frame]
    ) -> None:
        name = hello.entry_host
        older = self._scopes.get(name)
        if older is not None:
            older.cancel()
        with anyio.CancelScope() as scope:
            self._scopes[name] = scope
            try:
                await self._read(hello, stream, frames)
            finally:
                if self._scopes[name] is scope:
                    del self._scopes[name]

    async def _read(
        self, hello: Hello, stream: FrameStream, frames: list[Frame]
    ) -> None:
        while True:
            self._deliver(hello, frames)
            with anyio.move_on_after(const.SILENCE_MS / 1000) as timeout:
                frames = await stream.receive()
            if timeout.cancelled_caught:
                raise PeerSilent(f"{hello.entry_host} sent no report")

    def _deliver(self, hello: Hello, frames: list[Frame]) -> None:
        newest: PeerReport | None = None
        for frame in frames:
            if not isinstance(frame, PeerReport):
                raise MalformedFrame(f"{hello.entry_host} said hello twice")
            if self._members.is_new(hello, frame):
                newest = frame
        # Of reports that came together only the newest still says anything.
        if newest is not None:
            self._on_report(newest)
