"""Formats the results as Markdown tables and as an SVG plot."""

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


def format_hours(took_ms: int) -> str:
    """Format a duration in hours, or as "not ended" if it is negative."""
    if took_ms < 0:
        return "not ended"
    return f"{took_ms / HOUR_MS:.2f}"


def comparison_table(measured: Sequence[Measured]) -> str:
    """Return the comparison of the policies as a Markdown table."""
    rows = []
    for item in measured:
        run, result = item.run, item.result
        row = (
            run.spec.name,
            run.policy,
            f"{run.failures:.0%}",
            format_hours(result.most_ms),
            format_hours(result.roll_out_ms),
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
            spare_workers(item.run),
            spec.budget,
            spec.move_cost,
            format_hours(result.roll_out_ms),
            result.pool_changes,
            result.drains,
            f"{result.spare_days:.1f}",
            f"{result.spare_part:.2%}",
            result.breaches,
            result.refused,
        )
        rows.append(row)
    return _markdown(SWEEP_COLUMNS, rows)


def spare_workers(run: Run) -> int:
    """Return the number of workers beyond those that the pools need."""
    return run.spec.workers - run.spec.pools * run.spec.pool_size


def render_svg(measured: Sequence[Measured]) -> str:
    """Return a plot of the runs of the sweep whose pools have no budget.

    The left panel shows the pool changes and the right one the roll-out time,
    both against the spare worker-days. Runs without a complete roll-out are
    left out.
    """
    finished = [item for item in measured if item.result.roll_out_ms >= 0]
    costs = sorted({item.run.spec.move_cost for item in finished})
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
    ]
    spare_days = [item.result.spare_days for item in finished]
    changes = [float(item.result.pool_changes) for item in finished]
    roll_out_hours = [item.result.roll_out_ms / HOUR_MS for item in finished]
    elements += _panel_elements(
        MARGIN, "pool changes", finished, spare_days, changes, costs
    )
    left = MARGIN + PANEL + MARGIN
    elements += _panel_elements(
        left, "roll-out, hours", finished, spare_days, roll_out_hours, costs
    )
    for index, cost in enumerate(costs):
        y = 20 + 14 * index
        colour = COLOURS[index % len(COLOURS)]
        elements.append(f'<circle cx="{WIDTH - 110}" cy="{y}" r="4" fill="{colour}"/>')
        elements.append(f'<text x="{WIDTH - 100}" y="{y + 4}">move_cost {cost}</text>')
    elements.append("</svg>")
    return "\n".join(elements) + "\n"


def _panel_elements(
    left: int,
    title: str,
    finished: Sequence[Measured],
    xs: Sequence[float],
    ys: Sequence[float],
    costs: Sequence[float],
) -> list[str]:
    """Return one panel: the axes with their maxima, and a point for each run."""
    bottom = HEIGHT - MARGIN
    width, height = PANEL - MARGIN, bottom - MARGIN
    max_x = max(*xs, 1.0)
    max_y = max(*ys, 1.0)
    elements = [
        f'<path d="M{left} {MARGIN} V{bottom} H{left + width}" '
        'fill="none" stroke="black"/>',
        f'<text x="{left}" y="{MARGIN - 10}">{title}</text>',
        f'<text x="{left}" y="{bottom + 32}">spare worker-days held</text>',
        f'<text x="{left + width - 20}" y="{bottom + 16}">{max_x:.0f}</text>',
        f'<text x="{left - 32}" y="{MARGIN + 4}">{max_y:.0f}</text>',
    ]
    for item, x, y in zip(finished, xs, ys, strict=True):
        point_x = left + width * x / max_x
        point_y = bottom - height * y / max_y
        index = costs.index(item.run.spec.move_cost)
        colour = COLOURS[index % len(COLOURS)]
        elements.append(
            f'<circle cx="{point_x:.1f}" cy="{point_y:.1f}" r="4" fill="{colour}" '
            'fill-opacity="0.6"/>'
        )
        label = spare_workers(item.run)
        elements.append(
            f'<text x="{point_x + 6:.1f}" y="{point_y - 5:.1f}">{label}</text>'
        )
    return elements


def _markdown(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(str(cell) for cell in row) + " |")
    return "\n".join(lines)
