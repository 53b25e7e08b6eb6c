"""`courselead serve`: wires the parts of an entry host and runs them."""

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
from courselead.core.effects import Append, Measure, SendPeer
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
from courselead.daemon.follower import Follower
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
EXIT_FAULT = 1
EXIT_SETTINGS = 2
LEAVE_TIMEOUT_S = 40.0
CLOSE_TIMEOUT_S = 5.0
DRAIN_MS = 3_000
"""Time for exchanges under way once the host has left, or is told again to end: what is
cut off then still gets its answer within `CLOSE_TIMEOUT_S`."""
# At rest the time is told less often: half the cost of a host that does nothing.
IDLE_TICKS = 4
READ_TIMEOUT_MS = 5_000


def run(path: str) -> int:
    """Run the daemon until it is told to end.

    Args:
        path: Of the settings file.

    Returns:
        The exit code: 0 after a leave in order, 1 after a fault, 2 for
        settings that cannot be used.
    """
    loaded = Settings.from_file(path)
    if isinstance(loaded, Failure):
        faults = str(loaded.failure())
        sys.stderr.write(f"{faults}\n")
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    logs.configure(settings.log_level)
    daemon = Daemon(settings)
    with _unwrapped():
        anyio.run(daemon.run)
        signals.ignore_all()
        return EXIT_OK
    return EXIT_FAULT


@contextmanager
def _unwrapped() -> Iterator[None]:
    """Report the errors of starting in one line each, instead of a trace."""
    try:
        yield
    except* (ListenFailed, PeerListenFailed) as group:
        for exc in group.exceptions:
            _LOGGER.error("cannot_start", reason=str(exc))


@dataclass(slots=True)
class _Ports:
    """What the runtime needs of the rest of the daemon."""

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

    def measure(self, effect: Measure) -> None:
        """Take a measure."""
        self.metrics.perform(effect)

    def left(self) -> None:
        """End the daemon."""
        self.ended.set()


class Daemon:
    """One entry host."""

    def __init__(self, settings: Settings) -> None:
        """Keep the settings; nothing is opened yet."""
        self._settings = settings
        self._ended = anyio.Event()
        self._metrics = Metrics()
        self._tasks: TaskGroup | None = None
        self._runtime: Runtime | None = None
        self._view: DaemonHost | None = None

    async def run(self) -> None:
        """Run until left, by SIGTERM or SIGINT, or because superseded."""
        settings = self._settings
        state = initial_state(settings, clock.wall_ms())
        read_client = LogClient(_address(settings.log_url), READ_TIMEOUT_MS)
        append_client = LogClient(_address(settings.log_url), READ_TIMEOUT_MS)
        peers = PeerCoordinator(
            settings, state.me.incarnation, self._on_report, self._on_reachable
        )
        appender = Appender(append_client, self._dispatch)
        follower = Follower(read_client, self._dispatch, state.me.seed)
        lister = MembershipClient(_address(settings.membership_url))
        poller = MembersPoller(lister, self._dispatch)
        ports = _Ports(appender, peers, self._metrics, self._ended)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._runtime = Runtime(state, tasks, ports)
            self._view = DaemonHost(self._runtime)
            self._metrics.follow(self._view)
            self._tick_once()
            await tasks.start(peers.run)
            server = HttpServer(
                HttpApi(self._view, settings, self._metrics),
                settings.listen,
                settings.limits,
                DRAIN_MS,
            )
            address = await tasks.start(server.run)
            _LOGGER.info("listening", address=str(address))
            for part in (appender, follower, poller):
                tasks.start_soon(part.run)
            tasks.start_soon(self._tick)
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
        """Give an event to the core."""
        self._runtime.dispatch(event)

    def _on_report(self, report: PeerReport) -> None:
        """Take in a report of a peer."""
        self._dispatch(PeerReported(clock.now_ms(), report))

    def _on_reachable(self, entry_host: str, up: bool) -> None:
        """Take in that the stream to a peer opened or broke."""
        self._view.peer_reachable(entry_host, up)
        self._dispatch(PeerReachable(clock.now_ms(), entry_host, up))

    def _tick_once(self) -> None:
        """Tell the core the time."""
        self._dispatch(Tick(clock.now_ms(), clock.wall_ms()))

    async def _tick(self) -> None:
        """Tell the core the time for as long as the daemon runs."""
        period_s = self._settings.timings.tick_ms / 1000
        while True:
            ticks = 1 if self._is_busy() else IDLE_TICKS
            await anyio.sleep(period_s * ticks)
            self._tick_once()

    def _is_busy(self) -> bool:
        """Return whether requests or records wait for the time to pass."""
        state = self._runtime.state
        return not is_drained(state.requests) or not outbox.idle(state.outbox)

    async def _watch_signals(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Leave in order at the first signal, at once at the second.

        Settings are read at the start only: SIGHUP changes nothing, and without a
        handler it would end the process.
        """
        with anyio.open_signal_receiver(*signals.SIGNALS) as received:
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
                self._tasks.start_soon(self._end_late)
            await signals.ignore(received)

    async def _end_late(self) -> None:
        """End after a bound even if the log cannot take the leave."""
        await anyio.sleep(LEAVE_TIMEOUT_S)
        _LOGGER.warning("leave_timeout")
        self._ended.set()


def initial_state(settings: Settings, wall_ms: int) -> CoreState:
    """Return the core's state at the start of a process.

    Args:
        settings: Of this host.
        wall_ms: Wall time, which becomes the incarnation.
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
        snapshots=SnapshotsState(every=timings.snapshot_every),
        operations=OperationsState(cfg=operations),
    )


def _address(url: str) -> str:
    """Return the `ip:port` of a checked URL."""
    return url.removeprefix("http://")
