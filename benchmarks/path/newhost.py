"""How long a new entry host takes to serve, with nothing but the log."""

import time
from dataclasses import replace

import anyio
import msgspec
from returns.result import Failure

from benchmarks.figures import table
from benchmarks.path.lab import ALOISI, Lab, plan_hosts, running
from courselead.core.fleet.codec import encode_batch
from courselead.core.fleet.records import Batch, HostBeat, HostJoined, Record
from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import HostPlan

TIMES = 5
TIMEOUT_MS = 15_000
POLL_S = 0.005
SETTLE_S = 5.0
FILL = 10_100
TAIL = 9_500
FILLER = "entry-filler"


async def measure() -> str:
    """Return the times with a short log and with one of the longest tail."""
    rows = []
    # One more host is planned than is started, so that all know it as a peer.
    shape = replace(ALOISI, hosts=ALOISI.hosts + 1)
    async with running(replace(shape, hosts=ALOISI.hosts)) as lab:
        spare = plan_hosts(shape)[-1]
        rows.append(await _row(lab, spare, "as the fleet's start left it"))
        filler = Filler(lab)
        await filler.fill(FILL)
        await anyio.sleep(SETTLE_S)
        await filler.fill(TAIL)
        name = "a snapshot and the longest tail behind it"
        rows.append(await _row(lab, spare, name))
    columns = (
        "log",
        "records",
        "ready, s: least",
        "median of 5",
        "most",
        "first answer of a minion, s: median of 5",
    )
    return table(columns, rows)


class Filler:
    """Writes heartbeats of a host that does nothing else."""

    def __init__(self, lab: Lab) -> None:
        """Start before its join."""
        self._lab = lab
        self._client = HttpClient(lab.platform["log"])
        self._incarnation = 0
        self._seq = 0

    async def fill(self, count: int) -> None:
        """Join anew and append some heartbeats."""
        self._incarnation += 1
        self._seq = 0
        joined = HostJoined(FILLER, self._incarnation, "zone-0", "127.0.0.1:9")
        offset = await self._append(joined)
        for _ in range(count):
            beat = HostBeat(FILLER, self._incarnation, offset, offset, -1, "")
            offset = await self._append(beat)

    async def _append(self, record: Record) -> int:
        """Append a batch of one record and return its offset."""
        self._seq += 1
        wall_ms = int(time.time() * 1_000)
        batch = Batch(FILLER, self._incarnation, self._seq, wall_ms, -1, (record,))
        body = encode_batch(batch)
        req = HttpRequest(b"POST", b"/v1/log/append", (), body)
        fetched = await self._client.fetch(req, TIMEOUT_MS)
        return msgspec.msgpack.decode(fetched.unwrap().body)["offset"]


async def _row(lab: Lab, host: HostPlan, name: str) -> tuple:
    """Start a host some times and return a row."""
    ready = []
    served = []
    for _ in range(TIMES):
        start = time.monotonic()
        await lab.start_host(host)
        client = HttpClient(host.url.removeprefix("http://"))
        await lab.wait(lambda client=client: _is_ready(client), POLL_S)
        ready.append(time.monotonic() - start)
        await lab.wait(lambda client=client: _serves(lab, client), POLL_S)
        served.append(time.monotonic() - start)
        client.close()
        await lab.processes.end(host.name)
    status = await lab.status(lab.hosts[0])
    ready.sort()
    served.sort()
    middle = TIMES // 2
    records = status["offset"] + 1
    return (name, records, ready[0], ready[middle], ready[-1], served[middle])


async def _is_ready(client: HttpClient) -> bool:
    """Return whether a host says that it is ready."""
    fetched = await client.fetch(HttpRequest(b"GET", b"/readyz"), TIMEOUT_MS)
    return not isinstance(fetched, Failure) and fetched.unwrap().status == 200


async def _serves(lab: Lab, client: HttpClient) -> bool:
    """Return whether a request through a host is served."""
    account, service = next(iter(lab.shape.pools))
    headers = ((b"authorization", f"Bearer {account}".encode()),)
    path = f"/v1/services/{service}/echo".encode()
    req = HttpRequest(b"PUT", path, headers, b"x")
    fetched = await client.fetch(req, TIMEOUT_MS)
    return not isinstance(fetched, Failure) and fetched.unwrap().status == 200
