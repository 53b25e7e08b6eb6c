"""Measures how long a new entry host takes to serve from the log alone."""

import time
from dataclasses import replace

import anyio
import msgspec
from returns.result import Failure

from benchmarks.figures import table
from benchmarks.path.fleet import ALOISI, ProcessFleet, plan_hosts, running_fleet
from courselead.core.fleet.codec import encode_batch
from courselead.core.fleet.records import Batch, HostBeat, HostJoined, Record
from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import HostPlan

STARTS = 5
TIMEOUT_MS = 15_000
POLL_INTERVAL_S = 0.005
SETTLE_S = 5.0
HEARTBEATS_BEFORE_SNAPSHOT = 10_100
HEARTBEATS_AFTER_SNAPSHOT = 9_500
WRITER_HOST = "entry-filler"


async def measure() -> str:
    """Return the table of times with a short log and with the longest tail.

    The tail is the part of the log after the newest snapshot.
    """
    rows = []
    # One more host is planned than started, so that all hosts know it as a peer.
    shape = replace(ALOISI, hosts=ALOISI.hosts + 1)
    async with running_fleet(replace(shape, hosts=ALOISI.hosts)) as fleet:
        spare = plan_hosts(shape)[-1]
        rows.append(await _measure_starts(fleet, spare, "as the fleet's start left it"))
        writer = HeartbeatWriter(fleet)
        await writer.write(HEARTBEATS_BEFORE_SNAPSHOT)
        await anyio.sleep(SETTLE_S)
        await writer.write(HEARTBEATS_AFTER_SNAPSHOT)
        name = "a snapshot and the longest tail behind it"
        rows.append(await _measure_starts(fleet, spare, name))
    columns = (
        "log",
        "records",
        "ready, s: least",
        "median of 5",
        "most",
        "first answer of a minion, s: median of 5",
    )
    return table(columns, rows)


class HeartbeatWriter:
    """Appends heartbeats of a host that exists only in the log."""

    def __init__(self, fleet: ProcessFleet) -> None:
        """Create a writer whose host has not joined yet."""
        self._fleet = fleet
        self._client = HttpClient(fleet.platform["log"])
        self._incarnation = 0
        self._seq = 0

    async def write(self, count: int) -> None:
        """Join with a new incarnation and append heartbeats."""
        self._incarnation += 1
        self._seq = 0
        joined = HostJoined(WRITER_HOST, self._incarnation, "zone-0", "127.0.0.1:9")
        offset = await self._append(joined)
        for _ in range(count):
            heartbeat = HostBeat(WRITER_HOST, self._incarnation, offset, offset, -1, "")
            offset = await self._append(heartbeat)

    async def _append(self, record: Record) -> int:
        """Append one record as a batch and return its offset."""
        self._seq += 1
        wall_ms = int(time.time() * 1_000)
        batch = Batch(WRITER_HOST, self._incarnation, self._seq, wall_ms, -1, (record,))
        body = encode_batch(batch)
        req = HttpRequest(b"POST", b"/v1/log/append", (), body)
        fetched = await self._client.fetch(req, TIMEOUT_MS)
        return msgspec.msgpack.decode(fetched.unwrap().body)["offset"]


async def _measure_starts(fleet: ProcessFleet, host: HostPlan, name: str) -> tuple:
    """Start a host STARTS times and return a table row of the times."""
    ready = []
    served = []
    for _ in range(STARTS):
        start = time.monotonic()
        await fleet.start_host(host)
        client = HttpClient(host.url.removeprefix("http://"))
        await fleet.wait_until(lambda client=client: _is_ready(client), POLL_INTERVAL_S)
        ready.append(time.monotonic() - start)
        await fleet.wait_until(
            lambda client=client: _serves(fleet, client), POLL_INTERVAL_S
        )
        served.append(time.monotonic() - start)
        client.close()
        await fleet.processes.end(host.name)
    status = await fleet.status(fleet.hosts[0])
    ready.sort()
    served.sort()
    median_index = STARTS // 2
    records = status["offset"] + 1
    return (
        name,
        records,
        ready[0],
        ready[median_index],
        ready[-1],
        served[median_index],
    )


async def _is_ready(client: HttpClient) -> bool:
    """Return whether an entry host reports that it is ready."""
    fetched = await client.fetch(HttpRequest(b"GET", b"/readyz"), TIMEOUT_MS)
    return not isinstance(fetched, Failure) and fetched.unwrap().status == 200


async def _serves(fleet: ProcessFleet, client: HttpClient) -> bool:
    """Return whether a request through an entry host is served."""
    account, service = next(iter(fleet.shape.pools))
    headers = ((b"authorization", f"Bearer {account}".encode()),)
    path = f"/v1/services/{service}/echo".encode()
    req = HttpRequest(b"PUT", path, headers, b"x")
    fetched = await client.fetch(req, TIMEOUT_MS)
    return not isinstance(fetched, Failure) and fetched.unwrap().status == 200
