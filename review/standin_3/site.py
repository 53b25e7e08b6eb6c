"""A small deployment: store, cloud, advice, minions, entry hosts and clients."""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from review.standin_3.http11 import Answer, Request, Server, call
from review.standin_3.minion import Gangs, Minion
from review.standin_3.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
PREFIX = "/q/"
BEAT_S = 1.5
RESTART_S = 0.5
ENTRY_HOSTS = 3
MEMORY_MB = 300

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
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform",
    "advice", "upkeep", "sharing"]
orders = "call"
advice = "{advice}"
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
configApplyMs = 2000
holdMaxMs = 10000
stopMs = 400
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
moveS = 1.5
upkeepS = 2
requireFencing = true
leaseMs = 3000
[platform]
address = "{store}"
form = "log"
recordBytes = 262144
callBytes = 2097152
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
dutyPerS = 64.0
"""


class Host:
    """One entry host: its settings, its process and what the platform sees of it."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path) -> None:
        self.name, self.ip, self.zone, self.folder = name, ip, zone, folder
        self.front, self.ready, self.peer = _ports(ip, 3)
        self.process: subprocess.Popen | None = None
        self.ready_misses = 2
        self.over_memory = 0
        self.ended_by_itself = 0
        self.peak_mb = 0

    @property
    def address(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.front}"

    def rss_mb(self) -> int:
        """Return the memory of the process."""
        if self.process is None:
            return 0
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) // 1024
        return 0


class Site:
    """The deployment of one script."""

    def __init__(
        self,
        record_file: Path,
        services: dict[str, int],
        zones: tuple[str, ...] = ("via-maqueda", "zisa"),
        cpu: int = 32_000,
        mem: int = 131_072,
        restart_s: float = RESTART_S,
    ) -> None:
        self.begun = time.monotonic()
        self.restart_s = restart_s
        self._file = record_file.open("w")
        self.events: list[dict] = []
        self.zones = zones
        self.store = Store()
        self.gangs = Gangs()
        self.minions: dict[str, Minion] = {}
        self.advice_policy = None
        self.guards = True
        self.routes: list[dict] = []
        self.services = services
        self.version = 0
        number = 0
        for service, count in services.items():
            for index in range(count):
                zone = zones[index % len(zones)]
                rack = f"r{number % 4}"
                name = f"m{number:03}"
                number += 1
                self.minions[name] = Minion(
                    name, service, zone, rack, cpu, mem, self.record, self.gangs
                )
        self.store_server = Server(self.store.handle)
        self.cloud_server = Server(self.handle_cloud)
        self.advice_server = Server(self.handle_advice)
        self._tasks: list[asyncio.Task] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.hosts: list[Host] = []
        third = random.randrange(20, 250)
        for index in range(ENTRY_HOSTS):
            ip = f"127.0.{third}.{10 + index}"
            zone = zones[index % len(zones)]
            self.hosts.append(Host(f"front-{index}", ip, zone, self.folder))
        self.stopping = False

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.begun

    def record(self, what: str, **fields: object) -> None:
        """Record what was sent, answered or run."""
        event = {"t": round(self.now(), 3), "what": what, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")

    async def start(self) -> None:
        """Start everything and wait until the hosts are ready."""
        for server in (self.store_server, self.cloud_server, self.advice_server):
            await server.start()
        for minion in self.minions.values():
            await minion.server.start()
            self._tasks.append(asyncio.create_task(minion.work()))
        self._tasks.append(asyncio.create_task(self._beat()))
        for service in self.services:
            self.routes.append(self.route(service))
        self.write_config()
        for host in self.hosts:
            self.start_host(host)
        self._tasks.append(asyncio.create_task(self._watch()))
        self._tasks.append(asyncio.create_task(self._check_ready()))
        deadline = time.monotonic() + 20
        while any(host.ready_misses for host in self.hosts):
            if time.monotonic() > deadline:
                raise RuntimeError("the entry hosts are not ready")
            await asyncio.sleep(0.1)

    def route(self, service: str, **more: object) -> dict:
        """Return a route of the configuration; its host is the service's name."""
        route = {
            "name": f"q-{service}",
            "host": f"{service}.example",
            "pathPrefix": PREFIX,
            "service": service,
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 1.6,
            "sloMs": 1000,
        }
        return {**route, **more}

    def write_config(self) -> None:
        """Write the next configuration as the operator."""
        self.version += random.randrange(1, 4)
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [
                {"name": name, "admissionControl": self.guards}
                for name in self.services
            ],
            "limits": {"maxBodyBytes": 262_144},
        }
        self.store.topic("keyed.op").put(b"config", json.dumps(config).encode())
        self.record("config", version=self.version)

    def start_host(self, host: Host) -> None:
        """Start the process of an entry host with the command of the deploy file."""
        path = self.folder / f"{host.name}.toml"
        zones = "\n".join(f'{zone} = "palermo"' for zone in self.zones)
        path.write_text(
            SETTINGS.format(
                name=host.name,
                ip=host.ip,
                zone=host.zone,
                zones=zones,
                peer=host.peer,
                front=host.front,
                ready=host.ready,
                memory=MEMORY_MB,
                store=self.store_server.address,
                cloud=self.cloud_server.address,
                advice=self.advice_server.address,
            )
        )
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "COURSELEAD_NODE_FILE": str(path),
        }
        log = (self.folder / f"{host.name}.log").open("ab")
        host.process = subprocess.Popen(
            [sys.executable, "-m", "courselead", "serve", "--platform"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        host.ready_misses = 2
        self.record("host_started", host=host.name)

    def kill_host(self, host: Host, signum: int = signal.SIGKILL) -> None:
        """Send a signal to the process of a host."""
        if host.process is not None and host.process.poll() is None:
            host.process.send_signal(signum)
            self.record("host_signal", host=host.name, signal=int(signum))

    async def _watch(self) -> None:
        """Restart hosts that end; end those over their memory, as the platform does."""
        while not self.stopping:
            await asyncio.sleep(0.1)
            for host in self.hosts:
                if host.process is None:
                    continue
                rss = host.rss_mb()
                host.peak_mb = max(host.peak_mb, rss)
                if host.process.poll() is None and rss > MEMORY_MB:
                    host.over_memory += 1
                    self.record("over_memory", host=host.name, rss_mb=rss)
                    host.process.kill()
                    host.process.wait()
                if host.process.poll() is not None:
                    code = host.process.returncode
                    self.record("host_ended", host=host.name, code=code)
                    await asyncio.sleep(self.restart_s)
                    if not self.stopping:
                        self.start_host(host)

    async def _check_ready(self) -> None:
        """Ask each host once a second whether it is ready."""
        while True:
            for host in self.hosts:
                status, _ = await call(
                    f"{host.ip}:{host.ready}", "GET", "/-/ready", timeout_s=0.8
                )
                before = host.ready_misses
                host.ready_misses = 0 if status == 200 else before + 1
                if (before < 2) != (host.ready_misses < 2):
                    self.record("ready", host=host.name, ok=host.ready_misses < 2)
            await asyncio.sleep(0.5)

    async def _beat(self) -> None:
        """Write the entries of the minions."""
        while True:
            for minion in self.minions.values():
                self.write_entry(minion)
            await asyncio.sleep(BEAT_S)

    def write_entry(self, minion: Minion) -> None:
        """Write the entry of one minion."""
        key = minion.minion_id.encode()
        self.store.topic("keyed.servers").put(key, json.dumps(minion.entry()).encode())

    async def handle_cloud(self, request: Request) -> Answer:
        """Answer a call to the cloud: the list of machines; no moves are accepted."""
        if request.path == "/-/machines":
            rows = [
                {
                    "machine": minion.machine,
                    "pool": minion.service,
                    "state": "up",
                    "zone": minion.zone,
                    "labels": [minion.kind, minion.rack],
                    "capacity": {"cpu": minion.cpu, "memMb": minion.mem},
                    "id": minion.minion_id,
                }
                for minion in self.minions.values()
            ]
            document = {"machines": rows, "nextToken": None}
            return Answer(200, json.dumps(document).encode())
        return Answer(409, b'{"reason":"busy"}')

    async def handle_advice(self, request: Request) -> Answer:
        """Answer a call for advice."""
        if self.advice_policy is None:
            return Answer(404)
        return await self.advice_policy(request)

    # Clients

    def pick_host(self) -> Host:
        """Return a host as the platform's balancer does."""
        good = [host for host in self.hosts if host.ready_misses < 2]
        return random.choice(good or self.hosts)

    async def request(
        self,
        service: str,
        method: str,
        job_id: str,
        body: object = None,
        host: Host | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Send one request of a client."""
        target = host or self.pick_host()
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"Host": f"{service}.example", "X-Courselead-Deadline-Ms": "3000"}
        self.record("send", method=method, job=job_id, host=target.name)
        status, text = await call(
            target.address, method, PREFIX + job_id, data, headers, timeout_s
        )
        document = json.loads(text) if text[:1] == b"{" else {}
        self.record("answer", method=method, job=job_id, status=status, body=document)
        return status, document

    async def submit(
        self, service: str, steps: list[dict], works: list[dict], **job: object
    ) -> str | None:
        """Submit a job with retries, as clients do; None if it was not accepted."""
        job_id = secrets.token_hex(8)
        body = {"spec": json.dumps({"steps": works}), "steps": steps, **job}
        for _ in range(5):
            status, _ = await self.request(service, "POST", job_id, body)
            if 200 <= status < 300:
                return job_id
            await asyncio.sleep(0.5)
        return None

    async def state(self, service: str, job_id: str, tries: int = 4) -> str:
        """Ask for the state of a job; "" without an answer, else its status."""
        for _ in range(tries):
            status, document = await self.request(service, "GET", job_id)
            if status == 200:
                return document["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return ""

    async def stop(self) -> None:
        """End all processes and servers."""
        self.stopping = True
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        for task in self._tasks:
            task.cancel()
        self._file.close()

    def logs(self, event: str) -> list[dict]:
        """Return the log lines of all hosts with an event, for the report only."""
        found = []
        for host in self.hosts:
            path = self.folder / f"{host.name}.log"
            if not path.exists():
                continue
            for line in path.read_text().splitlines():
                if f'"{event}"' in line and line.endswith("}"):
                    found.append({"on": host.name, **json.loads(line)})
        return found


def _ports(ip: str, count: int) -> list[int]:
    import socket

    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports
