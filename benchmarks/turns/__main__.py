"""Command line: `python -m benchmarks.turns`."""

from __future__ import annotations

import importlib
import sys

from cyclopts import App

from benchmarks.figures import table
from benchmarks.turns.fleet import VirtualFleet
from benchmarks.turns.load import LARGE, Bursts, draw_jobs
from benchmarks.turns.measure import in_time_share, worst_windows_share

IDLE_MS = 8_000
"""Time before the first burst."""

LOAD_MS = 40_000
DRAIN_MS = 12_000
"""Duration of the load (one burst of each queue), and of the time after it."""

WORST_WINDOWS = 2
"""Number of windows in the mean of the worst windows."""

app = App(
    name="turns",
    help="Measure service and cost when pools have demand bursts one after another.",
)


def row(seed: int, bursts: Bursts) -> list[float]:
    """Return the row of results for one seed."""
    fleet = VirtualFleet(LARGE)
    fleet.run((), IDLE_MS)
    worker_ms_before, moves_before = fleet.worker_ms, fleet.moves
    fleet.run(draw_jobs(LARGE, bursts, LOAD_MS, seed), LOAD_MS + DRAIN_MS)
    fleet.close()
    results = fleet.results
    queues = sorted({job.queue for job in results})
    shares = []
    for name in queues:
        shares.append(in_time_share([job for job in results if job.queue == name]))
    return [
        seed,
        len(results),
        in_time_share(results),
        worst_windows_share(results, WORST_WINDOWS),
        *shares,
        (fleet.worker_ms - worker_ms_before) / 1_000,
        fleet.moves - moves_before,
    ]


@app.default
def main(seeds: int = 3, steep: bool = False, replace: tuple[str, ...] = ()) -> None:
    """Print shares served in time, worker seconds in pools, and moves of workers.

    Args:
        seeds: Number of seeds to run.
        steep: Whether a burst has a constant rate, without a ramp.
        replace: Constants to replace, as `module:NAME=VALUE`.
    """
    for text in replace:
        path, _, value = text.partition("=")
        module, _, name = path.partition(":")
        setattr(importlib.import_module(module), name, float(value))
    bursts = Bursts(steep=steep)
    rows = [row(seed, bursts) for seed in range(1, seeds + 1)]
    means = ["mean"]
    for column in range(1, len(rows[0])):
        means.append(sum(values[column] for values in rows) / len(rows))
    pools = sorted(queue.pool for queue in LARGE)
    headings = ["seed", "jobs", "in time", "worst 2 windows", *pools]
    headings += ["worker seconds", "moves"]
    sys.stdout.write(table(headings, [*rows, means]) + "\n")


if __name__ == "__main__":
    sys.exit(app())
