"""Decides whether a task is given up because its minions crashed.

A task is given up after enough crashes that only its own job explains, or once all of
its crashes together reach the limit on starts.
"""

from __future__ import annotations

from dataclasses import replace

from courselead.core.scheduler import const, jobs
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Suspect, Unit


def is_at_limit(unit: Unit) -> bool:
    """Return whether a unit has reached the crash limit and must not start again."""
    known = unit.has_lasted or unit.first_start_known
    unrecorded = const.UNSEEN_CRASHES if unit.job.from_before and not known else 0
    return unit.limit_count >= const.CRASHES_ALLOWED - unrecorded


def evaluate(schedule: Schedule, suspect: Suspect) -> None:
    """Classify the new crashes of a suspect, and give its task up if it is the cause.

    Called once all other losses of the same moment are known. A crash is marked as
    alone if only the task's own job was on the minion and nothing else explains it.
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
        # The current run may still complete.
        return
    if _is_sole_cause(schedule, unit):
        schedule.given_up_ms[unit.job.queue] = schedule.now_ms
        _explain_shared_crashes(schedule, unit)
        _give_up(schedule, unit)
        return
    if is_at_limit(unit) and not _may_have_other_cause(schedule, suspect):
        _give_up(schedule, unit)


def _is_sole_cause(schedule: Schedule, unit: Unit) -> bool:
    """Return whether enough crashes of a unit are explained by its own job only.

    A single such crash may be a coincidence. It is sufficient if a task of the same
    queue was given up on such evidence recently, because jobs that crash minions tend
    to come in large numbers.
    """
    if unit.crash_count < const.WITNESSED_CRASHES_ALLOWED:
        return False
    open_crashes = [item for item in unit.crashes.values() if not item.cleared]
    alone_count = sum(crash.alone for crash in open_crashes)
    given_up_ms = schedule.given_up_ms.get(unit.job.queue)
    required = const.MIN_WITNESSED_CRASHES
    if (
        given_up_ms is not None
        and schedule.now_ms - given_up_ms < const.GIVEN_UP_QUEUE_MS
    ):
        required = 1
    return open_crashes[-1].alone and alone_count >= required


def _may_have_other_cause(schedule: Schedule, suspect: Suspect) -> bool:
    """Return whether another suspect may still explain some of the crashes.

    Suspects that were lost with the same minions are told apart once each of them has
    run on a minion of its own.
    """
    if schedule.now_ms - suspect.at_ms >= const.COMPANIONS_WAIT_MS:
        return False
    unit = suspect.unit
    incarnations = {
        crash.incarnation for crash in unit.crashes.values() if not crash.alone
    }
    for other in schedule.suspects.values():
        if other.unit.job is unit.job or other.unit.is_over:
            continue
        if any(
            crash.incarnation in incarnations for crash in other.unit.crashes.values()
        ):
            return True
    return False


def _explain_shared_crashes(schedule: Schedule, crashing: Unit) -> None:
    """Mark crashes that other units share with a crashing task as explained by it.

    The task has crashed minions on which it ran alone, so it is also the cause of the
    crashes on minions that it shared with others.
    """
    incarnations = {crash.incarnation for crash in crashing.crashes.values()}
    units = [suspect.unit for suspect in schedule.suspects.values()]
    for unit in (*units, *schedule.cleared.values()):
        if unit.job is crashing.job:
            continue
        for key, crash in unit.crashes.items():
            if crash.incarnation not in incarnations or crash.alone or crash.explained:
                continue
            # Runs of earlier owners are recorded with this age, as theirs is unknown.
            if crash.cleared or crash.age_ms < const.OUTLIVED_MAX_MS:
                unit.crashes[key] = replace(crash, explained=True)
                jobs.save(schedule, unit.job)


def _give_up(schedule: Schedule, unit: Unit) -> None:
    crashes = list(unit.crashes.values())
    incarnations = ", ".join(crash.incarnation.minion_id for crash in crashes)
    schedule.log_event(
        "task_given_up",
        job_id=unit.job.job_id,
        task=unit.name,
        crashes=len(crashes),
        minions=[crash.incarnation.minion_id for crash in crashes],
        ages_ms=[crash.age_ms for crash in crashes],
        alone=[crash.alone for crash in crashes],
    )
    reason = f"minions crashed under its task {unit.name}: {incarnations}"
    jobs.end_job(schedule, unit.job, JobState.FAILED, reason)
