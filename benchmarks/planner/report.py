"""Tables of what the runs measured, as text and as a plain SVG."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.planner.driver import HOUR_MS, Result, Run

COLUMNS = (
    "fleet",
    "policy",
    "failures/day",
    "90% h",
    "roll-out h",
    "reboots",
    "pool changes",
    "drains to move",
    "jobs moved",
    "short h",
    "spare days",
    "spare %",
    "breaches",
    "zone breaches",
    "refused",
    "losses",
)
SWEEP_COLUMNS = (
    "spares",
    "budget",
    "move_cost",
    "roll-out h",
    "pool changes",
    "drains to move",
    "spare days",
    "spare %",
    "breaches",
    "refused",
)
WIDTH = 860
HEIGHT = 380
MARGIN = 60
PANEL = 340
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b")


@dataclass(frozen=True, slots=True)
class Measured:
    """A run with its result."""

    run: Run
    result: Result


def hours(took_ms: int) -> str:
    """Return a duration in hours, or that it did not end."""
    if took_ms < 0:
        return "not ended"
    return f"{took_ms / HOUR_MS:.2f}"


def table(measured: Sequence[Measured]) -> str:
    """Return the comparison of the policies as a Markdown table."""
    rows = []
    for item in measured:
        run, result = item.run, item.result
        row = (
            run.spec.name,
            run.policy,
            f"{run.failures:.0%}",
            hours(result.most_ms),
            hours(result.roll_out_ms),
            result.reboots,
            result.pool_changes,
            result.drains,
            result.jobs_moved,
            f"{result.short_hours:.1f}",
            f"{result.spare_days:.1f}",
            f"{result.spare_part:.2%}",
            result.breaches,
            result.zone_breaches,
            result.refused,
            result.losses,
        )
        rows.append(row)
    return _markdown(COLUMNS, rows)


def sweep_table(measured: Sequence[Measured]) -> str:
    """Return the sweep over budgets, spares and move costs as a table."""
    rows = []
    for item in measured:
        spec, result = item.run.spec, item.result
        row = (
            spares(item.run),
            spec.budget,
            spec.move_cost,
            hours(result.roll_out_ms),
            result.pool_changes,
            result.drains,
            f"{result.spare_days:.1f}",
            f"{result.spare_part:.2%}",
            result.breaches,
            result.refused,
        )
        rows.append(row)
    return _markdown(SWEEP_COLUMNS, rows)


def spares(run: Run) -> int:
    """Return how many workers a fleet has beyond its pools."""
    return run.spec.workers - run.spec.pools * run.spec.pool_size


def svg(measured: Sequence[Measured]) -> str:
    """Return a plot of the sweep's pools without budget.

    The left panel shows pool changes, the right one the roll-out time, both
    against the spare worker-days held.
    """
    shown = [item for item in measured if item.result.roll_out_ms >= 0]
    costs = sorted({item.run.spec.move_cost for item in shown})
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
    ]
    days = [item.result.spare_days for item in shown]
    changes = [float(item.result.pool_changes) for item in shown]
    took = [item.result.roll_out_ms / HOUR_MS for item in shown]
    parts += _panel(MARGIN, "pool changes", shown, days, changes, costs)
    left = MARGIN + PANEL + MARGIN
    parts += _panel(left, "roll-out, hours", shown, days, took, costs)
    for index, cost in enumerate(costs):
        y = 20 + 14 * index
        colour = COLOURS[index % len(COLOURS)]
        parts.append(f'<circle cx="{WIDTH - 110}" cy="{y}" r="4" fill="{colour}"/>')
        parts.append(f'<text x="{WIDTH - 100}" y="{y + 4}">move_cost {cost}</text>')
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _panel(
    left: int,
    title: str,
    shown: Sequence[Measured],
    xs: Sequence[float],
    ys: Sequence[float],
    costs: Sequence[float],
) -> list[str]:
    """Return one panel: axes, their greatest values, and a point for each run."""
    bottom = HEIGHT - MARGIN
    width, height = PANEL - MARGIN, bottom - MARGIN
    most_x = max(*xs, 1.0)
    most_y = max(*ys, 1.0)
    parts = [
        f'<path d="M{left} {MARGIN} V{bottom} H{left + width}" '
        'fill="none" stroke="black"/>',
        f'<text x="{left}" y="{MARGIN - 10}">{title}</text>',
        f'<text x="{left}" y="{bottom + 32}">spare worker-days held</text>',
        f'<text x="{left + width - 20}" y="{bottom + 16}">{most_x:.0f}</text>',
        f'<text x="{left - 32}" y="{MARGIN + 4}">{most_y:.0f}</text>',
    ]
    for item, x, y in zip(shown, xs, ys, strict=True):
        at_x = left + width * x / most_x
        at_y = bottom - height * y / most_y
        index = costs.index(item.run.spec.move_cost)
        colour = COLOURS[index % len(COLOURS)]
        parts.append(
            f'<circle cx="{at_x:.1f}" cy="{at_y:.1f}" r="4" fill="{colour}" '
            'fill-opacity="0.6"/>'
        )
        label = spares(item.run)
        parts.append(f'<text x="{at_x + 6:.1f}" y="{at_y - 5:.1f}">{label}</text>')
    return parts


def _markdown(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(str(cell) for cell in row) + " |")
    return "\n".join(lines)
