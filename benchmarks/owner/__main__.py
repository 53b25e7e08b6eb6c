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
from benchmarks.owner.account import merge_samples, us_by_part
from benchmarks.owner.sampled import SUFFIX
from benchmarks.path.proc import cpu_s
from demo.job_site import JobSite, running_site

HOST_COMMAND = (sys.executable, "-m", "benchmarks.owner.sampled")

RATES = (100, 500, 1_000)
"""Requested starts per second: of a grown site, a large one, and its peak."""

MEASURED_S = 8
WARM_UP_S = 2.0
"""Duration of the measured load, and of the load before it."""

MACHINES = 96
"""Number of minions that one process can simulate next to 1,000 calls per second."""

TASKS = 8
STEPS = 2
TASK = {"count": TASKS, "cpu": 200}
RUN_MS = 400
"""Jobs like the users' short ones: two steps of eight tasks of about half a second."""

app = App(name="owner", help="Measure where the owner's processor time goes.")


@dataclass(frozen=True, slots=True)
class Measurement:
    """Result for one rate.

    Attributes:
        requested_rate: Requested starts per second.
        starts: Runs that were started during the measurement.
        seconds: Duration of the measurement.
        spent_s: Processor time of the owner during the measurement.
        parts: Microseconds of processor time per start, by part.
    """

    requested_rate: int
    starts: int
    seconds: float
    spent_s: float
    parts: dict[str, float]

    @property
    def us_per_start(self) -> float:
        """Return the owner's processor time per start, in microseconds."""
        return self.spent_s * 1_000_000 / max(1, self.starts)


async def _submit_jobs(site: JobSite, rate: int, seconds: float) -> None:
    """Submit jobs at a constant rate; jobs behind schedule are submitted at once."""
    jobs = int(rate * seconds / (TASKS * STEPS))
    first = len(site.accepted)
    start = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        for number in range(jobs):
            due = start + number * seconds / jobs
            await anyio.sleep(max(0.0, due - anyio.current_time()))
            second = {**TASK, "after": [0]}
            payload = {"run_ms": RUN_MS, "cpu": TASK["cpu"]}
            submit = partial(site.submit, first + number, TASK, second, **payload)
            tasks.start_soon(submit)


async def _count_starts(site: JobSite) -> int:
    ledger = await site.ledger()
    return sum(ledger["starts"].values())


async def _measure(rate: int, machines: int) -> Measurement:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with running_site(
            HOST_COMMAND, folder, 1, machines, relays=False
        ) as site:
            host = site.hosts[0]
            pid = site.processes.pid(host.name)
            await _submit_jobs(site, rate, WARM_UP_S)
            start, spent, starts = (
                time.monotonic(),
                cpu_s(pid),
                await _count_starts(site),
            )
            await _submit_jobs(site, rate, MEASURED_S)
            end = time.monotonic()
            spent, starts = cpu_s(pid) - spent, await _count_starts(site) - starts
            await site.processes.end(host.name)
        path = folder / f"{host.name}.toml{SUFFIX}"
        seconds = json.loads(path.read_text())
    windows = [
        parts for second, parts in seconds.items() if start <= int(second) < end - 1
    ]
    parts = us_by_part(merge_samples(windows), spent, starts)
    return Measurement(rate, starts, end - start, spent, parts)


@app.default
def main(rates: tuple[int, ...] = RATES, machines: int = MACHINES) -> None:
    """Print the owner's processor time per start in microseconds, by part.

    Args:
        rates: Requested starts per second.
        machines: Minions, all in one pool.
    """
    recorder = Recorder("script/bench owner")
    measurements = [anyio.run(_measure, rate, machines) for rate in rates]
    parts = sorted({part for item in measurements for part in item.parts})
    rows = []
    for item in measurements:
        cells = [item.requested_rate, item.starts / item.seconds]
        cells += [item.parts.get(part, 0.0) for part in parts]
        cells += [item.us_per_start, item.spent_s / item.seconds]
        rows.append(cells)
    headings = ["asked starts/s", "started/s", *parts, "all, us", "of a core"]
    sys.stdout.write(table(headings, rows) + "\n\n")
    sys.stdout.write(recorder.source().line() + "\n")


if __name__ == "__main__":
    sys.exit(app())
