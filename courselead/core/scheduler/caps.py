"""What client accounts have running over all minions, and what their caps leave.

A run counts from its decision until its end is proved: on its way, in doubt, being
stopped. A new owner counts what an earlier one may have left where it can't see it.
"""

from __future__ import annotations

from courselead.core.scheduler import const, lives
from courselead.core.scheduler.book import JobEntry
from courselead.core.scheduler.doubt import NO_DOUBT, Doubt, doubt_of
from courselead.core.scheduler.models import (
    NOTHING,
    JobSpec,
    JobState,
    Resources,
)
from courselead.core.scheduler.schedule import Schedule, add_use, doubt_ms
from courselead.core.scheduler.state import Job, Unit

_STOPPED = (JobState.CANCELLED, JobState.FAILED)


def has_room(schedule: Schedule, unit: Unit) -> bool:
    """Return whether a unit may start within its account's cap.

    A task that is larger than the whole cap runs alone.
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
    _note_wait(schedule, unit, used, unseen, limit)
    return False


def _note_wait(
    schedule: Schedule,
    unit: Unit,
    used: Resources,
    unseen: Resources,
    limit: Resources,
) -> None:
    account = unit.job.account
    unit.step.at_cap_ms = unit.step.at_cap_ms or schedule.now_ms
    schedule.pools_at_cap.setdefault(account, set()).add(schedule.pool_of(unit.job))
    noted_ms = schedule.cap_noted_ms.get(account)
    if noted_ms is not None and schedule.now_ms - noted_ms < const.CAP_REPORT_MS:
        return
    schedule.cap_noted_ms[account] = schedule.now_ms
    schedule.note(
        "account_at_cap",
        account=account,
        job_id=unit.job.job_id,
        used=_text(used),
        unseen=_text(unseen),
        need=_text(need_of(unit)),
        limit=_text(limit),
        version=schedule.config.version,
    )


def need_of(unit: Unit) -> Resources:
    """Return what a unit counts against its account's cap."""
    return unit.spec.need.times(len(unit.indexes))


def limit_of(schedule: Schedule, account: str) -> Resources | None:
    """Return the most that an account may have running, nothing if it has no cap.

    An amount of 0 is not limited.
    """
    found = schedule.config.accounts.get(account)
    if found is None or found.cap == NOTHING:
        return None
    over = 1 + schedule.bounds.cap_overage
    cap = found.cap
    return Resources(
        int(cap.cpu_milli * over), int(cap.memory_mb * over), int(cap.gpus * over)
    )


def unseen_use(schedule: Schedule) -> dict[str, Resources]:
    """Return the most that each account may have where no look has reached yet.

    An earlier owner kept the cap, too: with what is adopted of it there is no more.
    """
    known = schedule.unseen_use
    if known is not None and schedule.now_ms - known[0] < const.UNSEEN_MS:
        return known[1]
    found: dict[str, Resources] = {}
    doubts = {pool: doubt_of(schedule, pool) for pool in schedule.config.pools}
    barred = lives.barred_tasks(schedule)
    if barred or any(doubt != NO_DOUBT for doubt in doubts.values()):
        for job in schedule.jobs.values():
            if not job.account:
                continue
            doubt = doubts.get(schedule.pool_of(job), NO_DOUBT).beside(barred)
            add_use(found, job.account, _doubtful(job, doubt))
        for entry in schedule.book.jobs.values():
            if not _may_still_run(schedule, entry):
                continue
            queue = schedule.queue(entry.queue)
            doubt = doubts.get(queue.pool if queue is not None else "", NO_DOUBT)
            if doubt.may_hold(entry.job_id):
                add_use(found, entry.account, _whole(entry.spec))
    for account, use in found.items():
        found[account] = _left_by_adopted(schedule, account, use)
    schedule.unseen_use = (schedule.now_ms, found)
    return found


def _may_still_run(schedule: Schedule, entry: JobEntry) -> bool:
    """Return whether an ended job may have runs that an earlier owner did not stop."""
    if not entry.account or entry.job_id in schedule.jobs:
        return False
    if entry.state not in _STOPPED:
        return False
    progress = entry.progress
    if progress is None or not progress.ended_ms:
        return True
    return schedule.wall_ms - progress.ended_ms < doubt_ms(schedule.bounds)


def _whole(spec: JobSpec) -> Resources:
    """Return what all tasks of a job take at once."""
    total = NOTHING
    for step in spec.steps:
        total = total.plus(step.need.times(step.count))
    return total


def _doubtful(job: Job, doubt: Doubt) -> Resources:
    """Return what of a job may run unseen."""
    total = NOTHING
    for steps in job.occurrences.values():
        for step in steps:
            for unit in step.units:
                if unit.done or unit.runs or not doubt.holds_back(unit):
                    continue
                total = total.plus(need_of(unit))
    return total


def _left_by_adopted(schedule: Schedule, account: str, use: Resources) -> Resources:
    limit = limit_of(schedule, account)
    if limit is None:
        return use
    adopted = schedule.adopted_use.get(account, NOTHING)
    left = limit.minus(adopted)
    return Resources(
        _least(use.cpu_milli, left.cpu_milli, limit.cpu_milli),
        _least(use.memory_mb, left.memory_mb, limit.memory_mb),
        _least(use.gpus, left.gpus, limit.gpus),
    )


def _least(use: int, left: int, limit: int) -> int:
    return min(use, max(0, left)) if limit else use


def _is_within(total: Resources, limit: Resources) -> bool:
    if limit.cpu_milli and total.cpu_milli > limit.cpu_milli:
        return False
    if limit.memory_mb and total.memory_mb > limit.memory_mb:
        return False
    return not limit.gpus or total.gpus <= limit.gpus


def _text(amount: Resources) -> str:
    return f"{amount.cpu_milli}m/{amount.memory_mb}MB/{amount.gpus}"
