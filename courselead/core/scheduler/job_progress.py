"""What is stored of a job's progress, and how a new owner restores it."""

from __future__ import annotations

from courselead.core.scheduler.models import Incarnation
from courselead.core.scheduler.records import (
    JobProgress,
    OccurrenceProgress,
    SavedCrash,
    SavedStart,
)
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Crash, Job, StepRun, Unit


def progress_of(job: Job) -> JobProgress:
    """Return what is stored of a job."""
    occurrences = []
    if not job.state.final:
        occurrences.extend(job.saved.values())
        for number, steps in job.occurrences.items():
            if number not in job.closed:
                occurrences.append(_occurrence_progress(number, steps))
        occurrences.sort(key=lambda item: item.number)
    return JobProgress(
        job.job_id,
        job.state,
        job.begun,
        sorted(job.closed),
        occurrences,
        job.ended_ms,
        job.opened_fence,
        sorted(job.start_pools),
        None if job.settings == job.accepted_settings else job.settings,
    )


def restore_unit(
    schedule: Schedule, unit: Unit, saved: OccurrenceProgress | None
) -> None:
    """Restore what is stored of a unit, except whether it is done."""
    if saved is None:
        return
    unit.failed_numbers = set(saved.failed.get(unit.checkpoint_key, ()))
    unit.checkpoint = saved.checkpoints.get(unit.checkpoint_key, "")
    for item in saved.crashes.get(unit.checkpoint_key, ()):
        incarnation = Incarnation(item.minion_id, item.born_ms)
        crash = Crash(
            item.number,
            incarnation,
            item.age_ms,
            item.alone,
            item.explained,
            item.cleared,
        )
        schedule.add_crash(unit, crash)
        unit.record_start(crash.number)
    for start in saved.starts.get(unit.checkpoint_key, ()):
        incarnation = Incarnation(start.minion_id, start.born_ms)
        unit.stored_starts.add((start.number, incarnation))
        unit.record_start(start.number)


def _occurrence_progress(number: int, steps: list[StepRun]) -> OccurrenceProgress:
    done: list[list[int]] = []
    failed: dict[str, list[int]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, list[SavedCrash]] = {}
    starts: dict[str, list[SavedStart]] = {}
    for step in steps:
        finished: list[int] = []
        for unit in step.units:
            if unit.done:
                finished.extend(unit.indexes)
                continue
            if unit.failed and not step.spec.long_running:
                failed[unit.checkpoint_key] = sorted(unit.failed_numbers)
            if unit.checkpoint:
                checkpoints[unit.checkpoint_key] = unit.checkpoint
            if unit.crashes:
                crashes[unit.checkpoint_key] = _saved_crashes(unit)
            if unit.starts_stored and (unit.runs or unit.stored_starts):
                starts[unit.checkpoint_key] = _saved_starts(unit)
        done.append(finished)
    return OccurrenceProgress(number, done, failed, checkpoints, crashes, starts)


def _saved_starts(unit: Unit) -> list[SavedStart]:
    incarnations = {
        (run.number, run.incarnation) for run in unit.runs
    } | unit.stored_starts
    return [
        SavedStart(number, incarnation.minion_id, incarnation.born_ms)
        for number, incarnation in sorted(incarnations, key=lambda item: item[0])
    ]


def _saved_crashes(unit: Unit) -> list[SavedCrash]:
    return [
        SavedCrash(
            crash.number,
            crash.incarnation.minion_id,
            crash.incarnation.born_ms,
            crash.age_ms,
            crash.alone,
            crash.explained,
            crash.cleared,
        )
        for crash in unit.crashes.values()
    ]
