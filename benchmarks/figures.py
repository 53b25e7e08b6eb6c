"""What all benches share: fits, tables, plots, and where a figure comes from."""

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
WIDTH = 640
HEIGHT = 300
MARGIN = 56
COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b8860b", "#444444")


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line.

    Attributes:
        r2: Part of the variance that the line explains.
        worst: Largest distance of a point from the line, as a part of the
            largest value.
    """

    slope: float
    base: float
    r2: float
    worst: float

    @classmethod
    def from_points(cls, points: Sequence[tuple[float, float]]) -> "Fit":
        """Return the line through at least three points."""
        count = len(points)
        mean_x = sum(x for x, _ in points) / count
        mean_y = sum(y for _, y in points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in points)
        joint = sum((x - mean_x) * (y - mean_y) for x, y in points)
        slope = joint / spread
        base = mean_y - slope * mean_x
        off = [y - (base + slope * x) for x, y in points]
        total = sum((y - mean_y) ** 2 for _, y in points)
        left = sum(one**2 for one in off)
        r2 = 1.0 - left / total if total else 1.0
        most = max(abs(y) for _, y in points) or 1.0
        return cls(slope, base, r2, max(abs(one) for one in off) / most)

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.base + self.slope * x


@dataclass(frozen=True, slots=True)
class Source:
    """Where figures come from.

    Attributes:
        command: That gave them.
        commit: That was checked out, with a mark if it was changed.
        load: One-minute load average at the begin and at the end.
        yardstick: What a fixed loop took then, in microseconds: a machine
            that others use as well is slower at times, by up to twice.
    """

    command: str
    commit: str
    load: tuple[float, float]
    yardstick: tuple[float, float]

    def line(self) -> str:
        """Return the line under a table."""
        cores = os.cpu_count()
        start, end = self.load
        first, last = self.yardstick
        return (
            f"`{self.command}` on commit `{self.commit}`; load average "
            f"{start:.1f} at the begin, {end:.1f} at the end, {cores} cores; "
            f"yardstick {first:.0f} and {last:.0f} us."
        )


class Recorder:
    """Notes the load at the begin, and gives the source at the end."""

    def __init__(self, command: str) -> None:
        """Start now."""
        self._command = command
        self._load = load_average()
        self._yardstick = yardstick_us()

    def source(self) -> Source:
        """Return where the figures come from."""
        load = (self._load, load_average())
        yardstick = (self._yardstick, yardstick_us())
        return Source(self._command, commit(), load, yardstick)


def load_average() -> float:
    """Return the machine's load average over a minute."""
    return os.getloadavg()[0]


def yardstick_us() -> float:
    """Return the best time of a fixed loop of plain Python, in microseconds."""
    return min(_run_us(_yardstick, 20) for _ in range(9))


def commit() -> str:
    """Return the commit at hand, marked if tracked files differ from it."""
    name = _git("rev-parse", "--short", "HEAD")
    changed = _git("status", "--porcelain", "-uno", "--", "courselead", "standins")
    return f"{name}+changes" if changed else name


def best_in_rounds(
    calls: Mapping[Key, Callable[[], object]],
    rounds: int = 9,
    least_us: float = 2_000.0,
) -> dict[Key, float]:
    """Return the best processor time of each call, in microseconds.

    All calls take turns, round after round, so that a machine that is slow for
    a while is slow for all of them; garbage collection is off meanwhile.
    """
    loops = {}
    for key, call in calls.items():
        once = _run_us(call, 1)
        loops[key] = max(1, min(1_000, int(least_us / max(once, 0.1))))
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
    """Return the value that a part of all values does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(part * len(ordered)))
    return ordered[place]


def table(columns: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    for row in rows:
        lines.append("| " + " | ".join(_cell(cell) for cell in row) + " |")
    return "\n".join(lines)


def put_block(page: Path, name: str, text: str) -> None:
    """Put generated text between a page's marks; prose around them stays.

    Raises:
        ValueError: The page has no marks of that name.
    """
    begin = f"<!-- begin {name} -->"
    end = f"<!-- end {name} -->"
    old = page.read_text()
    if begin not in old or end not in old:
        raise ValueError(f"{page.name} has no marks for {name}: add them")
    head = old[: old.index(begin) + len(begin)]
    tail = old[old.index(end) :]
    body = text.strip()
    page.write_text(f"{head}\n{body}\n{tail}")


def plot(
    title: str,
    axes: tuple[str, str],
    lines: dict[str, Sequence[tuple[float, float]]],
) -> str:
    """Return a plain SVG of some lines over one pair of axes."""
    most_x = max(x for points in lines.values() for x, _ in points) or 1.0
    most_y = max(y for points in lines.values() for _, y in points) or 1.0
    right, bottom = WIDTH - 150, HEIGHT - MARGIN
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{MARGIN}" y="20" font-size="14">{title}</text>',
        f'<path d="M{MARGIN} 40 V{bottom} H{right}" fill="none" stroke="black"/>',
        f'<text x="{MARGIN}" y="{bottom + 34}">{axes[0]}</text>',
        f'<text x="{right - 30}" y="{bottom + 16}">{most_x:g}</text>',
        f'<text x="4" y="36">{axes[1]}</text>',
        f'<text x="4" y="56">{most_y:.3g}</text>',
    ]
    for index, (name, points) in enumerate(lines.items()):
        colour = COLOURS[index % len(COLOURS)]
        shown = []
        for x, y in points:
            at_x = MARGIN + (right - MARGIN) * x / most_x
            at_y = bottom - (bottom - 40) * y / most_y
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
    """Return the processor time of one call, as the mean of some."""
    start = time.process_time_ns()
    for _ in range(loops):
        call()
    return (time.process_time_ns() - start) / loops / NS_PER_US


def _yardstick() -> dict[int, int]:
    """Do a fixed amount of work: 1,000 insertions into a dictionary."""
    made = {}
    for number in range(1_000):
        made[number * 7 % 1_009] = number
    return made


def _cell(value: object) -> str:
    """Return one cell; a number has three or four figures that count."""
    if not isinstance(value, float):
        return str(value)
    if value == 0 or abs(value) >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _git(*args: str) -> str:
    """Return what a git command prints."""
    command = ["git", *args]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    return done.stdout.strip()
