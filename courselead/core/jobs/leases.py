"""Task leases: starts, renewals, checkpoints and stops.

The host whose placement was accepted starts the task. From then on the primary
host, the first in rendezvous order of the worker's availability zone, renews the
lease. The backup host, the second in this order, renews it at longer intervals,
so that the lease does not expire if the primary is dead or cannot reach the
worker. All calls are idempotent for an attempt, and the agent refuses older
attempts. Non-idempotent jobs are an exception: only the placing host starts
them, and it sends no second start once the first may have taken effect, since a
restarted agent no longer knows which tasks it ran.
"""

from dataclasses import replace

from courselead.core.context import Context
from courselead.core.effects import CallAgent, Effect
from courselead.core.events import AgentOp
from courselead.core.fleet.queries import is_evacuated
from courselead.core.fleet.records import JobPlaced
from courselead.core.fleet.state import (
    AppliedRecord,
    FleetState,
    JobPhase,
    JobState,
    WorkerPhase,
    WorkerState,
)
from courselead.core.jobs import const, drivers, ends
from courselead.core.jobs.index import RUNNING_PHASES, pool_of
from courselead.core.jobs.state import JobsState, PendingStart, Task
from courselead.core.table import RequestClass

Step = tuple[JobsState, tuple[Effect, ...]]

UNREACHABLE_PHASES = (WorkerPhase.DOWN, WorkerPhase.GONE)
KEEP_JOBS_PHASES = (WorkerPhase.SERVING, WorkerPhase.STARTING)


def update_tasks(
    state: JobsState, ctx: Context, job_ids: frozenset[str], from_log: bool
) -> JobsState:
    """Update the tasks whose leases this host renews.

    Args:
        state: State before the change.
        ctx: Context of the event.
        job_ids: Jobs that may have changed.
        from_log: Whether the change was just read from the log. If not, the
            host that renewed the leases before may be gone, and calls for
            tasks that are new to this host are due at once.
    """
    tasks = state.tasks
    for job_id in sorted(job_ids):
        task = _task_for(state, ctx, job_id, from_log)
        if task is not None:
            tasks = tasks.set(job_id, task)
        elif job_id in tasks:
            tasks = tasks.delete(job_id)
    return replace(state, tasks=tasks)


def add_start(state: JobsState, ctx: Context, applied: AppliedRecord) -> JobsState:
    """Add the start of a job whose placement by this host was accepted."""
    record = applied.record
    if not isinstance(record, JobPlaced) or not applied.verdict.accepted:
        return state
    start = PendingStart(record.attempt, record.worker, 0, ctx.now_ms)
    return replace(state, starts=state.starts.set(record.job_id, start))


def send_due_starts(state: JobsState, ctx: Context) -> Step:
    """Send the due starts of tasks that this host placed."""
    if not state.starts:
        return state, ()
    effects: list[Effect] = []
    starts = state.starts
    for job_id, start in state.starts.items():
        job = ctx.fleet.jobs.get(job_id)
        if not _may_start(ctx.fleet, job, start):
            starts = starts.delete(job_id)
            state = _end_if_not_sent(state, ctx, job, start)
            continue
        if ctx.now_ms < start.next_ms:
            continue
        effects.append(start_call(ctx.fleet, job))
        next_ms = ctx.now_ms + const.CALL_TIMEOUT_MS
        updated = replace(start, tries=start.tries + 1, next_ms=next_ms)
        starts = starts.set(job_id, updated)
        if not job.spec.idempotent:
            starts = starts.delete(job_id)
    return replace(state, starts=starts), tuple(effects)


def send_due_calls(state: JobsState, ctx: Context) -> Step:
    """Send the due calls for running tasks, a limited number per tick."""
    if not drivers.may_renew(state, ctx):
        return state, ()
    effects: list[Effect] = []
    tasks = state.tasks
    for job_id, task in state.tasks.items():
        if ctx.now_ms < task.next_ms or len(effects) >= const.MAX_CALLS_PER_TICK:
            continue
        job = ctx.fleet.jobs[job_id]
        worker = ctx.fleet.workers.get(task.worker)
        if worker is None or worker.phase in UNREACHABLE_PHASES:
            continue
        call = task_call(job, worker, _next_op(job, worker))
        effects.append(call)
        next_ms = ctx.now_ms + _interval_ms(job, task.position, call.op)
        task = replace(task, pending_op=call.op, called_ms=ctx.now_ms, next_ms=next_ms)
        tasks = tasks.set(job_id, task)
    return replace(state, tasks=tasks), tuple(effects)


def _end_if_not_sent(
    state: JobsState, ctx: Context, job: JobState | None, start: PendingStart
) -> JobsState:
    """End a non-idempotent attempt whose start was never sent.

    No other host starts a non-idempotent job, so it has not run.
    """
    if job is None or job.attempt != start.attempt or start.tries:
        return state
    if job.phase not in RUNNING_PHASES or job.spec.idempotent:
        return state
    end = ends.not_started_end(job, "the worker was no longer to be used")
    return ends.add(state, end, ctx.now_ms)


def start_call(fleet: FleetState, job: JobState) -> CallAgent:
    """Return the call that starts the newest attempt of a job."""
    worker = fleet.workers[job.worker]
    return CallAgent(
        worker=worker.worker,
        address=worker.address,
        op=AgentOp.START_TASK,
        epoch=job.worker_epoch,
        service=job.spec.service,
        job_id=job.spec.job_id,
        attempt=job.attempt,
        payload=job.spec.payload,
        checkpoint=job.checkpoint,
        lease_ms=job.lease_ms,
        cores=job.cores,
        memory_mb=job.memory_mb,
    )


def task_call(job: JobState, worker: WorkerState, op: AgentOp) -> CallAgent:
    """Return a renew, checkpoint or stop call for a task."""
    return CallAgent(
        worker=worker.worker,
        address=worker.address,
        op=op,
        epoch=worker.epoch,
        job_id=job.spec.job_id,
        attempt=job.attempt,
        lease_ms=job.lease_ms if op is AgentOp.RENEW_TASK else 0,
    )


def is_startable(fleet: FleetState, job: JobState) -> bool:
    """Return whether the newest attempt of a job may be started on its worker.

    In an evacuated zone, as on a worker that stops, a start that was not sent before
    is not sent any more, and a task that the agent has lost is not started again.
    """
    if job.phase is not JobPhase.PLACED:
        return False
    worker = fleet.workers.get(job.worker)
    if worker is None or worker.phase is not WorkerPhase.SERVING:
        return False
    if is_evacuated(fleet, worker):
        return False
    return worker.epoch == job.worker_epoch


def _may_start(fleet: FleetState, job: JobState | None, start: PendingStart) -> bool:
    """Return whether a start is of the newest attempt and may still be sent."""
    if job is None or job.attempt != start.attempt:
        return False
    return is_startable(fleet, job)


def _task_for(
    state: JobsState, ctx: Context, job_id: str, from_log: bool
) -> Task | None:
    """Return this host's task for a job, None if it does not renew its lease."""
    job = ctx.fleet.jobs.get(job_id)
    if job is None or job.phase not in RUNNING_PHASES or not ctx.member:
        return None
    worker = ctx.fleet.workers.get(job.worker)
    zone = worker.availability_zone if worker else ""
    position = drivers.position_of(state, ctx.me.entry_host, job_id, zone)
    if position is None:
        return None
    current = state.tasks.get(job_id)
    if (
        current is None
        or current.attempt != job.attempt
        or current.worker != job.worker
    ):
        next_ms = ctx.now_ms
        if from_log:
            next_ms += _first_delay_ms(job, position)
        return Task(job.attempt, job.worker, position, next_ms)
    if current.position != position:
        current = replace(current, position=position, next_ms=ctx.now_ms)
    op = AgentOp.RENEW_TASK if worker is None else _next_op(job, worker)
    if from_log and op is not AgentOp.RENEW_TASK:
        next_ms = ctx.now_ms + position * const.CALL_TIMEOUT_MS
        current = replace(current, next_ms=min(current.next_ms, next_ms))
    return current


def _first_delay_ms(job: JobState, position: int) -> int:
    """Return the delay between a placement and the first call for its task."""
    is_urgent = job.spec.request_class is RequestClass.URGENT
    if position == 0 and is_urgent and job.spec.idempotent:
        return const.FIRST_RENEW_URGENT_MS
    return _interval_ms(job, position, AgentOp.RENEW_TASK)


def _interval_ms(job: JobState, position: int, op: AgentOp) -> int:
    """Return the interval between calls for a task."""
    interval_ms = const.CALL_TIMEOUT_MS
    if op is AgentOp.RENEW_TASK:
        interval_ms = job.lease_ms // const.RENEWALS_PER_LEASE
    return interval_ms * (const.BACKUP_INTERVAL_FACTOR if position else 1)


def _next_op(job: JobState, worker: WorkerState) -> AgentOp:
    """Return the next operation to request for a running task."""
    if job.phase is JobPhase.CANCELLING:
        return AgentOp.STOP_TASK
    if _must_leave(job, worker) and _may_checkpoint(job):
        return AgentOp.CHECKPOINT_TASK
    return AgentOp.RENEW_TASK


def _must_leave(job: JobState, worker: WorkerState) -> bool:
    """Return whether a job has to leave its worker, which stops or changed pools."""
    return worker.phase not in KEEP_JOBS_PHASES or worker.pool != pool_of(job)


def _may_checkpoint(job: JobState) -> bool:
    """Return whether a job can be checkpointed without the risk of running twice.

    A non-idempotent job is left to finish: whether it saved a checkpoint is
    known only after it has been stopped.
    """
    return job.spec.idempotent
