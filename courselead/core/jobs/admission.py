"""Admission of submitted jobs: checks that refuse a submission at once."""

from courselead.core.context import Context
from courselead.core.effects import Problem, ProblemKind, RunState
from courselead.core.events import JobsOffered
from courselead.core.fleet import queries, verdicts
from courselead.core.fleet.records import JobSpec
from courselead.core.fleet.state import WorkerPhase
from courselead.core.jobs import const, sizes
from courselead.core.jobs.state import JobsState
from courselead.core.table import pool_name


def check_submission(
    state: JobsState, ctx: Context, event: JobsOffered
) -> Problem | None:
    """Return why a submission is refused at once, None if it is not."""
    if ctx.leaving:
        return _host_leaving()
    problem = _check_batch(event.jobs)
    if problem is not None:
        return problem
    for spec in event.jobs:
        existing = ctx.fleet.jobs.get(spec.job_id)
        if existing is not None and existing.spec != spec:
            return _job_refused(spec, "the id is in use for another job; use a new id")
        if existing is not None:
            continue
        reason = _unschedulable_reason(state, ctx, spec)
        if reason:
            return _job_refused(spec, reason)
    if all(spec.job_id in ctx.fleet.jobs for spec in event.jobs):
        return None
    if not ctx.log_up:
        return log_down_problem()
    return _check_jobs_limit(state, ctx, event.jobs)


def _check_batch(jobs: tuple[JobSpec, ...]) -> Problem | None:
    """Return what is wrong with a submission as a whole, None if nothing is."""
    size = sum(len(spec.payload) + const.JOB_OVERHEAD_BYTES for spec in jobs)
    detail = ""
    if not jobs:
        detail = "The submission names no job; name at least one."
    elif len(jobs) > const.MAX_JOBS_PER_SUBMISSION or size > const.MAX_SUBMISSION_BYTES:
        detail = "The submission is too large; split it."
    elif len({spec.job_id for spec in jobs}) < len(jobs):
        detail = "The submission names a job id twice; name each once."
    elif len({spec.client_account for spec in jobs}) > 1:
        detail = "The submission names two accounts; submit for one at a time."
    if not detail:
        return None
    return Problem(ProblemKind.JOB_REFUSED, RunState.NOT_RUN, detail)


def _unschedulable_reason(state: JobsState, ctx: Context, spec: JobSpec) -> str:
    """Return why a job can never run, "" if it can."""
    pool = pool_name(spec.client_account, spec.service)
    if pool not in ctx.fleet.table.services:
        return "the table has no such service; add its row or mend the name"
    need = sizes.least_need(state.sizes, spec)
    if spec.deadline_ms and ctx.wall_ms + need.run_ms > spec.deadline_ms:
        return "its run time goes past its deadline; set a later deadline"
    if not _fits_any_worker(ctx, pool, need):
        cores = f"{need.cores:g}"
        return (
            f"no worker has room for {cores} cores and {need.memory_mb} MB; "
            "declare a smaller size or split the job"
        )
    return ""


def _fits_any_worker(ctx: Context, pool: str, need: sizes.Need) -> bool:
    """Return whether some worker is large enough for a job, or none is known.

    The workers of the pool that are not gone are checked, serving or not. If there are
    none, the workers of all pools that are not gone are checked.
    """
    for name in queries.serving_workers(ctx.fleet, pool):
        if sizes.fits(need, ctx.fleet.workers[name]):
            return True
    remaining = [
        worker
        for worker in ctx.fleet.workers.values()
        if worker.phase is not WorkerPhase.GONE
    ]
    members = [worker for worker in remaining if worker.pool == pool] or remaining
    if not members:
        return True
    return any(sizes.fits(need, worker) for worker in members)


def _check_jobs_limit(
    state: JobsState, ctx: Context, jobs: tuple[JobSpec, ...]
) -> Problem | None:
    """Return the refusal if the account has too many open jobs, else None."""
    account = jobs[0].client_account
    row = queries.account_row(ctx.fleet, account)
    if row is None or not row.jobs_limit:
        return None
    new_jobs = sum(1 for spec in jobs if spec.job_id not in ctx.fleet.jobs)
    for request in state.pending_requests.values():
        if request.client_account == account:
            new_jobs += len(request.specs)
    if queries.active_jobs(ctx.fleet, account) + new_jobs <= row.jobs_limit:
        return None
    detail = f"{verdicts.message(verdicts.JOBS_LIMIT)}."
    return Problem(
        ProblemKind.JOB_REFUSED,
        RunState.NOT_RUN,
        detail,
        const.ACCOUNT_FULL_RETRY_MS,
    )


def _job_refused(spec: JobSpec, reason: str) -> Problem:
    """Return the refusal of a job that would be refused on a retry, too."""
    detail = f"Job {spec.job_id}: {reason}."
    return Problem(ProblemKind.JOB_REFUSED, RunState.NOT_RUN, detail)


def _host_leaving() -> Problem:
    """Return the refusal by a host that is shutting down."""
    detail = "This entry host is leaving; submit to another one."
    return Problem(ProblemKind.LEAVING, RunState.NOT_RUN, detail, 1)


def log_down_problem() -> Problem:
    """Return the refusal while the log cannot be written."""
    detail = "The log cannot be written; come back later."
    return Problem(
        ProblemKind.LOG_DOWN, RunState.NOT_RUN, detail, const.LOG_DOWN_RETRY_MS
    )
