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
from courselead.integrations.peers.members import PeerRegistry
from courselead.integrations.peers.server import NETWORK_ERRORS
from courselead.integrations.peers.stream import FrameStream
from courselead.settings import PeerSettings

_LOGGER = structlog.get_logger(__name__)


class PeerClient:
    """Keeps a stream to a peer open and sends the newest report on it.

    A report that was not sent before the next one is given is dropped, because each
    report supersedes the previous ones.
    """

    def __init__(
        self,
        peer: PeerSettings,
        hello: Hello,
        registry: PeerRegistry,
        on_reachable: Callable[[str, bool], None],
    ) -> None:
        """Store the settings of the stream; no connection is opened yet."""
        self._peer = peer
        self._hello = hello
        self._registry = registry
        self._on_reachable = on_reachable
        self._is_open = False
        self._pending_report: PeerReport | None = None
        self._report_ready = anyio.Event()

    def send(self, report: PeerReport) -> None:
        """Send a report as soon as possible; dropped while the stream is not open."""
        if not self._is_open:
            return
        self._pending_report = report
        self._report_ready.set()

    async def run(self) -> None:
        """Connect, and reconnect after each failure, until cancelled."""
        delay_ms = const.BACKOFF_FIRST_MS
        while True:
            connected = await self._connect_once()
            if connected:
                delay_ms = const.BACKOFF_FIRST_MS
            # Random jitter, so that hosts that started together do not reconnect at
            # the same time.
            await anyio.sleep(delay_ms * random.uniform(0.5, 1.0) / 1000)
            delay_ms = min(2 * delay_ms, const.BACKOFF_MAX_MS)

    async def _connect_once(self) -> bool:
        name = self._peer.entry_host
        connected = False
        try:
            stream = await self._connect()
            try:
                await self._exchange_hellos(stream)
                connected = True
                await self._run_stream(stream)
            finally:
                await stream.close()
        except PeerError as exc:
            kind = type(exc).__name__
            _LOGGER.warning("peer_failed", peer=name, kind=kind, reason=str(exc))
        except NETWORK_ERRORS as exc:
            kind = type(exc).__name__
            _LOGGER.info("peer_unreachable", peer=name, kind=kind)
        return connected

    async def _connect(self) -> FrameStream:
        address = self._peer.address
        with anyio.move_on_after(const.CONNECT_TIMEOUT_MS / 1000):
            return FrameStream(await anyio.connect_tcp(address.ip, address.port))
        raise PeerSilent(f"no connection within {const.CONNECT_TIMEOUT_MS} ms")

    async def _exchange_hellos(self, stream: FrameStream) -> None:
        await stream.send(self._hello)
        hello, rest = await stream.receive_hello()
        if hello.entry_host != self._peer.entry_host:
            raise UnknownPeer(
                f"{hello.entry_host} responded instead of {self._peer.entry_host}"
            )
        self._registry.register_hello(hello)
        if rest:
            raise MalformedFrame("reports came on the outgoing stream")

    async def _run_stream(self, stream: FrameStream) -> None:
        failures: list[Exception] = []
        self._pending_report = None
        self._report_ready = anyio.Event()
        self._set_open(True)
        try:
            async with anyio.create_task_group() as tasks:
                for function in (self._send_newest, _detect_close):
                    tasks.start_soon(_record_failure, function, stream, failures, tasks)
        finally:
            self._set_open(False)
        raise failures[0]

    async def _send_newest(self, stream: FrameStream) -> None:
        while True:
            await self._report_ready.wait()
            self._report_ready = anyio.Event()
            report, self._pending_report = self._pending_report, None
            if report is not None:
                await stream.send(report)

    def _set_open(self, is_open: bool) -> None:
        self._is_open = is_open
        self._on_reachable(self._peer.entry_host, is_open)


async def _detect_close(stream: FrameStream) -> None:
    await stream.receive()
    raise MalformedFrame("reports came on the outgoing stream")


async def _record_failure(
    function: Callable[[FrameStream], object],
    stream: FrameStream,
    failures: list[Exception],
    tasks: anyio.abc.TaskGroup,
) -> None:
    # The task group would wrap the exception, and the caller needs its type.
    try:
        await function(stream)
    except (PeerError, *NETWORK_ERRORS) as exc:
        failures.append(exc)
        tasks.cancel_scope.cancel()
