"""Advances each worker through its phases by calls to its agent.

The phase in the shared state determines the next action; the agent's answer is
proposed as the record that ends the phase. A drain is never cut short.
"""

from dataclasses import replace

from courselead.core.events import AgentAnswered, AgentOp, AgentReport
from courselead.core.fleet.budgets import min_serving_workers, serving_count
from courselead.core.fleet.queries import is_evacuated, jobs_on, unsettled_hosts
from courselead.core.fleet.records import (
    MinionStopped,
    MinionUp,
    StopCancelled,
    StopPurpose,
    WorkerAssigned,
    WorkerDown,
    WorkerRebooted,
)
from courselead.core.fleet.state import WorkerPhase, WorkerState
from courselead.core.operations.draft import Draft
from courselead.core.operations.state import (
    DRAIN_REPORT_AFTER_MS,
    REPORT_INTERVAL_MS,
    AgentView,
)
from courselead.core.table import ServiceRow

ACTIVE_PHASES = frozenset(
    {WorkerPhase.STARTING, WorkerPhase.STOPPING, WorkerPhase.STOPPED}
)
MINION_SERVING = "serving"
MINION_STOPPED = "stopped"
REFUSED_BUSY = "busy"
TASK_RUNNING = "running"
STAGE_SETTLE = "settle"
STAGE_STOP = "stop"
STAGE_START = "start"
STAGE_REBOOT = "reboot"
CANCELLED_UNSETTLED = "entry hosts did not settle"
STAGE_MOVE = "move"
REASON_REBOOT_LIMIT = "reboot_limit"


def advance(draft: Draft, worker: WorkerState) -> None:
    """Take the next step for a worker that is starting, stopping or stopped."""
    if worker.phase is WorkerPhase.STARTING:
        _start(draft, worker)
    elif worker.phase is WorkerPhase.STOPPING:
        _stop(draft, worker)
    elif worker.phase is not WorkerPhase.STOPPED:
        return
    elif worker.purpose is StopPurpose.MOVE:
        _move(draft, worker)
    else:
        _reboot(draft, worker)


def handle_answer(
    draft: Draft, worker: WorkerState, event: AgentAnswered, known_boots: int
) -> None:
    """Propose the record that an answer confirms, then take the next step.

    Args:
        draft: The draft of this reduction.
        worker: Worker in the shared state.
        event: The answer.
        known_boots: Boot count known before this answer, -1 if unknown.
    """
    if event.op is AgentOp.START_MINION:
        _handle_start_answer(draft, worker, event)
    elif event.op is AgentOp.STATE:
        _handle_report(draft, worker, event, known_boots)
    elif event.op in (AgentOp.STOP_MINION, AgentOp.REBOOT):
        view = draft.get_view(worker)
        starting = worker.phase is WorkerPhase.STARTING
        call_accepted = not event.refused and not starting
        draft.put_view(
            worker.worker, replace(view, call_accepted=call_accepted, recheck=True)
        )
    advance(draft, worker)


def handle_failure(draft: Draft, worker: WorkerState) -> None:
    """Require a state read before the next action, since the call may have run."""
    draft.put_view(worker.worker, replace(draft.get_view(worker), recheck=True))


def _handle_report(
    draft: Draft, worker: WorkerState, event: AgentAnswered, known_boots: int
) -> None:
    """Process the reported state of a stopping or rebooting worker."""
    report = event.report
    if report is None:
        return
    view = draft.get_view(worker)
    view = replace(view, recheck=False, saw_reboot=view.saw_reboot or report.rebooting)
    if worker.phase is WorkerPhase.STOPPING:
        current = report.epoch == worker.epoch
        if current and report.minion_state == MINION_STOPPED:
            draft.propose(MinionStopped(worker.worker, worker.epoch))
        if current and report.minion_state == MINION_SERVING:
            view = replace(view, call_accepted=False)
    draft.put_view(worker.worker, view)
    stopped = worker.phase is WorkerPhase.STOPPED
    if not stopped or worker.purpose is not StopPurpose.MAINTENANCE:
        return
    if report.rebooting:
        return
    if 0 <= known_boots < report.boots or view.saw_reboot:
        record = WorkerRebooted(worker.worker, worker.epoch, event.wall_ms)
        draft.propose(record)
        return
    _reboot_if_idle(draft, worker, report, known_boots)


def _reboot_if_idle(
    draft: Draft, worker: WorkerState, report: AgentReport, known_boots: int
) -> None:
    """Reboot a worker immediately after its state was read, if it runs no task.

    Only a fresh state shows that a reboot by another host has not just ended. A
    lower-ranked host that does not know the boot count waits for one more state,
    so that the first-ranked host can record a reboot that it may have seen.
    """
    if _running_tasks(report):
        return
    if known_boots < 0 and not draft.is_first_ranked(worker):
        return
    draft.call(worker, AgentOp.REBOOT)


# --- phases ----------------------------------------------------------------


def _start(draft: Draft, worker: WorkerState) -> None:
    """Have the agent start the minion of this epoch.

    If the start was refused as busy, the older minion is stopped first.
    """
    row = _service_row(draft, worker)
    view = draft.enter_stage(worker, STAGE_START)
    if not draft.is_call_due(worker, view):
        return
    if view.call_accepted:
        draft.call(worker, AgentOp.STOP_MINION)
        return
    draft.call(
        worker,
        AgentOp.START_MINION,
        # The pool name includes the client account, because two client accounts
        # may have services of the same name.
        service=row.pool,
        slots=row.slots,
        connections=row.connections,
    )


def _service_row(draft: Draft, worker: WorkerState) -> ServiceRow:
    """Return the service row with which to start a minion.

    A starting worker cannot be stopped before its minion has started. If its row has
    been removed, the minion starts with the defaults, and the worker is then stopped
    and released as usual.
    """
    row = draft.ctx.fleet.table.services.get(worker.pool)
    if row is not None:
        return row
    client_account, _, service = worker.pool.partition("/")
    return ServiceRow(client_account, service)


def _handle_start_answer(
    draft: Draft, worker: WorkerState, event: AgentAnswered
) -> None:
    """Propose the record of a started minion, or handle a refused start."""
    if worker.phase is not WorkerPhase.STARTING:
        return
    if event.refused or not event.address:
        _handle_refused_start(draft, worker, event.refused)
        return
    draft.propose(MinionUp(worker.worker, worker.epoch, event.address))


def _handle_refused_start(draft: Draft, worker: WorkerState, error: str) -> None:
    """Log a refused start once a minute, and prepare the next attempt.

    If the agent is busy with the minion of an earlier assignment, that minion is
    stopped gracefully first.
    """
    view = replace(draft.get_view(worker), call_accepted=error == REFUSED_BUSY)
    last_ms = view.reported_ms
    if last_ms < 0 or draft.now_ms - last_ms >= REPORT_INTERVAL_MS:
        view = replace(view, reported_ms=draft.now_ms)
        draft.log_event(
            "warning",
            "minion_start_refused",
            worker=worker.worker,
            epoch=worker.epoch,
            error=error,
        )
    draft.put_view(worker.worker, view)


def _stop(draft: Draft, worker: WorkerState) -> None:
    """Stop the minion once no entry host can have a request in flight on it."""
    hosts = unsettled_hosts(draft.ctx.fleet, worker.since)
    view = draft.enter_stage(worker, STAGE_SETTLE if hosts else STAGE_STOP)
    _report_stuck_drain(draft, worker, view, hosts)
    if hosts and _should_cancel_stop(draft, worker, view):
        reason = CANCELLED_UNSETTLED
        draft.propose(StopCancelled(worker.worker, worker.epoch, reason))
        return
    if hosts or not draft.is_call_due(worker, view):
        return
    if view.call_accepted or view.recheck:
        draft.call(worker, AgentOp.STATE)
        return
    draft.call(worker, AgentOp.STOP_MINION)


def _should_cancel_stop(draft: Draft, worker: WorkerState, view: AgentView) -> bool:
    """Return whether to cancel a stop that the agent has not been told about.

    While an entry host has not settled, the minion keeps running for it, but the
    other hosts no longer use it. The stop is cancelled after a limit, or earlier
    once losses have brought the pool below its minimum of serving workers.
    """
    waited_ms = draft.now_ms - view.stage_ms
    delay = draft.takeover_delay_ms(worker.worker, worker.availability_zone)
    if waited_ms < delay:
        return False
    if waited_ms >= draft.cfg.unsettled_limit_ms + delay:
        return True
    fleet = draft.ctx.fleet
    row = fleet.table.services.get(worker.pool)
    if row is None:
        return False
    serving = serving_count(
        fleet, worker.pool, include_evacuated=is_evacuated(fleet, worker)
    )
    return serving < min_serving_workers(row)


def _reboot(draft: Draft, worker: WorkerState) -> None:
    """Read the state of a worker to be rebooted until the reboot has ended.

    The reboot itself is called in `_reboot_if_idle`.
    """
    view = draft.enter_stage(worker, STAGE_REBOOT)
    _report_stuck_drain(draft, worker, view, ())
    if draft.now_ms - view.phase_ms > draft.cfg.reboot_limit_ms:
        reason = REASON_REBOOT_LIMIT
        draft.propose(WorkerDown(worker.worker, worker.epoch, reason))
        return
    if not draft.is_call_due(worker, view):
        return
    draft.call(worker, AgentOp.STATE)


def _move(draft: Draft, worker: WorkerState) -> None:
    """Assign a stopped worker to its next pool once no job is placed on it."""
    view = draft.enter_stage(worker, STAGE_MOVE)
    delay = draft.takeover_delay_ms(worker.worker, worker.availability_zone)
    if draft.now_ms - view.stage_ms < delay:
        return
    if jobs_on(draft.ctx.fleet, worker.worker):
        _report_stuck_drain(draft, worker, view, ())
        return
    table = draft.ctx.fleet.table
    # The worker is released if the row of its next pool has been removed meanwhile.
    pool = worker.next_pool if worker.next_pool in table.services else ""
    draft.propose(WorkerAssigned(worker.worker, worker.epoch, pool, table.version))


# --- stuck drains ----------------------------------------------------------


def _report_stuck_drain(
    draft: Draft, worker: WorkerState, view: AgentView, hosts: tuple[str, ...]
) -> None:
    """Log a drain that takes too long, with its cause, once a minute."""
    if draft.now_ms - view.phase_ms < DRAIN_REPORT_AFTER_MS:
        return
    last_ms = view.reported_ms
    if last_ms >= 0 and draft.now_ms - last_ms < REPORT_INTERVAL_MS:
        return
    if not draft.is_first_ranked(worker):
        return
    draft.put_view(worker.worker, replace(view, reported_ms=draft.now_ms))
    tasks = _running_tasks(view.report)
    if worker.phase is WorkerPhase.STOPPED and not tasks:
        tasks = list(jobs_on(draft.ctx.fleet, worker.worker))
    draft.log_event(
        "warning",
        "drain_stuck",
        worker=worker.worker,
        phase=worker.phase.value,
        took_ms=draft.now_ms - view.phase_ms,
        cause=_drain_cause(view, hosts, tasks),
    )


def _running_tasks(report: AgentReport | None) -> list[str]:
    """Return the sorted IDs of the jobs whose tasks are still running."""
    if report is None:
        return []
    return sorted(task.job_id for task in report.tasks if task.state == TASK_RUNNING)


def _drain_cause(view: AgentView, hosts: tuple[str, ...], tasks: list[str]) -> str:
    """Return the reason for which a drain has not ended."""
    if hosts:
        names = ", ".join(hosts)
        return f"entry hosts not settled: {names}"
    if tasks:
        names = ", ".join(tasks)
        return f"tasks running: {names}"
    report = view.report
    if view.failures:
        return f"agent does not answer: {view.failures} failures"
    if report is None:
        return "agent not asked yet"
    if report.minion_in_flight:
        return f"requests in flight: {report.minion_in_flight}"
    if report.rebooting:
        return "reboot not ended"
    return "minion not stopped"
