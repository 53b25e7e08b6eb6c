"""Worker moves between pools.

Idle workers and those of spare pools are moved to pools that are short of capacity. If
no pool is, idle workers are switched off, that is moved to a spare pool.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from courselead.core.scheduler import evacuation_moves
from courselead.core.scheduler.demand import PoolDemand, demands_of, report
from courselead.core.scheduler.events import CloudOrderAnswered, MoveWorker, Outcome
from courselead.core.scheduler.models import Worker, WorkerPhase
from courselead.core.scheduler.schedule import MoveState, Schedule
from courselead.core.scheduler.state import Minion

IDLE_OFF_MS = 2_500
"""Idle time after which a worker is switched off.

Moving a worker away and back costs as much as 2.5 s of a worker in a pool, and pauses
in demand last longer than that.
"""

LULL_OFF_MS = 300
"""Idle time after which a worker is switched off when its pool's demand burst is over.

The next burst is far off, and detecting the end of a burst already includes a wait.
"""

MOVE_AGAIN_MS = 1_500
"""Minimum time between two moves of a worker: the duration of a move.

With one second more, workers released at the end of a burst were missing when the next
one began: 0.898 of four bursts was served in time instead of 0.912 (mean of six
replays).
"""

MOVE_RETRY_MS = 500
"""Time after which an unanswered move is ordered again; the order is idempotent."""

LOST_MOVE_MS = 3_000
"""Time beyond a move's duration after which the move may count as lost.

The move is lost if a list requested after that time shows the worker up in another
pool than the one it was to move to. The time is twice the duration of a move.
"""


def tick(schedule: Schedule) -> None:
    """Order worker moves according to demand."""
    if schedule.workers_ms < 0 or schedule.now_ms < schedule.cloud_orders_after_ms:
        return
    _retry_moves(schedule)
    demands = demands_of(schedule)
    report(schedule, demands)
    _switch_off(schedule, _idle_minions_of_evacuated_zones(schedule))
    spare = _spare_workers(schedule)
    short_pools = {pool: item for pool, item in demands.items() if item.is_short}
    if short_pools:
        _fetch_workers(
            schedule, short_pools, _surplus_minions(schedule, demands), spare
        )
    else:
        _switch_off(schedule, _surplus_minions_at_peak(schedule, demands))


def answered(schedule: Schedule, event: CloudOrderAnswered) -> None:
    """Handle the answer to a move order."""
    worker_id, outcome = event.worker_id, event.outcome
    move = schedule.moves.get(worker_id)
    if move is None or move.pool != event.pool:
        return
    if outcome is Outcome.OK:
        move.accepted_ms = schedule.now_ms
        return
    if outcome in (Outcome.UNKNOWN, Outcome.NOT_SENT, Outcome.SHED):
        return
    if outcome is Outcome.REFUSED:
        schedule.refused_moves.add((worker_id, move.pool))
    schedule.log_event(
        "move_refused", worker=worker_id, pool=move.pool, reason=event.reason
    )
    del schedule.moves[worker_id]
    _uncordon(schedule, worker_id)


def workers_listed(schedule: Schedule, asked_ms: int) -> None:
    """Finish the moves that the cloud's list shows as done or lost."""
    for worker_id, move in list(schedule.moves.items()):
        worker = schedule.workers.get(worker_id)
        if worker is None:
            del schedule.moves[worker_id]
            continue
        if asked_ms <= move.sent_ms:
            continue
        if worker.phase is not WorkerPhase.UP:
            continue
        # A move that is not ordered again will not be accepted any more.
        begun_ms = move.accepted_ms
        if not begun_ms and not _may_order_again(schedule, worker_id, move):
            begun_ms = move.sent_ms
        lost_after_ms = begun_ms + schedule.bounds.move_ms + LOST_MOVE_MS
        if worker.pool == move.pool:
            del schedule.moves[worker_id]
            schedule.joining[worker_id] = schedule.now_ms
        elif begun_ms and asked_ms > lost_after_ms:
            schedule.log_event("move_lost", worker=worker_id, pool=move.pool)
            del schedule.moves[worker_id]
            _uncordon(schedule, worker_id)


def _surplus_minions_at_peak(
    schedule: Schedule, demands: dict[str, PoolDemand]
) -> list[tuple[Minion, Worker]]:
    """Return the surplus minions by the peak demand of the recent past.

    Records the current demand, and raises `waiting` of each demand so that `wanted` is
    the recent peak. Pools that have not had a burst yet have no surplus.
    """
    for pool, demand in demands.items():
        peaks = schedule.demand_peaks.setdefault(pool, [])
        peaks.append((schedule.now_ms, demand.wanted))
        while peaks[0][0] < schedule.now_ms - _idle_off_ms(schedule, pool):
            peaks.pop(0)
        demand.waiting += max(wanted for _, wanted in peaks) - demand.wanted
    with_history = {
        pool: item for pool, item in demands.items() if not item.no_burst_yet
    }
    return _surplus_minions(schedule, with_history)


def _idle_minions_of_evacuated_zones(
    schedule: Schedule,
) -> list[tuple[Minion, Worker]]:
    """Return idle minions, with their movable workers, of zones evacuated for long.

    Nothing is started there, however much their pools need. After a short evacuation
    they would be missing at the zone's return.
    """
    found: list[tuple[Minion, Worker]] = []
    if not schedule.evacuated_zones:
        return found
    for minion in schedule.minions.values():
        if not evacuation_moves.is_due(schedule, minion.info.zone):
            continue
        if minion.runs or not schedule.has_reported_all(minion):
            continue
        if minion.failures or minion.cordoned:
            continue
        if not minion.listed or minion.info.draining:
            continue
        worker = _movable_worker_of(schedule, minion)
        if worker is None:
            continue
        pool = schedule.config.pools.get(worker.pool)
        if pool is not None and not pool.spare:
            found.append((minion, worker))
    return found


def _idle_off_ms(schedule: Schedule, pool: str) -> int:
    """Return how long an idle worker of a pool stays switched on."""
    bursts = schedule.bursts.get(pool)
    burst_over = bursts is not None and bursts.seen and not bursts.in_burst
    return LULL_OFF_MS if burst_over else IDLE_OFF_MS


def _idle_ms(schedule: Schedule, minion: Minion) -> int:
    """Return how long a minion has been idle, during a burst at most its age.

    In the first second of a pool's first burst the rate is not known yet. Without this
    limit, 33 of 54 idle workers were switched off as the burst began, and 61 were
    fetched from 2 s on.
    """
    idle_ms = schedule.now_ms - minion.idle_ms
    burst_ms = schedule.burst_age_ms(minion.info.pool)
    return idle_ms if burst_ms is None else min(idle_ms, burst_ms)


def _spare_workers(schedule: Schedule) -> list[Worker]:
    workers = []
    for worker in schedule.workers.values():
        pool = schedule.config.pools.get(worker.pool)
        if pool is None or not pool.spare or not _movable(schedule, worker):
            continue
        if worker.zone in schedule.evacuated_zones:
            continue
        workers.append(worker)
    return workers


def _movable(schedule: Schedule, worker: Worker) -> bool:
    if worker.phase is not WorkerPhase.UP or worker.worker_id in schedule.moves:
        return False
    if not schedule.may_order(worker.worker_id):
        return False
    moved_ms = schedule.moved_ms.get(worker.worker_id, -MOVE_AGAIN_MS)
    if schedule.now_ms - moved_ms < MOVE_AGAIN_MS:
        return False
    for wave in schedule.waves.values():
        if worker.worker_id in wave.evacuating or worker.worker_id in wave.down:
            return False
    return True


def _movable_worker_of(schedule: Schedule, minion: Minion) -> Worker | None:
    """Return the worker that runs a minion, None if it may not be moved now."""
    worker = schedule.workers.get(minion.worker_id)
    if worker is None or worker.minion_id != minion.minion_id:
        return None
    return worker if _movable(schedule, worker) else None


def _surplus_minions(
    schedule: Schedule, demands: dict[str, PoolDemand]
) -> list[tuple[Minion, Worker]]:
    """Return idle minions, with their movable workers, that their pools do not need."""
    donors = []
    for demand in demands.values():
        surplus = demand.capacity - demand.wanted
        for minion in demand.idle or ():
            capacity = minion.info.capacity.cpu_milli
            if capacity > surplus:
                continue
            worker = _movable_worker_of(schedule, minion)
            if worker is None:
                continue
            surplus -= capacity
            donors.append((minion, worker))
    return donors


def _fetch_workers(
    schedule: Schedule,
    short_pools: dict[str, PoolDemand],
    donors: list[tuple[Minion, Worker]],
    spare: list[Worker],
) -> None:
    """Move workers one by one to the pool with the highest ratio of demand to capacity.

    Ends when no pool is short or no worker fits a pool that is.
    """
    kinds = _worker_kinds(schedule)
    while short_pools:
        pool = max(short_pools, key=lambda name: short_pools[name].pressure)
        demand = short_pools[pool]
        label = demand.waiting_labels.pop() if demand.waiting_labels else ""
        worker = _take_worker(schedule, pool, kinds, donors, spare, label)
        if worker is None and not label:
            del short_pools[pool]
            continue
        if worker is not None:
            demand.long_running_waits = False
            demand.capacity += worker.capacity.cpu_milli
            _move(schedule, worker, pool)
        if not demand.is_short:
            del short_pools[pool]


def _take_worker(
    schedule: Schedule,
    pool: str,
    kinds: dict[str, set[str]],
    donors: list[tuple[Minion, Worker]],
    spare: list[Worker],
    label: str,
) -> Worker | None:
    """Take a worker for a pool from the donors or spare workers.

    If a label is given, the worker must have it. Returns None if no worker fits.
    """
    for position, (_, worker) in enumerate(donors):
        if worker.pool == pool or (label and label not in worker.labels):
            continue
        if _fits(schedule, worker, pool, kinds):
            del donors[position]
            return worker
    for position, worker in enumerate(spare):
        if label and label not in worker.labels:
            continue
        if _fits(schedule, worker, pool, kinds):
            del spare[position]
            return worker
    return None


def _worker_kinds(schedule: Schedule) -> dict[str, set[str]]:
    """Return the kinds (first labels) of the workers listed in each pool."""
    kinds: dict[str, set[str]] = defaultdict(set)
    for worker in schedule.workers.values():
        kinds[worker.pool].add(worker.labels[0] if worker.labels else "")
    return kinds


def _fits(
    schedule: Schedule, worker: Worker, pool: str, kinds: dict[str, set[str]]
) -> bool:
    if (worker.worker_id, pool) in schedule.refused_moves:
        return False
    kind = worker.labels[0] if worker.labels else ""
    return not kinds[pool] or kind in kinds[pool]


def _switch_off(schedule: Schedule, donors: list[tuple[Minion, Worker]]) -> None:
    if not donors:
        return
    spare_pools = [name for name, pool in schedule.config.pools.items() if pool.spare]
    if not spare_pools:
        return
    kinds = _worker_kinds(schedule)
    for minion, worker in donors:
        idle_ms = _idle_ms(schedule, minion)
        if idle_ms < _idle_off_ms(schedule, minion.info.pool):
            continue
        for pool in spare_pools:
            if _fits(schedule, worker, pool, kinds):
                _move(schedule, worker, pool)
                break


def _move(schedule: Schedule, worker: Worker, pool: str) -> None:
    minion = schedule.minions.get(worker.minion_id)
    if minion is not None:
        minion.cordoned = True
    schedule.moves[worker.worker_id] = MoveState(pool, schedule.now_ms)
    schedule.moved_ms[worker.worker_id] = schedule.now_ms
    schedule.workers[worker.worker_id] = replace(worker, phase=WorkerPhase.MOVING)
    schedule.log_event("move", worker=worker.worker_id, before=worker.pool, pool=pool)
    schedule.order_worker(worker.worker_id, MoveWorker(worker.worker_id, pool))


def _retry_moves(schedule: Schedule) -> None:
    for worker_id, move in schedule.moves.items():
        if move.accepted_ms or schedule.now_ms - move.sent_ms < MOVE_RETRY_MS:
            continue
        if not _may_order_again(schedule, worker_id, move):
            continue
        move.sent_ms = schedule.now_ms
        schedule.order_worker(worker_id, MoveWorker(worker_id, move.pool))


def _may_order_again(schedule: Schedule, worker_id: str, move: MoveState) -> bool:
    """Return whether a move may be ordered again.

    A worker in an evacuated zone is not moved into a pool to serve it.
    """
    worker = schedule.workers.get(worker_id)
    if worker is None or worker.zone not in schedule.evacuated_zones:
        return True
    pool = schedule.config.pools.get(move.pool)
    return pool is not None and pool.spare


def _uncordon(schedule: Schedule, worker_id: str) -> None:
    for minion in schedule.minions.values():
        if minion.worker_id == worker_id:
            minion.cordoned = False
            schedule.dirty_pools.add(minion.info.pool)
