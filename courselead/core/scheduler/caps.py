"""Resource caps of client accounts, enforced over all minions.

A run counts from the decision to start it until it is known to have ended, also while
its start is in flight, its outcome is uncertain or it is being stopped. A new owner
also counts runs that an earlier owner may have left on minions that it cannot see.
"""

from __future__ import annotations

from courselead.core.scheduler import const
from courselead.core.scheduler.book import JobEntry
from courselead.core.scheduler.doubt import (
    NO_UNSEEN_TASKS,
    UnseenTasks,
    find_unseen_tasks,
)
from courselead.core.scheduler.models import (
    NOTHING,
    JobSpec,
    JobState,
    Resources,
)
from courselead.core.scheduler.schedule import Schedule, add_use, old_leases_ms
from courselead.core.scheduler.state import Job, Unit

_STOPPED = (JobState.CANCELLED, JobState.FAILED)


def has_capacity(schedule: Schedule, unit: Unit) -> bool:
    """Return whether a unit fits within its account's cap.

    A task that is larger than the whole cap may run if the account uses nothing else.
    """
    account = unit.job.account
    limit = limit_of(schedule, account)
    if limit is None:
        return True
    used = schedule.account_use.get(account, NOTHING)
    unseen = unseen_use(schedule).get(account, NOTHING)
    if _is_within(used.plus(unseen).plus(need_of(unit)), limit):
        step = unit.step
        if step.at_cap_ms:
            step.capped_ms += schedule.now_ms - step.at_cap_ms
            step.at_cap_ms = 0
        return True
    if len(unit.indexes) == 1 and used == unseen == NOTHING:
        return True
    _log_cap_wait(schedule, unit, used, unseen, limit)
    return False


def _log_cap_wait(
    schedule: Schedule,
    unit: Unit,
    used: Resources,
    unseen: Resources,
    limit: Resources,
) -> None:
    account = unit.job.account
    unit.step.at_cap_ms = unit.step.at_cap_ms or schedule.now_ms
    schedule.pools_at_cap.setdefault(account, set()).add(unit.job.pool)
    logged_ms = schedule.cap_logged_ms.get(account)
    if logged_ms is not None and schedule.now_ms - logged_ms < const.CAP_REPORT_MS:
        return
    schedule.cap_logged_ms[account] = schedule.now_ms
    schedule.log_event(
        "account_at_cap",
        account=account,
        job_id=unit.job.job_id,
        used=_format(used),
        unseen=_format(unseen),
        need=_format(need_of(unit)),
        limit=_format(limit),
        version=schedule.config.version,
    )


def need_of(unit: Unit) -> Resources:
    """Return the resources of a unit that count towards its account's cap."""
    return unit.spec.need.times(len(unit.indexes))


def limit_of(schedule: Schedule, account: str) -> Resources | None:
    """Return the cap of an account with the allowed overage, None if it has no cap.

    An amount of 0 is not limited.
    """
    settings = schedule.config.accounts.get(account)
    if settings is None or settings.cap == NOTHING:
        return None
    over = 1 + schedule.bounds.cap_overage
    cap = settings.cap
    return Resources(
        int(cap.cpu_milli * over), int(cap.memory_mb * over), int(cap.gpus * over)
    )


def unseen_use(schedule: Schedule) -> dict[str, Resources]:
    """Return the maximum use by account on minions that were not polled yet.

    Earlier owners also enforced the cap. So the unseen use is at most the cap minus the
    use by runs that were adopted from them.
    """
    known = schedule.unseen_use
    if known is not None and schedule.now_ms - known[0] < const.UNSEEN_MS:
        return known[1]
    unseen: dict[str, Resources] = {}
    unseen_tasks = find_unseen_tasks(schedule)
    if unseen_tasks != NO_UNSEEN_TASKS:
        for job in schedule.jobs.values():
            if not job.account:
                continue
            add_use(unseen, job.account, _possibly_running(job, unseen_tasks))
        for entry in schedule.book.jobs.values():
            if not _may_still_run(schedule, entry):
                continue
            start_pools = _start_pools_of(schedule, entry)
            if unseen_tasks.may_include_job(entry.job_id, start_pools):
                add_use(unseen, entry.account, _total_need(entry.spec))
    for account, use in unseen.items():
        unseen[account] = _limit_unseen(schedule, account, use)
    schedule.unseen_use = (schedule.now_ms, unseen)
    return unseen


def _start_pools_of(schedule: Schedule, entry: JobEntry) -> frozenset[str]:
    """Return the pools in which tasks of a job may have been started.

    Jobs of earlier versions tell none; it is the pool of the queue as it is now.
    """
    queue = schedule.queue(entry.queue)
    if entry.start_pools or queue is None:
        return entry.start_pools
    return frozenset((queue.pool,))


def _may_still_run(schedule: Schedule, entry: JobEntry) -> bool:
    """Return whether an ended job may still have runs from an earlier owner."""
    if not entry.account or entry.job_id in schedule.jobs:
        return False
    if entry.state not in _STOPPED:
        return False
    progress = entry.progress
    if progress is None or not progress.ended_ms:
        return True
    return schedule.wall_ms - progress.ended_ms < old_leases_ms(schedule.bounds)


def _total_need(spec: JobSpec) -> Resources:
    """Return the resources that all tasks of a job need together."""
    total = NOTHING
    for step in spec.steps:
        total = total.plus(step.need.times(step.count))
    return total


def _possibly_running(job: Job, unseen_tasks: UnseenTasks) -> Resources:
    """Return the resources of a job's units that may be running unseen."""
    total = NOTHING
    for steps in job.occurrences.values():
        for step in steps:
            for unit in step.units:
                if unit.done or unit.runs or not unseen_tasks.blocks(unit):
                    continue
                total = total.plus(need_of(unit))
    return total


def _limit_unseen(schedule: Schedule, account: str, use: Resources) -> Resources:
    limit = limit_of(schedule, account)
    if limit is None:
        return use
    adopted = schedule.adopted_use.get(account, NOTHING)
    left = limit.minus(adopted)
    return Resources(
        _clamp(use.cpu_milli, left.cpu_milli, limit.cpu_milli),
        _clamp(use.memory_mb, left.memory_mb, limit.memory_mb),
        _clamp(use.gpus, left.gpus, limit.gpus),
    )


def _clamp(use: int, left: int, limit: int) -> int:
    return min(use, max(0, left)) if limit else use


def _is_within(total: Resources, limit: Resources) -> bool:
    if limit.cpu_milli and total.cpu_milli > limit.cpu_milli:
        return False
    if limit.memory_mb and total.memory_mb > limit.memory_mb:
        return False
    return not limit.gpus or total.gpus <= limit.gpus


def _format(amount: Resources) -> str:
    return f"{amount.cpu_milli}m/{amount.memory_mb}MB/{amount.gpus}"
