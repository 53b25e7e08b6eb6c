"""Remaining work of a job, and the time objective for its completion."""

from __future__ import annotations

from collections.abc import Sequence

from courselead.core.scheduler.models import StepSpec
from courselead.core.scheduler.schedule import RemainingWork, Schedule
from courselead.core.scheduler.state import Job, StepRun

REMAINING_WORK_CACHE_MS = 100
"""Time for which the remaining work of a job is cached: one tick."""


def remaining_work(schedule: Schedule, step: StepRun) -> RemainingWork:
    """Return the remaining work of a step's occurrence."""
    key = (step.job.job_id, step.occurrence)
    known = schedule.remaining_work.get(key)
    if known is not None and schedule.now_ms - known.at_ms < REMAINING_WORK_CACHE_MS:
        return known
    steps = step.job.occurrences.get(step.occurrence, [step])
    durations: list[float] = []
    work = 0.0
    for item in steps:
        expected = schedule.expected_ms(step.job.queue, item.spec)
        durations.append(expected if item.open_units else 0.0)
        work += item.open_units * item.spec.need.cpu_milli * durations[-1]
    chain_ms = longest_chain_ms([item.spec for item in steps], durations)
    found = RemainingWork(schedule.now_ms, int(work), chain_ms)
    schedule.remaining_work[key] = found
    return found


def objective_ms(schedule: Schedule, job: Job) -> int:
    """Return the time until which a job's completion has its full value.

    It is on the owner's clock.
    """
    settings = job.settings
    if settings is None:
        return job.accepted_ms
    longest_ms = chain_ms(schedule, job)
    return job.accepted_ms + int(settings.stretch * longest_ms) + settings.slo_ms


def is_late(schedule: Schedule, step: StepRun) -> bool:
    """Return whether a step's job misses its objective even without further waits."""
    ends_ms = schedule.now_ms + remaining_work(schedule, step).chain_ms
    return ends_ms > objective_ms(schedule, step.job)


def chain_ms(schedule: Schedule, job: Job) -> int:
    """Return a job's expected duration without waits, computed on the first call."""
    if job.chain_ms is None:
        specs = job.spec.steps
        durations = [schedule.expected_ms(job.queue, spec) for spec in specs]
        job.chain_ms = longest_chain_ms(specs, durations)
    return job.chain_ms


def longest_chain_ms(specs: Sequence[StepSpec], durations: Sequence[float]) -> int:
    """Return the duration of the longest chain of dependent steps."""
    ends: list[float] = []
    for spec, time_ms in zip(specs, durations, strict=True):
        start_ms = max((ends[before] for before in spec.after), default=0.0)
        ends.append(start_ms + time_ms)
    return int(max(ends))
