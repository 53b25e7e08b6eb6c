"""Measures how long a table change takes to be in force on every entry host."""

import time
from collections.abc import Sequence
from dataclasses import replace

import anyio
from returns.result import Failure

from benchmarks.figures import percentile, table
from benchmarks.path.fleet import ALOISI, TARGET_12, ProcessFleet, running_fleet
from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import HostPlan

CHANGES = 200
PAUSE_BETWEEN_CHANGES_S = 0.1
MS = 1_000.0
CALLERS = 16
WORK_MS = 20
TIMEOUT_MS = 15_000
POLL_INTERVAL_S = 0.002
REBOOT_MS = 5_000


async def measure() -> str:
    """Return the table of times at rest and under load with a maintenance wave."""
    rows = []
    async with running_fleet(replace(ALOISI, reboot_ms=REBOOT_MS)) as fleet:
        idle_times = await _measure_changes(fleet, "never")
        rows.append(("at rest", *_summarize(idle_times), 0, 0, 0))
        boots = await fleet.count_boots()
        load = LoadGenerator(fleet)
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(load.run_caller, number)
            loaded_times = await _measure_changes(fleet, "always")
            load.stopped = True
        boots = await fleet.count_boots() - boots
        rows.append(
            (
                "load and wave",
                *_summarize(loaded_times),
                boots,
                load.served,
                load.not_served,
            )
        )
    async with running_fleet(TARGET_12) as fleet:
        idle_times = await _measure_changes(fleet, "never")
        rows.append(
            ("1,000 workers, 12 hosts, at rest", *_summarize(idle_times), 0, 0, 0)
        )
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


class LoadGenerator:
    """Callers that cycle through the services and are spread over the hosts."""

    def __init__(self, fleet: ProcessFleet) -> None:
        """Create callers that have not sent anything yet."""
        self.served = 0
        self.not_served = 0
        self.stopped = False
        self._fleet = fleet

    async def run_caller(self, number: int) -> None:
        """Send requests one after another until stopped."""
        pools = list(self._fleet.shape.pools)
        hosts = self._fleet.hosts
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
                self.not_served += 1
                continue
            self.served += 1
        client.close()


async def _measure_changes(
    fleet: ProcessFleet, window: str
) -> list[tuple[float, float]]:
    """Publish changes of one row each and return their times.

    Returns:
        For each change, the milliseconds until the publishing host answered and
        until the change was in force on all hosts.
    """
    await fleet.publish(fleet.service_rows(window))
    durations = []
    rows = fleet.service_rows(window)
    for number in range(CHANGES):
        row = rows[number % len(rows)] | {"share": 1.0 + (number + 1) / 1_000}
        start = time.monotonic()
        version = await fleet.publish([row], index=number)
        answered = (time.monotonic() - start) * MS
        applied_at: list[float] = []

        async def wait_for_version(
            host: HostPlan, version=version, applied_at=applied_at
        ) -> None:
            while (await _table_version(fleet, host)) < version:
                await anyio.sleep(POLL_INTERVAL_S)
            applied_at.append(time.monotonic())

        async with anyio.create_task_group() as tasks:
            for host in fleet.hosts:
                tasks.start_soon(wait_for_version, host)
        durations.append((answered, (max(applied_at) - start) * MS))
        await anyio.sleep(PAUSE_BETWEEN_CHANGES_S)
    return durations


async def _table_version(fleet: ProcessFleet, host: HostPlan) -> int:
    """Return the version of the table in force on a host."""
    return (await fleet.status(host))["table_version"]


def _summarize(durations: Sequence[tuple[float, float]]) -> tuple[int, float, ...]:
    """Return the number of changes and the percentiles of their times."""
    answered = [answered_ms for answered_ms, _ in durations]
    in_force = [in_force_ms for _, in_force_ms in durations]
    return (
        len(durations),
        percentile(answered, 0.5),
        percentile(in_force, 0.5),
        percentile(in_force, 0.99),
        max(in_force),
    )
