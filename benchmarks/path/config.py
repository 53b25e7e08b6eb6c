"""How long a change of the table takes to be in force on every entry host."""

import time
from collections.abc import Sequence
from dataclasses import replace

import anyio
from returns.result import Failure

from benchmarks.figures import percentile, table
from benchmarks.path.lab import ALOISI, TARGET_12, Lab, running
from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import HostPlan

CHANGES = 200
PAUSE_S = 0.1
MS = 1_000.0
CALLERS = 16
WORK_MS = 20
TIMEOUT_MS = 15_000
POLL_S = 0.002
REBOOT_MS = 5_000


async def measure() -> str:
    """Return the times at rest and under load with a maintenance wave."""
    rows = []
    async with running(replace(ALOISI, reboot_ms=REBOOT_MS)) as lab:
        quiet = await _changes(lab, "never")
        rows.append(("at rest", *_figures(quiet), 0, 0, 0))
        boots = await lab.boots()
        load = Load(lab)
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(load.caller, number)
            busy = await _changes(lab, "always")
            load.stopped = True
        boots = await lab.boots() - boots
        rows.append(("load and wave", *_figures(busy), boots, load.served, load.others))
    async with running(TARGET_12) as lab:
        quiet = await _changes(lab, "never")
        rows.append(("1,000 workers, 12 hosts, at rest", *_figures(quiet), 0, 0, 0))
    columns = (
        "state",
        "changes",
        "answered p50, ms",
        "in force on all p50, ms",
        "p99, ms",
        "max, ms",
        "workers rebooted meanwhile",
        "requests served",
        "not served",
    )
    return table(columns, rows)


class Load:
    """Callers that go round the services and the hosts."""

    def __init__(self, lab: Lab) -> None:
        """Start with nothing sent."""
        self.served = 0
        self.others = 0
        self.stopped = False
        self._lab = lab

    async def caller(self, number: int) -> None:
        """Send one request after the other."""
        pools = list(self._lab.shape.pools)
        hosts = self._lab.hosts
        address = hosts[number % len(hosts)].url.removeprefix("http://")
        client = HttpClient(address)
        count = number
        while not self.stopped:
            count += 1
            account, service = pools[count % len(pools)]
            headers = (
                (b"authorization", f"Bearer {account}".encode()),
                (b"x-standin-work-ms", str(WORK_MS).encode()),
            )
            path = f"/v1/services/{service}/echo".encode()
            req = HttpRequest(b"PUT", path, headers, b"x" * 200)
            fetched = await client.fetch(req, TIMEOUT_MS)
            if isinstance(fetched, Failure) or fetched.unwrap().status != 200:
                self.others += 1
                continue
            self.served += 1
        client.close()


async def _changes(lab: Lab, window: str) -> list[tuple[float, float]]:
    """Publish changes of one row, one after the other; return their times."""
    await lab.publish(lab.rows(window))
    took = []
    rows = lab.rows(window)
    for number in range(CHANGES):
        row = rows[number % len(rows)] | {"share": 1.0 + (number + 1) / 1_000}
        start = time.monotonic()
        version = await lab.publish([row], index=number)
        answered = (time.monotonic() - start) * MS
        ends: list[float] = []

        async def watch(host: HostPlan, version=version, ends=ends) -> None:
            while (await _table_version(lab, host)) < version:
                await anyio.sleep(POLL_S)
            ends.append(time.monotonic())

        async with anyio.create_task_group() as tasks:
            for host in lab.hosts:
                tasks.start_soon(watch, host)
        took.append((answered, (max(ends) - start) * MS))
        await anyio.sleep(PAUSE_S)
    return took


async def _table_version(lab: Lab, host: HostPlan) -> int:
    """Return the version of the table that a host has in force."""
    return (await lab.status(host))["table_version"]


def _figures(took: Sequence[tuple[float, float]]) -> tuple[int, float, ...]:
    """Return the count and the percentiles of some changes."""
    answered = [one for one, _ in took]
    in_force = [one for _, one in took]
    return (
        len(took),
        percentile(answered, 0.5),
        percentile(in_force, 0.5),
        percentile(in_force, 0.99),
        max(in_force),
    )
