"""Ends of attempts: from the report of a worker to a batched record."""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import Effect, Propose
from courselead.core.events import TaskReport
from courselead.core.fleet.records import JobEnd, JobOutcome, JobsEnded
from courselead.core.fleet.state import JobPhase, JobState
from courselead.core.jobs import const
from courselead.core.jobs.index import RUNNING_PHASES
from courselead.core.jobs.state import JobsState, PendingEnd, Task

Step = tuple[JobsState, tuple[Effect, ...]]

_OUTCOMES = {
    const.TASK_DONE: JobOutcome.DONE,
    const.TASK_FAILED: JobOutcome.FAILED,
    const.TASK_CHECKPOINTED: JobOutcome.CHECKPOINTED,
    const.TASK_STOPPED: JobOutcome.LAPSED,
    const.TASK_LAPSED: JobOutcome.LAPSED,
}


def end_from_report(
    job: JobState, report: TaskReport, task: Task | None
) -> JobEnd | None:
    """Return the end of an attempt by its report, None if the task still runs.

    A non-idempotent task that was stopped for a checkpoint but saved none
    would run again from its beginning. It counts as lapsed instead, after
    which non-idempotent jobs are not started again.
    """
    outcome = _OUTCOMES.get(report.state)
    if outcome is None:
        return None
    if job.phase is JobPhase.CANCELLING and outcome is not JobOutcome.DONE:
        outcome = JobOutcome.CANCELLED
    runs_once = not job.spec.idempotent
    if outcome is JobOutcome.CHECKPOINTED and runs_once and not report.checkpoint:
        outcome = JobOutcome.LAPSED
    cores_used = report.cores_used
    memory_mb_used = report.memory_mb_used
    if task is not None:
        cores_used = max(cores_used, task.cores_used)
        memory_mb_used = max(memory_mb_used, task.memory_mb_used)
    return JobEnd(
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=outcome,
        error=report.error,
        progress=report.progress,
        checkpoint=report.checkpoint,
        cores_used=cores_used,
        memory_mb_used=memory_mb_used,
        ran_ms=report.ran_ms,
    )


def unreported_end(job: JobState, error: str) -> JobEnd:
    """Return the end of an attempt for which there is no report."""
    return _end_without_report(job, JobOutcome.LAPSED, error)


def not_started_end(job: JobState, error: str) -> JobEnd:
    """Return the end of an attempt that is known not to have been started.

    It is encoded as a checkpoint without progress, so that the job waits again
    unchanged.
    """
    return _end_without_report(job, JobOutcome.CHECKPOINTED, error)


def is_not_started(end: JobEnd) -> bool:
    """Return whether an end is that of an attempt that was never started."""
    return end.outcome is JobOutcome.CHECKPOINTED and end.ran_ms == 0


def refused_end(job: JobState, error: str) -> JobEnd:
    """Return the end of a waiting job that no worker can take."""
    return _end_without_report(job, JobOutcome.REFUSED, error)


def _end_without_report(job: JobState, outcome: JobOutcome, error: str) -> JobEnd:
    """Return an end that keeps the job's progress and checkpoint."""
    return JobEnd(
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=outcome,
        error=error,
        progress=job.progress,
        checkpoint=job.checkpoint,
    )


def add(state: JobsState, end: JobEnd, due_ms: int) -> JobsState:
    """Add an end to be proposed.

    An end that is already known for the attempt is kept; only its due time can
    become earlier.
    """
    existing = state.pending_ends.get(end.job_id)
    if existing is not None and existing.end.attempt == end.attempt:
        if due_ms < existing.due_ms:
            existing = replace(existing, due_ms=due_ms)
            return replace(
                state, pending_ends=state.pending_ends.set(end.job_id, existing)
            )
        return state
    pending_ends = state.pending_ends.set(end.job_id, PendingEnd(end, due_ms))
    return replace(state, pending_ends=pending_ends)


def drop_outdated(state: JobsState, ctx: Context, job_ids: frozenset[str]) -> JobsState:
    """Drop ends whose attempt has already ended according to the log."""
    pending_ends = state.pending_ends
    for job_id in job_ids:
        pending = pending_ends.get(job_id)
        if pending is None:
            continue
        job = ctx.fleet.jobs.get(job_id)
        if job and job.phase in RUNNING_PHASES and job.attempt == pending.end.attempt:
            continue
        pending_ends = pending_ends.delete(job_id)
    return replace(state, pending_ends=pending_ends)


def propose_due(state: JobsState, ctx: Context) -> Step:
    """Propose the ends that are due, batched into few records."""
    if not ctx.log_up or not state.pending_ends:
        return state, ()
    due: list[JobEnd] = []
    pending_ends = state.pending_ends
    for job_id, pending in state.pending_ends.items():
        if ctx.now_ms < pending.due_ms:
            continue
        was_proposed = pending.proposed_ms >= 0
        if (
            was_proposed
            and ctx.now_ms - pending.proposed_ms < const.PROPOSAL_TIMEOUT_MS
        ):
            continue
        due.append(pending.end)
        pending_ends = pending_ends.set(
            job_id, replace(pending, proposed_ms=ctx.now_ms)
        )
    if not due:
        return state, ()
    due.sort(key=lambda end: end.job_id)
    effects = []
    for first in range(0, len(due), const.ENDS_PER_RECORD):
        chunk = tuple(due[first : first + const.ENDS_PER_RECORD])
        effects.append(Propose(JobsEnded(chunk)))
    return replace(state, pending_ends=pending_ends), tuple(effects)
