"""Start order of the ready units of a pool."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from courselead.core.scheduler import urgency
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import StepRun, Unit

_LONG_RUNNING, _FINITE, _OVER_SHARE = range(3)
"""Start order within a priority: long-running tasks first, then finite tasks, then
finite tasks beyond their account's fair share."""


@dataclass(slots=True)
class Group:
    """Units of one step that are adjacent in the start order.

    Long-running tasks of a step may start to wait at different times, so each of them
    is a group of its own.
    """

    order: tuple[int, ...]
    units: list[Unit]

    @property
    def account(self) -> str:
        """Return the account that the units belong to, "" if there is none."""
        return self.units[0].job.account

    @property
    def finite_unit_milli(self) -> int:
        """Return the CPU need of one unit of the group, 0 if it is long-running.

        The need is that of all tasks of the unit, in thousandths of a core.
        """
        unit = self.units[0]
        if unit.spec.long_running:
            return 0
        return unit.spec.need.cpu_milli * len(unit.indexes)


def group_units(schedule: Schedule, ready_units: list[Unit]) -> list[Group]:
    """Return the groups of a ready list in start order, regardless of accounts."""
    group_by_step: dict[int, Group] = {}
    groups: list[Group] = []
    for unit in ready_units:
        group = group_by_step.get(id(unit.step))
        if group is not None:
            group.units.append(unit)
            continue
        group = Group((*_start_order(schedule, unit.step), unit.ready_ms), [unit])
        groups.append(group)
        if not unit.spec.long_running:
            group_by_step[id(unit.step)] = group
    return sorted(groups, key=lambda group: group.order)


def waiting_by_account(groups: list[Group]) -> dict[str, int]:
    """Return the CPU need of the waiting finite units, in thousandths of a core."""
    waiting: dict[str, int] = defaultdict(int)
    for group in groups:
        need = group.finite_unit_milli
        if need:
            waiting[group.account] += need * len(group.units)
    return waiting


def with_shares(groups: list[Group], remaining_milli: dict[str, int]) -> list[Group]:
    """Return the groups with units beyond an account's fair share moved back.

    These units come after all other units of the same priority. Long-running tasks and
    accounts without a limit are never moved back.

    Args:
        groups: The groups in start order.
        remaining_milli: What is left of each limited account's fair share, in
            thousandths of a core. It is used up by this call.
    """
    if not remaining_milli:
        return groups
    reordered: list[Group] = []
    for group in groups:
        account, need = group.account, group.finite_unit_milli
        if not need or account not in remaining_milli:
            reordered.append(group)
            continue
        count = max(0, remaining_milli[account] // need)
        remaining_milli[account] -= need * len(group.units)
        if count:
            reordered.append(Group(group.order, group.units[:count]))
        over_share = group.units[count:]
        if over_share:
            priority, _, *rest = group.order
            reordered.append(Group((priority, _OVER_SHARE, *rest), over_share))
    return sorted(reordered, key=lambda group: group.order[:2])


def _start_order(schedule: Schedule, step: StepRun) -> tuple[int, int, int, int]:
    """Return the sort key of a step's units; the lowest starts first."""
    settings = step.job.settings
    priority = settings.priority if settings is not None else 0
    if step.spec.long_running:
        return (priority, _LONG_RUNNING, 0, 0)
    late = urgency.is_late(schedule, step)
    return (priority, _FINITE, int(late), urgency.remaining_work(schedule, step).work)
