"""Finds tasks of earlier owners that may run, or may have ended, unknown to this owner.

A minion that has not reported may have runs, and one whose first answers did not list
all of its run ends may have finished tasks that this owner takes for unfinished.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Set
from dataclasses import dataclass, replace

from courselead.core.scheduler import const, delayed_starts
from courselead.core.scheduler.schedule import MinionPlace, Schedule
from courselead.core.scheduler.state import Minion, Unit

CLOUD_WAIT_MS = 1_000
"""Maximum wait for the cloud's worker list after a takeover."""


@dataclass(frozen=True, slots=True)
class UnseenTasks:
    """Tasks that may run without the knowledge of the owner, and so must not start.

    Tasks are tracked by name where possible. Blocking whole pools made 86 tasks wait
    for 2 s beside 8 to 12 idle workers when an availability zone with a third of the
    minions was cut off together with the owner.

    Attributes:
        everywhere: Whether all tasks of jobs from before the takeover may run.
        pools: Pools with a minion of which nothing is known. All tasks of such jobs
            that may have been started in these pools may run.
        tasks: Names of the tasks of such jobs that may run.
        pending: Names of tasks of any job whose starts may still be carried out.
    """

    everywhere: bool = False
    pools: frozenset[str] = frozenset()
    tasks: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()

    def with_pending(self, pending: frozenset[str]) -> UnseenTasks:
        """Return a copy with tasks of any job whose starts may still be carried out."""
        return replace(self, pending=pending) if pending else self

    def blocks(self, unit: Unit) -> bool:
        """Return whether a unit has to wait."""
        if self.pending and self._includes_task_of(unit, self.pending):
            return True
        job = unit.job
        if not job.from_before:
            return False
        if self._includes_job_of(job.start_pools.keys()):
            return True
        return self._includes_task_of(unit, self.tasks)

    def may_include_job(self, job_id: str, start_pools: Set[str]) -> bool:
        """Return whether tasks of a job from before the takeover may run unseen.

        Args:
            job_id: Id of the job.
            start_pools: Pools in which its tasks may have been started.
        """
        if self._includes_job_of(start_pools):
            return True
        return any(task.startswith(job_id) for task in self.tasks)

    def _includes_job_of(self, start_pools: Set[str]) -> bool:
        """Return whether all tasks of a job that was started in some pools may run.

        A job whose pools are unknown may have been started in any.
        """
        if self.everywhere:
            return True
        if not start_pools:
            return bool(self.pools)
        return not self.pools.isdisjoint(start_pools)

    @staticmethod
    def _includes_task_of(unit: Unit, tasks: frozenset[str]) -> bool:
        return any(unit.task_name(index) in tasks for index in unit.indexes)


NO_UNSEEN_TASKS = UnseenTasks()


def find_unseen_tasks(schedule: Schedule) -> UnseenTasks:
    """Return the tasks whose runs, ends or coming starts this owner may not know.

    They may be in any pool that their queues have had, not only in the newest one.
    """
    pending = delayed_starts.tasks_with_pending_starts(schedule)
    return _tasks_of_earlier_owners(schedule).with_pending(pending)


def _tasks_of_earlier_owners(schedule: Schedule) -> UnseenTasks:
    """Return the tasks of earlier owners whose runs or ends may not be known."""
    if schedule.now_ms >= schedule.old_leases_end_ms:
        return _tasks_on(schedule, _partly_reported_minions(schedule))
    since_ms = schedule.now_ms - schedule.claimed_ms
    if since_ms < const.STRAY_START_MS and _may_reach_later_incarnation(schedule):
        # A delayed start of an earlier owner may be carried out by a new incarnation
        # that has not seen the current fence yet.
        return UnseenTasks(everywhere=True)
    has_waited = schedule.now_ms - schedule.claimed_ms >= CLOUD_WAIT_MS
    if schedule.workers_ms < 0 and not has_waited:
        return UnseenTasks(everywhere=True)
    return _tasks_on(schedule, _unreported_minions(schedule))


def _tasks_on(
    schedule: Schedule, minions: Iterable[tuple[str, MinionPlace]]
) -> UnseenTasks:
    """Return the tasks that may be on the given minions."""
    pools: set[str] = set()
    tasks: set[str] = set()
    for minion_id, unreported in minions:
        known = None
        if schedule.remaining_runs is not None:
            known = schedule.remaining_runs.tasks_on(minion_id, unreported.zone)
        if known is None:
            pools.add(unreported.pool)
        else:
            tasks |= known
    return UnseenTasks(pools=frozenset(pools), tasks=frozenset(tasks))


def _may_reach_later_incarnation(schedule: Schedule) -> bool:
    """Return whether a start may reach a later incarnation of its minion."""
    if schedule.starts_are_bound:
        return False
    return any(minion.info.born_ms for minion in schedule.minions.values())


def _unreported_minions(schedule: Schedule) -> Iterator[tuple[str, MinionPlace]]:
    """Yield the minions that have not reported everything to this owner."""
    for minion in schedule.minions.values():
        if schedule.may_have_earlier_runs(minion):
            yield minion.minion_id, _place_of(minion)
    yield from schedule.unconfirmed_minions.items()
    for minion_id, info in schedule.unknown_pool_minions.items():
        if minion_id in schedule.minions:
            continue
        # Nothing is sent to it, so it does not report.
        yield minion_id, MinionPlace(info.pool, info.zone)


def _partly_reported_minions(
    schedule: Schedule,
) -> Iterator[tuple[str, MinionPlace]]:
    """Yield the minions that have answered, but have not listed all of their ends."""
    for minion_id in sorted(schedule.partly_reported):
        yield minion_id, _place_of(schedule.minions[minion_id])


def _place_of(minion: Minion) -> MinionPlace:
    return MinionPlace(minion.info.pool, minion.info.zone)
