"""Helpers shared by all benchmarks: fits, tables, plots and provenance of figures."""

import gc
import os
import subprocess
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

Key = TypeVar("Key")

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs" / "measurements"
NS_PER_US = 1_000
WIDTH_PX = 640
HEIGHT_PX = 300
MARGIN_PX = 56
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b", "#444444")


@dataclass(frozen=True, slots=True)
class Fit:
    """A line fitted by least squares.

    Attributes:
        r2: Coefficient of determination.
        max_deviation: Largest vertical distance of a point from the line, relative to
            the largest absolute value.
    """

    slope: float
    intercept: float
    r2: float
    max_deviation: float

    @classmethod
    def from_points(cls, points: Sequence[tuple[float, float]]) -> "Fit":
        """Fit a line to at least three points."""
        count = len(points)
        mean_x = sum(x for x, _ in points) / count
        mean_y = sum(y for _, y in points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
        slope = covariance / spread
        intercept = mean_y - slope * mean_x
        residuals = [y - (intercept + slope * x) for x, y in points]
        total = sum((y - mean_y) ** 2 for _, y in points)
        unexplained = sum(residual**2 for residual in residuals)
        r2 = 1.0 - unexplained / total if total else 1.0
        largest = max(abs(y) for _, y in points) or 1.0
        return cls(
            slope, intercept, r2, max(abs(residual) for residual in residuals) / largest
        )

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.intercept + self.slope * x


@dataclass(frozen=True, slots=True)
class Source:
    """Provenance of a set of figures.

    Attributes:
        command: Command that produced them.
        commit: Commit that was checked out, marked if tracked files had changed.
        load: One-minute load average at the start and at the end.
        yardstick: Time of a fixed loop at the start and at the end, in microseconds.
            On a shared machine it varies by up to a factor of two.
    """

    command: str
    commit: str
    load: tuple[float, float]
    yardstick: tuple[float, float]

    def line(self) -> str:
        """Return the provenance line that is printed below a table."""
        cores = os.cpu_count()
        start, end = self.load
        first, last = self.yardstick
        return (
            f"`{self.command}` on commit `{self.commit}`; load average "
            f"{start:.1f} at the begin, {end:.1f} at the end, {cores} cores; "
            f"yardstick {first:.0f} and {last:.0f} us."
        )


class Recorder:
    """Records the machine load at the start and returns the source at the end."""

    def __init__(self, command: str) -> None:
        """Record the load and the yardstick at the start."""
        self._command = command
        self._load = load_average()
        self._yardstick = yardstick_us()

    def source(self) -> Source:
        """Return the provenance of figures measured until now."""
        load = (self._load, load_average())
        yardstick = (self._yardstick, yardstick_us())
        return Source(self._command, commit(), load, yardstick)


def load_average() -> float:
    """Return the machine's one-minute load average."""
    return os.getloadavg()[0]


def yardstick_us() -> float:
    """Return the best time of a fixed loop of plain Python, in microseconds."""
    return min(_run_us(_yardstick, 20) for _ in range(9))


def commit() -> str:
    """Return the checked-out commit, marked if tracked source files differ from it."""
    name = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "-uno", "--", "courselead", "standins")
    return f"{name}+changes" if changed else name


def best_in_rounds(
    calls: Mapping[Key, Callable[[], object]],
    rounds: int = 9,
    min_loop_us: float = 2_000.0,
) -> dict[Key, float]:
    """Return the best processor time of each call, in microseconds.

    Calls are interleaved in rounds, so that a temporary slowdown of the machine affects
    all of them. Garbage collection is disabled while they run.
    """
    loops = {}
    for key, call in calls.items():
        once = _run_us(call, 1)
        loops[key] = max(1, min(1_000, int(min_loop_us / max(once, 0.1))))
    best = dict.fromkeys(calls, float("inf"))
    gc.collect()
    gc.disable()
    try:
        for _ in range(rounds):
            for key, call in calls.items():
                best[key] = min(best[key], _run_us(call, loops[key]))
    finally:
        gc.enable()
    return best


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value at a fraction of the sorted values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(part * len(ordered)))
    return ordered[index]


def table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(_cell(cell) for cell in row) + " |")
    return "\n".join(lines)


def put_block(page: Path, name: str, text: str) -> None:
    """Replace the text between a page's markers; the text around them is kept.

    Raises:
        ValueError: The page has no markers of that name.
    """
    begin = f"<!-- begin {name} -->"
    end = f"<!-- end {name} -->"
    old = page.read_text()
    if begin not in old or end not in old:
        raise ValueError(f"{page.name} has no markers for {name}: add them")
    head = old[: old.index(begin) + len(begin)]
    tail = old[old.index(end) :]
    body = text.strip()
    page.write_text(f"{head}\n{body}\n{tail}")


def plot(
    title: str,
    axes: tuple[str, str],
    lines: dict[str, Sequence[tuple[float, float]]],
) -> str:
    """Return an SVG line chart with one pair of axes."""
    max_x = max(x for points in lines.values() for x, _ in points) or 1.0
    max_y = max(y for points in lines.values() for _, y in points) or 1.0
    right, bottom = WIDTH_PX - 150, HEIGHT_PX - MARGIN_PX
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" '
        f'height="{HEIGHT_PX}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH_PX}" height="{HEIGHT_PX}" fill="white"/>',
        f'<text x="{MARGIN_PX}" y="20" font-size="14">{title}</text>',
        f'<path d="M{MARGIN_PX} 40 V{bottom} H{right}" fill="none" stroke="black"/>',
        f'<text x="{MARGIN_PX}" y="{bottom + 34}">{axes[0]}</text>',
        f'<text x="{right - 30}" y="{bottom + 16}">{max_x:g}</text>',
        f'<text x="4" y="36">{axes[1]}</text>',
        f'<text x="4" y="56">{max_y:.3g}</text>',
    ]
    for index, (name, points) in enumerate(lines.items()):
        colour = COLOURS[index % len(COLOURS)]
        shown = []
        for x, y in points:
            at_x = MARGIN_PX + (right - MARGIN_PX) * x / max_x
            at_y = bottom - (bottom - 40) * y / max_y
            shown.append(f"{at_x:.1f},{at_y:.1f}")
            parts.append(
                f'<circle cx="{at_x:.1f}" cy="{at_y:.1f}" r="3" fill="{colour}"/>'
            )
        joined = " ".join(shown)
        parts.append(f'<polyline points="{joined}" fill="none" stroke="{colour}"/>')
        y = 44 + 16 * index
        parts.append(f'<text x="{right + 10}" y="{y}" fill="{colour}">{name}</text>')
    parts.append("</svg>")
    return "\n".join(parts) + "\n"


def _run_us(call: Callable[[], object], loops: int) -> float:
    """Return the mean processor time of a call, in microseconds."""
    start = time.process_time_ns()
    for _ in range(loops):
        call()
    return (time.process_time_ns() - start) / loops / NS_PER_US


def _yardstick() -> dict[int, int]:
    """Do a fixed amount of work: 1,000 insertions into a dictionary."""
    inserted = {}
    for number in range(1_000):
        inserted[number * 7 % 1_009] = number
    return inserted


def _cell(value: object) -> str:
    """Format one cell; floats below 1,000 get three significant digits."""
    if not isinstance(value, float):
        return str(value)
    if value == 0 or abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _git(*args: str) -> str:
    """Return the output of a git command."""
    command = ["git", *args]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return done.stdout.strip()
