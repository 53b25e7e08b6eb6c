"""Handlers for worker records: inventory, assignment, losses and quarantine."""

from dataclasses import replace

from courselead.core.fleet import verdicts
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.pool_index import with_worker
from courselead.core.fleet.queries import is_evacuated, jobs_on
from courselead.core.fleet.records import (
    MinionUp,
    StopPurpose,
    WorkerAssigned,
    WorkerBack,
    WorkerDown,
    WorkerInfo,
    WorkerQuarantined,
    WorkersGone,
    WorkersSeen,
)
from courselead.core.fleet.state import FleetState, Verdict, WorkerPhase, WorkerState

_HandlerResult = tuple[FleetState, Verdict]

_CAN_BE_QUARANTINED = frozenset(WorkerPhase) - {
    WorkerPhase.GONE,
    WorkerPhase.QUARANTINED,
}
_CAN_GO_DOWN = _CAN_BE_QUARANTINED - {WorkerPhase.FREE, WorkerPhase.DOWN}


def workers_seen(
    fleet: FleetState, origin: Origin, record: WorkersSeen
) -> _HandlerResult:
    """Add new workers and update changed ones; a worker that was gone becomes free."""
    workers = fleet.workers.mutate()
    for info in record.workers:
        if not info.worker:
            # Other code uses an empty name to represent no worker.
            continue
        known = workers.get(info.worker)
        workers[info.worker] = _updated_from_platform(known, info, origin.offset)
    fleet = replace(fleet, workers=workers.finish())
    return fleet, verdicts.ACCEPTED


def _updated_from_platform(
    known: WorkerState | None, info: WorkerInfo, offset: int
) -> WorkerState:
    """Return a worker's state updated with the data from the platform."""
    if known is None:
        known = WorkerState("", "", "", "", 0.0, 0, since=offset)
    elif known.phase is WorkerPhase.GONE:
        known = replace(
            known,
            phase=WorkerPhase.FREE,
            epoch=known.epoch + 1,
            since=offset,
            reason="",
        )
    return replace(
        known,
        worker=info.worker,
        availability_zone=info.availability_zone,
        rack=info.rack,
        address=info.address,
        cores=info.cores,
        memory_mb=info.memory_mb,
    )


def workers_gone(
    fleet: FleetState, origin: Origin, record: WorkersGone
) -> _HandlerResult:
    """Mark workers as gone that are no longer in the platform's list."""
    reasons = []
    for name, epoch in record.workers:
        worker = fleet.workers.get(name)
        reason = record_rejection(
            worker, epoch, frozenset(WorkerPhase) - {WorkerPhase.GONE}
        )
        reasons.append(reason)
        if reason or worker is None:
            continue
        worker = replace(
            worker,
            pool="",
            phase=WorkerPhase.GONE,
            since=origin.offset,
            purpose=None,
            next_pool="",
            minion_address="",
        )
        fleet = with_worker(fleet, worker)
    return fleet, verdicts.from_item_reasons(reasons)


def worker_assigned(
    fleet: FleetState, origin: Origin, record: WorkerAssigned
) -> _HandlerResult:
    """Assign a worker to a pool, or release it at the end of a move."""
    worker = fleet.workers.get(record.worker)
    reason = _assignment_rejection(fleet, worker, record)
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    phase = WorkerPhase.STARTING if record.pool else WorkerPhase.FREE
    worker = replace(
        worker,
        pool=record.pool,
        epoch=worker.epoch + 1,
        phase=phase,
        since=origin.offset,
        purpose=None,
        next_pool="",
        minion_address="",
        reason="",
        resumed_epoch=0,
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def _assignment_rejection(
    fleet: FleetState, worker: WorkerState | None, record: WorkerAssigned
) -> str:
    """Return the reason for rejecting an assignment, or "" if it is valid."""
    phases = frozenset((WorkerPhase.FREE, WorkerPhase.STOPPED))
    reason = record_rejection(worker, record.epoch, phases)
    if reason or worker is None:
        return reason
    if record.pool and record.pool not in fleet.table.services:
        return verdicts.POOL_UNKNOWN
    if worker.phase is WorkerPhase.FREE:
        if not record.pool:
            return verdicts.WRONG_PHASE
        return verdicts.ZONE_EVACUATED if is_evacuated(fleet, worker) else ""
    if worker.purpose is not StopPurpose.MOVE:
        return verdicts.WRONG_PHASE
    # The next client account must never share a worker with a task of the previous one.
    if jobs_on(fleet, worker.worker):
        return verdicts.JOBS_REMAIN
    # A stopped worker may always be released, because the row of its next pool may
    # have been removed during the move.
    # It joins its next pool in an evacuated zone too, since it would otherwise be in
    # no pool until the zone is restored.
    if record.pool not in ("", worker.next_pool):
        return verdicts.WRONG_POOL
    return ""


def minion_up(fleet: FleetState, origin: Origin, record: MinionUp) -> _HandlerResult:
    """Mark a worker as serving once its minion is running."""
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, (WorkerPhase.STARTING,))
    if not reason and not record.address:
        reason = verdicts.NO_ADDRESS
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    worker = replace(
        worker,
        phase=WorkerPhase.SERVING,
        since=origin.offset,
        minion_address=record.address,
        reason="",
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def worker_down(
    fleet: FleetState, origin: Origin, record: WorkerDown
) -> _HandlerResult:
    """Mark a worker as down; it stays in its pool and a planned stop is discarded."""
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, _CAN_GO_DOWN)
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    worker = replace(
        worker,
        phase=WorkerPhase.DOWN,
        since=origin.offset,
        purpose=None,
        next_pool="",
        reason=record.reason,
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def worker_back(
    fleet: FleetState, origin: Origin, record: WorkerBack
) -> _HandlerResult:
    """Return a lost worker at its next epoch, with or without its minion.

    The epoch is incremented because a stop request from before the loss may still be
    pending; see `stops.stop_cancelled`.
    """
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, (WorkerPhase.DOWN,))
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    return with_worker(fleet, with_next_epoch(worker, origin.offset)), verdicts.ACCEPTED


def worker_quarantined(
    fleet: FleetState, origin: Origin, record: WorkerQuarantined
) -> _HandlerResult:
    """Remove a failing worker from its pool and from use until it is replaced.

    The worker becomes usable again after it has disappeared from the platform's list
    and been seen there again.
    """
    worker = fleet.workers.get(record.worker)
    reason = record_rejection(worker, record.epoch, _CAN_BE_QUARANTINED)
    if reason or worker is None:
        return fleet, verdicts.rejected(reason)
    worker = replace(
        worker,
        pool="",
        phase=WorkerPhase.QUARANTINED,
        since=origin.offset,
        purpose=None,
        next_pool="",
        reason=record.reason,
    )
    return with_worker(fleet, worker), verdicts.ACCEPTED


def with_next_epoch(worker: WorkerState, offset: int) -> WorkerState:
    """Return a worker at its next epoch, in the phase that starts a minion."""
    return replace(
        worker,
        epoch=worker.epoch + 1,
        phase=WorkerPhase.STARTING,
        since=offset,
        purpose=None,
        next_pool="",
        minion_address="",
        reason="",
        resumed_epoch=0,
    )


def record_rejection(
    worker: WorkerState | None,
    epoch: int,
    phases: frozenset[WorkerPhase] | tuple[WorkerPhase, ...],
) -> str:
    """Return the reason a worker record is not applicable, or "" if it is."""
    if worker is None:
        return verdicts.WORKER_UNKNOWN
    if worker.epoch != epoch:
        return verdicts.STALE_EPOCH
    if worker.phase not in phases:
        return verdicts.WRONG_PHASE
    return ""
