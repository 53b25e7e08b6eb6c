"""Units that a placement round skips, since they would not fit."""

from __future__ import annotations

from collections import defaultdict

from courselead.core.scheduler import const
from courselead.core.scheduler.models import Resources
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Unit


class UnplaceableNeeds:
    """Resource needs that did not fit in this round.

    A unit that needs at least as much is skipped. Units with extra constraints (gangs,
    a limit per minion, tickets, trials of suspects) are not recorded, since other units
    of the same need may still fit. At most `MAX_CONSTRAINED_TRIES` of them are tried in
    a round, in rotation.
    """

    def __init__(self, skipped_ids: set[int]) -> None:
        """Start empty; `skipped_ids` has the ids of the units to skip in this round."""
        self._needs: dict[str, list[Resources]] = defaultdict(list)
        self._skipped_ids = skipped_ids

    def covers(self, unit: Unit) -> bool:
        """Return whether a unit can be skipped without trying to place it."""
        if id(unit) in self._skipped_ids:
            return True
        charge = unit.spec.charge
        for label in {"", unit.spec.required_label}:
            if any(need.fits(charge) for need in self._needs[label]):
                return True
        return False

    def add(self, unit: Unit) -> None:
        """Record a unit that could not be placed."""
        if is_constrained(unit):
            return
        needs = self._needs[unit.spec.required_label]
        charge = unit.spec.charge
        if not any(need.fits(charge) for need in needs):
            needs.append(charge)


def skipped_ids(schedule: Schedule, pool: str, ready_units: list[Unit]) -> set[int]:
    """Return the ids of the constrained units that are skipped in this round."""
    constrained = [unit for unit in ready_units if is_constrained(unit)]
    if len(constrained) <= const.MAX_CONSTRAINED_TRIES:
        return set()
    first = schedule.constrained_from.get(pool, 0) % len(constrained)
    schedule.constrained_from[pool] = first + const.MAX_CONSTRAINED_TRIES
    ordered = constrained[first:] + constrained[:first]
    return {id(unit) for unit in ordered[const.MAX_CONSTRAINED_TRIES :]}


def is_constrained(unit: Unit) -> bool:
    """Return whether a unit has constraints beyond its resource need and label."""
    spec = unit.spec
    if spec.gang or spec.max_per_minion > 0 or unit.job.advised:
        return True
    return unit.placement_crash_count >= const.TRIAL_CRASHES
