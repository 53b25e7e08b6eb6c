"""`script/compare BENCH SITE BASE CHANGE`: paired runs of two source trees."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.compare import report
from benchmarks.compare.days import Day, standard_days, without_each_fault
from benchmarks.compare.play import Bench, DayRun, Tree, build, run_all
from benchmarks.compare.trees import Replacement, copy_with

DEFAULT_JOBS = 4
"""Days run at once: half of the processors of the benchmark machine."""

app = App(name="compare", help=__doc__)


@app.default
def compare(
    bench: Path,
    site: Path,
    base: Path,
    change: Path,
    *,
    seeds: int = 3,
    first_seed: int = 1,
    days: Annotated[list[str] | None, Parameter(consume_multiple=True)] = None,
    with_quiet: bool = False,
    replace: Annotated[list[str] | None, Parameter(consume_multiple=True)] = None,
    without_each_fault_of: str = "",
    no_cpu: bool = False,
    jobs: int = DEFAULT_JOBS,
    base_plays: Path | None = None,
    why: str = "paired comparison",
    out: Path = Path("build/compare"),
) -> None:
    """Run the same days with the same seeds on two source trees.

    Args:
        bench: The program of the users' bench.
        site: A site file of the bench.
        base: The tree before the change.
        change: The tree with the change; may be `base` if constants are replaced. The
            copy with replaced constants is written beside it.
        seeds: Number of seeds that each day is run with.
        first_seed: The first seed.
        days: Names or files of days; by default all days of the site except quiet ones.
        with_quiet: Run the quiet days too.
        replace: Constants to replace in a copy of `change`, as
            `package.module:NAME=VALUE`.
        without_each_fault_of: Instead of comparing, run this day on `base` with all of
            its faults and once without each of them.
        no_cpu: Charge no processor time, which makes runs mostly repeatable.
        jobs: Days run at once.
        base_plays: The `plays.json` of an earlier comparison; its runs of `base`
            with the same days and seeds are reused.
        why: A line for the bench's journal.
        out: Folder for the logs, the JSON file and the plot.
    """
    runner = Bench(bench.resolve(), site.resolve(), out.resolve(), why, no_cpu)
    numbers = range(first_seed, first_seed + seeds)
    before = Tree("base", base.resolve())
    known = {} if base_plays is None else report.read_json(base_plays, before)
    if not known:
        build(runner.program, before)
    if without_each_fault_of:
        selected = without_each_fault(site, without_each_fault_of, runner.logs)
        runs = [DayRun(before, day, seed) for day in selected for seed in numbers]
        _print_faults(run_all(runner, runs, jobs), selected)
        return
    after = Tree("change", change.resolve())
    if replace:
        replacements = [Replacement.from_text(text) for text in replace]
        target = after.path.parent / f"{after.path.name}-{out.name}"
        after = Tree("change", copy_with(after.path, target, replacements))
    build(runner.program, after)
    selected = _select_days(site, days, with_quiet)
    runs = []
    for seed in numbers:
        for day in selected:
            runs += [DayRun(tree, day, seed) for tree in (before, after)]
    outcomes = {run: known[run] for run in runs if run in known}
    missing = [run for run in runs if run not in known]
    outcomes |= run_all(runner, missing, jobs)
    report.write_json(outcomes, runner.logs / "plays.json")
    rows = report.Comparison(outcomes, before.name, after.name).rows()
    if not rows:
        sys.exit("no day has a result on both trees")
    report.plot(rows, runner.logs / "differences.svg")
    sys.stdout.write(report.table(rows))


def _select_days(site: Path, names: list[str] | None, with_quiet: bool) -> list[Day]:
    if not names:
        return standard_days(site, with_quiet)
    return [Day(Path(name).stem, name) for name in names]


def _print_faults(outcomes: dict, days: list[Day]) -> None:
    """Print the mean worth of each variant of a day."""
    for day in days:
        worths = [item.worth for run, item in outcomes.items() if run.day == day]
        if worths:
            mean = sum(worths) / len(worths)
            sys.stdout.write(f"{day.label:50} {mean:.3f} ({len(worths)} plays)\n")


if __name__ == "__main__":
    app()
