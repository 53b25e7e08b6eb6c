"""Workers follow demand: idle ones go where work waits, or are switched off."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field, replace

import msgspec

from courselead.core.scheduler.events import DutyAnswered, MoveWorker, Outcome
from courselead.core.scheduler.models import Worker, WorkerPhase
from courselead.core.scheduler.schedule import MoveState, Schedule
from courselead.core.scheduler.state import Job, Minion
from courselead.core.scheduler.turns import TurnMemory, Turns

RATE_WINDOW_MS = 1_000
"""Time over which the work that arrives is counted: a quarter of a turn of demand."""

DRAIN_MS = 1_000
"""Time within which waiting work should be done: jobs have about as much slack."""

IDLE_OFF_MS = 2_500
"""Idle time after which a worker is switched off: a move there and back costs as much
as two and a half seconds of a worker in a pool, and pauses of demand last longer."""

MOVE_AGAIN_MS = 2_500
"""Least time between two moves of a worker: the same figure."""

MOVE_RETRY_MS = 500
"""Time until a move without an answer is ordered again; it is idempotent."""

LOST_MOVE_MS = 3_000
"""Time beyond a move's own after which a worker that is up in another pool is not
waited for: twice what a move takes."""

REPORT_MS = 2_000
"""Time between two lines on each pool: half a turn of demand, whatever the load."""

JOIN_MS = 700
"""Time from the end of a move until the minion is listed and has answered a look."""

LASTING_WAIT_MS = 300
"""Time a lasting task may wait for room before a worker is fetched for it."""


@dataclass(slots=True)
class PoolDemand:
    """What a pool has and wants, in thousandths of a core."""

    capacity: int = 0
    lasting: int = 0
    arriving: int = 0
    waiting: int = 0
    lasting_waits: bool = False
    labels_wait: set[str] = field(default_factory=set)
    untried: bool = False
    idle: list[Minion] | None = None

    @property
    def wanted(self) -> int:
        """Return the capacity that would serve it in time."""
        return self.lasting + self.arriving + self.waiting

    @property
    def pressure(self) -> float:
        """Return how many times its capacity it wants."""
        return self.wanted / max(1, self.capacity)


def job_arrived(schedule: Schedule, job: Job) -> None:
    """Count a new job's work into its pool's rate."""
    work = 0
    for step in job.spec.steps:
        if step.long_running or step.fills:
            continue
        run_ms = schedule.expected_ms(job.queue, step)
        work += int(step.count * step.need.cpu_milli * run_ms)
    pool = schedule.pool_of(job)
    schedule.arrivals.setdefault(pool, []).append((schedule.now_ms, work))


def tick(schedule: Schedule) -> None:
    """Order the moves that serve demand."""
    if schedule.workers_ms < 0 or schedule.now_ms < schedule.duty_after_ms:
        return
    _retry(schedule)
    demands = _demands(schedule)
    _report(schedule, demands)
    spare = _spare_workers(schedule)
    short = {pool: demand for pool, demand in demands.items() if _lacks(demand)}
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
        elif move.accepted_ms and asked_ms > late_ms:
            schedule.note("move_lost", worker=worker_id, pool=move.pool)
            del schedule.moves[worker_id]
            _uncordon(schedule, worker_id)


def _demands(schedule: Schedule) -> dict[str, PoolDemand]:
    demands: dict[str, PoolDemand] = {}
    for name, pool in schedule.config.pools.items():
        if not pool.spare:
            demands[name] = PoolDemand(idle=[])
    for minion in schedule.minions.values():
        demand = demands.get(minion.info.pool)
        if demand is None or minion.info.draining or minion.failures:
            continue
        if not minion.listed or minion.cordoned:
            continue
        demand.capacity += minion.info.room.cpu_milli
        if not minion.runs and minion.synced:
            assert demand.idle is not None
            demand.idle.append(minion)
        for run in minion.runs.values():
            if run.unit.spec.long_running:
                demand.lasting += run.unit.spec.charge.cpu_milli
    for worker_id, move in schedule.moves.items():
        worker = schedule.workers.get(worker_id)
        if worker is not None and move.pool in demands:
            demands[move.pool].capacity += worker.room.cpu_milli
    for pool, demand in demands.items():
        demand.arriving = _rate(schedule, pool)
        turns = turns_of(schedule, pool)
        jobs = len(schedule.arrivals.get(pool, ()))
        turns.follow(schedule.wall_ms, demand.arriving, jobs)
        lead_ms = schedule.bounds.move_ms + JOIN_MS
        due = turns.due_milli(schedule.wall_ms, lead_ms)
        demand.arriving = max(demand.arriving, due)
        demand.untried = not turns.seen
        _count_waiting(schedule, pool, demand)
    for worker_id, move in schedule.moves.items():
        worker = schedule.workers.get(worker_id)
        if worker is not None and move.pool in demands:
            demands[move.pool].labels_wait.difference_update(worker.labels)
    return demands


def _report(schedule: Schedule, demands: dict[str, PoolDemand]) -> None:
    if schedule.now_ms - schedule.pools_reported_ms < REPORT_MS:
        return
    schedule.pools_reported_ms = schedule.now_ms
    for pool, demand in sorted(demands.items()):
        schedule.note(
            "pool_state",
            pool=pool,
            capacity_milli=demand.capacity,
            lasting_milli=demand.lasting,
            arriving_milli=demand.arriving,
            waiting_milli=demand.waiting,
            idle=len(demand.idle or ()),
            ready=len(schedule.ready.get(pool, ())),
        )


def _rate(schedule: Schedule, pool: str) -> int:
    recent = schedule.arrivals.get(pool, [])
    since = schedule.now_ms - RATE_WINDOW_MS
    while recent and recent[0][0] < since:
        recent.pop(0)
    return sum(work for _, work in recent) // RATE_WINDOW_MS


def _count_waiting(schedule: Schedule, pool: str, demand: PoolDemand) -> None:
    work = 0
    for unit in schedule.ready.get(pool, ()):
        if unit.done or unit.job.state.final:
            continue
        spec = unit.spec
        waited = schedule.now_ms - unit.ready_ms
        if spec.required_label and waited > LASTING_WAIT_MS:
            demand.labels_wait.add(spec.required_label)
        if spec.long_running:
            if waited > LASTING_WAIT_MS and schedule.now_ms > unit.not_before_ms:
                demand.lasting_waits = True
            continue
        run_ms = schedule.expected_ms(unit.job.queue, spec)
        work += int(len(unit.indexes) * spec.need.cpu_milli * run_ms)
    demand.waiting = work // DRAIN_MS


def _lacks(demand: PoolDemand) -> bool:
    if demand.lasting_waits or demand.labels_wait:
        return True
    return demand.wanted > demand.capacity


def _calm(
    schedule: Schedule, demands: dict[str, PoolDemand]
) -> list[tuple[Minion, Worker]]:
    """Return the donors by the highest demand of late, not by that of now."""
    for pool, demand in demands.items():
        held = schedule.demand_peaks.setdefault(pool, [])
        held.append((schedule.now_ms, demand.wanted))
        while held[0][0] < schedule.now_ms - IDLE_OFF_MS:
            held.pop(0)
        demand.waiting += max(wanted for _, wanted in held) - demand.wanted
    tried = {pool: item for pool, item in demands.items() if not item.untried}
    return _donors(schedule, tried)


def turns_of(schedule: Schedule, pool: str) -> Turns:
    """Return what is known of a pool's turns."""
    turns = schedule.turns.get(pool)
    if turns is None:
        memory = schedule.book.turns.get(pool, TurnMemory())
        turns = schedule.turns[pool] = Turns(msgspec.structs.replace(memory))
    return turns


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
        if not _lacks(demand):
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
        if schedule.now_ms - minion.idle_ms < IDLE_OFF_MS:
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
