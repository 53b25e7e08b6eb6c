"""Command line: `python -m benchmarks.owner`."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio
from cyclopts import App

from benchmarks.figures import Recorder, table
from benchmarks.owner.account import each_start_us, merged
from benchmarks.owner.sampled import SUFFIX
from benchmarks.path.proc import cpu_s
from demo.job_site import POOL, HostPorts, JobSite
from demo.ports import free_ports
from demo.processes import Processes

SAMPLED = (sys.executable, "-m", "benchmarks.owner.sampled")

RATES = (100, 500, 1_000)
"""Starts asked for in a second: of a grown site, of a large one, and at its worst."""

SECONDS = 8
WARM_S = 2.0
"""Time of load that is measured, and of load before that."""

MACHINES = 96
"""Minions that one process can serve beside a thousand calls a second."""

WIDTH = 8
STEPS = 2
TASK = {"count": WIDTH, "cpu": 200}
RUN_MS = 400
"""A job as the users' short ones: two steps of eight tasks, half a second each."""

app = App(name="owner", help="Measure where the owner's processor time goes.")


@dataclass(frozen=True, slots=True)
class Measured:
    """What one rate has shown.

    Attributes:
        asked: Starts asked for in a second.
        starts: Runs that were started in the time measured.
        seconds: That time.
        spent_s: The owner's processor time meanwhile.
        parts: Microseconds of it for each start, by part.
    """

    asked: int
    starts: int
    seconds: float
    spent_s: float
    parts: dict[str, float]

    @property
    def a_start_us(self) -> float:
        """Return microseconds of the owner's processor time for each start."""
        return self.spent_s * 1_000_000 / max(1, self.starts)


@asynccontextmanager
async def _running(folder: Path, machines: int) -> AsyncIterator[JobSite]:
    """Run one sampled entry host before the stand-ins, without relays between."""
    processes = Processes(SAMPLED, folder)
    front, ready, peer = free_ports(3)
    site = JobSite(processes, (HostPorts("front-0", "127.0.0.1", front, ready, peer),))
    try:
        args = ["site", f"--machines={machines}", f"--pool={POOL}"]
        site.site = json.loads(await processes.start_standins(args))
        await site.configure()
        await site.start(*site.hosts)
        await site.ready()
        yield site
    finally:
        with anyio.CancelScope(shield=True):
            await processes.end_all()


async def _load(site: JobSite, rate: int, seconds: float) -> None:
    """Hand jobs in at an even rate; those that come late come all the same."""
    jobs = int(rate * seconds / (WIDTH * STEPS))
    begun = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for number in range(jobs):
            due = begun + number * seconds / jobs
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            second = {**TASK, "after": [0]}
            payload = {"run_ms": RUN_MS, "cpu": TASK["cpu"]}
            count = len(site.accepted) + number
            tasks.start_soon(_submit, site, count, second, payload)


async def _submit(site: JobSite, number: int, second: dict, payload: dict) -> None:
    await site.submit(number, TASK, second, **payload)


async def _starts(site: JobSite) -> int:
    ledger = await site.ledger()
    return sum(ledger["starts"].values())


async def _measure(rate: int) -> Measured:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with _running(folder, MACHINES) as site:
            host = site.hosts[0]
            pid = site.processes.pid(host.name)
            await _load(site, rate, WARM_S)
            begun, spent, starts = time.monotonic(), cpu_s(pid), await _starts(site)
            await _load(site, rate, SECONDS)
            ended = time.monotonic()
            spent, starts = cpu_s(pid) - spent, await _starts(site) - starts
            await site.processes.end(host.name)
        path = folder / f"{host.name}.toml{SUFFIX}"
        seconds = json.loads(path.read_text())
    windows = [
        parts for second, parts in seconds.items() if begun <= int(second) < ended - 1
    ]
    parts = each_start_us(merged(windows), spent, starts)
    return Measured(rate, starts, ended - begun, spent, parts)


@app.default
def main(rates: tuple[int, ...] = RATES) -> None:
    """Print microseconds of the owner's processor time for each start, by part."""
    recorder = Recorder("script/bench owner")
    found = [anyio.run(_measure, rate) for rate in rates]
    parts = sorted({part for item in found for part in item.parts})
    rows = []
    for item in found:
        cells = [item.asked, item.starts / item.seconds]
        cells += [item.parts.get(part, 0.0) for part in parts]
        cells += [item.a_start_us, item.spent_s / item.seconds]
        rows.append(cells)
    heads = ["asked starts/s", "started/s", *parts, "all, us", "of a core"]
    sys.stdout.write(table(heads, rows) + "\n\n")
    sys.stdout.write(recorder.source().line() + "\n")


if __name__ == "__main__":
    sys.exit(app())
