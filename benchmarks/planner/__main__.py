"""Command line: `python -m benchmarks.planner --seed S [--json]`."""

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.planner import report
from benchmarks.planner.driver import Driver, Run
from benchmarks.planner.fleets import FLEETS, sweep_fleet
from benchmarks.planner.report import Measured
from courselead.core.operations.maintenance import POLICIES, RackByRack

FAILURES = (0.0, 0.01, 0.1)
SWEEP_DAYS = 27.9
SWEEP_SPARES = (1, 2, 5, 10)
SWEEP_BUDGETS = (0.1, 0.2, 0.4)
SWEEP_COSTS = (0.5, 5.0, 10.0)

app = App(name="planner", help="Measure the planner in virtual time.")


def compare_runs(seed: int, fleets: list[str]) -> Iterator[Run]:
    """Yield each policy at each failure rate on the fleets named."""
    for name in fleets:
        for policy in POLICIES:
            for failures in FAILURES:
                yield Run(FLEETS[name], policy, failures, seed)


def sweep_runs(seed: int) -> Iterator[Run]:
    """Yield the chosen policy over budgets, spares and move costs.

    Two waves are run, since a spare that is held pays off in the second.
    """
    for budget in SWEEP_BUDGETS:
        for spare in SWEEP_SPARES:
            for cost in SWEEP_COSTS:
                spec = sweep_fleet(spare, budget, cost)
                yield Run(spec, RackByRack.name, 0.0, seed, SWEEP_DAYS)


@app.default
def main(
    *,
    seed: int = 1,
    json_output: Annotated[bool, Parameter(name="--json")] = False,
    sweep: bool = False,
    fleet: list[str] | None = None,
    svg: Path | None = None,
) -> None:
    """Run the comparison of the policies, or the sweep.

    Args:
        seed: Of all durations and failures.
        json_output: Print JSON in place of a table.
        sweep: Run the sweep over budgets, spares and move costs.
        fleet: Fleets to compare on; all if none is named.
        svg: Where to write the sweep's plot.
    """
    runs = sweep_runs(seed) if sweep else compare_runs(seed, fleet or list(FLEETS))
    measured = []
    for run in runs:
        measured.append(Measured(run, Driver.from_run(run).drive()))
        print(".", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    if svg is not None:
        tight = [item for item in measured if item.run.spec.budget < 0.2]
        svg.write_text(report.svg(tight))
    if json_output:
        print(json.dumps([asdict(item) for item in measured], indent=1))
        return
    make = report.sweep_table if sweep else report.table
    print(make(measured))


if __name__ == "__main__":
    app()
