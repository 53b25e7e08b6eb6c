"""A small deployment on loopback: store, machines with minions, clients, entry hosts.

The stand-ins follow the users' protocol page. The entry hosts are the project's own
program, started with the command of its deploy file. Cases 4 to 8 use this module.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stopMs": 400,
    "gangWaitMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "checkpointS": 2,
    "restoreMs": 600,
    "noticeMs": 4500,
    "moveS": 1.5,
    "upkeepS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
"""Bounds of a small deployment of the pages, the one with three zones."""

HEARTBEAT_S = 1.5
STARTUP_S = 0.5
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
MAX_LISTED_ENDS = 500

Answer = tuple[int, bytes]
Handler = Callable[[str, str, dict[str, str], dict[str, str], bytes], Awaitable[Answer]]


def as_json(status: int, document: object) -> Answer:
    """Return an answer with a JSON body."""
    return status, json.dumps(document).encode()


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        """Start a new record."""
        self._file = (folder / "record.txt").open("w")
        self._begun = time.monotonic()

    @property
    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._begun

    def __call__(self, what: str, /, **fields: object) -> None:
        """Add a line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:8.3f} {what} {words}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class _Connection(asyncio.Protocol):
    """One connection to a server; requests are handled one after the other."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._buffer = b""
        self._queue: asyncio.Queue[tuple] = asyncio.Queue()
        self.transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._server.connections.add(self)
        self._task = asyncio.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._task.cancel()

    def data_received(self, data: bytes) -> None:
        if self._server.is_cut:
            return
        self._buffer += data
        while True:
            head, mark, rest = self._buffer.partition(b"\r\n\r\n")
            if not mark:
                return
            lines = head.decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self._buffer = rest[size:]
            method, target, _ = lines[0].split(" ")
            self._queue.put_nowait((method, target, headers, rest[:size]))

    async def _serve(self) -> None:
        while True:
            method, target, headers, body = await self._queue.get()
            url = urlsplit(target)
            query = dict(parse_qsl(url.query))
            status, content = await self._server.handler(
                method, url.path, query, headers, body
            )
            if self._server.is_cut:
                continue
            head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            head += f"Content-Length: {len(content)}\r\n\r\n"
            self.transport.write(head.encode() + content)


class Server:
    """An HTTP/1.1 server on one loopback address, whose link can be cut."""

    def __init__(self, address: str, handler: Handler) -> None:
        """Store the address, `ip:port`."""
        self.address = address
        self.handler = handler
        self.connections: set[_Connection] = set()
        self.is_cut = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        ip, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), ip, port)

    def cut(self) -> None:
        """Lose all that comes or goes from now on; nothing is reset."""
        self.is_cut = True

    def heal(self) -> None:
        """Serve new connections again; those that were open are reset."""
        self.is_cut = False
        for connection in list(self.connections):
            connection.transport.abort()

    def close(self) -> None:
        """Stop listening and drop all connections."""
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class Topic:
    """One keyed topic of the store, with a single partition."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.producers: dict[str, dict] = {}
        self.appended = asyncio.Event()

    def put(self, records: list[tuple[bytes, bytes]]) -> int:
        """Append records; return the offset of the first."""
        offset = len(self.records)
        for position, (key, value) in enumerate(records):
            if value:
                self.newest[key] = (offset + position, value)
            else:
                self.newest.pop(key, None)
        self.records.extend(records)
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return offset


class Store:
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._topics: dict[str, Topic] = {}
        self._lock = asyncio.Lock()
        self.refused = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, document: object) -> None:
        """Write a record as the operator or a minion; None removes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        self.topic(topic).put([(key.encode(), value)])

    async def handle(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> Answer:
        """Answer one call."""
        topic = self.topic(query.get("topic", ""))
        if path == "/-/log-append":
            async with self._lock:
                await asyncio.sleep(0.001)
                return self._append(query, topic, body)
        if path == "/-/log-read":
            return await self._read(topic, query)
        if path == "/-/log-newest":
            return self._newest(topic, query.get("after", "").encode())
        return as_json(404, {"error": "no such call"})

    def _append(self, query: dict, topic: Topic, body: bytes) -> Answer:
        records = []
        position = longest = 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            longest = max(longest, size)
            content = body[position + 4 : position + 4 + size]
            position += 4 + size
            key_end = 1 + content[0]
            records.append((content[1:key_end], content[key_end:]))
        if longest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused += 1
            if self.refused <= 20 or self.refused % 50 == 0:
                self._record(
                    "store refuses an append",
                    topic=query["topic"],
                    longest_record=longest,
                    call=len(body),
                    refused_so_far=self.refused,
                )
            return as_json(400, {"error": "record or call too large"})
        end = len(topic.records)
        if "expectedEnd" in query and int(query["expectedEnd"]) != end:
            return as_json(412, {"end": end})
        if "producer" not in query:
            offset = topic.put(records)
            return as_json(200, {"offset": offset, "end": len(topic.records)})
        state = topic.producers.setdefault(
            query["producer"], {"epoch": -1, "next": None, "answers": {}}
        )
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        if epoch < state["epoch"]:
            return as_json(409, {"reason": "fenced"})
        if epoch > state["epoch"]:
            state.update(epoch=epoch, next=None, answers={})
        if sequence in state["answers"]:
            return as_json(200, state["answers"][sequence])
        if state["next"] is not None and sequence != state["next"]:
            return as_json(409, {"reason": "seq", "seq": state["next"]})
        answer = {"offset": topic.put(records), "end": len(topic.records)}
        state["next"] = sequence + 1
        state["answers"][sequence] = answer
        state["answers"].pop(sequence - 5, None)
        return as_json(200, answer)

    async def _read(self, topic: Topic, query: dict) -> Answer:
        start = int(query["from"])
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000):
                while start >= len(topic.records):
                    await topic.appended.wait()
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size, most = 0, int(query.get("maxKb", "1024")) * 1024
        for key, value in topic.records[start:]:
            content = bytes((len(key),)) + key + value
            size += len(content) + 4
            if size > most and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)

    def _newest(self, topic: Topic, after: bytes) -> Answer:
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:500]:
            offset, value = topic.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        end = len(topic.records)
        return as_json(200, {"items": items, "morePages": len(keys) > 500, "end": end})


@dataclass(eq=False)
class Run:
    """One run of a task on a minion."""

    task: str
    number: int
    started: float
    after_s: float | None = None
    ends: asyncio.TimerHandle | None = None
    stopping: bool = False

    @property
    def percent(self) -> int:
        """Return how far it is; a task that lasts is at work after a short startup."""
        age_s = time.monotonic() - self.started
        if self.after_s is None:
            return min(100, int(100 * age_s / STARTUP_S))
        return min(99, int(100 * age_s / self.after_s))


Plan = Callable[["Minion", str, int], tuple[float | None, str]]
"""Returns after how many seconds a run ends by itself, and how; None for never."""


class Minion:
    """One life of a minion, which guards its room."""

    def __init__(self, site: Site, number: int, pool: str, zone: str) -> None:
        self.site = site
        self.pool = pool
        self.zone = zone
        self.machine = f"m-{number:03}"
        self.minion_id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.server = Server(f"{site.prefix}.{100 + number}:8630", self.handle)
        self.room = dict(site.room)
        self.used = dict.fromkeys(self.room, 0)
        self.runs: dict[str, Run] = {}
        self.finished: list[list] = []
        self.noted = 0
        self.sequence = 0
        self._fence = 0
        self._lease_ms = 0
        self._highest: dict[str, int] = {}
        self._ended = asyncio.Event()
        self._beats = 0

    @property
    def clock_ms(self) -> int:
        """Return the time on the minion's steady clock."""
        return int(time.monotonic() * 1000)

    async def live(self) -> None:
        """Register, and end everything when the lease is over."""
        next_beat = 0.0
        while True:
            if time.monotonic() >= next_beat:
                next_beat = time.monotonic() + HEARTBEAT_S
                self._beats += 1
                self.site.store.put("keyed.servers", self.minion_id, self.entry())
            if self.runs and self.clock_ms > self._lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            await asyncio.sleep(0.05)

    def entry(self) -> dict[str, object]:
        """Return what the minion says of itself."""
        return {
            "service": self.pool,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": 8,
            "state": "ready",
            "warmupRemainingMs": 0,
            "seq": self._beats,
            "capacity": self.room,
            "labels": [f"kind-{self.pool}", f"rack-{self.zone}"],
            "born": self.born,
        }

    async def handle(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> Answer:
        """Answer one call."""
        if headers.get("x-courselead-expect-instance", self.minion_id) != (
            self.minion_id
        ):
            return as_json(421, {"error": "another life"})
        call = json.loads(body or b"{}")
        fence = call.get("fence", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        if path == "/-/run-start":
            return self._start(call)
        if path == "/-/run-stop":
            return self._stop(call)
        if path == "/-/hold":
            return await self._hold(call)
        if path == "/-/pace":
            return self._answer(200)
        return as_json(404, {"error": "no such call"})

    def _answer(self, status: int, **fields: object) -> Answer:
        return as_json(status, {"clockMs": self.clock_ms, **fields})

    def _renew(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms + BOUNDS["holdMaxMs"]
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start(self, call: dict) -> Answer:
        task, number = call["task"], call["run"]
        if call["deadlineMs"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._renew(call["deadlineMs"])
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return self._answer(200)
        if running is not None or number <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        need = self.site.need_of(task)
        if any(self.used[name] + need[name] > self.room[name] for name in self.room):
            return self._answer(409, reason="room")
        run = self.runs[task] = Run(task, number, time.monotonic())
        for name, amount in need.items():
            self.used[name] += amount
        self.site.run_begins(self, run)
        after_s, how = self.site.plan(self, task, number)
        run.after_s = after_s
        if after_s is not None:
            loop = asyncio.get_running_loop()
            run.ends = loop.call_later(after_s, self._end, run, how)
        return self._answer(200)

    def _stop(self, call: dict) -> Answer:
        task, number = call["task"], call["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and not run.stopping:
            run.stopping = True
            if run.ends is not None:
                run.ends.cancel()
            loop = asyncio.get_running_loop()
            run.ends = loop.call_later(0.1, self._end, run, "stopped")
        return self._answer(200)

    async def _hold(self, call: dict) -> Answer:
        cursor = call.get("ackCursor", 0)
        while self.finished and self.finished[0][0] <= cursor:
            _, task, number, how, _ = self.finished.pop(0)
            self.noted += 1
            self.site.end_is_noted(self, task, number, how)
        self._renew(call.get("deadlineMs", 0))
        with suppress(TimeoutError):
            async with asyncio.timeout(min(2000, call.get("waitMs", 0)) / 1000):
                while not self.finished:
                    await self._ended.wait()
        running = []
        for run in self.runs.values():
            running.append([run.task, run.number, "", run.percent, 0])
        for _, task, number, _, _ in self.finished[:MAX_LISTED_ENDS]:
            self.site.listed_at.setdefault((task, number), self.site.record.now)
        return self._answer(
            200,
            born=self.born,
            running=running,
            finished=self.finished[:MAX_LISTED_ENDS],
        )

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        if run.ends is not None:
            run.ends.cancel()
        del self.runs[run.task]
        for name, amount in self.site.need_of(run.task).items():
            self.used[name] -= amount
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self.sequence += 1
        self.finished.append([self.sequence, run.task, run.number, how, ""])
        self.site.run_ends(self, run, how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()


@dataclass(eq=False)
class Host:
    """An entry host: the project's own program in a process of its own."""

    name: str
    ip: str
    zone: str
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:8624"


@dataclass(eq=False)
class Site:
    """A running deployment.

    Attributes:
        folder: Folder of the case.
        pools: Number of minions of each service.
        room: Capacity of each minion.
        plan: Decides how runs end.
    """

    folder: Path
    pools: dict[str, int]
    plan: Plan
    hosts_count: int = 3
    room: dict[str, int] = field(
        default_factory=lambda: {"cpu": 32_000, "memMb": 131_072, "gpu": 0}
    )
    shown_runs: Callable[[str], bool] = lambda task: True

    def __post_init__(self) -> None:
        """Choose loopback addresses that only this run uses."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.prefix = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.record = Record(self.folder)
        self.store = Store(self.record)
        self.work = Path(tempfile.mkdtemp(prefix="case-"))
        self.minions: list[Minion] = []
        self.hosts: list[Host] = []
        self.needs: dict[str, list[dict]] = {}
        self.broken: list[str] = []
        self.starts: dict[str, list[tuple[float, str, int]]] = {}
        self.ends: dict[str, list[tuple[float, str, int, str]]] = {}
        self.listed_at: dict[tuple[str, int], float] = {}
        self.noted_at: dict[tuple[str, int], float] = {}
        self._tasks: list[asyncio.Task] = []
        self._version = 0
        self._servers: list[Server] = []

    # What the minions see

    def need_of(self, task: str) -> dict[str, int]:
        """Return what a task asks for."""
        job_id, _, step, _ = task.split(".")
        asked = self.needs[job_id][int(step)]
        return {name: asked.get(name, 0) for name in self.room}

    def run_begins(self, minion: Minion, run: Run) -> None:
        """Record the start of a run."""
        if self.shown_runs(run.task):
            self.record(
                "run begins",
                task=run.task,
                run=run.number,
                minion=minion.minion_id,
                service=minion.pool,
            )
        self.starts.setdefault(run.task, []).append(
            (self.record.now, minion.minion_id, run.number)
        )

    def run_ends(self, minion: Minion, run: Run, how: str) -> None:
        """Record the end of a run."""
        if self.shown_runs(run.task):
            self.record(
                "run ends",
                task=run.task,
                run=run.number,
                minion=minion.minion_id,
                how=how,
            )
        self.ends.setdefault(run.task, []).append(
            (self.record.now, minion.minion_id, run.number, how)
        )

    def end_is_noted(self, minion: Minion, task: str, number: int, how: str) -> None:
        """Record that an end was taken note of."""
        self.noted_at[task, number] = self.record.now
        if self.shown_runs(task):
            self.record("end is noted", task=task, run=number, how=how)

    def running(self, task: str) -> list[str]:
        """Return the ids of the minions that run a task."""
        return [item.minion_id for item in self.minions if task in item.runs]

    # The platform

    async def start(self, routes: list[dict]) -> None:
        """Start everything and wait until all hosts are ready."""
        store = Server(f"{self.prefix}.7:8621", self.store.handle)
        cloud = Server(f"{self.prefix}.8:8621", self._handle_cloud)
        self._servers = [store, cloud]
        numbers = itertools.count()
        for pool, count in self.pools.items():
            for position in range(count):
                zone = ZONES[position % len(ZONES)]
                self.minions.append(Minion(self, next(numbers), pool, zone))
        for server in (*self._servers, *(item.server for item in self.minions)):
            await server.start()
        self.write_config(routes)
        for minion in self.minions:
            self._tasks.append(asyncio.create_task(minion.live()))
        for number in range(self.hosts_count):
            zone = ZONES[number % len(ZONES)]
            ip = f"{self.prefix}.{10 + number}"
            self.hosts.append(Host(f"front-{zone}-{number}", ip, zone))
        for host in self.hosts:
            await self.start_host(host)
        await self.wait_for(self._all_ready, 30, "all hosts are ready")
        await self.wait_for(self._owner_known, 15, "a host owns the schedule")

    def write_config(self, routes: list[dict]) -> None:
        """Write a configuration as the operator; the store acknowledges it at once."""
        self._version += 3
        services = []
        for pool in self.pools:
            services.append(
                {"name": pool, "admissionControl": True, "healthPath": "/health"}
            )
        self.store.put(
            "keyed.op",
            "config",
            {
                "version": self._version,
                "routes": routes,
                "services": services,
                "limits": {"maxBodyBytes": 262_144},
            },
        )
        names = ",".join(f"{item['name']}->{item['service']}" for item in routes)
        self.record("config acknowledged", version=self._version, routes=names)

    async def _handle_cloud(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> Answer:
        if path != "/-/machines":
            # Each pool has machines of its own kind, and no wave is due.
            self.record("cloud order", path=path, body=body.decode())
            return as_json(400, {"error": "the pool is one of other machines"})
        rows = []
        for minion in self.minions:
            rows.append(
                {
                    "machine": minion.machine,
                    "pool": minion.pool,
                    "state": "up",
                    "zone": minion.zone,
                    "labels": [f"kind-{minion.pool}", f"rack-{minion.zone}"],
                    "capacity": minion.room,
                    "id": minion.minion_id,
                }
            )
        return as_json(200, {"machines": rows, "nextToken": None})

    # Entry hosts

    async def start_host(self, host: Host) -> None:
        """Start a host with the command of the deploy file."""
        path = self.work / f"{host.name}.toml"
        path.write_text(self._settings(host))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry-host"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["COURSELEAD_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.work / f"{host.name}.log").open("ab") as log:
            host.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdin=-3, stdout=log, stderr=log
            )
        self.record("host starts", host=host.name)

    def _settings(self, host: Host) -> str:
        def shown(value: object) -> str:
            return json.dumps(value)

        lines = [
            f'node = "{host.name}"',
            'role = "entry-host"',
            'machineClass = "front"',
            'serves = ["front"]',
            f'ip = "{host.ip}"',
            f'zone = "{host.zone}"',
            'region = "region-a"',
            "portRange = [7060, 7075]",
            "seeds = []",
            "bootstrap = true",
            "faultCounted = false",
            'discovery = "platform"',
            'entry = "vip"',
            "heartbeatMs = 1500",
            'contracts = ["base", "drain", "config", "recover", "sched", "platform"]',
            'orders = "call"',
            "[zones]",
            *(f'{zone} = "region-a"' for zone in ZONES),
            "[listen]",
            f'front = "{host.front}"',
            f'ready = "{host.ip}:8622"',
            "[limits]",
            "cpuShare = 0.537\ncores = 2\nmemoryMb = 300\nmaxFds = 4100",
            "linkMbps = 1000.0\ndiskMb = 0",
            "[faultTolerance]\nmachines = 2\nzones = 1\nregions = 0",
            "[bounds]",
            *(f"{name} = {shown(value)}" for name, value in BOUNDS.items()),
            "[platform]",
            f'address = "{self.prefix}.7:8621"',
            'form = "log"\nwritesPerS = 600\nreadsPerS = 2000\nparts = 24',
            "appendMs = 1.0\npartMbS = 20.0\nreadMbS = 80.0",
            f"recordBytes = {RECORD_BYTES}\ncallBytes = {CALL_BYTES}",
            "keep_s = 300\npartMb = 200\nttlMinMs = 1000",
            "[cloudApi]",
            f'address = "{self.prefix}.8:8621"',
            "ratePerS = 64.0\nduties = []\ndutyPerS = 64.0",
        ]
        return "\n".join(lines) + "\n"

    async def _all_ready(self) -> bool:
        for host in self.hosts:
            status, _ = await self.call(f"{host.ip}:8622", "GET", "/-/ready")
            if status != 200:
                return False
        return True

    async def _owner_known(self) -> bool:
        return self.owner() is not None

    def owner(self) -> Host | None:
        """Return the host that says with the highest fence that it owns the schedule.

        Used to choose the process to stop, never to judge.
        """
        found: tuple[int, Host] | None = None
        for host in self.hosts:
            path = self.work / f"{host.name}.log"
            for line in path.read_text(errors="replace").splitlines():
                if '"schedule_owned"' not in line or not line.endswith("}"):
                    continue
                fence = json.loads(line)["fence"]
                if found is None or fence > found[0]:
                    found = (fence, host)
        return None if found is None else found[1]

    async def restart_host(self, host: Host) -> None:
        """Stop a host like the platform does (SIGTERM, SIGKILL), and start it again."""
        self.record("host gets SIGTERM", host=host.name)
        host.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["graceS"]):
                await host.process.wait()
        except TimeoutError:
            host.process.kill()
            await host.process.wait()
        self.record("host has ended", host=host.name, code=host.process.returncode)
        await self.start_host(host)

    # Clients

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
        name: str = "",
        timeout_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Send one request; return status and body, 0 without a complete answer."""
        ip, _, port = address.rpartition(":")
        content = b"" if body is None else json.dumps(body).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {name or ip}\r\n"
        head += "X-Courselead-Deadline-Ms: 3000\r\nConnection: close\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(ip, int(port))
                try:
                    writer.write(head.encode() + b"\r\n" + content)
                    answer = await reader.read()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return 0, {}
        top, mark, rest = answer.partition(b"\r\n\r\n")
        if not mark:
            return 0, {}
        status = int(top.split(b" ", 2)[1])
        try:
            document = json.loads(rest)
        except ValueError:
            document = {}
        return status, document

    async def ask(
        self,
        method: str,
        path: str,
        body: object = None,
        name: str = "pool.example",
        attempts: int = 5,
    ) -> tuple[int, dict]:
        """Send a client's request; after no answer, 502 or 504 ask another host."""
        status, document = 0, {}
        for attempt in range(attempts):
            host = self.hosts[attempt % len(self.hosts)]
            status, document = await self.call(host.front, method, path, body, name)
            self.record(
                "client", method=method, path=path, host=host.name, status=status,
                body=json.dumps(document),
            )  # fmt: skip
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(0.2)
        return status, document

    async def submit(
        self, prefix: str, job_id: str, steps: list[dict], spec: str = "work"
    ) -> int:
        """Hand a job in; return the status of the last answer."""
        self.needs[job_id] = steps
        job = {"spec": spec, "steps": steps}
        return (await self.ask("POST", prefix + job_id, job))[0]

    # The run

    async def wait_for(
        self, condition: Callable[[], Awaitable[bool]], within_s: float, what: str
    ) -> None:
        """Wait for a condition that the case needs; the case can't run without it."""
        until = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > until:
                raise CannotRun(what)
            await asyncio.sleep(0.1)

    def breaks(self, what: str) -> None:
        """Record that the rule is broken."""
        self.record("RULE BROKEN", what=what)
        self.broken.append(what)

    async def close(self) -> None:
        """End all processes, and keep their logs if asked."""
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
        for server in (*self._servers, *(item.server for item in self.minions)):
            with suppress(Exception):
                server.close()
        self.record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.work, keep, dirs_exist_ok=True)
        shutil.rmtree(self.work, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be brought about."""


def main(site: Site, case: Callable[[Site], Awaitable[None]], limit_s: float) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""

    async def play() -> int:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(limit_s):
                await case(site)
            return 1 if site.broken else 0
        except (Exception, asyncio.CancelledError) as exc:
            site.record("the case could not run", reason=repr(exc))
            print(f"the case could not run: {exc!r}")
            return 2
        finally:
            await site.close()

    code = asyncio.run(play())
    for what in site.broken[:5]:
        print(f"broken: {what}")
    print(f"exit {code}")
    sys.exit(code)
