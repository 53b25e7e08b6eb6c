"""`script/compare BENCH SITE BASE CHANGE`: paired plays of two trees."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from benchmarks.compare import report
from benchmarks.compare.days import Day, standard_days, without_each_fault
from benchmarks.compare.play import Bench, Play, Tree, build, play_all
from benchmarks.compare.trees import Replacement, copy_with

DEFAULT_JOBS = 4
"""Days played at once: half of the machine's processors."""

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
    """Play the same days with the same seeds on two trees.

    Args:
        bench: The users' bench.
        site: A site file of it.
        base: The tree before the change; copies lie beside it.
        change: The tree with the change; that of `base` to replace constants in it.
        seeds: How many seeds each day is played with.
        first_seed: The first of them.
        days: Names of days, or files of days; all days with trouble by default.
        with_quiet: Play the quiet days too.
        replace: Constants to replace in a copy of `change`, as
            `package.module:NAME=VALUE`.
        without_each_fault_of: A day that is played whole on `base` and with each of
            its faults left out in turn, in place of a comparison.
        no_cpu: Charge no processor time, so that plays mostly repeat.
        jobs: Days played at once.
        base_plays: The `plays.json` of an earlier comparison, whose plays of `base`
            with these days and seeds are taken in place of new ones.
        why: A line for the bench's journal.
        out: Folder of the logs, the JSON and the plot.
    """
    runner = Bench(bench.resolve(), site.resolve(), out.resolve(), why, no_cpu)
    numbers = range(first_seed, first_seed + seeds)
    before = Tree("base", base.resolve())
    known = {} if base_plays is None else report.read_json(base_plays, before)
    if not known:
        build(runner.program, before)
    if without_each_fault_of:
        chosen = without_each_fault(site, without_each_fault_of, runner.logs)
        plays = [Play(before, day, seed) for day in chosen for seed in numbers]
        _print_faults(play_all(runner, plays, jobs), chosen)
        return
    after = Tree("change", change.resolve())
    if replace:
        replacements = [Replacement.from_text(text) for text in replace]
        target = after.path.parent / f"{after.path.name}-{out.name}"
        after = Tree("change", copy_with(after.path, target, replacements))
    build(runner.program, after)
    chosen = _chosen(site, days, with_quiet)
    plays = []
    for seed in numbers:
        for day in chosen:
            plays += [Play(tree, day, seed) for tree in (before, after)]
    outcomes = {play: known[play] for play in plays if play in known}
    missing = [play for play in plays if play not in known]
    outcomes |= play_all(runner, missing, jobs)
    report.write_json(outcomes, runner.logs / "plays.json")
    rows = report.Comparison(outcomes, before.name, after.name).rows()
    if not rows:
        sys.exit("no day has a result on both trees")
    report.plot(rows, runner.logs / "differences.svg")
    sys.stdout.write(report.table(rows))


def _chosen(site: Path, names: list[str] | None, with_quiet: bool) -> list[Day]:
    if not names:
        return standard_days(site, with_quiet)
    return [Day(Path(name).stem, name) for name in names]


def _print_faults(outcomes: dict, days: list[Day]) -> None:
    """Print each variant's mean worth, the whole day first."""
    for day in days:
        worths = [item.worth for play, item in outcomes.items() if play.day == day]
        if worths:
            mean = sum(worths) / len(worths)
            sys.stdout.write(f"{day.label:50} {mean:.3f} ({len(worths)} plays)\n")


if __name__ == "__main__":
    app()
