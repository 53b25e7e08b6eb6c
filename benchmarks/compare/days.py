"""The standard days of a site file, and a day with one of its faults left out."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

KINDS_OF_TROUBLE = ("plan", "faults")
"""Where a day lists what befalls it."""

QUIET = "quiet"


@dataclass(frozen=True, slots=True)
class Day:
    """A day: its label, and what the bench is told to play (a name or a file)."""

    label: str
    source: str


def standard_days(site: Path, with_quiet: bool) -> list[Day]:
    """Return a site's days by name."""
    days = []
    for day in tomllib.loads(site.read_text())["day"]:
        if day["slot"] == QUIET and not with_quiet:
            continue
        days.append(Day(day["name"], day["name"]))
    return days


def without_each_fault(site: Path, name: str, folder: Path) -> list[Day]:
    """Write a day once for each of its faults, without it, and return all with it."""
    day = _named(site, name)
    folder.mkdir(parents=True, exist_ok=True)
    days = [Day(name, name)]
    for key in KINDS_OF_TROUBLE:
        for position, fault in enumerate(day.get(key, [])):
            label = f"{name}-less-{fault['kind']}-{fault['at']}"
            left = [*day[key][:position], *day[key][position + 1 :]]
            days.append(_written(folder, label, {**day, key: left}))
    if "closing" in day:
        rest = {key: value for key, value in day.items() if key != "closing"}
        days.append(_written(folder, f"{name}-less-closing", rest))
    return days


def _named(site: Path, name: str) -> dict[str, Any]:
    for day in tomllib.loads(site.read_text())["day"]:
        if day["name"] == name:
            return day
    raise KeyError(f"{site.name} has no day {name}")


def _written(folder: Path, label: str, day: dict[str, Any]) -> Day:
    path = folder / f"{label}.toml"
    lines = [f"{key} = {_toml(value)}" for key, value in {**day, "name": label}.items()]
    path.write_text("[[day]]\n" + "\n".join(lines) + "\n")
    return Day(label, str(path))


def _toml(value: Any) -> str:
    """Return a value as TOML, tables inline; the standard library only reads it."""
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
