"""What an earlier owner may have left running where this one can't see it."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from courselead.core.scheduler import const
from courselead.core.scheduler.schedule import DoubtedLife, Schedule
from courselead.core.scheduler.state import Unit

CLOUD_WAIT_MS = 1_000
"""Time after a takeover in which the cloud's list is waited for."""


@dataclass(frozen=True, slots=True)
class Doubt:
    """Which tasks may run unseen: of jobs from before all of a pool or some, by name.

    The load: a third of the minions in a zone that is cut off with the owner. Held back
    as whole pools, 86 tasks waited beside 8 to 12 idle workers for 2 s.
    """

    whole_pool: bool = False
    tasks: frozenset[str] = frozenset()
    barred: frozenset[str] = frozenset()

    def beside(self, barred: frozenset[str]) -> Doubt:
        """Return the doubt with tasks of any job that may begin somewhere yet."""
        return replace(self, barred=barred) if barred else self

    def holds_back(self, unit: Unit) -> bool:
        """Return whether a unit has to wait."""
        if self.barred and self._names(unit, self.barred):
            return True
        if not unit.job.from_before:
            return False
        if self.whole_pool:
            return True
        return self._names(unit, self.tasks)

    def may_hold(self, job_id: str) -> bool:
        """Return whether tasks of a job from before may run unseen."""
        if self.whole_pool:
            return True
        return any(task.startswith(job_id) for task in self.tasks)

    @staticmethod
    def _names(unit: Unit, tasks: frozenset[str]) -> bool:
        return any(unit.task_name(index) in tasks for index in unit.indexes)


NO_DOUBT = Doubt()


def doubt_of(schedule: Schedule, pool: str) -> Doubt:
    """Return what an earlier owner may have left in a pool unseen."""
    if schedule.now_ms >= schedule.doubt_until_ms:
        return NO_DOUBT
    since_ms = schedule.now_ms - schedule.claimed_ms
    if since_ms < const.STRAY_START_MS and _may_outlive_lives(schedule):
        # A start of an earlier owner may begin on a life that knows of no fence yet.
        return Doubt(whole_pool=True)
    waited = schedule.now_ms - schedule.claimed_ms >= CLOUD_WAIT_MS
    if schedule.workers_ms < 0 and not waited:
        return Doubt(whole_pool=True)
    tasks: set[str] = set()
    for minion_id, life in _unseen(schedule):
        known = None
        if schedule.left_runs is not None:
            known = schedule.left_runs.tasks_on(minion_id, life.zone)
        if known is not None:
            tasks |= known
        elif life.pool == pool:
            return Doubt(whole_pool=True)
    return Doubt(tasks=frozenset(tasks))


def _may_outlive_lives(schedule: Schedule) -> bool:
    """Return whether a start may reach a later life of its minion under the same id."""
    if schedule.starts_are_bound:
        return False
    return any(minion.info.born_ms for minion in schedule.minions.values())


def _unseen(schedule: Schedule) -> Iterator[tuple[str, DoubtedLife]]:
    """Return the minions that have not reported to this owner."""
    for minion in schedule.minions.values():
        if not minion.synced:
            yield minion.minion_id, DoubtedLife(minion.info.pool, minion.info.zone)
    yield from schedule.doubted_lives.items()
