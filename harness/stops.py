"""`script/soak --stops`: entry hosts are stopped by signals under load.

Each seed is one run on a site of its own. Callers use new and kept-alive connections,
with pauses between requests and with delayed bodies, until their host stops listening,
and go on once it is back. Hosts get overlapping series of signals and short stalls, as
on a busy machine. Every request must get an answer. A kept-alive connection that
ends before the first byte of an answer is counted, but is not a failure: no server can
avoid it (RFC 9112, 9.3.1).
"""

from __future__ import annotations

import contextlib
import math
import re
import signal
import time
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random

import anyio
from anyio.abc import SocketStream

from demo.job_site import PREFIX, HostPorts, JobSite, running_site
from harness.real import COURSELEAD

HOSTS = 3
MACHINES = 3
CALLERS_PER_KIND = 4
LOAD_S = 12.0
"""Time within which stops begin."""

FIRST_S = 0.5
"""Time before the first signal, by which all callers have begun."""

STOP_COUNT = 6
REPEAT_SHARE = 0.3
"""Share of stops after which the host is stopped again as soon as it listens."""

STALL_S = 0.2
STALL_PAUSE_S = 0.4
"""Longest stall of the process of a host, and longest pause between two stalls."""

STALL_PERIOD_S = 4.0
"""Time from the first signal for which a stopping host is still stalled."""

END_LIMIT_S = 6.0
"""Longest time from the first signal to the exit; the platform kills a host then."""

CALL_TIMEOUT_S = 8.0
"""Longest wait for an answer: longer than a host takes to exit."""

PAUSE_S = 1.0
"""Longest pause between two requests on a kept-alive connection."""

BODY_PAUSE_S = 0.4
RETRY_S = 0.05
"""Longest delay of a body, and the pause before a retry of a host that does not
listen."""

BODY_SIZES = (10, 60_000)

SERIES = (
    (signal.SIGTERM,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGINT),
)
"""Signals of one stop, in order."""

GAPS_S = (0.0, 0.3, 2.0)
"""Pauses between the signals of a stop: none, while callers are drained, and as the
servers close."""

_LENGTH = re.compile(rb"\r\ncontent-length: (\d+)")


class Kind(StrEnum):
    """How a caller uses its connections."""

    NEW = "new"
    KEPT = "kept"
    PAUSED = "paused"
    LATE_BODY = "late_body"


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The signals that stop one host.

    Attributes:
        at_s: Time from the start of the load.
        host: Index of the host.
        series: Signals in order.
        gap_s: Pause between two signals.
        repeat: Whether the host is stopped once more as soon as it listens again.
    """

    at_s: float
    host: int
    series: tuple[signal.Signals, ...]
    gap_s: float
    repeat: bool


@dataclass(slots=True)
class StopReport:
    """Result of the run of a seed."""

    seed: int
    stops: int = 0
    counts: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    took_s: float = 0.0

    def count(self, what: str) -> None:
        """Increment a counter."""
        self.counts[what] = self.counts.get(what, 0) + 1


class NoAnswer(Exception):
    """A request got no complete answer; the message says what was read."""


def draw_stops(rng: Random) -> tuple[PlannedStop, ...]:
    """Return the random stops of a run, ordered by time."""
    planned = []
    for _ in range(STOP_COUNT):
        at_s = round(rng.uniform(FIRST_S, LOAD_S), 2)
        series = rng.choice(SERIES)
        repeat = rng.random() < REPEAT_SHARE
        host = rng.randrange(HOSTS)
        planned.append(PlannedStop(at_s, host, series, rng.choice(GAPS_S), repeat))
    return tuple(sorted(planned, key=lambda stop: stop.at_s))


async def run_stops(seed: int, folder: Path) -> StopReport:
    """Run one seed."""
    rng = Random(seed)
    report = StopReport(seed)
    started_s = time.monotonic()
    async with running_site(COURSELEAD, folder, HOSTS, MACHINES, False) as site:
        injector = StopInjector(site, report)
        async with anyio.create_task_group() as tasks:
            for host in site.hosts:
                tasks.start_soon(injector.stall, host, Random(rng.random()))
                for kind in list(Kind) * CALLERS_PER_KIND:
                    caller = Caller(kind, host, Random(rng.random()), report)
                    tasks.start_soon(caller.run)
            await injector.stop_all(draw_stops(rng))
            tasks.cancel_scope.cancel()
    report.took_s = round(time.monotonic() - started_s, 1)
    return report


@dataclass(slots=True)
class StopInjector:
    """Stops and stalls the hosts of a site."""

    site: JobSite
    report: StopReport
    _restarting: set[str] = field(default_factory=set)

    async def stop_all(self, planned: tuple[PlannedStop, ...]) -> None:
        """Carry out all stops, each at its time, and wait until they end."""
        async with anyio.create_task_group() as tasks:
            for stop in planned:
                tasks.start_soon(self._stop, stop)

    async def stall(self, host: HostPorts, rng: Random) -> None:
        """Stall the process of a host for short times, like a busy machine."""
        while True:
            await anyio.sleep(rng.uniform(0, STALL_PAUSE_S))
            self._signal(host, signal.SIGSTOP)
            await anyio.sleep(rng.uniform(0, STALL_S))
            self._signal(host, signal.SIGCONT)

    async def _stop(self, stop: PlannedStop) -> None:
        await anyio.sleep(stop.at_s)
        host = self.site.hosts[stop.host]
        while host.name in self._restarting:
            await anyio.sleep(RETRY_S)
        self._restarting.add(host.name)
        for _ in range(2 if stop.repeat else 1):
            await self._end(host, stop)
            await self.site.start(host)
            await self._wait_until_listening(host)
        self._restarting.discard(host.name)

    async def _end(self, host: HostPorts, stop: PlannedStop) -> None:
        started_s = math.inf
        for number, signum in enumerate(stop.series):
            if number > 0:
                await anyio.sleep(stop.gap_s)
            self._signal(host, signum)
            if signum != signal.SIGHUP:
                started_s = min(started_s, time.monotonic())
        await anyio.sleep(max(0.0, started_s + STALL_PERIOD_S - time.monotonic()))
        # A process that is waited for is no longer stalled: let it continue.
        self._signal(host, signal.SIGCONT)
        code = await self.site.processes.end(host.name)
        took_s = round(time.monotonic() - started_s, 1)
        self.report.stops += 1
        names = [signum.name for signum in stop.series]
        description = f"{host.name} after {names} with {stop.gap_s} s between"
        if code != 0:
            self.report.broken.append(f"{description} ended with {code}")
        if took_s > END_LIMIT_S:
            self.report.broken.append(f"{description} took {took_s} s to end")

    def _signal(self, host: HostPorts, signum: signal.Signals) -> None:
        """Send a signal to a host unless its process has ended or is waited for."""
        with contextlib.suppress(KeyError, ProcessLookupError):
            self.site.processes.signal(host.name, signum)

    async def _wait_until_listening(self, host: HostPorts) -> None:
        """Wait until a started host accepts connections."""
        while True:
            try:
                async with await anyio.connect_tcp(host.ip, host.front):
                    return
            except OSError:
                await anyio.sleep(RETRY_S)


@dataclass(slots=True)
class Caller:
    """Calls one host repeatedly, also while it does not listen."""

    kind: Kind
    host: HostPorts
    rng: Random
    report: StopReport

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            try:
                conn = await anyio.connect_tcp(self.host.ip, self.host.front)
            except OSError as exc:
                if isinstance(exc.__cause__, ConnectionRefusedError):
                    await anyio.sleep(RETRY_S)
                    continue
                self._broken(f"connect: {exc.__cause__!r}")
                continue
            async with conn:
                await self._use(conn)

    async def _use(self, conn: SocketStream) -> None:
        """Send requests on a connection until it closes."""
        answered = 0
        while True:
            try:
                with anyio.fail_after(CALL_TIMEOUT_S):
                    last = await self._call(conn)
            except anyio.EndOfStream:
                if answered:
                    self.report.count("end of a kept connection")
                    return
                self._broken("end of a new connection")
                return
            except (NoAnswer, anyio.BrokenResourceError, TimeoutError) as exc:
                cause = exc.__cause__ or exc
                self._broken(f"request {answered + 1} on a connection: {cause!r}")
                return
            answered += 1
            self.report.count(f"{self.kind} answered")
            if last or self.kind is Kind.NEW:
                return
            if self.kind is Kind.PAUSED:
                await anyio.sleep(self.rng.uniform(0, PAUSE_S))

    async def _call(self, conn: SocketStream) -> bool:
        """Send a request and read its answer; return whether the connection closes.

        Raises:
            anyio.EndOfStream: The connection ended before the first byte of the answer.
            NoAnswer: The connection ended within the answer.
            anyio.BrokenResourceError: The connection was reset.
        """
        body = b"x" * self.rng.choice(BODY_SIZES)
        lines = [
            f"POST {PREFIX}{self.rng.getrandbits(64):016x} HTTP/1.1",
            f"Host: {self.host.ip}",
            f"Content-Length: {len(body)}",
        ]
        await conn.send("\r\n".join([*lines, "", ""]).encode())
        if self.kind is Kind.LATE_BODY:
            await anyio.sleep(self.rng.uniform(0, BODY_PAUSE_S))
        await conn.send(body)
        head = await self._read(conn, b"")
        while b"\r\n\r\n" not in head:
            head = await self._read(conn, head)
        head, _, rest = head.lower().partition(b"\r\n\r\n")
        length_match = _LENGTH.search(head)
        if length_match is None:
            raise NoAnswer(f"an answer without a length: {head[:40]!r}")
        length = int(length_match[1])
        while len(rest) < length:
            rest = await self._read(conn, rest)
        return b"connection: close" in head

    async def _read(self, conn: SocketStream, so_far: bytes) -> bytes:
        """Return the bytes read so far with the next ones appended."""
        try:
            return so_far + await conn.receive()
        except anyio.EndOfStream:
            if not so_far:
                raise
            raise NoAnswer("the answer has broken off") from None

    def _broken(self, what: str) -> None:
        at = time.strftime("%H:%M:%S")
        self.report.broken.append(f"{at} {self.kind} at {self.host.name}: {what}")
