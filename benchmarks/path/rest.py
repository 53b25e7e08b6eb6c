"""A daemon at rest: memory, processor time, bytes on the wire, start-up."""

import json
import sys
import time
from dataclasses import dataclass, replace
from subprocess import DEVNULL, PIPE

import anyio
from anyio.abc import Process
from anyio.streams.text import TextReceiveStream

from benchmarks.figures import table
from benchmarks.path import proc
from benchmarks.path.lab import (
    ALOISI,
    COOPERATIVE,
    TARGET,
    TARGET_12,
    TARGET_24,
    TIMEOUT_MS,
    Lab,
    Shape,
    running,
)
from courselead.integrations.http import HttpClient, HttpRequest

SETTLE_S = 20.0
WINDOW_S = 30.0
STARTS = 5
KIB = 1_024
ONE_HOST = Shape("no workers, one entry host", 1, 1, 0, {})
DAEMON = "courselead.daemon.main, courselead.integrations.http_api.server"
# Every module that the daemon loads and that is not its own.
LIST_OTHERS = (
    f"import sys; sys.modules['rich'] = None; import {DAEMON}; "
    "print(','.join(sorted(name for name in sys.modules if name != '__main__' "
    "and name.partition('.')[0] != 'courselead')))"
)


IMPORTER = """
import gc, importlib, sys
sys.modules["rich"] = None  # as `courselead serve` has it
for name in "{modules}".replace(" ", "").split(","):
    try:
        importlib.import_module(name)
    except ImportError:
        pass
gc.collect()
print("ready", flush=True)
sys.stdin.read()
"""


async def measure_memory() -> str:
    """Return the memory of interpreters that only import, and of daemons."""
    done = await anyio.run_process([sys.executable, "-c", LIST_OTHERS])
    libraries = done.stdout.decode().strip()
    bare = await _imported("sys")
    others = await _imported(libraries)
    own = await _imported(DAEMON)
    base = others.private
    rows: list[tuple] = []
    for name, found in (
        ("bare interpreter", bare),
        ("all libraries that the daemon loads, imported", others),
        ("courselead.daemon.main imported", own),
    ):
        beyond = (found.private - base) / KIB
        rows.append((name, found.rss / KIB, found.private / KIB, beyond))
    for shape in (ONE_HOST, ALOISI, COOPERATIVE, TARGET, TARGET_24):
        async with running(shape) as lab:
            await anyio.sleep(SETTLE_S)
            pids = [lab.processes.pid(host.name) for host in lab.hosts]
            each = [proc.memory(pid) for pid in pids]
        rss = [one.rss for one in each]
        private = [one.private for one in each]
        own = (max(private) - base) / KIB
        rows.append((_name(shape), max(rss) / KIB, max(private) / KIB, own))
    columns = (
        "process",
        "RSS, MiB",
        "private, MiB",
        "private beyond the libraries, MiB",
    )
    return table(columns, rows)


async def measure_use() -> str:
    """Return the processor time and the bytes of daemons at rest."""
    rows = []
    wire_rows = []
    for shape in (ALOISI, COOPERATIVE, TARGET, TARGET_12, TARGET_24):
        # The small agents count what they carry.
        async with running(replace(shape, light=True)) as lab:
            await anyio.sleep(SETTLE_S)
            used, flows, polls = await _watch(lab)
        name = _name(shape)
        rows.append((name, min(used), max(used), polls.calls_per_s))
        wire_rows.extend(_wire_rows(name, lab, flows, polls))
    columns = (
        "fleet",
        "% of a core, least host",
        "% of a core, most",
        "polls of agents/s a host",
    )
    wire_columns = (
        "fleet",
        "with",
        "sent, bytes/s a host",
        "received, bytes/s a host",
    )
    use = table(columns, rows)
    wire = table(wire_columns, wire_rows)
    return f"{use}\n\n{wire}"


async def measure_start() -> str:
    """Return how long an entry host of today's fleet takes to be ready again."""
    took = []
    async with running(ALOISI) as lab:
        host = lab.hosts[-1]
        for _ in range(STARTS):
            await lab.processes.end(host.name)
            start = time.monotonic()
            await lab.start_host(host)
            await lab.wait(lambda: lab.ready(host), 0.005)
            took.append(time.monotonic() - start)
    took.sort()
    row = (took[0], took[len(took) // 2], took[-1])
    return table(("least, s", "median of 5, s", "most, s"), [row])


async def _imported(modules: str) -> proc.Memory:
    """Return the memory of an interpreter that has imported some modules."""
    code = IMPORTER.format(modules=modules)
    command = [sys.executable, "-c", code]
    process: Process = await anyio.open_process(
        command, stdin=PIPE, stdout=PIPE, stderr=DEVNULL
    )
    async with process:
        async for _ in TextReceiveStream(process.stdout):
            break
        found = proc.memory(process.pid)
        await process.stdin.aclose()
        await process.wait()
    return found


@dataclass(frozen=True, slots=True)
class Polls:
    """What a host exchanges with agents per second, heads included."""

    calls_per_s: float
    sent: float
    received: float


@dataclass(frozen=True, slots=True)
class Flow:
    """Bytes per second of one host, by port."""

    sent: dict[str, float]
    received: dict[str, float]


async def _watch(lab: Lab) -> tuple[list[float], list[Flow], Polls]:
    """Return the use of a core by host, the flows on their sockets, and polls."""
    pids = [lab.processes.pid(host.name) for host in lab.hosts]
    counts = await _counts(lab)
    before = [proc.cpu_s(pid) for pid in pids]
    wires = [proc.wire(pid) for pid in pids]
    start = time.monotonic()
    await anyio.sleep(WINDOW_S)
    took = time.monotonic() - start
    after = [proc.wire(pid) for pid in pids]
    used = []
    for pid, at in zip(pids, before, strict=True):
        used.append((proc.cpu_s(pid) - at) / took * 100)
    flows = []
    for old, new in zip(wires, after, strict=True):
        sent, received = proc.flow(old, new)
        flow = Flow(
            {port: count / took for port, count in sent.items()},
            {port: count / took for port, count in received.items()},
        )
        flows.append(flow)
    now = await _counts(lab)
    each = took * len(pids)
    polls = Polls(
        (now["calls"] - counts["calls"]) / each,
        (now["received_bytes"] - counts["received_bytes"]) / each,
        (now["sent_bytes"] - counts["sent_bytes"]) / each,
    )
    return used, flows, polls


async def _counts(lab: Lab) -> dict[str, int]:
    """Return what the small agents have counted."""
    client = HttpClient(lab.agent_addresses[0])
    fetched = await client.fetch(HttpRequest(b"GET", b"/-/counts"), TIMEOUT_MS)
    client.close()
    return json.loads(fetched.unwrap().body)


def _wire_rows(name: str, lab: Lab, flows: list[Flow], polls: Polls) -> list[tuple]:
    """Return the mean flows of a host by what is at the other end."""
    groups = {
        "log": {_port(lab.platform["log"])},
        "membership list": {_port(lab.platform["membership"])},
        "peers": {str(host.peer_port) for host in lab.hosts},
    }
    rows = []
    for kind, ports in groups.items():
        sent = sum(flow.sent.get(port, 0.0) for flow in flows for port in ports)
        back = sum(flow.received.get(port, 0.0) for flow in flows for port in ports)
        rows.append((name, kind, sent / len(flows), back / len(flows)))
    rows.append((name, "agents", polls.sent, polls.received))
    all_sent = sum(row[2] for row in rows)
    all_received = sum(row[3] for row in rows)
    rows.append((name, "all", all_sent, all_received))
    return rows


def _port(address: str) -> str:
    """Return the port of an address."""
    return address.rpartition(":")[2]


def _name(shape: Shape) -> str:
    """Return a fleet's name with its size."""
    pools = len(shape.pools)
    return f"{shape.name}: {shape.workers} workers, {pools} pools, {shape.hosts} hosts"
