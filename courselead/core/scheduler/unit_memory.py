"""Gives back the memory of units that are not needed any more."""

from __future__ import annotations

from courselead.core.scheduler import ready_lists
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Job, Run, StepRun, Unit


def drop_unneeded_units(schedule: Schedule, run: Run) -> None:
    """Drop units that only a run which has just ended had kept.

    Those of an ended job are dropped with its last run, those of a closed occurrence
    with the last run of the occurrence.
    """
    step = run.unit.step
    job = step.job
    if job.state.final:
        if not job.live_runs:
            drop_idle_units(schedule, job)
    elif step.occurrence in job.closed and step.occurrence in job.occurrences:
        drop_closed_occurrence(schedule, job, step.occurrence)


def drop_closed_occurrence(schedule: Schedule, job: Job, number: int) -> None:
    """Drop an occurrence whose tasks are all done, unless it still has runs."""
    steps = job.occurrences[number]
    if any(unit.runs for step in steps for unit in step.units):
        return
    drop_units(schedule, steps)
    del job.occurrences[number]
    schedule.remaining_work.pop((job.job_id, number), None)


def drop_idle_units(schedule: Schedule, job: Job) -> None:
    """Drop the units of an ended job that have no runs, to give their memory back.

    A run of theirs that is reported later is stopped like any other one without a unit.
    Long-running tasks of a failed job keep their units, since their runs go on. So do
    units that an earlier owner may have started within the cap of an account.
    """
    may_run_unseen = bool(job.account) and job.from_before
    if may_run_unseen and schedule.now_ms < schedule.old_leases_end_ms:
        return
    for steps in job.occurrences.values():
        for step in steps:
            if step.spec.long_running and not job.cancelled:
                continue
            kept = [unit for unit in step.units if unit.runs]
            if len(kept) == len(step.units):
                continue
            for unit in step.units:
                if not unit.runs:
                    _drop_unit(schedule, unit)
            step.units = kept


def drop_units(schedule: Schedule, steps: list[StepRun]) -> None:
    """Drop all units of some steps."""
    for step in steps:
        for unit in step.units:
            _drop_unit(schedule, unit)


def _drop_unit(schedule: Schedule, unit: Unit) -> None:
    ready_lists.remove(schedule, unit)
    for index in unit.indexes:
        schedule.units.pop(unit.task_name(index), None)
