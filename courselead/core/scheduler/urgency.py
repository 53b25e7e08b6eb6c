"""How much of a job is left, and until when it is worth most."""

from __future__ import annotations

from collections.abc import Sequence

from courselead.core.scheduler.models import StepSpec
from courselead.core.scheduler.schedule import Left, Schedule
from courselead.core.scheduler.state import Job, StepRun

LEFT_MS = 100
"""Time for which what is left of a job is not reckoned anew: one tick."""


def left(schedule: Schedule, step: StepRun) -> Left:
    """Return what is left of a step's occurrence."""
    key = (step.job.job_id, step.occurrence)
    known = schedule.left.get(key)
    if known is not None and schedule.now_ms - known.at_ms < LEFT_MS:
        return known
    steps = step.job.occurrences.get(step.occurrence, [step])
    takes: list[float] = []
    work = 0.0
    for item in steps:
        expected = schedule.expected_ms(step.job.queue, item.spec)
        takes.append(expected if item.open_units else 0.0)
        work += item.open_units * item.spec.need.cpu_milli * takes[-1]
    chain_ms = _chain_ms([item.spec for item in steps], takes)
    found = Left(schedule.now_ms, int(work), chain_ms)
    schedule.left[key] = found
    return found


def objective_ms(schedule: Schedule, job: Job) -> int:
    """Return until when a job's completion is worth most, on the owner's clock."""
    queue = schedule.queue(job.queue)
    if queue is None:
        return job.accepted_ms
    longest_ms = chain_ms(schedule, job)
    return job.accepted_ms + int(queue.stretch * longest_ms) + queue.slo_ms


def is_late(schedule: Schedule, step: StepRun) -> bool:
    """Return whether a step's job misses its objective even if nothing waits."""
    ends_ms = schedule.now_ms + left(schedule, step).chain_ms
    return ends_ms > objective_ms(schedule, step.job)


def chain_ms(schedule: Schedule, job: Job) -> int:
    """Return how long a job takes without any wait, as expected when first asked."""
    if job.chain_ms == 0:
        specs = job.spec.steps
        takes = [schedule.expected_ms(job.queue, spec) for spec in specs]
        job.chain_ms = _chain_ms(specs, takes)
    return job.chain_ms


def _chain_ms(specs: Sequence[StepSpec], takes: Sequence[float]) -> int:
    """Return the longest chain of steps that wait for each other."""
    ends: list[float] = []
    for spec, time_ms in zip(specs, takes, strict=True):
        begins = max((ends[before] for before in spec.after), default=0.0)
        ends.append(begins + time_ms)
    return int(max(ends))
