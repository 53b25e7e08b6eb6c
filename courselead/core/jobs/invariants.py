"""Invariants of job scheduling, checked in tests and at run time."""

from collections.abc import Iterable

from courselead.core.context import Context
from courselead.core.effects import Effect, LogEvent, Metric, RecordMetric
from courselead.core.fleet.state import FleetState, JobPhase
from courselead.core.jobs.index import RUNNING_PHASES, pool_of
from courselead.core.jobs.state import JobsState

_FINAL_PHASES = (JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED, JobPhase.UNKNOWN)
_CORES_SLACK = 1e-6


def find_local_violations(state: JobsState, fleet: FleetState) -> list[str]:
    """Return violations in this host's local state."""
    violations = []
    if state.index.offset != fleet.offset:
        violations.append("the index is not at the state's offset")
    for job_id, task in state.tasks.items():
        job = fleet.jobs.get(job_id)
        if job is None or job.phase not in RUNNING_PHASES:
            violations.append(f"{job_id}: its lease is renewed, but it is not running")
        elif (job.attempt, job.worker) != (task.attempt, task.worker):
            violations.append(f"{job_id}: the lease of an old attempt is renewed")
    for job_id, pending in state.pending_ends.items():
        job = fleet.jobs.get(job_id)
        if job is None or job.attempt != pending.end.attempt:
            violations.append(f"{job_id}: the end of an old attempt is pending")
    for pool, queue in state.index.waiting.items():
        head = fleet.jobs.get(queue[0][3])
        if head is None or head.phase is not JobPhase.WAITING or pool_of(head) != pool:
            violations.append(f"{pool}: the first job in the queue is not waiting")
    return violations


def find_queue_violations(state: JobsState, fleet: FleetState) -> list[str]:
    """Return differences between the queues and the jobs; iterates over all jobs."""
    queued = [key[3] for queue in state.index.waiting.values() for key in queue]
    waiting = [
        job_id for job_id, job in fleet.jobs.items() if job.phase is JobPhase.WAITING
    ]
    if sorted(queued) != sorted(waiting):
        return ["the queues do not contain exactly the waiting jobs"]
    for queue in state.index.waiting.values():
        if list(queue) != sorted(queue):
            return ["a queue is not sorted"]
    return []


def room_faults(fleet: FleetState) -> list[str]:
    """Return the workers whose jobs hold more than the worker's capacity."""
    violations = []
    for name, job_ids in fleet.jobs_on.items():
        worker = fleet.workers[name]
        cores = sum(fleet.jobs[job_id].cores for job_id in job_ids)
        memory_mb = sum(fleet.jobs[job_id].memory_mb for job_id in job_ids)
        if cores > worker.cores + _CORES_SLACK or memory_mb > worker.memory_mb:
            violations.append(f"{name}: jobs hold {cores:g} cores and {memory_mb} MB")
    return violations


def reopened(
    before: FleetState, after: FleetState, job_ids: Iterable[str]
) -> list[str]:
    """Return the jobs that left a final phase."""
    violations = []
    for job_id in job_ids:
        old = before.jobs.get(job_id)
        new = after.jobs.get(job_id)
        if old is None or new is None or old.phase not in _FINAL_PHASES:
            continue
        if new.phase is not old.phase:
            violations.append(f"{job_id}: {old.phase} became {new.phase}")
    return violations


def report(state: JobsState, ctx: Context) -> tuple[Effect, ...]:
    """Return metrics and log events for violations on this host."""
    effects: list[Effect] = []
    for fault in find_local_violations(state, ctx.fleet):
        effects.append(RecordMetric(Metric.INVARIANT, 1.0, label="jobs"))
        effects.append(LogEvent("error", "invariant_broken", (("fault", fault),)))
    return tuple(effects)
