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


def _row(pools: int, minions: int, starts_a_second: int) -> str:
    gc.collect()
    fleet = Fleet(pools, minions)
    jobs_a_slice = starts_a_second * SLICE_MS / 1_000 / (STEPS * TASKS)
    owed = 0.0
    for number in range(SECONDS * 1_000 // SLICE_MS):
        owed += jobs_a_slice
        while owed >= 1:
            owed -= 1
            fleet.submit(f"pool-{number // 10 % pools}")
        fleet.pass_time(SLICE_MS)
    meter = fleet.meter
    each = [f"{meter.each_us(kind):.0f}" for kind in KINDS]
    spent_us = sum(meter.spent.values()) / 1_000
    a_start = spent_us / max(1, fleet.starts)
    carried = US_PER_S / a_start
    cells = [str(pools), str(minions), str(starts_a_second), str(fleet.starts)]
    cells += [*each, f"{a_start:.0f}", f"{carried:.0f}"]
    return "| " + " | ".join(cells) + " |"


@app.default
def main() -> None:
    """Print microseconds of processor time by kind of work, and for each start."""
    heads = ["pools", "minions each", "asked starts/s", "starts", *KINDS]
    heads += ["all, each start", "starts/s of a core"]
    print("| " + " | ".join(heads) + " |")
    print("|" + "---|" * len(heads))
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
