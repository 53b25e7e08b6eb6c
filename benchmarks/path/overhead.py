"""A call through an entry host against a direct call to the same minion."""

import json
import time
from dataclasses import dataclass, field
from statistics import median

import anyio
from returns.result import Failure

from benchmarks.figures import percentile, table
from benchmarks.path import proc
from benchmarks.path.lab import Lab, Shape, running
from courselead.integrations.http import HttpClient, HttpRequest

ACCOUNT = "account-00"
SERVICE = "service-000"
ONE_MINION = Shape("one minion", 2, 1, 1, {(ACCOUNT, SERVICE): 1})
BLOCKS = 5
PAIRS = {0: 400, 20: 80}
WARM = 50
TIMEOUT_MS = 15_000
MS = 1_000.0
LOAD_S = 8.0
LOAD_CALLERS = 8
KINDS = ("PUT", "POST without key", "POST with key")


@dataclass(slots=True)
class Pairs:
    """Times of one block, in milliseconds."""

    direct: list[float] = field(default_factory=list)
    through: list[float] = field(default_factory=list)


async def measure() -> str:
    """Return the tables of latency and of processor time a request."""
    async with running(ONE_MINION) as lab:
        minion = await _minion(lab)
        direct = HttpClient(minion)
        rows = []
        for kind in KINDS:
            for work_ms, count in PAIRS.items():
                blocks = [
                    await _block(lab, direct, kind, work_ms, count, number)
                    for number in range(BLOCKS)
                ]
                rows.append(_row(kind, work_ms, count, blocks))
        cpu_rows = [await _load(lab, kind) for kind in KINDS]
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


async def _minion(lab: Lab) -> str:
    """Return the address of the only minion."""
    address = lab.agent_addresses[0]
    client = HttpClient(address)
    fetched = await client.fetch(HttpRequest(b"GET", b"/v1/state"), TIMEOUT_MS)
    client.close()
    return json.loads(fetched.unwrap().body)["minion"]["address"]


async def _block(
    lab: Lab, direct: HttpClient, kind: str, work_ms: int, count: int, number: int
) -> Pairs:
    """Call in turn directly and through the first entry host."""
    pairs = Pairs()
    through = lab.clients[lab.hosts[0].name]
    for index in range(WARM + count):
        key = f"{kind}-{work_ms}-{number}-{index}"
        order = [(direct, False), (through, True)]
        if index % 2:
            order.reverse()
        for client, is_through in order:
            took = await _call(client, _request(kind, work_ms, key, is_through))
            if index >= WARM:
                (pairs.through if is_through else pairs.direct).append(took)
    return pairs


def _request(kind: str, work_ms: int, key: str, is_through: bool) -> HttpRequest:
    """Return a request as the caller sends it."""
    headers = [(b"x-standin-work-ms", str(work_ms).encode())]
    path = b"/echo"
    if is_through:
        headers.append((b"authorization", f"Bearer {ACCOUNT}".encode()))
        path = f"/v1/services/{SERVICE}/echo".encode()
    if kind == "POST with key":
        headers.append((b"idempotency-key", key.replace(" ", "-").encode()))
    method = b"PUT" if kind == "PUT" else b"POST"
    return HttpRequest(method, path, tuple(headers), b"x" * 200)


async def _call(client: HttpClient, req: HttpRequest) -> float:
    """Return how long one call took, in milliseconds.

    Raises:
        RuntimeError: It was not served.
    """
    start = time.perf_counter()
    fetched = await client.fetch(req, TIMEOUT_MS)
    took = (time.perf_counter() - start) * MS
    if isinstance(fetched, Failure) or fetched.unwrap().status != 200:
        raise RuntimeError(str(fetched))
    return took


def _row(kind: str, work_ms: int, count: int, blocks: list[Pairs]) -> tuple:
    """Return a row: medians over the blocks of their percentiles."""
    found = []
    for part in (0.5, 0.99):
        direct = median(percentile(block.direct, part) for block in blocks)
        through = median(percentile(block.through, part) for block in blocks)
        found.append((direct, through))
    (direct, through), (direct_high, through_high) = found
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


async def _load(lab: Lab, kind: str) -> tuple:
    """Return what one entry host serves, and its processor time a request."""
    host = lab.hosts[0]
    pid = lab.processes.pid(host.name)
    count = 0
    end_at = time.monotonic() + LOAD_S

    async def caller(number: int) -> None:
        nonlocal count
        client = HttpClient(host.url.removeprefix("http://"))
        index = 0
        while time.monotonic() < end_at:
            key = f"load-{kind}-{number}-{index}"
            await _call(client, _request(kind, 0, key, True))
            index += 1
            count += 1
        client.close()

    before = proc.cpu_s(pid)
    start = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for number in range(LOAD_CALLERS):
            tasks.start_soon(caller, number)
    took = time.monotonic() - start
    used = proc.cpu_s(pid) - before
    return (kind, count / took, used / count * MS, used / took * 100)
