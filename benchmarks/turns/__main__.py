"""Command line: `python -m benchmarks.turns`."""

from __future__ import annotations

import importlib
import sys

from cyclopts import App

from benchmarks.figures import table
from benchmarks.turns.fleet import TurnFleet
from benchmarks.turns.load import LARGE, Turns, draw_jobs
from benchmarks.turns.measure import in_time, worst_windows

CALM_MS = 8_000
"""Time before the first turn."""

LENGTH_MS = 40_000
TAIL_MS = 12_000
"""Time of the load, one turn of each queue, and for what is left then."""

WORST = 2
"""Windows whose mean is shown as the worst."""

app = App(name="turns", help="Measure what demand by turns is served, and its price.")


def row(seed: int, turns: Turns) -> list[float]:
    """Return what one seed has shown."""
    fleet = TurnFleet(LARGE)
    fleet.run((), CALM_MS)
    begun_ms, moves = fleet.worker_ms, fleet.moves
    fleet.run(draw_jobs(LARGE, turns, LENGTH_MS, seed), LENGTH_MS + TAIL_MS)
    fleet.close()
    served = fleet.served
    queues = sorted({job.queue for job in served})
    shares = []
    for name in queues:
        shares.append(in_time([job for job in served if job.queue == name]))
    return [
        seed,
        len(served),
        in_time(served),
        worst_windows(served, WORST),
        *shares,
        (fleet.worker_ms - begun_ms) / 1_000,
        fleet.moves - moves,
    ]


@app.default
def main(seeds: int = 3, steep: bool = False, replace: tuple[str, ...] = ()) -> None:
    """Print shares served in time, seconds of workers in pools, and moves.

    Args:
        seeds: How many are run.
        steep: Whether a turn's highest rate is reached at once.
        replace: Constants to change, as `module:NAME=VALUE`.
    """
    for text in replace:
        place, _, value = text.partition("=")
        module, _, name = place.partition(":")
        setattr(importlib.import_module(module), name, float(value))
    turns = Turns(steep=steep)
    rows = [row(seed, turns) for seed in range(1, seeds + 1)]
    means = ["mean"]
    for column in range(1, len(rows[0])):
        means.append(sum(one[column] for one in rows) / len(rows))
    pools = sorted(queue.pool for queue in LARGE)
    heads = ["seed", "jobs", "in time", "worst 2 windows", *pools]
    heads += ["worker seconds", "moves"]
    sys.stdout.write(table(heads, [*rows, means]) + "\n")


if __name__ == "__main__":
    sys.exit(app())
