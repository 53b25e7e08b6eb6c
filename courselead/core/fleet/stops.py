"""Handlers for planned stops: planning, cancellation, confirmed stop and reboot."""

from dataclasses import replace

from courselead.core.fleet import verdicts
from courselead.core.fleet.budgets import can_stop_worker
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.pool_index import with_worker
from courselead.core.fleet.queries import is_evacuated, unsettled_hosts
from courselead.core.fleet.records import (
    MinionStopped,
    StopCancelled,
    StopPlanned,
    StopPurpose,
    WorkerRebooted,
)
from courselead.core.fleet.state import FleetState, Verdict, WorkerPhase, WorkerState
from courselead.core.fleet.windows import is_window_open
from courselead.core.fleet.workers import record_rejection, with_next_epoch

_HandlerResult = tuple[FleetState, Verdict]


def stop_planned(
    fleet: FleetState, origin: Origin, record: StopPlanned
) -> _HandlerResult:
    """Reserve the pool's availability budget for a stop, using the current table."""
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, (WorkerPhase.SERVING,))
    if not reason and worker is not None:
        reason = _stop_rejection(fleet, worker, record)
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    is_move = record.purpose is StopPurpose.MOVE
    worker = replace(
        worker,
        phase=WorkerPhase.STOPPING,
        since=origin.offset,
        purpose=record.purpose,
        next_pool=record.next_pool if is_move else "",
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def _stop_rejection(fleet: FleetState, worker: WorkerState, record: StopPlanned) -> str:
    """Return the reason for rejecting a planned stop, or "" if it is valid."""
    row = fleet.table.services.get(worker.pool)
    if record.purpose is StopPurpose.MAINTENANCE:
        if row is not None and not is_window_open(row.window, record.at_ms):
            return verdicts.WINDOW_CLOSED
    elif record.next_pool == worker.pool:
        return verdicts.WRONG_POOL
    elif record.next_pool and record.next_pool not in fleet.table.services:
        return verdicts.POOL_UNKNOWN
    elif record.next_pool and is_evacuated(fleet, worker):
        return verdicts.ZONE_EVACUATED
    if not can_stop_worker(fleet, worker):
        return verdicts.BUDGET_SPENT
    return ""


def stop_cancelled(
    fleet: FleetState, origin: Origin, record: StopCancelled
) -> _HandlerResult:
    """Return a worker to service whose stop has not been confirmed.

    An entry host that was paused may still request the stop at this epoch. The worker
    therefore returns at the next epoch: its agent treats starting a minion that is
    already serving as a success, and from then on refuses the older request. Requests
    that its minion still runs use its slots as before.
    """
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, (WorkerPhase.STOPPING,))
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    worker = replace(
        with_next_epoch(worker, origin.offset),
        reason=record.reason,
        resumed_epoch=worker.minion_epoch,
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def minion_stopped(
    fleet: FleetState, origin: Origin, record: MinionStopped
) -> _HandlerResult:
    """Mark a worker as stopped, once no host can send to its minion any more."""
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, (WorkerPhase.STOPPING,))
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    if unsettled_hosts(fleet, worker.since):
        return fleet, verdicts.rejected(verdicts.NOT_SETTLED)
    worker = replace(
        worker,
        phase=WorkerPhase.STOPPED,
        since=origin.offset,
        minion_address="",
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def worker_rebooted(
    fleet: FleetState, origin: Origin, record: WorkerRebooted
) -> _HandlerResult:
    """Start a new minion after the reboot of a planned maintenance stop."""
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, (WorkerPhase.STOPPED,))
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    if worker.purpose is not StopPurpose.MAINTENANCE:
        return fleet, verdicts.rejected(verdicts.WRONG_PHASE)
    worker = replace(with_next_epoch(worker, origin.offset), maintained_ms=record.at_ms)
    return with_worker(fleet, worker), verdicts.ACCEPTED
