"""The standard days of a site file, and copies of a day without one of its faults."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

EVENT_KEYS = ("plan", "faults")
"""Keys under which a day lists its planned work and its faults."""

QUIET_SLOT = "quiet"


@dataclass(frozen=True, slots=True)
class Day:
    """A day: its label, and the name or file that is passed to the bench."""

    label: str
    source: str


def standard_days(site: Path, with_quiet: bool) -> list[Day]:
    """Return the days of a site file, identified by name."""
    days = []
    for day in tomllib.loads(site.read_text())["day"]:
        if day["slot"] == QUIET_SLOT and not with_quiet:
            continue
        days.append(Day(day["name"], day["name"]))
    return days


def without_each_fault(site: Path, name: str, folder: Path) -> list[Day]:
    """Write copies of a day that each lack one fault; return the day and the copies."""
    day = _find_day(site, name)
    folder.mkdir(parents=True, exist_ok=True)
    days = [Day(name, name)]
    for key in EVENT_KEYS:
        for position, fault in enumerate(day.get(key, [])):
            label = f"{name}-less-{fault['kind']}-{fault['at']}"
            others = [*day[key][:position], *day[key][position + 1 :]]
            days.append(_write_day(folder, label, {**day, key: others}))
    if "closing" in day:
        rest = {key: value for key, value in day.items() if key != "closing"}
        days.append(_write_day(folder, f"{name}-less-closing", rest))
    return days


def _find_day(site: Path, name: str) -> dict[str, Any]:
    for day in tomllib.loads(site.read_text())["day"]:
        if day["name"] == name:
            return day
    raise KeyError(f"{site.name} has no day {name}")


def _write_day(folder: Path, label: str, day: dict[str, Any]) -> Day:
    path = folder / f"{label}.toml"
    lines = [f"{key} = {_toml(value)}" for key, value in {**day, "name": label}.items()]
    path.write_text("[[day]]\n" + "\n".join(lines) + "\n")
    return Day(label, str(path))


def _toml(value: Any) -> str:
    """Encode a value as TOML with inline tables; the standard library has no writer."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        inner = ", ".join(f"{key} = {_toml(item)}" for key, item in value.items())
        return f"{{ {inner} }}"
    if isinstance(value, list):
        return "[" + ", ".join(_toml(item) for item in value) + "]"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return repr(value)
