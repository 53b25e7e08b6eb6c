"""How much of a job is left, and until when it is worth most."""

from __future__ import annotations

from courselead.core.scheduler.schedule import Left, Schedule
from courselead.core.scheduler.state import Job, StepRun

LEFT_MS = 100
"""Time for which what is left of a job is not reckoned anew: one tick."""


def run_ms(schedule: Schedule, step: StepRun) -> float:
    """Return the time that a task of a step is expected to run."""
    return schedule.run_ms.get(step.job.queue, step.spec.estimate_ms)


def left(schedule: Schedule, step: StepRun) -> Left:
    """Return what is left of a step's occurrence."""
    key = (step.job.job_id, step.occurrence)
    known = schedule.left.get(key)
    if known is not None and schedule.now_ms - known.at_ms < LEFT_MS:
        return known
    steps = step.job.occurrences.get(step.occurrence, [step])
    ends: list[float] = []
    work = 0.0
    for item in steps:
        begins = max((ends[before] for before in item.spec.after), default=0.0)
        takes = run_ms(schedule, item) if item.open_units else 0.0
        ends.append(begins + takes)
        work += item.open_units * item.spec.need.cpu_milli * takes
    found = Left(schedule.now_ms, int(work), int(max(ends)))
    schedule.left[key] = found
    return found


def objective_ms(schedule: Schedule, job: Job) -> int:
    """Return until when a job's completion is worth most, on the owner's clock."""
    queue = schedule.queue(job.queue)
    if queue is None:
        return job.accepted_ms
    if job.chain_ms == 0:
        ends: list[float] = []
        for spec in job.spec.steps:
            begins = max((ends[before] for before in spec.after), default=0.0)
            takes = schedule.run_ms.get(job.queue, spec.estimate_ms)
            ends.append(begins + takes)
        job.chain_ms = int(max(ends))
    return job.accepted_ms + int(queue.stretch * job.chain_ms) + queue.slo_ms
