"""Handlers for records of long-running jobs."""

from dataclasses import replace

from courselead.core.fleet import verdicts
from courselead.core.fleet.jobs_editor import PHASES_ON_WORKER, JobsEditor
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.queries import (
    account_row,
    free_capacity,
    is_evacuated,
    service_row,
)
from courselead.core.fleet.records import (
    JobEnd,
    JobOutcome,
    JobPlaced,
    JobsCancelled,
    JobsEnded,
    JobSpec,
    JobsSubmitted,
)
from courselead.core.fleet.state import (
    FleetState,
    JobPhase,
    JobState,
    Verdict,
    WorkerPhase,
)
from courselead.core.table import pool_name

# Tolerance for floating-point sums of cores: 0.1 + 0.2 must fit into 0.3.
CORES_TOLERANCE = 1e-9

_HandlerResult = tuple[FleetState, Verdict]


def jobs_submitted(
    fleet: FleetState, origin: Origin, record: JobsSubmitted
) -> _HandlerResult:
    """Add submitted jobs; submitting an identical job again changes nothing."""
    editor = JobsEditor.from_fleet(fleet)
    reasons = []
    for spec in record.jobs:
        existing = editor.jobs.get(spec.job_id)
        if existing is not None:
            reasons.append("" if existing.spec == spec else verdicts.JOB_ID_TAKEN)
            continue
        reason = _submission_rejection(fleet, editor, spec)
        reasons.append(reason)
        if not reason:
            editor.put(JobState(spec, origin.offset, since=origin.offset))
    return editor.finish(), verdicts.from_item_reasons(reasons)


def _submission_rejection(fleet: FleetState, editor: JobsEditor, spec: JobSpec) -> str:
    """Return the reason for rejecting a submitted job, or "" if it is valid."""
    if service_row(fleet, spec.client_account, spec.service) is None:
        return verdicts.POOL_UNKNOWN
    account = account_row(fleet, spec.client_account)
    if account is None:
        return verdicts.TABLE_NO_ACCOUNT
    if (
        account.jobs_limit
        and editor.active_count(spec.client_account) >= account.jobs_limit
    ):
        return verdicts.JOBS_LIMIT
    if not spec.cores >= 0 or spec.memory_mb < 0:
        return verdicts.JOB_BAD_SIZE
    return ""


def job_placed(fleet: FleetState, origin: Origin, record: JobPlaced) -> _HandlerResult:
    """Place a waiting job on a worker with enough free capacity."""
    job = fleet.jobs.get(record.job_id)
    if job is None:
        return fleet, verdicts.rejected(verdicts.JOB_UNKNOWN)
    reason = _placement_rejection(fleet, job, record)
    if reason:
        return fleet, verdicts.rejected(reason)
    job = replace(
        job,
        phase=JobPhase.PLACED,
        attempt=record.attempt,
        worker=record.worker,
        worker_epoch=record.epoch,
        cores=record.cores,
        memory_mb=record.memory_mb,
        lease_ms=record.lease_ms,
        since=origin.offset,
    )
    editor = JobsEditor.from_fleet(fleet)
    editor.put(job)
    return editor.finish(), verdicts.ACCEPTED


def _placement_rejection(fleet: FleetState, job: JobState, record: JobPlaced) -> str:
    """Return the reason for rejecting a placement, or "" if it is valid."""
    if job.phase is not JobPhase.WAITING or record.attempt != job.attempt + 1:
        return verdicts.STALE_ATTEMPT
    worker = fleet.workers.get(record.worker)
    if worker is None:
        return verdicts.WORKER_UNKNOWN
    if worker.epoch != record.epoch:
        return verdicts.STALE_EPOCH
    if worker.phase is not WorkerPhase.SERVING:
        return verdicts.WRONG_PHASE
    if is_evacuated(fleet, worker):
        return verdicts.ZONE_EVACUATED
    if worker.pool != pool_name(job.spec.client_account, job.spec.service):
        return verdicts.WRONG_POOL
    if not record.cores >= 0 or record.memory_mb < 0:
        return verdicts.JOB_BAD_SIZE
    cores, memory_mb = free_capacity(fleet, worker)
    # The comparison is negated so that NaN sizes are rejected.
    if not record.cores <= cores + CORES_TOLERANCE or record.memory_mb > memory_mb:
        return verdicts.NO_ROOM
    return ""


def jobs_ended(fleet: FleetState, origin: Origin, record: JobsEnded) -> _HandlerResult:
    """Process ended attempts: each job ends or waits for its next attempt."""
    editor = JobsEditor.from_fleet(fleet)
    reasons = []
    for end in record.ends:
        job = editor.jobs.get(end.job_id)
        reason = _end_rejection(job, end)
        reasons.append(reason)
        if not reason and job is not None:
            editor.put(_after_attempt_end(job, end, origin.offset))
    return editor.finish(), verdicts.from_item_reasons(reasons)


def _end_rejection(job: JobState | None, end: JobEnd) -> str:
    """Return the reason for rejecting an attempt end, or "" if it is valid."""
    if job is None:
        return verdicts.JOB_UNKNOWN
    if end.attempt != job.attempt:
        return verdicts.STALE_ATTEMPT
    # A waiting job may be refused, which happens if it fits on no worker.
    if job.phase is JobPhase.WAITING and end.outcome is JobOutcome.REFUSED:
        return ""
    if job.phase not in PHASES_ON_WORKER:
        return verdicts.STALE_ATTEMPT
    return ""


def _after_attempt_end(job: JobState, end: JobEnd, offset: int) -> JobState:
    """Return the job state after its newest attempt ended."""
    phase = _phase_after_end(job, end)
    failed_on = job.failed_on
    moves = job.moves
    if end.outcome is JobOutcome.FAILED and job.worker not in failed_on:
        failed_on = (*failed_on, job.worker)
    if end.outcome in (JobOutcome.CHECKPOINTED, JobOutcome.LAPSED):
        moves += 1
    return replace(
        job,
        phase=phase,
        since=offset,
        progress=end.progress,
        checkpoint=end.checkpoint or job.checkpoint,
        error=end.error,
        failed_on=failed_on,
        moves=moves,
    )


def _phase_after_end(job: JobState, end: JobEnd) -> JobPhase:
    """Return the phase of a job after an attempt ended."""
    outcome = end.outcome
    if outcome is JobOutcome.DONE:
        return JobPhase.DONE
    if outcome is JobOutcome.LAPSED and not job.spec.idempotent:
        return JobPhase.UNKNOWN
    if outcome is JobOutcome.CANCELLED or job.phase is JobPhase.CANCELLING:
        return JobPhase.CANCELLED
    if outcome is JobOutcome.REFUSED:
        return JobPhase.FAILED
    if outcome is JobOutcome.FAILED and not _can_retry(job):
        return JobPhase.FAILED
    return JobPhase.WAITING


def _can_retry(job: JobState) -> bool:
    """Return whether a job may be retried after its newest attempt failed.

    Only idempotent jobs are retried, because a failed attempt may have had side
    effects. Attempts that were moved or lapsed do not count as failures.
    """
    failures = job.attempt - job.moves
    return job.spec.idempotent and failures < job.spec.max_attempts


def jobs_cancelled(
    fleet: FleetState, origin: Origin, record: JobsCancelled
) -> _HandlerResult:
    """Cancel jobs of a client account; job IDs of other accounts are ignored."""
    editor = JobsEditor.from_fleet(fleet)
    for job_id in record.job_ids:
        job = editor.jobs.get(job_id)
        if job is None or job.spec.client_account != record.client_account:
            continue
        if job.phase is JobPhase.WAITING:
            editor.put(replace(job, phase=JobPhase.CANCELLED, since=origin.offset))
        elif job.phase is JobPhase.PLACED:
            editor.put(replace(job, phase=JobPhase.CANCELLING, since=origin.offset))
    return editor.finish(), verdicts.ACCEPTED
