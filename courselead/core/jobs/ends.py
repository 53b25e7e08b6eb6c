"""Ends of attempts: from a worker's report to a batched record."""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import Effect, Propose
from courselead.core.events import TaskReport
from courselead.core.fleet.records import JobEnd, JobOutcome, JobsEnded
from courselead.core.fleet.state import JobPhase, JobState
from courselead.core.jobs import const
from courselead.core.jobs.index import RUNNING_PHASES
from courselead.core.jobs.state import Ending, JobsState, Task

Step = tuple[JobsState, tuple[Effect, ...]]

_OUTCOMES = {
    const.TASK_DONE: JobOutcome.DONE,
    const.TASK_FAILED: JobOutcome.FAILED,
    const.TASK_CHECKPOINTED: JobOutcome.CHECKPOINTED,
    const.TASK_STOPPED: JobOutcome.LAPSED,
    const.TASK_LAPSED: JobOutcome.LAPSED,
}


def end_of(job: JobState, report: TaskReport, task: Task | None) -> JobEnd | None:
    """Return the end that a report shows, None if the task still runs.

    A non-idempotent task that was checkpointed and kept no mark would run
    again from its beginning; it counts as lapsed, which no job of that sort
    is started again after.
    """
    outcome = _OUTCOMES.get(report.state)
    if outcome is None:
        return None
    if job.phase is JobPhase.CANCELLING and outcome is not JobOutcome.DONE:
        outcome = JobOutcome.CANCELLED
    is_once = not job.spec.idempotent
    if outcome is JobOutcome.CHECKPOINTED and is_once and not report.checkpoint:
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


def unseen_end(job: JobState, error: str) -> JobEnd:
    """Return the end of an attempt that no report tells of."""
    return _end_without_report(job, JobOutcome.LAPSED, error)


def not_run_end(job: JobState, error: str) -> JobEnd:
    """Return the end of an attempt that is known not to have been started.

    It waits again as it was: a checkpoint at the beginning.
    """
    return _end_without_report(job, JobOutcome.CHECKPOINTED, error)


def is_not_run(end: JobEnd) -> bool:
    """Return whether an end says that the attempt was never started."""
    return end.outcome is JobOutcome.CHECKPOINTED and end.ran_ms == 0


def refused_end(job: JobState, error: str) -> JobEnd:
    """Return the end of a waiting job that no worker can take."""
    return _end_without_report(job, JobOutcome.REFUSED, error)


def _end_without_report(job: JobState, outcome: JobOutcome, error: str) -> JobEnd:
    """Return an end that leaves the job's progress as it is."""
    return JobEnd(
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=outcome,
        error=error,
        progress=job.progress,
        checkpoint=job.checkpoint,
    )


def add(state: JobsState, end: JobEnd, due_ms: int) -> JobsState:
    """Return the state with an end to be proposed; the first one known stays."""
    known = state.endings.get(end.job_id)
    if known is not None and known.end.attempt == end.attempt:
        if due_ms < known.due_ms:
            known = replace(known, due_ms=due_ms)
            return replace(state, endings=state.endings.set(end.job_id, known))
        return state
    endings = state.endings.set(end.job_id, Ending(end, due_ms))
    return replace(state, endings=endings)


def drop_settled(state: JobsState, ctx: Context, job_ids: frozenset[str]) -> JobsState:
    """Return the state without ends that the log has overtaken."""
    endings = state.endings
    for job_id in job_ids:
        ending = endings.get(job_id)
        if ending is None:
            continue
        job = ctx.fleet.jobs.get(job_id)
        if job and job.phase in RUNNING_PHASES and job.attempt == ending.end.attempt:
            continue
        endings = endings.delete(job_id)
    return replace(state, endings=endings)


def propose(state: JobsState, ctx: Context) -> Step:
    """Propose the ends that are due, many in one record."""
    if not ctx.log_up or not state.endings:
        return state, ()
    due: list[JobEnd] = []
    endings = state.endings
    for job_id, ending in state.endings.items():
        if ctx.now_ms < ending.due_ms:
            continue
        is_sent = ending.proposed_ms >= 0
        if is_sent and ctx.now_ms - ending.proposed_ms < const.PROPOSAL_TIMEOUT_MS:
            continue
        due.append(ending.end)
        endings = endings.set(job_id, replace(ending, proposed_ms=ctx.now_ms))
    if not due:
        return state, ()
    due.sort(key=lambda end: end.job_id)
    effects = []
    for first in range(0, len(due), const.ENDS_PER_RECORD):
        part = tuple(due[first : first + const.ENDS_PER_RECORD])
        effects.append(Propose(JobsEnded(part)))
    return replace(state, endings=endings), tuple(effects)
