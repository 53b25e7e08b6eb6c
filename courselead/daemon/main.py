"""Implements `courselead serve`: creates the parts of an entry host and runs them."""

import secrets
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import TaskGroup, TaskStatus
from returns.result import Failure

from courselead import logs
from courselead.core import outbox
from courselead.core.effects import Append, RecordMetric, SendPeer
from courselead.core.events import (
    LeaveAsked,
    PeerReachable,
    PeerReport,
    PeerReported,
    Tick,
)
from courselead.core.identity import Identity
from courselead.core.operations.state import OperationsConfig, OperationsState
from courselead.core.presence import PresenceState
from courselead.core.reducer import CoreState
from courselead.core.requests.settle import is_drained
from courselead.core.snapshots import SnapshotsState
from courselead.daemon import clock, signals
from courselead.daemon.appender import Appender
from courselead.daemon.follower import LogFollower
from courselead.daemon.host import DaemonHost
from courselead.daemon.members import MembersPoller
from courselead.daemon.runtime import Runtime
from courselead.integrations.http_api.app import HttpApi
from courselead.integrations.http_api.errors import ListenFailed
from courselead.integrations.http_api.server import HttpServer
from courselead.integrations.membership import MembershipClient
from courselead.integrations.peers import PeerCoordinator, PeerListenFailed
from courselead.integrations.platform_log import LogClient
from courselead.metrics import Metrics
from courselead.settings import Settings

_LOGGER = structlog.get_logger(__name__)

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_SETTINGS = 2
LEAVE_TIMEOUT_S = 40.0
CLOSE_TIMEOUT_S = 5.0
DRAIN_TIMEOUT_MS = 3_000
"""Time for running exchanges to finish once the host has left or received a second
signal. Exchanges that are cut off then still get their answer within `CLOSE_TIMEOUT_S`.
"""
# Sending fewer ticks when idle halves the cost of an idle host.
IDLE_TICK_FACTOR = 4
LOG_READ_TIMEOUT_MS = 5_000


def run(path: str) -> int:
    """Run the daemon until it is asked to stop.

    Args:
        path: Path of the settings file.

    Returns:
        The exit code: 0 after a graceful shutdown, 1 after an error, 2 for
        invalid settings.
    """
    loaded = Settings.from_file(path)
    if isinstance(loaded, Failure):
        faults = str(loaded.failure())
        sys.stderr.write(f"{faults}\n")
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    logs.configure(settings.log_level)
    daemon = Daemon(settings)
    with _log_start_errors():
        anyio.run(daemon.run)
        signals.ignore_all()
        return EXIT_OK
    return EXIT_ERROR


@contextmanager
def _log_start_errors() -> Iterator[None]:
    """Log expected startup errors in one line each instead of a traceback."""
    try:
        yield
    except* (ListenFailed, PeerListenFailed) as group:
        for exc in group.exceptions:
            _LOGGER.error("cannot_start", reason=str(exc))


@dataclass(slots=True)
class _Ports:
    """Connects the runtime to the other parts of the daemon."""

    appender: Appender
    peers: PeerCoordinator
    metrics: Metrics
    ended: anyio.Event

    def append(self, effect: Append) -> None:
        """Append a batch to the log."""
        self.appender.append(effect.batch)

    def send_peer(self, effect: SendPeer) -> None:
        """Send a report to a peer."""
        self.peers.send(effect.entry_host, effect.report)

    def measure(self, effect: RecordMetric) -> None:
        """Record a metric."""
        self.metrics.record(effect)

    def left(self) -> None:
        """End the daemon."""
        self.ended.set()


class Daemon:
    """One entry host."""

    def __init__(self, settings: Settings) -> None:
        """Initialize; nothing is opened before `run`."""
        self._settings = settings
        self._ended = anyio.Event()
        self._metrics = Metrics()
        self._tasks: TaskGroup | None = None
        self._runtime: Runtime | None = None
        self._host: DaemonHost | None = None

    async def run(self) -> None:
        """Run until the host has left, after SIGTERM or SIGINT or when superseded."""
        settings = self._settings
        state = initial_state(settings, clock.wall_ms())
        read_client = LogClient(_address(settings.log_url), LOG_READ_TIMEOUT_MS)
        append_client = LogClient(_address(settings.log_url), LOG_READ_TIMEOUT_MS)
        peers = PeerCoordinator(
            settings, state.me.incarnation, self._on_report, self._on_peer_reachable
        )
        appender = Appender(append_client, self._dispatch)
        follower = LogFollower(read_client, self._dispatch, state.me.seed)
        lister = MembershipClient(_address(settings.membership_url))
        poller = MembersPoller(lister, self._dispatch)
        ports = _Ports(appender, peers, self._metrics, self._ended)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._runtime = Runtime(state, tasks, ports)
            self._host = DaemonHost(self._runtime)
            self._metrics.set_table_source(self._host)
            self._send_tick()
            await tasks.start(peers.run)
            server = HttpServer(
                HttpApi(self._host, settings, self._metrics),
                settings.listen,
                settings.limits,
                DRAIN_TIMEOUT_MS,
            )
            address = await tasks.start(server.run)
            _LOGGER.info("listening", address=str(address))
            for part in (appender, follower, poller):
                tasks.start_soon(part.run)
            tasks.start_soon(self._run_ticks)
            await tasks.start(self._watch_signals)
            await self._ended.wait()
            _LOGGER.info("left")
            server.stop()
            with anyio.move_on_after(CLOSE_TIMEOUT_S):
                await server.wait_closed()
            self._runtime.exchanges.close()
            self._runtime.agents.close()
            tasks.cancel_scope.cancel()

    def _dispatch(self, event: object) -> None:
        """Pass an event to the core."""
        self._runtime.dispatch(event)

    def _on_report(self, report: PeerReport) -> None:
        """Handle a report of a peer."""
        self._dispatch(PeerReported(clock.now_ms(), report))

    def _on_peer_reachable(self, entry_host: str, up: bool) -> None:
        """Handle that the stream to a peer was opened or lost."""
        self._host.set_peer_reachable(entry_host, up)
        self._dispatch(PeerReachable(clock.now_ms(), entry_host, up))

    def _send_tick(self) -> None:
        """Send one tick to the core."""
        self._dispatch(Tick(clock.now_ms(), clock.wall_ms()))

    async def _run_ticks(self) -> None:
        """Send ticks to the core for as long as the daemon runs."""
        period_s = self._settings.timings.tick_ms / 1000
        while True:
            ticks = 1 if self._is_busy() else IDLE_TICK_FACTOR
            await anyio.sleep(period_s * ticks)
            self._send_tick()

    def _is_busy(self) -> bool:
        """Return whether requests or records depend on frequent ticks."""
        state = self._runtime.state
        return not is_drained(state.requests) or not outbox.is_idle(state.outbox)

    async def _watch_signals(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Leave gracefully at the first signal, end without waiting at the second.

        SIGHUP is ignored, because settings are read only at startup. Without a
        handler, it would end the process.
        """
        with anyio.open_signal_receiver(*signals.HANDLED_SIGNALS) as received:
            task_status.started()
            leaving = False
            async for signum in received:
                if signum == signal.SIGHUP:
                    _LOGGER.info("signal_ignored", number=int(signum))
                    continue
                _LOGGER.info("signal", number=int(signum), leaving=leaving)
                if leaving:
                    self._ended.set()
                    break
                leaving = True
                self._dispatch(LeaveAsked(clock.now_ms()))
                self._tasks.start_soon(self._end_after_timeout)
            await signals.log_ignored_signals(received)

    async def _end_after_timeout(self) -> None:
        """End after a timeout even if the leave could not be written to the log."""
        await anyio.sleep(LEAVE_TIMEOUT_S)
        _LOGGER.warning("leave_timeout")
        self._ended.set()


def initial_state(settings: Settings, wall_ms: int) -> CoreState:
    """Return the core's initial state.

    Args:
        settings: Settings of this host.
        wall_ms: Wall time in milliseconds, used as the incarnation.
    """
    timings = settings.timings
    me = Identity(
        entry_host=settings.entry_host,
        incarnation=wall_ms,
        availability_zone=settings.availability_zone,
        peer_address=str(settings.peer_listen),
        seed=secrets.randbits(48),
    )
    operations = OperationsConfig(maintenance_period_ms=timings.maintenance_period_ms)
    return CoreState(
        me=me,
        presence=PresenceState(
            beat_ms=timings.beat_ms, lost_after_ms=timings.lost_after_ms
        ),
        snapshots=SnapshotsState(interval=timings.snapshot_every),
        operations=OperationsState(cfg=operations),
    )


def _address(url: str) -> str:
    """Return the `ip:port` of a validated URL."""
    return url.removeprefix("http://")
