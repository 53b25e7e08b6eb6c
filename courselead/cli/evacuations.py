"""Finds in the hosts' logs when zones were evacuated and when starts were paused."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from courselead.cli.log_lines import Line

_EVENTS_OF_ZONES = frozenset(
    {"zone_evacuation_in_force", "zone_returned", "zone_restored"}
)

ZONE_EVENTS = _EVENTS_OF_ZONES | {"evacuation_view_old", "evacuation_view_current"}
"""Events that begin or end a time in which starts are restricted."""

_BEGIN_EVENTS = ("zone_evacuation_in_force", "evacuation_view_old")

_END_EVENTS = (
    "zone_returned",
    "zone_restored",
    "evacuation_view_current",
    "schedule_claimed",
)
"""Events that end a restriction. An owner that takes over after the return of a zone
logs none, but each host logs that the record was removed."""


@dataclass(frozen=True, slots=True)
class Restriction:
    """A time in which starts were restricted, in seconds since 1970.

    Attributes:
        zone: The evacuated zone, "" if all starts were paused because the owner had not
            read the operator's log for too long.
    """

    zone: str
    begin: float
    end: float

    def covers_most_of(self, begin: float, end: float) -> bool:
        """Return whether it was in force for more than half of a time."""
        overlap = min(self.end, end) - max(self.begin, begin)
        return overlap > (end - begin) / 2


def find_restrictions(lines: Iterable[Line]) -> list[Restriction]:
    """Return the restrictions in order of their ends; open ones end at infinity."""
    begun: dict[str, Line] = {}
    found = []
    for line in lines:
        before = _apply(begun, line)
        if before is not None:
            zone = _zone_of(line)
            found.append(Restriction(zone, before.seconds, line.seconds))
    for zone, line in begun.items():
        found.append(Restriction(zone, line.seconds, math.inf))
    return found


def lines_in_force(lines: Iterable[Line], at: str) -> list[Line]:
    """Return the lines with which the restrictions in force at a time began."""
    begun: dict[str, Line] = {}
    for line in lines:
        if line.at >= at:
            break
        _apply(begun, line)
    return list(begun.values())


def _apply(begun: dict[str, Line], line: Line) -> Line | None:
    """Update the restrictions in force, and return the first line of one that ends."""
    if line.event in _BEGIN_EVENTS:
        begun.setdefault(_zone_of(line), line)
    elif line.event in _END_EVENTS:
        return begun.pop(_zone_of(line), None)
    return None


def _zone_of(line: Line) -> str:
    """Return the zone that a line is about, "" if it is about all starts."""
    if line.event not in _EVENTS_OF_ZONES:
        return ""
    return str(line.fields.get("zone", ""))


def describe(restrictions: Iterable[Restriction]) -> str:
    """Return what was restricted as a clause, "" if nothing was."""
    zones = sorted({item.zone for item in restrictions})
    if not zones:
        return ""
    if not zones[0]:
        return "while starts were paused, as the operator's log was not read"
    if len(zones) == 1:
        return f"while zone {zones[0]} was evacuated"
    return f"while zones {', '.join(zones)} were evacuated"
