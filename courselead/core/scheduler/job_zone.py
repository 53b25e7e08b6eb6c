"""The availability zone in which the tasks of a job are placed."""

from __future__ import annotations

from collections import defaultdict

from courselead.core.scheduler.state import Minion, Unit


def zone_for(unit: Unit, minions: list[Minion]) -> str:
    """Return the zone with the least free capacity that fits a step.

    If it fits in no zone, the zone with the most free capacity is returned. Keeping a
    job in one zone limits the damage when a zone is cut off: nearly all jobs whose
    tasks are spread over the zones lose a task then, while only the jobs of that zone
    do if each job has a single one.
    """
    free: dict[str, int] = defaultdict(int)
    for minion in minions:
        free[minion.info.zone] += minion.free_capacity.cpu_milli
    need = unit.step.open_units * unit.spec.charge.cpu_milli
    fitting = [zone for zone in sorted(free) if free[zone] >= need]
    if fitting:
        return min(fitting, key=free.__getitem__)
    return max(sorted(free), key=free.__getitem__, default="")
