"""Measures an idle daemon: memory, processor time, network bytes, start time."""

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
from benchmarks.path.fleet import (
    ALOISI,
    COOPERATIVE,
    TARGET,
    TARGET_12,
    TARGET_24,
    TIMEOUT_MS,
    FleetShape,
    ProcessFleet,
    running_fleet,
)
from courselead.integrations.http import HttpClient, HttpRequest

SETTLE_S = 20.0
MEASURE_S = 30.0
STARTS = 5
KIB = 1_024
ONE_HOST = FleetShape("no workers, one entry host", 1, 1, 0, {})
DAEMON = "courselead.daemon.main, courselead.integrations.http_api.server"
# Prints every module that the daemon loads and that is not part of courselead.
LIST_LIBRARIES = (
    f"import sys; sys.modules['rich'] = None; import {DAEMON}; "
    "print(','.join(sorted(name for name in sys.modules if name != '__main__' "
    "and name.partition('.')[0] != 'courselead')))"
)


IMPORT_AND_WAIT = """
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
    """Return the table of memory of interpreters with only imports and of daemons."""
    done = await anyio.run_process([sys.executable, "-c", LIST_LIBRARIES])
    libraries = done.stdout.decode().strip()
    bare = await _memory_after_imports("sys")
    libraries_only = await _memory_after_imports(libraries)
    own = await _memory_after_imports(DAEMON)
    base = libraries_only.private
    rows: list[tuple] = []
    for name, found in (
        ("bare interpreter", bare),
        ("all libraries that the daemon loads, imported", libraries_only),
        ("courselead.daemon.main imported", own),
    ):
        beyond = (found.private - base) / KIB
        rows.append((name, found.rss / KIB, found.private / KIB, beyond))
    for shape in (ONE_HOST, ALOISI, COOPERATIVE, TARGET, TARGET_24):
        async with running_fleet(shape) as fleet:
            await anyio.sleep(SETTLE_S)
            pids = [fleet.processes.pid(host.name) for host in fleet.hosts]
            memories = [proc.memory(pid) for pid in pids]
        rss = [memory.rss for memory in memories]
        private = [memory.private for memory in memories]
        own = (max(private) - base) / KIB
        rows.append((_fleet_label(shape), max(rss) / KIB, max(private) / KIB, own))
    columns = (
        "process",
        "RSS, MiB",
        "private, MiB",
        "private beyond the libraries, MiB",
    )
    return table(columns, rows)


async def measure_usage() -> str:
    """Return the tables of processor time and network bytes of idle daemons."""
    rows = []
    wire_rows = []
    for shape in (ALOISI, COOPERATIVE, TARGET, TARGET_12, TARGET_24):
        # Only the lightweight agents count their traffic.
        async with running_fleet(replace(shape, light=True)) as fleet:
            await anyio.sleep(SETTLE_S)
            used, port_rates, agent_traffic = await _measure_usage(fleet)
        name = _fleet_label(shape)
        rows.append((name, min(used), max(used), agent_traffic.calls_per_s))
        wire_rows.extend(_traffic_rows(name, fleet, port_rates, agent_traffic))
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
    socket_bytes = table(wire_columns, wire_rows)
    return f"{use}\n\n{socket_bytes}"


async def measure_start() -> str:
    """Return the table of restart times of an entry host in a fleet of current size."""
    took = []
    async with running_fleet(ALOISI) as fleet:
        host = fleet.hosts[-1]
        for _ in range(STARTS):
            await fleet.processes.end(host.name)
            start = time.monotonic()
            await fleet.start_host(host)
            await fleet.wait_until(lambda: fleet.is_ready(host), 0.005)
            took.append(time.monotonic() - start)
    took.sort()
    row = (took[0], took[len(took) // 2], took[-1])
    return table(("least, s", "median of 5, s", "most, s"), [row])


async def _memory_after_imports(modules: str) -> proc.Memory:
    """Return the memory of an interpreter that has imported the given modules."""
    code = IMPORT_AND_WAIT.format(modules=modules)
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
class AgentTraffic:
    """Calls and bytes per second between a host and the agents, with HTTP heads."""

    calls_per_s: float
    sent: float
    received: float


@dataclass(frozen=True, slots=True)
class PortRates:
    """Bytes per second of one entry host, by port."""

    sent: dict[str, float]
    received: dict[str, float]


async def _measure_usage(
    fleet: ProcessFleet,
) -> tuple[list[float], list[PortRates], AgentTraffic]:
    """Return the processor time and port rates by host, and the agent traffic."""
    pids = [fleet.processes.pid(host.name) for host in fleet.hosts]
    counts = await _agent_counts(fleet)
    before = [proc.cpu_s(pid) for pid in pids]
    socket_bytes_before = [proc.socket_bytes(pid) for pid in pids]
    start = time.monotonic()
    await anyio.sleep(MEASURE_S)
    took = time.monotonic() - start
    after = [proc.socket_bytes(pid) for pid in pids]
    used = []
    for pid, cpu_before in zip(pids, before, strict=True):
        used.append((proc.cpu_s(pid) - cpu_before) / took * 100)
    port_rates = []
    for old, new in zip(socket_bytes_before, after, strict=True):
        sent, received = proc.bytes_between(old, new)
        rates = PortRates(
            {port: count / took for port, count in sent.items()},
            {port: count / took for port, count in received.items()},
        )
        port_rates.append(rates)
    now = await _agent_counts(fleet)
    host_seconds = took * len(pids)
    agent_traffic = AgentTraffic(
        (now["calls"] - counts["calls"]) / host_seconds,
        (now["received_bytes"] - counts["received_bytes"]) / host_seconds,
        (now["sent_bytes"] - counts["sent_bytes"]) / host_seconds,
    )
    return used, port_rates, agent_traffic


async def _agent_counts(fleet: ProcessFleet) -> dict[str, int]:
    """Return the traffic counters of the lightweight agents."""
    client = HttpClient(fleet.agent_addresses[0])
    fetched = await client.fetch(HttpRequest(b"GET", b"/-/counts"), TIMEOUT_MS)
    client.close()
    return json.loads(fetched.unwrap().body)


def _traffic_rows(
    name: str,
    fleet: ProcessFleet,
    port_rates: list[PortRates],
    agent_traffic: AgentTraffic,
) -> list[tuple]:
    """Return table rows of the mean traffic of a host by kind of peer."""
    groups = {
        "log": {_port(fleet.platform["log"])},
        "membership list": {_port(fleet.platform["membership"])},
        "peers": {str(host.peer_port) for host in fleet.hosts},
    }
    rows = []
    for kind, ports in groups.items():
        sent = sum(rates.sent.get(port, 0.0) for rates in port_rates for port in ports)
        received = sum(
            rates.received.get(port, 0.0) for rates in port_rates for port in ports
        )
        rows.append((name, kind, sent / len(port_rates), received / len(port_rates)))
    rows.append((name, "agents", agent_traffic.sent, agent_traffic.received))
    all_sent = sum(row[2] for row in rows)
    all_received = sum(row[3] for row in rows)
    rows.append((name, "all", all_sent, all_received))
    return rows


def _port(address: str) -> str:
    """Return the port of an address."""
    return address.rpartition(":")[2]


def _fleet_label(shape: FleetShape) -> str:
    """Return the name of a fleet with its size."""
    pools = len(shape.pools)
    return f"{shape.name}: {shape.workers} workers, {pools} pools, {shape.hosts} hosts"
