"""Handling of responses from worker agents and of failed calls."""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import Effect
from courselead.core.events import AgentAnswered, AgentFailed, AgentOp, TaskReport
from courselead.core.fleet.state import JobState
from courselead.core.jobs import const, ends, leases
from courselead.core.jobs.index import RUNNING_PHASES
from courselead.core.jobs.state import JobsState, Task
from courselead.core.ranking import TAKEOVER_DELAY_MS

Step = tuple[JobsState, tuple[Effect, ...]]

TASK_OPS = (
    AgentOp.START_TASK,
    AgentOp.RENEW_TASK,
    AgentOp.CHECKPOINT_TASK,
    AgentOp.STOP_TASK,
)


def handle_answer(state: JobsState, ctx: Context, event: AgentAnswered) -> Step:
    """Handle an agent's response."""
    if event.op is AgentOp.STATE and event.report is not None:
        for report in event.report.tasks:
            state = _handle_report(state, ctx, event.worker, report, requested=False)
        return state, ()
    if event.op not in TASK_OPS:
        return state, ()
    if event.task is not None:
        return _handle_report(state, ctx, event.worker, event.task, requested=True), ()
    return _handle_refusal(state, ctx, event)


def handle_failure(state: JobsState, ctx: Context, event: AgentFailed) -> Step:
    """Handle a failed call to an agent."""
    if event.op not in TASK_OPS:
        return state, ()
    retry_ms = ctx.now_ms + const.CALL_RETRY_MS
    if event.op is AgentOp.START_TASK:
        return _handle_start_failure(state, ctx, event, retry_ms), ()
    task = state.tasks.get(event.job_id)
    if task is None or task.worker != event.worker:
        return state, ()
    next_ms = min(task.next_ms, retry_ms) if task.position == 0 else task.next_ms
    task = replace(task, pending_op=None, next_ms=next_ms)
    return replace(state, tasks=state.tasks.set(event.job_id, task)), ()


def _handle_report(
    state: JobsState, ctx: Context, worker: str, report: TaskReport, requested: bool
) -> JobsState:
    """Handle a worker's report on a task."""
    job = _find_running(ctx, worker, report.job_id)
    if job is None or report.attempt != job.attempt:
        return state
    state = replace(state, starts=_without_start(state, report))
    task = state.tasks.get(report.job_id)
    if task is not None:
        task = _with_usage(task, report)
        state = replace(state, tasks=state.tasks.set(report.job_id, task))
    end = ends.end_from_report(job, report, task)
    if end is None:
        return state
    is_own = task.position == 0 if task is not None else requested
    due_ms = ctx.now_ms if is_own else ctx.now_ms + TAKEOVER_DELAY_MS
    return ends.add(state, end, due_ms)


def _with_usage(task: Task, report: TaskReport) -> Task:
    """Update a task with the resource usage of a report."""
    return replace(
        task,
        pending_op=None,
        not_found_count=0,
        cores_used=max(task.cores_used, report.cores_used),
        memory_mb_used=max(task.memory_mb_used, report.memory_mb_used),
    )


def _without_start(state: JobsState, report: TaskReport):
    """Return the pending starts without one that a report shows as done."""
    start = state.starts.get(report.job_id)
    if start is None or start.attempt != report.attempt:
        return state.starts
    return state.starts.delete(report.job_id)


def _handle_refusal(state: JobsState, ctx: Context, event: AgentAnswered) -> Step:
    """Handle an agent's refusal of a call for a task."""
    job = _find_running(ctx, event.worker, event.job_id)
    if job is None:
        return state, ()
    if event.op is AgentOp.START_TASK:
        return _handle_start_refusal(state, ctx, job, event.refused), ()
    task = state.tasks.get(event.job_id)
    if task is None or task.attempt != job.attempt:
        return state, ()
    task = replace(task, pending_op=None)
    if event.refused != const.REFUSED_NOT_FOUND:
        return replace(state, tasks=state.tasks.set(event.job_id, task)), ()
    return _handle_not_found(state, ctx, job, task)


def _handle_not_found(
    state: JobsState, ctx: Context, job: JobState, task: Task
) -> Step:
    """Handle a "no such task" response: start the task again or give it up."""
    job_id = job.spec.job_id
    task = replace(task, not_found_count=task.not_found_count + 1)
    state = replace(state, tasks=state.tasks.set(job_id, task))
    may_start = job.spec.idempotent and ctx.log_up
    if may_start and leases.is_startable(ctx.fleet, job):
        return state, (leases.start_call(ctx.fleet, job),)
    if task.not_found_count < const.NOT_FOUND_LIMIT:
        return state, ()
    end = ends.unreported_end(job, "the worker knows no such task")
    due_ms = ctx.now_ms + task.position * TAKEOVER_DELAY_MS
    return ends.add(state, end, due_ms), ()


def _handle_start_refusal(
    state: JobsState, ctx: Context, job: JobState, refused: str
) -> JobsState:
    """Handle an agent's refusal to start a task, which has not run there."""
    starts = state.starts
    if job.spec.job_id in starts:
        starts = starts.delete(job.spec.job_id)
    state = replace(state, starts=starts)
    if refused == const.REFUSED_STALE_ATTEMPT:
        return state
    return ends.add(state, ends.not_started_end(job, refused), ctx.now_ms)


def _handle_start_failure(
    state: JobsState, ctx: Context, event: AgentFailed, retry_ms: int
) -> JobsState:
    """Handle a start that did not, or may not have, reached the agent."""
    job = _find_running(ctx, event.worker, event.job_id)
    if job is None:
        return state
    start = state.starts.get(event.job_id)
    if start is not None:
        start = replace(start, next_ms=retry_ms)
        state = replace(state, starts=state.starts.set(event.job_id, start))
    if event.unknown:
        return state
    if not job.spec.idempotent:
        error = "the worker's agent was not reached"
        return ends.add(state, ends.not_started_end(job, error), ctx.now_ms)
    if start is None or start.tries < const.START_TRIES:
        return state
    return replace(state, starts=state.starts.delete(event.job_id))


def _find_running(ctx: Context, worker: str, job_id: str) -> JobState | None:
    """Return the job if its newest attempt runs on the worker, else None."""
    job = ctx.fleet.jobs.get(job_id)
    if job is None or job.worker != worker or job.phase not in RUNNING_PHASES:
        return None
    return job
