"""A daemon at rest: memory, processor time, bytes on the wire, start-up."""

import sys
import time
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
    Lab,
    Shape,
    running,
)

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
    for shape in (ONE_HOST, ALOISI, COOPERATIVE, TARGET):
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
    for shape in (ALOISI, COOPERATIVE, TARGET):
        async with running(shape) as lab:
            await anyio.sleep(SETTLE_S)
            used, wires = await _watch(lab)
        name = _name(shape)
        rows.append((name, min(used), max(used)))
        wire_rows.extend(_wire_rows(name, lab, wires))
    columns = ("fleet", "% of a core, least host", "% of a core, most")
    wire_columns = (
        "fleet",
        "with",
        "sent, bytes/s a host",
        "received, bytes/s a host",
        "sockets that came or went",
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


async def _watch(lab: Lab) -> tuple[list[float], list[tuple]]:
    """Return the use of a core by host, and the flows on their sockets."""
    pids = [lab.processes.pid(host.name) for host in lab.hosts]
    before = [proc.cpu_s(pid) for pid in pids]
    wires_before = [proc.wire(pid) for pid in pids]
    start = time.monotonic()
    await anyio.sleep(WINDOW_S)
    took = time.monotonic() - start
    wires = [proc.wire(pid) for pid in pids]
    used = []
    for pid, at in zip(pids, before, strict=True):
        used.append((proc.cpu_s(pid) - at) / took * 100)
    flows = []
    for old, new in zip(wires_before, wires, strict=True):
        flows.append((*proc.flow(old, new), took))
    return used, flows


def _wire_rows(name: str, lab: Lab, flows: list[tuple]) -> list[tuple]:
    """Return the mean flows of a host by what is at the other end."""
    ports = {
        "log": {_port(lab.platform["log"])},
        "membership list": {_port(lab.platform["membership"])},
        "peers": {str(host.peer_port) for host in lab.hosts},
    }
    kinds = {port: kind for kind, group in ports.items() for port in group}
    sent = dict.fromkeys([*ports, "agents"], 0.0)
    received = dict.fromkeys(sent, 0.0)
    churn = 0
    for out, back, changed, took in flows:
        churn += changed
        callers = {str(host.port) for host in lab.hosts}
        total = 0.0
        for port, count in out.items():
            if port in kinds:
                sent[kinds[port]] += count / took / len(flows)
                received[kinds[port]] += back[port] / took / len(flows)
                total += count
        agents = _agent_ports(lab)
        for port in out.keys() & agents - callers:
            sent["agents"] += out[port] / took / len(flows)
            received["agents"] += back[port] / took / len(flows)
    rows = []
    for kind in sent:
        rows.append((name, kind, sent[kind], received[kind], ""))
    all_sent, all_received = sum(sent.values()), sum(received.values())
    rows.append((name, "all", all_sent, all_received, churn))
    return rows


def _agent_ports(lab: Lab) -> set[str]:
    """Return the ports of the agents, which the list names."""
    return {_port(address) for address in lab.agent_addresses}


def _port(address: str) -> str:
    """Return the port of an address."""
    return address.rpartition(":")[2]


def _name(shape: Shape) -> str:
    """Return a fleet's name with its size."""
    pools = len(shape.pools)
    return f"{shape.name}: {shape.workers} workers, {pools} pools, {shape.hosts} hosts"
