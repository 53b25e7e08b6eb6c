"""Command line: `python -m benchmarks.owner`."""

from __future__ import annotations

import json
import sys
import tempfile
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
from cyclopts import App

from benchmarks.figures import Recorder, table
from benchmarks.owner.account import each_start_us, merged
from benchmarks.owner.sampled import SUFFIX
from benchmarks.path.proc import cpu_s
from demo.job_site import JobSite, running_site

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


async def _load(site: JobSite, rate: int, seconds: float) -> None:
    """Hand jobs in at an even rate; those that come late come all the same."""
    jobs = int(rate * seconds / (WIDTH * STEPS))
    first = len(site.accepted)
    begun = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for number in range(jobs):
            due = begun + number * seconds / jobs
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            second = {**TASK, "after": [0]}
            payload = {"run_ms": RUN_MS, "cpu": TASK["cpu"]}
            submit = partial(site.submit, first + number, TASK, second, **payload)
            tasks.start_soon(submit)


async def _starts(site: JobSite) -> int:
    ledger = await site.ledger()
    return sum(ledger["starts"].values())


async def _measure(rate: int, machines: int) -> Measured:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with running_site(SAMPLED, folder, 1, machines, relays=False) as site:
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
def main(rates: tuple[int, ...] = RATES, machines: int = MACHINES) -> None:
    """Print microseconds of the owner's processor time for each start, by part.

    Args:
        rates: Starts asked for in a second.
        machines: Minions, all in one pool.
    """
    recorder = Recorder("script/bench owner")
    found = [anyio.run(_measure, rate, machines) for rate in rates]
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
