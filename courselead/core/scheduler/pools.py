"""Workers follow demand: idle ones go where work waits, or are switched off."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from courselead.core.scheduler.demand import PoolDemand, demands_of, report
from courselead.core.scheduler.events import DutyAnswered, MoveWorker, Outcome
from courselead.core.scheduler.models import Worker, WorkerPhase
from courselead.core.scheduler.schedule import MoveState, Schedule
from courselead.core.scheduler.state import Minion

IDLE_OFF_MS = 2_500
"""Idle time after which a worker is switched off: a move there and back costs as much
as two and a half seconds of a worker in a pool, and pauses of demand last longer."""

LULL_OFF_MS = 300
"""The same for a pool whose turn is over: its next one is far, and the lull has been
waited for already."""

MOVE_AGAIN_MS = 1_500
"""Least time between two moves of a worker: what a move takes. With a second more,
workers that were given back at a turn's end were missed at the next one's begin: 0.898
of four turns served in time, not 0.912 (mean of six replays)."""

MOVE_RETRY_MS = 500
"""Time until a move without an answer is ordered again; it is idempotent."""

LOST_MOVE_MS = 3_000
"""Time beyond a move's own after which a worker that is up in another pool is not
waited for: twice what a move takes."""


def tick(schedule: Schedule) -> None:
    """Order the moves that serve demand."""
    if schedule.workers_ms < 0 or schedule.now_ms < schedule.duty_after_ms:
        return
    _retry(schedule)
    demands = demands_of(schedule)
    report(schedule, demands)
    spare = _spare_workers(schedule)
    short = {pool: item for pool, item in demands.items() if item.lacks}
    if short:
        _fetch(schedule, short, _donors(schedule, demands), spare)
    else:
        _switch_off(schedule, _calm(schedule, demands))


def answered(schedule: Schedule, event: DutyAnswered) -> None:
    """Take the answer to a move."""
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
        schedule.barred_moves.add((worker_id, move.pool))
    schedule.note("move_refused", worker=worker_id, pool=move.pool, reason=event.reason)
    del schedule.moves[worker_id]
    _uncordon(schedule, worker_id)


def workers_listed(schedule: Schedule, asked_ms: int) -> None:
    """Take the moves as over that the cloud's list shows as done."""
    for worker_id, move in list(schedule.moves.items()):
        worker = schedule.workers.get(worker_id)
        if worker is None:
            del schedule.moves[worker_id]
            continue
        if asked_ms <= move.sent_ms:
            continue
        if worker.phase is not WorkerPhase.UP:
            continue
        late_ms = move.accepted_ms + schedule.bounds.move_ms + LOST_MOVE_MS
        if worker.pool == move.pool:
            del schedule.moves[worker_id]
            schedule.joining[worker_id] = schedule.now_ms
        elif move.accepted_ms and asked_ms > late_ms:
            schedule.note("move_lost", worker=worker_id, pool=move.pool)
            del schedule.moves[worker_id]
            _uncordon(schedule, worker_id)


def _calm(
    schedule: Schedule, demands: dict[str, PoolDemand]
) -> list[tuple[Minion, Worker]]:
    """Return the donors by the highest demand of late, not by that of now."""
    for pool, demand in demands.items():
        held = schedule.demand_peaks.setdefault(pool, [])
        held.append((schedule.now_ms, demand.wanted))
        while held[0][0] < schedule.now_ms - _idle_off_ms(schedule, pool):
            held.pop(0)
        demand.waiting += max(wanted for _, wanted in held) - demand.wanted
    tried = {pool: item for pool, item in demands.items() if not item.untried}
    return _donors(schedule, tried)


def _idle_off_ms(schedule: Schedule, pool: str) -> int:
    """Return for how long an idle worker of a pool stays on."""
    turns = schedule.turns.get(pool)
    over = turns is not None and turns.seen and not turns.in_turn
    return LULL_OFF_MS if over else IDLE_OFF_MS


def _idle_ms(schedule: Schedule, minion: Minion) -> int:
    """Return for how long a worker has been idle, of a turn only since its begin.

    The load: pools that have waited for their first turn. In its first second the rate
    is not known yet, and 33 of 54 idle workers were switched off as it began, 61
    fetched from 2 s on.
    """
    idle_ms = schedule.now_ms - minion.idle_ms
    turn_ms = schedule.turn_age_ms(minion.info.pool)
    return idle_ms if turn_ms is None else min(idle_ms, turn_ms)


def _spare_workers(schedule: Schedule) -> list[Worker]:
    workers = []
    for worker in schedule.workers.values():
        pool = schedule.config.pools.get(worker.pool)
        if pool is None or not pool.spare or not _movable(schedule, worker):
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


def _donors(
    schedule: Schedule, demands: dict[str, PoolDemand]
) -> list[tuple[Minion, Worker]]:
    """Return idle minions that their pools can do without."""
    donors = []
    for demand in demands.values():
        over = demand.capacity - demand.wanted
        for minion in demand.idle or ():
            worker = schedule.workers.get(minion.worker_id)
            room = minion.info.room.cpu_milli
            if worker is None or room > over or not _movable(schedule, worker):
                continue
            if worker.minion_id != minion.minion_id:
                continue
            over -= room
            donors.append((minion, worker))
    return donors


def _fetch(
    schedule: Schedule,
    short: dict[str, PoolDemand],
    donors: list[tuple[Minion, Worker]],
    spare: list[Worker],
) -> None:
    """Give workers one by one to the pool that lacks the largest part."""
    kinds = _kinds(schedule)
    while short:
        pool = max(short, key=lambda name: short[name].pressure)
        demand = short[pool]
        label = demand.labels_wait.pop() if demand.labels_wait else ""
        worker = _take(schedule, pool, kinds, donors, spare, label)
        if worker is None and not label:
            del short[pool]
            continue
        if worker is not None:
            demand.lasting_waits = False
            demand.capacity += worker.room.cpu_milli
            _move(schedule, worker, pool)
        if not demand.lacks:
            del short[pool]


def _take(
    schedule: Schedule,
    pool: str,
    kinds: dict[str, set[str]],
    donors: list[tuple[Minion, Worker]],
    spare: list[Worker],
    label: str,
) -> Worker | None:
    """Return a worker for a pool, one with the label if any is asked for."""
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


def _kinds(schedule: Schedule) -> dict[str, set[str]]:
    """Return the kinds of workers that each pool has had."""
    kinds: dict[str, set[str]] = defaultdict(set)
    for worker in schedule.workers.values():
        kinds[worker.pool].add(worker.labels[0] if worker.labels else "")
    return kinds


def _fits(
    schedule: Schedule, worker: Worker, pool: str, kinds: dict[str, set[str]]
) -> bool:
    if (worker.worker_id, pool) in schedule.barred_moves:
        return False
    kind = worker.labels[0] if worker.labels else ""
    return not kinds[pool] or kind in kinds[pool]


def _switch_off(schedule: Schedule, donors: list[tuple[Minion, Worker]]) -> None:
    off = [name for name, pool in schedule.config.pools.items() if pool.spare]
    if not off:
        return
    kinds = _kinds(schedule)
    for minion, worker in donors:
        idle_ms = _idle_ms(schedule, minion)
        if idle_ms < _idle_off_ms(schedule, minion.info.pool):
            continue
        for pool in off:
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
    schedule.note("move", worker=worker.worker_id, before=worker.pool, pool=pool)
    schedule.order_worker(worker.worker_id, MoveWorker(worker.worker_id, pool))


def _retry(schedule: Schedule) -> None:
    for worker_id, move in schedule.moves.items():
        if move.accepted_ms or schedule.now_ms - move.sent_ms < MOVE_RETRY_MS:
            continue
        move.sent_ms = schedule.now_ms
        schedule.order_worker(worker_id, MoveWorker(worker_id, move.pool))


def _uncordon(schedule: Schedule, worker_id: str) -> None:
    for minion in schedule.minions.values():
        if minion.worker_id == worker_id:
            minion.cordoned = False
            schedule.dirty_pools.add(minion.info.pool)
