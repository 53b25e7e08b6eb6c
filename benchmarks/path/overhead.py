"""Compares calls through an entry host with direct calls to the same minion."""

import json
import time
from dataclasses import dataclass, field
from statistics import median

import anyio
from returns.result import Failure

from benchmarks.figures import percentile, table
from benchmarks.path import proc
from benchmarks.path.fleet import FleetShape, ProcessFleet, running_fleet
from courselead.integrations.http import HttpClient, HttpRequest

ACCOUNT = "account-00"
SERVICE = "service-000"
ONE_MINION = FleetShape("one minion", 2, 1, 1, {(ACCOUNT, SERVICE): 1})
BLOCKS = 5
PAIRS_BY_WORK_MS = {0: 400, 20: 80}
WARM_UP_PAIRS = 50
TIMEOUT_MS = 15_000
MS = 1_000.0
LOAD_S = 8.0
LOAD_CALLERS = 8
KINDS = ("PUT", "POST without key", "POST with key")


@dataclass(slots=True)
class CallTimes:
    """Call times of one block, in milliseconds."""

    direct: list[float] = field(default_factory=list)
    through: list[float] = field(default_factory=list)


async def measure() -> str:
    """Return the tables of latency and of processor time per request."""
    async with running_fleet(ONE_MINION) as fleet:
        minion = await _minion_address(fleet)
        direct = HttpClient(minion)
        rows = []
        for kind in KINDS:
            for work_ms, count in PAIRS_BY_WORK_MS.items():
                blocks = [
                    await _measure_block(fleet, direct, kind, work_ms, count, number)
                    for number in range(BLOCKS)
                ]
                rows.append(_row(kind, work_ms, count, blocks))
        cpu_rows = [await _measure_load(fleet, kind) for kind in KINDS]
    columns = (
        "request",
        "work, ms",
        "pairs",
        "direct p50, ms",
        "through p50, ms",
        "added p50, ms",
        "ratio p50",
        "direct p99, ms",
        "through p99, ms",
        "ratio p99",
    )
    cpu_columns = (
        "request",
        f"served by one entry host, {LOAD_CALLERS} callers, requests/s",
        "entry host's processor time a request, ms",
        "its share of a core, %",
    )
    latency = table(columns, rows)
    cpu = table(cpu_columns, cpu_rows)
    return f"{latency}\n\n{cpu}"


async def _minion_address(fleet: ProcessFleet) -> str:
    """Return the address of the only minion."""
    address = fleet.agent_addresses[0]
    client = HttpClient(address)
    fetched = await client.fetch(HttpRequest(b"GET", b"/v1/state"), TIMEOUT_MS)
    client.close()
    return json.loads(fetched.unwrap().body)["minion"]["address"]


async def _measure_block(
    fleet: ProcessFleet,
    direct: HttpClient,
    kind: str,
    work_ms: int,
    count: int,
    number: int,
) -> CallTimes:
    """Alternate calls directly and through the first entry host.

    Each pair swaps the order of the previous one.
    """
    pairs = CallTimes()
    through = fleet.clients[fleet.hosts[0].name]
    for index in range(WARM_UP_PAIRS + count):
        key = f"{kind}-{work_ms}-{number}-{index}"
        order = [(direct, False), (through, True)]
        if index % 2:
            order.reverse()
        for client, is_through in order:
            elapsed = await _time_call(client, _request(kind, work_ms, key, is_through))
            if index >= WARM_UP_PAIRS:
                (pairs.through if is_through else pairs.direct).append(elapsed)
    return pairs


def _request(kind: str, work_ms: int, key: str, is_through: bool) -> HttpRequest:
    """Return a request of one kind, direct or through an entry host."""
    headers = [(b"x-standin-work-ms", str(work_ms).encode())]
    path = b"/echo"
    if is_through:
        headers.append((b"authorization", f"Bearer {ACCOUNT}".encode()))
        path = f"/v1/services/{SERVICE}/echo".encode()
    if kind == "POST with key":
        headers.append((b"idempotency-key", key.replace(" ", "-").encode()))
    method = b"PUT" if kind == "PUT" else b"POST"
    return HttpRequest(method, path, tuple(headers), b"x" * 200)


async def _time_call(client: HttpClient, req: HttpRequest) -> float:
    """Make a call and return how long it took, in milliseconds.

    Raises:
        RuntimeError: The call was not served.
    """
    start = time.perf_counter()
    fetched = await client.fetch(req, TIMEOUT_MS)
    elapsed = (time.perf_counter() - start) * MS
    if isinstance(fetched, Failure) or fetched.unwrap().status != 200:
        raise RuntimeError(str(fetched))
    return elapsed


def _row(kind: str, work_ms: int, count: int, blocks: list[CallTimes]) -> tuple:
    """Return a table row with the medians of the percentiles of the blocks."""
    quantiles = []
    for quantile in (0.5, 0.99):
        direct = median(percentile(block.direct, quantile) for block in blocks)
        through = median(percentile(block.through, quantile) for block in blocks)
        quantiles.append((direct, through))
    (direct, through), (direct_high, through_high) = quantiles
    pairs = f"{BLOCKS} x {count}"
    return (
        kind,
        work_ms,
        pairs,
        direct,
        through,
        through - direct,
        through / direct,
        direct_high,
        through_high,
        through_high / direct_high,
    )


async def _measure_load(fleet: ProcessFleet, kind: str) -> tuple:
    """Return the throughput of one entry host and its processor time per request."""
    host = fleet.hosts[0]
    pid = fleet.processes.pid(host.name)
    count = 0
    end_at = time.monotonic() + LOAD_S

    async def caller(number: int) -> None:
        nonlocal count
        client = HttpClient(host.url.removeprefix("http://"))
        index = 0
        while time.monotonic() < end_at:
            key = f"load-{kind}-{number}-{index}"
            await _time_call(client, _request(kind, 0, key, True))
            index += 1
            count += 1
        client.close()

    before = proc.cpu_s(pid)
    start = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number in range(LOAD_CALLERS):
            tasks.start_soon(caller, number)
    elapsed = time.monotonic() - start
    cpu_time = proc.cpu_s(pid) - before
    return (kind, count / elapsed, cpu_time / count * MS, cpu_time / elapsed * 100)
