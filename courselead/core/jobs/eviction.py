"""Eviction of batch jobs for urgent ones, and estimates of when capacity frees up.

Every eviction interrupts and moves a long job. Batch jobs are evicted only for
an urgent job that fits nowhere, and only if they can resume from a checkpoint,
have not been moved often, and are expected to run for some time yet.
"""

from dataclasses import dataclass

from courselead.core.context import Context
from courselead.core.fleet import queries
from courselead.core.fleet.state import JobPhase, JobState
from courselead.core.jobs import const, sizes
from courselead.core.jobs.placement import Candidate
from courselead.core.jobs.sizes import Need
from courselead.core.jobs.state import JobsState
from courselead.core.table import RequestClass


@dataclass(frozen=True, slots=True)
class Victims:
    """Jobs to be checkpointed on one worker."""

    worker: str
    job_ids: tuple[str, ...]


def choose_victims(
    state: JobsState, ctx: Context, need: Need, candidates: list[Candidate]
) -> Victims | None:
    """Return the smallest set of jobs to evict, None if no set frees enough."""
    best = None
    for candidate in candidates:
        option = _victims_on_worker(state, ctx, need, candidate)
        if option is None:
            continue
        key = (len(option.job_ids), option.worker)
        if best is None or key < (len(best.job_ids), best.worker):
            best = option
    return best


def estimate_free_in_ms(
    state: JobsState, ctx: Context, candidate: Candidate, need: Need
) -> int:
    """Return in how many milliseconds a worker is expected to fit a job."""
    cores = candidate.cores
    memory_mb = candidate.memory_mb
    remaining = []
    for job_id in queries.jobs_on(ctx.fleet, candidate.worker):
        left_ms = remaining_ms(state, ctx, ctx.fleet.jobs[job_id])
        remaining.append((left_ms, job_id))
    in_ms = 0
    for left_ms, job_id in sorted(remaining):
        if need.cores <= cores and need.memory_mb <= memory_mb:
            break
        in_ms = left_ms
        cores += ctx.fleet.jobs[job_id].cores
        memory_mb += ctx.fleet.jobs[job_id].memory_mb
    return in_ms


def remaining_ms(state: JobsState, ctx: Context, job: JobState) -> int:
    """Return how much longer a running job is expected to run.

    A job that has exceeded its expected run time is expected to run for as
    long again as it is late, since long jobs that overrun tend to overrun by
    far.
    """
    run_ms = sizes.need_of(state.sizes, job.spec).run_ms
    run_ms = int(run_ms * (1 - min(max(job.progress, 0.0), 1.0)))
    running = state.running.get(job.spec.job_id)
    ran_ms = ctx.now_ms - running.since_ms if running else 0
    return abs(run_ms - ran_ms)


def _victims_on_worker(
    state: JobsState, ctx: Context, need: Need, candidate: Candidate
) -> Victims | None:
    """Return the jobs of one worker to evict, None if they do not free enough.

    Jobs that were moved least are taken first, and the largest among these.
    """
    victims = []
    for job_id in queries.jobs_on(ctx.fleet, candidate.worker):
        job = ctx.fleet.jobs[job_id]
        if job_id not in state.evictions and _may_evict(state, ctx, job):
            victims.append(job)
    victims.sort(key=lambda job: (job.moves, -job.cores, job.spec.job_id))
    cores = candidate.cores
    memory_mb = candidate.memory_mb
    chosen = []
    for job in victims:
        if need.cores <= cores and need.memory_mb <= memory_mb:
            break
        chosen.append(job.spec.job_id)
        cores += job.cores
        memory_mb += job.memory_mb
    if need.cores > cores or need.memory_mb > memory_mb:
        return None
    return Victims(candidate.worker, tuple(chosen))


def _may_evict(state: JobsState, ctx: Context, job: JobState) -> bool:
    """Return whether a job may be evicted for an urgent one."""
    if job.phase is not JobPhase.PLACED or not job.spec.idempotent:
        return False
    if job.spec.request_class is not RequestClass.BATCH:
        return False
    if job.moves >= const.MAX_MOVES:
        return False
    return remaining_ms(state, ctx, job) >= const.MIN_EVICTION_GAIN_MS
