"""Command line: `python -m benchmarks.planner --seed S [--json]`."""

import json
import sys
from collections.abc import Iterator
from dataclasses import asdict, replace
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.planner import report
from benchmarks.planner.driver import Driver, Run
from benchmarks.planner.fleets import FLEETS, sweep_fleet
from benchmarks.planner.report import Measured
from courselead.core.operations.maintenance import POLICIES, RackByRack
from courselead.core.operations.state import DEFAULT_REPLACE_AFTER_MS

FAILURES = (0.0, 0.01, 0.1)
SWEEP_DAYS = 27.9
SWEEP_SPARES = (1, 2, 5, 10)
SWEEP_BUDGETS = (0.1, 0.2, 0.4)
SWEEP_COSTS = (0.5, 5.0, 10.0)

app = App(name="planner", help="Measure the planner in virtual time.")


def compare_runs(seed: int, fleets: list[str], policies: list[str]) -> Iterator[Run]:
    """Yield a run for each named fleet, policy and failure rate."""
    for name in fleets:
        for policy in policies:
            for failures in FAILURES:
                yield Run(FLEETS[name], policy, failures, seed)


def sweep_runs(seed: int) -> Iterator[Run]:
    """Yield runs of the chosen policy over budgets, spares and move costs.

    A run covers two waves, because a spare that a pool keeps pays off in the
    second one.
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
    policy: list[str] | None = None,
    replace_after_s: int = DEFAULT_REPLACE_AFTER_MS // 1000,
) -> None:
    """Run the comparison of the policies or the sweep, and print a table.

    Args:
        seed: Seed of all durations and failures.
        json_output: Print JSON instead of a table.
        sweep: Run the sweep over budgets, spares and move costs.
        fleet: Fleets of the comparison; all by default.
        svg: File to which the plot of the sweep is written.
        policy: Policies to compare; all by default.
        replace_after_s: Downtime in seconds after which a worker is replaced.
    """
    names = policy or list(POLICIES)
    runs = compare_runs(seed, fleet or list(FLEETS), names)
    if sweep:
        runs = sweep_runs(seed)
    measured = []
    for run in runs:
        run = replace(run, replace_ms=replace_after_s * 1000)
        measured.append(Measured(run, Driver.from_run(run).drive()))
        print(".", end="", file=sys.stderr, flush=True)
    print(file=sys.stderr)
    if svg is not None:
        tight = [item for item in measured if item.run.spec.budget < 0.2]
        svg.write_text(report.render_svg(tight))
    if json_output:
        print(json.dumps([asdict(item) for item in measured], indent=1))
        return
    render_table = report.sweep_table if sweep else report.comparison_table
    print(render_table(measured))


if __name__ == "__main__":
    app()
