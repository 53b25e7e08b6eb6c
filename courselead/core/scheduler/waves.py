"""Maintenance waves: maintain workers in time, within the cap, with few disruptions."""

from __future__ import annotations

from courselead.core.scheduler import budgets
from courselead.core.scheduler.evacuation_moves import minions_that_cannot_be_emptied
from courselead.core.scheduler.events import (
    CloudOrderAnswered,
    ListWorkers,
    MaintainWorker,
    Outcome,
    SaveWaveStatus,
)
from courselead.core.scheduler.models import MaintenanceWave, WorkerPhase
from courselead.core.scheduler.records import WaveProgress
from courselead.core.scheduler.schedule import Schedule, WaveState
from courselead.core.scheduler.state import Minion, Run, RunPhase

LIST_PERIOD_MS = 700
"""Interval of requests for the cloud's list while it is needed; each has a cost."""

EVACUATE_AHEAD = 1
"""Number of workers evacuated beyond the cap, so that their tasks can end meanwhile."""

EVACUATE_MS = 2_500
"""Time for finite tasks to end by themselves: about three times a short run time."""

RETRY_MS = 400
"""Delay before an order that was answered without success is sent again."""

UNANSWERED_MS = 2_000
"""Time after which an unanswered order is sent again; the order is idempotent."""

_BEFORE_OTHERS, _AFTER_OTHERS = -1, 1
"""Ranks for maintenance of the workers of evacuated zones; all others have 0."""


def requested(schedule: Schedule, wave: MaintenanceWave) -> None:
    """Add a wave requested by the operator, with the progress of earlier owners."""
    state = schedule.waves.get(wave.wave)
    if state is not None:
        return
    state = WaveState(wave.workers, max(1, wave.cap))
    schedule.waves[wave.wave] = state
    progress = schedule.book.waves.get(wave.wave)
    if progress is not None:
        _restore_wave(schedule, state, progress)
    schedule.log_event("wave_requested", wave=wave.wave, workers=len(wave.workers))


def _restore_wave(schedule: Schedule, wave: WaveState, progress: WaveProgress) -> None:
    """Restore a wave's state from the orders of earlier owners."""
    wave.begun = set(progress.begun)
    for worker_id in progress.begun:
        # Counts as down until a list requested from now on shows it up.
        wave.down[worker_id] = schedule.now_ms - schedule.bounds.maintenance_ms
    for worker_id in progress.sent:
        wave.sent[worker_id] = 0
        if worker_id not in wave.begun:
            wave.down[worker_id] = schedule.now_ms
            wave.evacuating[worker_id] = schedule.now_ms
            wave.open.add(worker_id)


def tick(schedule: Schedule) -> None:
    """Advance all waves, and request the cloud's list if it is needed."""
    if _wants_list(schedule):
        schedule.workers_asked_ms = schedule.now_ms
        schedule.emit(ListWorkers())
    if schedule.workers_ms < 0 or schedule.now_ms < schedule.cloud_orders_after_ms:
        return
    for number, wave in schedule.waves.items():
        if not wave.completed:
            _advance(schedule, number, wave)


def workers_listed(schedule: Schedule, asked_ms: int) -> None:
    """Update workers in maintenance from the cloud's list."""
    for wave in schedule.waves.values():
        for worker_id, began_ms in list(wave.down.items()):
            worker = schedule.workers.get(worker_id)
            if worker is None:
                del wave.down[worker_id]
                continue
            if worker_id not in wave.begun:
                # Its order may still be carried out.
                continue
            # A worker that is switched off has no minion but is up as well.
            back = worker.phase is WorkerPhase.UP
            if back and asked_ms >= began_ms + schedule.bounds.maintenance_ms:
                del wave.down[worker_id]
                # A repeated order for finished maintenance does not end an incarnation
                # again.
                _return_to_service(schedule, wave, worker_id)


def answered(schedule: Schedule, event: CloudOrderAnswered) -> None:
    """Handle the answer to a maintenance order."""
    worker_id, outcome = event.worker_id, event.outcome
    wave = schedule.waves.get(event.wave)
    if wave is None or worker_id not in wave.evacuating:
        return
    if outcome is Outcome.OK:
        _mark_begun(schedule, event.wave, wave, worker_id)
        return
    wave.retry_ms[worker_id] = schedule.now_ms + RETRY_MS
    if outcome is Outcome.UNKNOWN:
        wave.open.add(worker_id)
        return
    if worker_id not in wave.open:
        wave.down.pop(worker_id, None)
    if outcome is Outcome.REFUSED:
        wave.begun.add(worker_id)
        schedule.dirty_waves.add(event.wave)
        _return_to_service(schedule, wave, worker_id)


def _return_to_service(schedule: Schedule, wave: WaveState, worker_id: str) -> None:
    """Make a worker that is up available for work again."""
    wave.evacuating.pop(worker_id, None)
    minion = _minion(schedule, worker_id)
    if minion is not None:
        minion.cordoned = False
        schedule.dirty_pools.add(minion.info.pool)


def _mark_begun(
    schedule: Schedule, number: int, wave: WaveState, worker_id: str
) -> None:
    wave.begun.add(worker_id)
    schedule.dirty_waves.add(number)
    wave.down[worker_id] = schedule.now_ms
    wave.evacuating.pop(worker_id, None)
    schedule.log_event("maintenance_begun", worker=worker_id)


def _wants_list(schedule: Schedule) -> bool:
    age_ms = schedule.now_ms - schedule.workers_asked_ms
    if schedule.workers_ms < 0:
        return age_ms >= LIST_PERIOD_MS or schedule.workers_asked_ms == 0
    if age_ms < LIST_PERIOD_MS:
        return False
    for wave in schedule.waves.values():
        if not wave.completed or wave.down:
            return True
    if schedule.moves or schedule.unconfirmed_minions:
        return True
    for minion in schedule.minions.values():
        if minion.failures and (minion.runs or not minion.synced):
            return True
        if minion.listed and not minion.worker_id:
            return True
    return False


def _advance(schedule: Schedule, number: int, wave: WaveState) -> None:
    not_begun = [item for item in wave.workers if item not in wave.begun]
    remaining = [item for item in not_begun if item in schedule.workers]
    if not remaining:
        wave.completed = True
        schedule.emit(SaveWaveStatus(number, True))
        schedule.log_event("wave_completed", wave=number)
        return
    if not wave.told_running:
        wave.told_running = True
        schedule.emit(SaveWaveStatus(number, False))
    for worker_id in remaining:
        if worker_id in wave.evacuating:
            _evacuate(schedule, number, wave, worker_id)
    ranks = _evacuation_ranks(schedule, remaining)
    for worker_id in sorted(
        remaining, key=lambda item: _maintenance_order(schedule, item, ranks)
    ):
        busy = len(wave.evacuating) + len(wave.down)
        if busy >= wave.cap + EVACUATE_AHEAD:
            return
        if worker_id in wave.evacuating:
            continue
        if schedule.workers[worker_id].phase is not WorkerPhase.UP:
            continue
        if worker_id in schedule.moves:
            continue
        wave.evacuating[worker_id] = schedule.now_ms
        _evacuate(schedule, number, wave, worker_id)


def _evacuation_ranks(schedule: Schedule, worker_ids: list[str]) -> dict[str, int]:
    """Return the ranks for maintenance of the workers of evacuated zones.

    They come before all others, as their capacity is out of use. Those with
    long-running tasks that could not start elsewhere come last: they would take up the
    cap while other workers could be maintained.
    """
    if not schedule.evacuated_zones:
        return {}
    ranks = {}
    workers_by_minion = {}
    minions = []
    for worker_id in worker_ids:
        if schedule.workers[worker_id].zone not in schedule.evacuated_zones:
            continue
        ranks[worker_id] = _BEFORE_OTHERS
        minion = _minion(schedule, worker_id)
        if minion is not None:
            minions.append(minion)
            workers_by_minion[minion.minion_id] = worker_id
    for minion in minions_that_cannot_be_emptied(schedule, minions):
        ranks[workers_by_minion[minion.minion_id]] = _AFTER_OTHERS
    return ranks


def _maintenance_order(
    schedule: Schedule, worker_id: str, evacuation_ranks: dict[str, int]
) -> tuple[int, bool, bool, int]:
    """Return the sort key of a worker for maintenance; the lowest goes first.

    Apart from the rank by evacuated zones, workers without runs come first, and among
    these the ones of pools outside of a demand burst. Otherwise a wave at the start of
    a burst would also take idle workers of the pool that is about to need them.
    """
    rank = evacuation_ranks.get(worker_id, 0)
    minion = _minion(schedule, worker_id)
    if minion is None:
        return (rank, False, False, 0)
    in_burst = schedule.burst_age_ms(minion.info.pool) is not None
    return (rank, bool(minion.runs), in_burst, len(minion.runs))


def _minion(schedule: Schedule, worker_id: str) -> Minion | None:
    worker = schedule.workers.get(worker_id)
    if worker is None:
        return None
    return schedule.minions.get(worker.minion_id)


def _evacuate(schedule: Schedule, number: int, wave: WaveState, worker_id: str) -> None:
    minion = _minion(schedule, worker_id)
    if minion is not None:
        minion.cordoned = True
        waited_ms = schedule.now_ms - wave.evacuating[worker_id]
        for run in list(minion.runs.values()):
            _move_away(schedule, run, waited_ms)
    if _may_have_runs(schedule, worker_id):
        return
    if len(wave.down) >= wave.cap and worker_id not in wave.down:
        return
    if schedule.now_ms < wave.retry_ms.get(worker_id, 0):
        return
    if not schedule.may_order(worker_id):
        return
    if worker_id not in wave.sent:
        wave.sent[worker_id] = schedule.open_batch
        schedule.dirty_waves.add(number)
    if wave.sent[worker_id] > schedule.saved_batch:
        wave.down[worker_id] = schedule.now_ms
        return
    wave.retry_ms[worker_id] = schedule.now_ms + UNANSWERED_MS
    wave.down[worker_id] = schedule.now_ms
    schedule.order_worker(worker_id, MaintainWorker(worker_id, number))


def _may_have_runs(schedule: Schedule, worker_id: str) -> bool:
    """Return whether any run, or any end that is not known, may exist on a worker.

    Until its minion has reported to this owner, it may have runs of an earlier owner.
    """
    minion_id = schedule.workers[worker_id].minion_id
    minion = schedule.minions.get(minion_id)
    if minion is None and (not minion_id or minion_id in schedule.ended_incarnations):
        return False
    if minion is None or not minion.synced:
        return schedule.now_ms < schedule.old_leases_end_ms
    return bool(minion.runs) or not schedule.has_reported_all(minion)


def _move_away(schedule: Schedule, run: Run, waited_ms: int) -> None:
    if run.phase is not RunPhase.RUNNING:
        return
    spec = run.unit.spec
    if spec.long_running:
        if budgets.may_interrupt(schedule, run):
            schedule.stop_run(run, "its worker is due for maintenance")
        return
    if spec.checkpoints or waited_ms >= EVACUATE_MS:
        schedule.stop_run(run, "its worker is due for maintenance")
