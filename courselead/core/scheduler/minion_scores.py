"""Scores of the minions that fit a unit: named terms, the most important one first.

Each term keeps the minions that it values most, so a later term only decides between
minions that are equal in all earlier ones. Terms take and return lists, since a
function call for each minion would noticeably slow down a placement round.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from courselead.core.scheduler import stalls
from courselead.core.scheduler.selection import Selection
from courselead.core.scheduler.state import Minion

Term = Callable[[Selection, list[Minion]], list[Minion]]
"""Returns the best of one or more minions in their order, never none of them."""


def best_minion(selection: Selection, minions: list[Minion]) -> Minion | None:
    """Return the minion that all terms prefer, the first of equals; None if none."""
    if not minions:
        return None
    terms = LONG_RUNNING_TERMS if selection.spec.long_running else FINITE_TERMS
    for term in terms:
        if len(minions) == 1:
            break
        minions = term(selection, minions)
    return minions[0]


def warm(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Use a minion that is warming up only where no warm one fits.

    This outweighs all other terms. A zone that returns from an evacuation is empty and
    would otherwise draw the whole queue to minions that are slow.
    """
    return selection.warm(minions) or minions


def least_neighbour_penalty(
    selection: Selection, minions: list[Minion]
) -> list[Minion]:
    """Keep suspects apart from other work."""
    isolation = selection.isolation
    if isolation is None:
        return minions
    return _with_least(
        minions, [isolation.penalty(selection.unit, item) for item in minions]
    )


def not_avoided(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Avoid quarantined minions and those that the unit itself avoids."""
    now_ms = selection.schedule.now_ms
    kept = [item for item in minions if now_ms >= item.quarantine_until_ms]
    avoid = selection.unit.avoid
    if avoid:
        kept = [item for item in kept if item.minion_id not in avoid]
    return kept or minions


def on_preferred_rack(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Prefer the rack of the step's data."""
    rack = selection.spec.preferred_rack
    if not rack:
        return minions
    return [item for item in minions if item.info.rack == rack] or minions


def in_job_zone(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Keep the finite tasks of a job in one zone."""
    zone = selection.unit.job.zone
    return [item for item in minions if item.info.zone == zone] or minions


def least_free_cpu(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Fill the minions that have the least free capacity."""
    free_cpu = _free_cpu(selection, minions)
    return [minions[free_cpu.index(min(free_cpu))]]


def without_stalled(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Avoid minions on which another long-running task does not become ready."""
    return [
        item
        for item in minions
        if not stalls.has_stalled_service(selection.schedule, item)
    ] or minions


def with_long_running(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Pack long-running tasks onto few workers.

    A worker with a long-running task cannot change pools.
    """
    return [item for item in minions if item.serves] or minions


def least_conflicts(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Keep filler tasks (`fills`) and other long-running tasks apart.

    They slow each other down.
    """
    fills = selection.spec.fills
    return _with_least(
        minions,
        [
            sum(run.unit.spec.fills != fills for run in item.runs.values())
            for item in minions
        ],
    )


def most_free_cpu(selection: Selection, minions: list[Minion]) -> list[Minion]:
    """Spread long-running tasks to the minions that have the most free capacity."""
    free_cpu = _free_cpu(selection, minions)
    return [minions[free_cpu.index(max(free_cpu))]]


FINITE_TERMS: tuple[Term, ...] = (
    warm,
    least_neighbour_penalty,
    not_avoided,
    on_preferred_rack,
    in_job_zone,
    least_free_cpu,
)
"""Terms of the score for a finite task."""

LONG_RUNNING_TERMS: tuple[Term, ...] = (
    warm,
    least_neighbour_penalty,
    not_avoided,
    without_stalled,
    on_preferred_rack,
    with_long_running,
    least_conflicts,
    most_free_cpu,
)
"""Terms of the score for a long-running task."""


def _free_cpu(selection: Selection, minions: list[Minion]) -> list[int]:
    """Return the free CPU of each minion, in thousandths of a core."""
    if selection.reserved:
        return [selection.free_capacity(item).cpu_milli for item in minions]
    return [item.free_capacity.cpu_milli for item in minions]


def _with_least(minions: list[Minion], values: Sequence[int]) -> list[Minion]:
    """Return the minions that have the lowest of the values, one for each minion."""
    least = min(values)
    pairs = zip(minions, values, strict=True)
    return [item for item, value in pairs if value == least]
