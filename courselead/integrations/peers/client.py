"""The outgoing stream to one peer."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio
import structlog

from courselead.core.events import PeerReport
from courselead.integrations.peers import const
from courselead.integrations.peers.codec import Hello
from courselead.integrations.peers.errors import (
    MalformedFrame,
    PeerError,
    PeerSilent,
    UnknownPeer,
)
from courselead.integrations.peers.members import Members
from courselead.integrations.peers.server import NETWORK_ERRORS
from courselead.integrations.peers.stream import FrameStream
from courselead.settings import PeerSettings

_LOGGER = structlog.get_logger(__name__)


class PeerClient:
    """Keeps a stream open to a peer and sends it the newest report.

    A report that could not be sent before the next one came is dropped: it
    says nothing that the next one does not say better.
    """

    def __init__(
        self,
        peer: PeerSettings,
        hello: Hello,
        members: Members,
        on_reachable: Callable[[str, bool], None],
    ) -> None:
        """Keep what the stream needs; nothing is opened yet."""
        self._peer = peer
        self._hello = hello
        self._members = members
        self._on_reachable = on_reachable
        self._open = False
        self._newest: PeerReport | None = None
        self._given = anyio.Event()

    def send(self, report: PeerReport) -> None:
        """Give the newest report; dropped while the stream is not open."""
        if not self._open:
            return
        self._newest = report
        self._given.set()

    async def run(self) -> None:
        """Connect again and again until cancelled."""
        delay_ms = const.BACKOFF_FIRST_MS
        while True:
            reached = await self._connect_once()
            if reached:
                delay_ms = const.BACKOFF_FIRST_MS
            # Spread out, so that hosts that started together do not stay so.
            await anyio.sleep(delay_ms * random.uniform(0.5, 1.0) / 1000)
            delay_ms = min(2 * delay_ms, const.BACKOFF_MOST_MS)

    async def _connect_once(self) -> bool:
        name = self._peer.entry_host
        reached = False
        try:
            stream = await self._connect()
            try:
                await self._greet(stream)
                reached = True
                await self._stay(stream)
            finally:
                await stream.close()
        except PeerError as exc:
            kind = type(exc).__name__
            _LOGGER.warning("peer_failed", peer=name, kind=kind, reason=str(exc))
        except NETWORK_ERRORS as exc:
            kind = type(exc).__name__
            _LOGGER.info("peer_unreachable", peer=name, kind=kind)
        return reached

    async def _connect(self) -> FrameStream:
        address = self._peer.address
        with anyio.move_on_after(const.CONNECT_TIMEOUT_MS / 1000):
            return FrameStream(await anyio.connect_tcp(address.ip, address.port))
        raise PeerSilent(f"no connection within {const.CONNECT_TIMEOUT_MS} ms")

    async def _greet(self, stream: FrameStream) -> None:
        await stream.send(self._hello)
        hello, rest = await stream.receive_hello()
        if hello.entry_host != self._peer.entry_host:
            raise UnknownPeer(f"{hello.entry_host} answers for {self._peer.entry_host}")
        self._members.greet(hello)
        if rest:
            raise MalformedFrame("reports came on the outgoing stream")

    async def _stay(self, stream: FrameStream) -> None:
        failures: list[Exception] = []
        self._newest = None
        self._given = anyio.Event()
        self._set_open(True)
        try:
            async with anyio.create_task_group() as tasks:
                for part in (self._send_newest, _watch):
                    tasks.start_soon(_first_failure, part, stream, failures, tasks)
        finally:
            self._set_open(False)
        raise failures[0]

    async def _send_newest(self, stream: FrameStream) -> None:
        while True:
            await self._given.wait()
            self._given = anyio.Event()
            report, self._newest = self._newest, None
            if report is not None:
                await stream.send(report)

    def _set_open(self, is_open: bool) -> None:
        self._open = is_open
        self._on_reachable(self._peer.entry_host, is_open)


async def _watch(stream: FrameStream) -> None:
    await stream.receive()
    raise MalformedFrame("reports came on the outgoing stream")


async def _first_failure(
    part: Callable[[FrameStream], object],
    stream: FrameStream,
    failures: list[Exception],
    tasks: anyio.abc.TaskGroup,
) -> None:
    # A group would wrap the failure, and the caller tells failures apart.
    try:
        await part(stream)
    except (PeerError, *NETWORK_ERRORS) as exc:
        failures.append(exc)
        tasks.cancel_scope.cancel()
