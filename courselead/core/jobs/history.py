"""Local statistics from the job records that this host reads from the log."""

from dataclasses import replace

from immutables import Map

from courselead.core.context import Context
from courselead.core.fleet.records import (
    JobEnd,
    JobPlaced,
    JobsEnded,
    JobSpec,
    JobsSubmitted,
)
from courselead.core.fleet.state import AppliedRecord, JobState
from courselead.core.jobs import const, ends, evidence, reserve, sizes
from courselead.core.jobs.evidence import AttemptEnd
from courselead.core.jobs.index import OPEN_PHASES, RUNNING_PHASES
from courselead.core.jobs.state import JobsState, RunningAttempt
from courselead.core.table import pool_name


def record_applied(state: JobsState, ctx: Context, applied: AppliedRecord) -> JobsState:
    """Update the statistics from one applied record."""
    if not applied.verdict.accepted:
        return state
    match applied.record:
        case JobsSubmitted(jobs=specs):
            return _record_demand(state, ctx, specs)
        case JobPlaced() as placed:
            running = RunningAttempt(
                placed.worker, placed.epoch, applied.offset, ctx.now_ms
            )
            running = state.running.set(placed.job_id, running)
            last_trial_ms = state.last_trial_ms
            if state.evidence.is_suspect(placed.worker, placed.epoch):
                last_trial_ms = last_trial_ms.set(placed.worker, ctx.now_ms)
            return replace(state, running=running, last_trial_ms=last_trial_ms)
        case JobsEnded(ends=found):
            reasons = applied.verdict.items or ("",) * len(found)
            for end, reason in zip(found, reasons, strict=True):
                job = ctx.fleet.jobs.get(end.job_id)
                if reason or job is None:
                    continue
                state = _record_refused_start(state, ctx, end)
                state = _record_end(state, ctx, job, end, applied.offset)
    return state


def rebuild_running(state: JobsState, ctx: Context) -> JobsState:
    """Rebuild the running attempts from a shared state, such as a snapshot."""
    running: Map[str, RunningAttempt] = Map()
    for job_id, job in ctx.fleet.jobs.items():
        if job.phase not in RUNNING_PHASES:
            continue
        previous = state.running.get(job_id)
        since_ms = previous.since_ms if previous else ctx.now_ms
        attempt = RunningAttempt(job.worker, job.worker_epoch, job.since, since_ms)
        running = running.set(job_id, attempt)
    return replace(state, running=running)


def _record_demand(
    state: JobsState, ctx: Context, specs: tuple[JobSpec, ...]
) -> JobsState:
    """Update the peak of concurrent urgent jobs in the pools of new jobs."""
    for spec in specs:
        demand = reserve.updated_demand(state, ctx, spec)
        if demand is None:
            continue
        pool = pool_name(spec.client_account, spec.service)
        state = replace(state, urgent_demand=state.urgent_demand.set(pool, demand))
    return state


def _record_refused_start(state: JobsState, ctx: Context, end: JobEnd) -> JobsState:
    """Avoid a worker for some time if an attempt was not started there."""
    running = state.running.get(end.job_id)
    if running is None or not ends.is_not_started(end):
        return state
    until_ms = ctx.now_ms + const.REFUSED_START_BACKOFF_MS
    return replace(
        state, avoided_until_ms=state.avoided_until_ms.set(running.worker, until_ms)
    )


def _record_end(
    state: JobsState, ctx: Context, job: JobState, end: JobEnd, offset: int
) -> JobsState:
    """Update learned sizes and failure evidence from the end of an attempt."""
    learned = sizes.learn(state.sizes, job.spec, end, resumed=job.moves > 0)
    learned = sizes.record_usage(learned, end, job.phase not in OPEN_PHASES)
    state = replace(state, sizes=learned)
    running = state.running.get(end.job_id)
    if running is None:
        return state
    attempt_end = AttemptEnd(
        job=job,
        worker=running.worker,
        epoch=running.epoch,
        outcome=end.outcome,
        placed=running.offset,
        offset=offset,
        exceeded_memory=0 < job.memory_mb < end.memory_mb_used,
    )
    updated = evidence.record_end(state.evidence, attempt_end)
    last_trial_ms = state.last_trial_ms
    if not updated.is_suspect(attempt_end.worker, attempt_end.epoch):
        last_trial_ms = (
            last_trial_ms.delete(attempt_end.worker)
            if attempt_end.worker in last_trial_ms
            else last_trial_ms
        )
    elif attempt_end.worker not in last_trial_ms:
        last_trial_ms = last_trial_ms.set(attempt_end.worker, ctx.now_ms)
    return replace(
        state,
        evidence=updated,
        running=state.running.delete(end.job_id),
        last_trial_ms=last_trial_ms,
    )
