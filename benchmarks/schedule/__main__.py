"""Command line: `python -m benchmarks.schedule`."""

from __future__ import annotations

import gc
import sys

from cyclopts import App

from benchmarks.schedule.fleet import STEPS, TASKS, Fleet

KINDS = ("intake", "place", "answer", "look", "save", "tick")
SECONDS = 5
SLICE_MS = 100
US_PER_S = 1_000_000

app = App(name="schedule", help="Measure the processor time of the scheduler's core.")


def _row(pools: int, minions: int, starts_per_s: int) -> str:
    gc.collect()
    fleet = Fleet(pools, minions)
    jobs_per_slice = starts_per_s * SLICE_MS / 1_000 / (STEPS * TASKS)
    pending_jobs = 0.0
    for number in range(SECONDS * 1_000 // SLICE_MS):
        pending_jobs += jobs_per_slice
        while pending_jobs >= 1:
            pending_jobs -= 1
            fleet.submit(f"pool-{number // 10 % pools}")
        fleet.pass_time(SLICE_MS)
    meter = fleet.meter
    each = [f"{meter.mean_us(kind):.0f}" for kind in KINDS]
    spent_us = sum(meter.total_ns.values()) / 1_000
    us_per_start = spent_us / max(1, fleet.starts)
    starts_per_core_s = US_PER_S / us_per_start
    cells = [str(pools), str(minions), str(starts_per_s), str(fleet.starts)]
    cells += [*each, f"{us_per_start:.0f}", f"{starts_per_core_s:.0f}"]
    return "| " + " | ".join(cells) + " |"


@app.default
def main() -> None:
    """Print processor time in microseconds by kind of work and per start."""
    headings = ["pools", "minions each", "asked starts/s", "starts", *KINDS]
    headings += ["all, each start", "starts/s of a core"]
    print("| " + " | ".join(headings) + " |")
    print("|" + "---|" * len(headings))
    for pools, minions, starts in (
        (4, 8, 80),
        (4, 8, 200),
        (4, 16, 400),
        (8, 36, 400),
        (8, 36, 900),
        (16, 60, 900),
    ):
        print(_row(pools, minions, starts))


if __name__ == "__main__":
    sys.exit(app())
