"""Minions for the tasks of a gang, all of which start at once or none."""

from __future__ import annotations

from collections import defaultdict

from courselead.core.scheduler.minion_filters import fitting_minions
from courselead.core.scheduler.minion_scores import best_minion
from courselead.core.scheduler.selection import Selection
from courselead.core.scheduler.state import Minion


def find_places(
    selection: Selection, minions: list[Minion]
) -> list[tuple[int, Minion]] | None:
    """Return a minion for each task of a gang, None if any task does not fit."""
    spec = selection.spec
    if spec.rack_local:
        warm = selection.warm(minions)
        places = _places_on_one_rack(selection, warm)
        if places is None and len(warm) < len(minions):
            places = _places_on_one_rack(selection, minions)
        if places is not None:
            return places
    return _places_on(selection, minions)


def _places_on_one_rack(
    selection: Selection, minions: list[Minion]
) -> list[tuple[int, Minion]] | None:
    """Return places on a single rack, the preferred one if the gang fits there."""
    racks: dict[str, list[Minion]] = defaultdict(list)
    for minion in minions:
        racks[minion.info.rack].append(minion)
    preferred = selection.spec.preferred_rack
    for rack in sorted(racks, key=lambda rack: rack != preferred):
        places = _places_on(selection, racks[rack])
        if places is not None:
            return places
    return None


def _places_on(
    selection: Selection, minions: list[Minion]
) -> list[tuple[int, Minion]] | None:
    """Return places on some of the minions; forgets what was reserved before."""
    selection.reserved = None
    places = []
    for index in selection.unit.indexes:
        minion = best_minion(selection, fitting_minions(selection, minions))
        if minion is None:
            return None
        selection.reserve(minion)
        places.append((index, minion))
    return places
