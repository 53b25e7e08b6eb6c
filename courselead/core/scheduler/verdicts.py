"""Whether a task is given up for the minions that crashed under it.

What speaks against it are crashes to which nobody else was near, or so many of any kind
that it may start no more.
"""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, jobs
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Suspect, Unit


def is_at_limit(unit: Unit) -> bool:
    """Return whether so many lives have crashed under a unit that it starts no more."""
    known = unit.has_lasted or unit.first_start_known
    unseen = const.UNSEEN_CRASHES if unit.job.from_before and not known else 0
    return unit.limit_count >= const.CRASHES_ALLOWED - unseen


def settle(schedule: Schedule, suspect: Suspect) -> None:
    """Take the crashes as witnessed that nothing but the task's job explains.

    Other lives that were lost at the same moment are known by now.
    """
    unit = suspect.unit
    unsettled, suspect.unsettled = suspect.unsettled, []
    for key, lost in unsettled:
        crash = unit.crashes[key]
        if crash.explained or lost.job_ids != {unit.job.job_id}:
            continue
        unit.crashes[key] = replace(crash, alone=True)
        jobs.save(schedule, unit.job)
    if unit.runs:
        # It may end well.
        return
    if _is_witnessed(schedule, unit):
        schedule.guilty_ms[unit.job.queue] = schedule.now_ms
        _clear_companions(schedule, unit)
        _give_up(schedule, unit)
        return
    if is_at_limit(unit) and not _may_be_explained(schedule, suspect):
        _give_up(schedule, unit)


def _is_witnessed(schedule: Schedule, unit: Unit) -> bool:
    """Return whether nothing but a unit's job explains enough of its crashes.

    One may be bad luck, but where a task of the same queue was given up so a short time
    ago: jobs that crash minions come by the dozen.
    """
    if unit.crash_count < const.WITNESSED_CRASHES_ALLOWED:
        return False
    open_crashes = [item for item in unit.crashes.values() if not item.cleared]
    witnesses = sum(crash.alone for crash in open_crashes)
    guilty_ms = schedule.guilty_ms.get(unit.job.queue)
    wanted = const.WITNESSES
    if guilty_ms is not None and schedule.now_ms - guilty_ms < const.GUILTY_MS:
        wanted = 1
    return open_crashes[-1].alone and witnesses >= wanted


def _may_be_explained(schedule: Schedule, suspect: Suspect) -> bool:
    """Return whether another suspect may turn out to explain some of the crashes.

    Several lost lives in common are told apart once each has been tried alone.
    """
    if schedule.now_ms - suspect.at_ms >= const.COMPANIONS_WAIT_MS:
        return False
    unit = suspect.unit
    lives = {crash.life for crash in unit.crashes.values() if not crash.alone}
    for other in schedule.suspects.values():
        if other.unit.job is unit.job or other.unit.is_over:
            continue
        if any(crash.life in lives for crash in other.unit.crashes.values()):
            return True
    return False


def _clear_companions(schedule: Schedule, guilty: Unit) -> None:
    """Take the crashes as explained that others share with a task that is given up.

    It has crashed minions alone, so it is what ended the lives on which it was not.
    """
    lives = {crash.life for crash in guilty.crashes.values()}
    units = [suspect.unit for suspect in schedule.suspects.values()]
    for unit in (*units, *schedule.cleared.values()):
        if unit.job is guilty.job:
            continue
        for key, crash in unit.crashes.items():
            if crash.life not in lives or crash.alone or crash.explained:
                continue
            # One that an earlier owner may have had is of an age that is not known.
            if crash.cleared or crash.age_ms < const.OUTLIVED_MOST_MS:
                unit.crashes[key] = replace(crash, explained=True)
                jobs.save(schedule, unit.job)


def _give_up(schedule: Schedule, unit: Unit) -> None:
    crashes = list(unit.crashes.values())
    lives = ", ".join(crash.life.minion_id for crash in crashes)
    schedule.note(
        "task_given_up",
        job_id=unit.job.job_id,
        task=unit.name,
        crashes=len(crashes),
        minions=[crash.life.minion_id for crash in crashes],
        ages_ms=[crash.age_ms for crash in crashes],
        alone=[crash.alone for crash in crashes],
    )
    reason = f"minions crashed under its task {unit.name}: {lives}"
    jobs.end_job(schedule, unit.job, JobState.FAILED, reason)
