"""Free capacity for jobs on the serving workers of a pool."""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.fleet import queries
from courselead.core.fleet.state import WorkerState
from courselead.core.jobs import const, sizes
from courselead.core.jobs.placement import Candidate
from courselead.core.jobs.state import JobsState


def find_candidates(state: JobsState, ctx: Context, pool: str) -> dict[str, Candidate]:
    """Return the usable workers of a pool with their free capacity.

    Workers in evacuated zones get no more jobs. Neither does a worker that the
    platform is removing, even while the pool's budget does not allow stopping it yet.
    """
    candidates = {}
    for name in queries.usable_workers(ctx.fleet, pool):
        if name in ctx.leaving_workers or ctx.now_ms < state.avoided_until_ms.get(
            name, 0
        ):
            continue
        candidates[name] = _candidate(state, ctx, ctx.fleet.workers[name])
    for pending in state.pending_placements.values():
        candidate = candidates.get(pending.worker)
        if candidate is None:
            continue
        candidates[pending.worker] = replace(
            candidate,
            cores=candidate.cores - pending.cores,
            memory_mb=candidate.memory_mb - pending.memory_mb,
            jobs=candidate.jobs + 1,
        )
    return candidates


def _candidate(state: JobsState, ctx: Context, worker: WorkerState) -> Candidate:
    """Return a worker with the capacity that its placed jobs leave free."""
    total_cores, total_memory_mb = sizes.job_capacity(worker)
    cores = total_cores
    memory_mb = total_memory_mb
    job_ids = queries.jobs_on(ctx.fleet, worker.worker)
    for job_id in job_ids:
        job = ctx.fleet.jobs[job_id]
        cores -= job.cores
        memory_mb -= job.memory_mb
    maintenance_in_ms = (
        worker.maintained_ms + const.MAINTENANCE_INTERVAL_MS - ctx.wall_ms
    )
    return Candidate(
        worker=worker.worker,
        epoch=worker.epoch,
        cores=cores,
        memory_mb=memory_mb,
        total_cores=total_cores,
        total_memory_mb=total_memory_mb,
        maintenance_in_ms=max(0, maintenance_in_ms),
        suspect=state.evidence.is_suspect(worker.worker, worker.epoch),
        jobs=len(job_ids),
    )
