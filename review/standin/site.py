"""A small deployment: store, cloud, minions, and the entry hosts as real processes.

If the variable KEEP_LOGS names a folder, the hosts' logs are copied there at the end.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from standin.http import STATUS_OK, HttpServer, Request, Response, call, json_response
from standin.ledger import Ledger
from standin.minion import Minion
from standin.store import Store

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

HOST_NAME = "pule25.example"
PREFIX = "/puxa400/"
SERVICE = "huvo11a"
QUEUE = "r-8pjbvk9"
ZONES = ("via-maqueda", "borgo-vecchio", "mondello")
HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
"""Heartbeats of silence after which the store removes a minion's entry."""

BEAT_CHECK_S = 0.1
RESTART_S = 1.0
READY_S = 30.0

RETRIES = 4
"""A client's retries, as the sheets give them."""

SETTINGS = """node = "{name}"
role = "entry-host"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "palermo"
portRange = [{peer}, {peer}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "call"
advice = ""
[zones]
via-maqueda = "palermo"
borgo-vecchio = "palermo"
mondello = "palermo"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
holdMaxMs = 10000
stopMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
noticeMs = 4500
moveS = 1.5
upkeepS = 2
requireFencing = true
leaseMs = 3000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
recordBytes = 262144
callBytes = 2097152
keep_s = 20
partMb = 200
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
dutyPerS = 64.0
"""


class CannotRun(Exception):
    """The case cannot be played here; the message says why."""


@dataclass(slots=True)
class Host:
    """One entry host.

    Attributes:
        output: Path of the file with its log lines.
    """

    name: str
    zone: str
    ip: str
    front: str
    ready: str
    settings: Path
    output: Path
    process: subprocess.Popen | None = None

    def log_lines(self, event: str) -> list[dict]:
        """Return the log lines of an event."""
        found = []
        for line in self.output.read_text().splitlines():
            if f'"{event}"' in line and line.endswith("}"):
                found.append(json.loads(line))
        return found


class Site:
    """Runs the deployment; all processes end with `close`."""

    def __init__(self, minions: int, cpu: int) -> None:
        """Create the stand-ins; nothing is started yet."""
        self.ledger = Ledger()
        self.store = Store()
        self.hosts: list[Host] = []
        self._cloud = HttpServer(self._handle_cloud)
        self.minions = [
            Minion(
                f"i-{number:010x}",
                f"m-{number:05x}",
                SERVICE,
                ZONES[number % len(ZONES)],
                f"r{1 + number % len(ZONES)}-1",
                cpu,
                self.ledger,
            )
            for number in range(minions)
        ]
        self.own_ends: dict[str, int] = {}
        self._waiting: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        self._folder = tempfile.TemporaryDirectory()

    async def start(self, hosts: int = 3) -> None:
        """Start everything and wait until the entry hosts are ready."""
        await self.store.server.start("127.0.0.1")
        await self._cloud.start("127.0.0.1")
        for minion in self.minions:
            await minion.server.start("127.0.0.1")
            self._tasks.append(asyncio.create_task(minion.work()))
        self._tasks.append(asyncio.create_task(self._register()))
        self._write_config()
        # The metrics port is the same on all hosts, so each has an address of its own.
        network = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}"
        for number in range(hosts):
            self.hosts.append(self._create_host(number, f"{network}.{10 + number}"))
        for host in self.hosts:
            self.start_host(host)
        async with asyncio.timeout(READY_S):
            while not await self._is_ready():
                await asyncio.sleep(0.1)
        self.ledger.say("all entry hosts are ready")

    async def run(self, play: Callable[[], Awaitable[None]], hosts: int = 3) -> str:
        """Start everything, play and end; return why it could not run, or ""."""
        try:
            await self.start(hosts)
            await play()
        except TimeoutError:
            return "the entry hosts were not ready in time"
        except CannotRun as exc:
            return str(exc)
        finally:
            self.close()
        return ""

    def close(self) -> None:
        """End all processes and servers."""
        for host in self.hosts:
            if host.process is not None:
                host.process.kill()
                host.process.wait()
        for task in self._tasks:
            task.cancel()
        for server in [self.store.server, self._cloud]:
            server.close()
        for minion in self.minions:
            minion.server.close()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for host in self.hosts:
                shutil.copy(host.output, logs)
        self._folder.cleanup()

    def start_host(self, host: Host) -> None:
        """Start the program of an entry host as the deploy file runs it."""
        kept = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "")}
        env = {
            **kept,
            "COURSELEAD_NODE_FILE": str(host.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        command = [sys.executable, "-m", "courselead", "serve", "--platform"]
        with host.output.open("ab") as output:
            host.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    async def supervise(self) -> None:
        """Start processes that end by themselves again, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for host in self.hosts:
                code = host.process.poll()
                if code is None or host.name in self._waiting:
                    continue
                self.own_ends[host.name] = self.own_ends.get(host.name, 0) + 1
                self.ledger.say(f"{host.name} ended by itself with exit {code}")
                self._waiting.add(host.name)
                self._tasks.append(asyncio.create_task(self._start_later(host)))

    async def _start_later(self, host: Host) -> None:
        await asyncio.sleep(RESTART_S)
        self.start_host(host)
        self._waiting.discard(host.name)

    async def restart(self, host: Host) -> None:
        """Stop a host as the platform does: SIGTERM, then a new process."""
        self.ledger.say(f"SIGTERM {host.name}")
        os.kill(host.process.pid, signal.SIGTERM)
        while host.process.poll() is None:
            await asyncio.sleep(0.05)
        self.ledger.say(f"{host.name} ended with {host.process.returncode}")
        self.start_host(host)

    async def submit(self, job_id: str, job: object) -> bool:
        """Hand in a job as a client does, with retries at other hosts."""
        for attempt in range(1 + RETRIES):
            host = self.hosts[(int(job_id, 16) + attempt) % len(self.hosts)]
            status, _ = await self.client_call(host, "POST", job_id, job)
            if status == STATUS_OK:
                return True
            await asyncio.sleep(0.2)
        return False

    def owner(self) -> Host | None:
        """Return the host that has taken over the schedule last."""
        owners = [
            (line["fence"], host)
            for host in self.hosts
            for line in host.log_lines("schedule_owned")
        ]
        return max(owners, key=lambda item: item[0])[1] if owners else None

    async def client_call(
        self, host: Host, method: str, job_id: str, document: object = None
    ) -> tuple[int, dict]:
        """Send a client's request and record it with its answer."""
        path = PREFIX + job_id
        sent_s = self.ledger.now_s
        status, answer = await call(host.front, method, path, document, HOST_NAME)
        self.ledger.say(
            f"{method} {job_id} at {host.name}, sent {sent_s:.3f}: {status} {answer}"
        )
        return status, answer

    async def _is_ready(self) -> bool:
        for host in self.hosts:
            status, _ = await call(host.ready, "GET", "/-/ready")
            if status != STATUS_OK:
                return False
        return self.owner() is not None

    def _create_host(self, number: int, ip: str) -> Host:
        folder = Path(self._folder.name)
        name = f"front-{ZONES[number]}-1"
        front, ready, peer = _free_ports(ip, 3)
        settings = folder / f"{name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=ZONES[number],
                front=front,
                ready=ready,
                peer=peer,
                store=self.store.server.address,
                cloud=self._cloud.address,
            )
        )
        output = folder / f"{name}.log"
        return Host(
            name,
            ZONES[number],
            ip,
            f"{ip}:{front}",
            f"{ip}:{ready}",
            settings,
            output,
        )

    def _write_config(self) -> None:
        route = {
            "name": QUEUE,
            "host": HOST_NAME,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "sloMs": 600,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 2.2,
        }
        service = {"name": SERVICE, "admissionControl": True}
        config = {
            "version": 3,
            "routes": [route],
            "services": [service],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())

    async def _register(self) -> None:
        while True:
            for minion in self.minions:
                self._register_minion(minion)
            await asyncio.sleep(BEAT_CHECK_S)

    def _register_minion(self, minion: Minion) -> None:
        """Write a minion's entry, or remove it after three heartbeats of silence."""
        silent_s = time.monotonic() - minion.beat_s
        if not minion.cut_off and silent_s >= HEARTBEAT_S:
            entry = json.dumps(minion.entry()).encode()
            self.store.put("keyed.servers", minion.minion_id, entry)
            minion.beat_s = time.monotonic()
            minion.listed = True
        elif minion.listed and silent_s >= SILENT_HEARTBEATS * HEARTBEAT_S:
            self.store.put("keyed.servers", minion.minion_id, b"")
            minion.listed = False
            self.ledger.say(f"the entry of {minion.minion_id} is removed")

    async def _handle_cloud(self, request: Request) -> Response:
        if request.path != "/-/machines":
            return json_response(400, {})
        rows = [
            {
                "machine": minion.machine,
                "pool": SERVICE,
                "state": "up",
                "zone": minion.zone,
                "labels": minion.labels,
                "capacity": minion.capacity,
                "id": minion.minion_id,
            }
            for minion in self.minions
        ]
        return json_response(200, {"machines": rows, "nextToken": None})


def _free_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
