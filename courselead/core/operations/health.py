"""Detects lost workers and workers that are back, by polling their agents.

Only the host that is ranked first for a worker polls it, so the number of polls does
not grow with the number of entry hosts. Only a worker that is down is also polled by
lower-ranked hosts, after their delay.
"""

from dataclasses import replace

from courselead.core.events import AgentAnswered, AgentFailed, AgentOp, AgentReport
from courselead.core.fleet.records import WorkerBack, WorkerDown
from courselead.core.fleet.state import WorkerPhase, WorkerState
from courselead.core.operations.draft import Draft
from courselead.core.operations.lifecycle import (
    ACTIVE_PHASES,
    MINION_STOPPED,
)
from courselead.core.operations.state import AgentView

WORKER_OPS = frozenset(
    {AgentOp.STATE, AgentOp.START_MINION, AgentOp.STOP_MINION, AgentOp.REBOOT}
)
MIN_FAILURES = 3
STAGE_WATCH = "watch"
REASON_UNREACHABLE = "unreachable"
REASON_RESTARTED = "restarted"
REASON_MINION_GONE = "minion_gone"
REASON_MINION_STOPPED = "minion_stopped_without_plan"


def poll_if_due(draft: Draft, worker: WorkerState) -> None:
    """Poll a worker outside a planned stop or start, if this host is to poll it."""
    if worker.phase is WorkerPhase.GONE or worker.phase in ACTIVE_PHASES:
        return
    lost = worker.phase is WorkerPhase.DOWN
    if not lost and not draft.is_first_ranked(worker):
        # Old failures must not count if this host is ranked first again later.
        if worker.worker in draft.state.agents:
            draft.drop_view(worker.worker)
        return
    view = draft.enter_stage(worker, STAGE_WATCH)
    if draft.is_call_due(worker, view):
        draft.call(worker, AgentOp.STATE)


def handle_answer(draft: Draft, worker: WorkerState, event: AgentAnswered) -> None:
    """Record that an agent answers, and check the state that it reports."""
    record_contact(draft, worker)
    view = draft.get_view(worker)
    report = event.report
    if event.op is not AgentOp.STATE or report is None:
        return
    _check_report(draft, worker, report)
    rebooting = worker.phase is WorkerPhase.STOPPED
    if rebooting and view.boots >= 0:
        # Keep the boot count from before the reboot, to compare the new one with it.
        draft.put_view(worker.worker, replace(view, report=report))
        return
    draft.put_view(worker.worker, replace(view, report=report, boots=report.boots))


def record_contact(draft: Draft, worker: WorkerState) -> None:
    """Record that an agent answers, regardless of the content of the answer."""
    view = replace(
        draft.get_view(worker),
        call_pending=False,
        first_failure_ms=-1,
        failures=0,
        last_answer_ms=draft.now_ms,
    )
    draft.put_view(worker.worker, view)
    draft.mark_failing(worker.worker, False)


def handle_failure(draft: Draft, worker: WorkerState, event: AgentFailed) -> None:
    """Count a failed call, and propose a worker as down if it fails for too long."""
    view = draft.get_view(worker)
    since = event.now_ms if view.first_failure_ms < 0 else view.first_failure_ms
    view = replace(
        view, call_pending=False, first_failure_ms=since, failures=view.failures + 1
    )
    draft.put_view(worker.worker, view)
    draft.mark_failing(worker.worker, True)
    if worker.phase not in (
        WorkerPhase.SERVING,
        WorkerPhase.STARTING,
        WorkerPhase.STOPPING,
    ):
        return
    if not is_unresponsive(draft, view):
        return
    draft.propose(WorkerDown(worker.worker, worker.epoch, REASON_UNREACHABLE))


def is_unresponsive(draft: Draft, view: AgentView) -> bool:
    """Return whether an agent has not answered for long enough to count as lost.

    Several calls have to fail: a single one may have been lost, long before the next.
    """
    if view.first_failure_ms < 0 or view.failures < MIN_FAILURES:
        return False
    return draft.now_ms - view.first_failure_ms >= draft.cfg.down_after_ms


def _check_report(draft: Draft, worker: WorkerState, report: AgentReport) -> None:
    """Compare a reported state with the worker's shared state."""
    if worker.phase in (WorkerPhase.SERVING, WorkerPhase.STOPPING):
        reason = _loss_reason(draft, worker, report)
        if reason:
            draft.propose(WorkerDown(worker.worker, worker.epoch, reason))
        return
    if worker.phase is not WorkerPhase.DOWN or report.rebooting:
        return
    draft.propose(WorkerBack(worker.worker, worker.epoch))


def _loss_reason(draft: Draft, worker: WorkerState, report: AgentReport) -> str:
    """Return why a serving or stopping worker is lost, "" if it is not."""
    if report.epoch > worker.epoch:
        # The shared state is behind the agent; the log will bring the change.
        return ""
    view = draft.get_view(worker)
    if report.rebooting or 0 <= view.boots < report.boots:
        return REASON_RESTARTED
    if report.epoch < worker.epoch or not report.minion_state:
        return REASON_MINION_GONE
    if worker.phase is WorkerPhase.STOPPING:
        return ""
    if report.minion_state == MINION_STOPPED:
        return REASON_MINION_STOPPED
    if report.minion_address != worker.minion_address:
        return REASON_MINION_GONE
    return ""
