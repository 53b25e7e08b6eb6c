"""The table, the JSON and the plot of a comparison."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import matplotlib
import msgspec

from benchmarks.compare.days import Day
from benchmarks.compare.outcome import Outcome
from benchmarks.compare.paired import Estimate, paired, sums_by_seed
from benchmarks.compare.play import DayRun, Tree

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

ALL_DAYS = "mean of all days"
PARTS = ("worth", "whole_day", "windows", "worst_class", "worst_zone", "priced")


@dataclass(frozen=True, slots=True)
class Row:
    """Mean parts of a day's worth on both trees, and the difference in worth."""

    day: str
    base: dict[str, float]
    change: dict[str, float]
    difference: Estimate
    broken: int


class Comparison:
    """Outcomes on two trees by day and seed."""

    def __init__(self, outcomes: dict[DayRun, Outcome], base: str, change: str) -> None:
        """Group the outcomes; `base` and `change` are names of trees."""
        self._base, self._change = base, change
        self._outcomes: dict[tuple[str, str], dict[int, Outcome]] = defaultdict(dict)
        self._days: list[str] = []
        for run, outcome in outcomes.items():
            if run.day.label not in self._days:
                self._days.append(run.day.label)
            self._outcomes[run.tree.name, run.day.label][run.seed] = outcome

    def rows(self) -> list[Row]:
        """Return a row for each day and, for several days, one for their mean."""
        rows = [self._row(day) for day in self._days]
        rows = [row for row in rows if row is not None]
        if len(rows) > 1:
            rows.append(self._mean_row(rows))
        return rows

    def _worths(self, tree: str, day: str) -> dict[int, float]:
        found = self._outcomes[tree, day]
        return {seed: outcome.worth for seed, outcome in found.items()}

    def _row(self, day: str) -> Row | None:
        differences = paired(
            self._worths(self._base, day), self._worths(self._change, day)
        )
        if not differences:
            return None
        return Row(
            day,
            self._means(self._base, day),
            self._means(self._change, day),
            Estimate.from_values(differences),
            sum(item.broken for item in self._outcomes[self._change, day].values()),
        )

    def _means(self, tree: str, day: str) -> dict[str, float]:
        found = list(self._outcomes[tree, day].values())
        return {
            part: sum(getattr(item, part) for item in found) / len(found)
            for part in PARTS
        }

    def _mean_row(self, rows: list[Row]) -> Row:
        days = [row.day for row in rows]
        base = sums_by_seed([self._worths(self._base, day) for day in days])
        change = sums_by_seed([self._worths(self._change, day) for day in days])
        differences = [item / len(days) for item in paired(base, change)]
        return Row(
            ALL_DAYS,
            _mean_of([row.base for row in rows]),
            _mean_of([row.change for row in rows]),
            Estimate.from_values(differences),
            sum(row.broken for row in rows),
        )


def _mean_of(parts: list[dict[str, float]]) -> dict[str, float]:
    return {part: sum(item[part] for item in parts) / len(parts) for part in PARTS}


def table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| day | seeds | base | change | difference | windows | whole day | prices |"
        " broken |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        cells = [row.day, str(row.difference.count)]
        cells += [f"{row.base['worth']:.3f}", f"{row.change['worth']:.3f}"]
        cells.append(str(row.difference))
        for part in ("windows", "whole_day", "priced"):
            cells.append(f"{row.base[part]:.3f} -> {row.change[part]:.3f}")
        cells.append(str(row.broken))
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def write_json(outcomes: dict[DayRun, Outcome], path: Path) -> None:
    """Write the outcome of each run."""
    items = []
    for run, outcome in outcomes.items():
        items.append(
            {
                "tree": run.tree.name,
                "day": {"label": run.day.label, "source": run.day.source},
                "seed": run.seed,
                "outcome": outcome,
            }
        )
    encoded = msgspec.json.encode(items)
    path.write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")


def read_json(path: Path, tree: Tree) -> dict[DayRun, Outcome]:
    """Return the runs of a tree from a file that `write_json` wrote."""
    outcomes = {}
    for item in msgspec.json.decode(path.read_bytes()):
        if item["tree"] != tree.name:
            continue
        run = DayRun(tree, Day(**item["day"]), item["seed"])
        outcomes[run] = msgspec.convert(item["outcome"], Outcome)
    return outcomes


def plot(rows: list[Row], path: Path) -> None:
    """Plot the differences with their confidence intervals."""
    figure, axes = plt.subplots(figsize=(7, 1 + 0.4 * len(rows)))
    positions = range(len(rows), 0, -1)
    means = [row.difference.mean for row in rows]
    errors = [
        [row.difference.mean - row.difference.low for row in rows],
        [row.difference.high - row.difference.mean for row in rows],
    ]
    axes.errorbar(means, positions, xerr=errors, fmt="o", capsize=3)
    axes.axvline(0.0, color="grey", linewidth=0.8)
    axes.set_yticks(list(positions), [row.day for row in rows])
    axes.set_xlabel("difference in worth (mean, 95% interval)")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
