"""What each pool has, and what its work wants, in thousandths of a core."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from courselead.core.scheduler import urgency
from courselead.core.scheduler.schedule import Arrival, Schedule
from courselead.core.scheduler.state import Job, Minion
from courselead.core.scheduler.turns import TurnMemory, Turns

RATE_WINDOW_MS = 1_000
"""Least time over which the work that arrives is counted: a quarter of a turn.
A job of longer steps keeps fewer cores busy for longer."""

ONSET_WINDOW_MS = 400
"""The same for the first moments of a turn, in which a second is mostly lull: six jobs
at the rate of the least busy queue of the largest fleet."""

GROWTH_SPREADS = 1.0
"""Rise of the rate that counts, in standard deviations of what chance makes of it: a
false one costs idle workers for 2.5 s."""

GROWTH_MOST = 3.0
"""Most that a rate is expected to rise within the 2.2 s that a worker takes to come."""

DRAIN_MS = 600
"""Time within which waiting work should be done: most of the slack of short jobs, as a
worker that is fetched comes 2.2 s later."""

LATE_DRAIN_MS = 3_000
"""The same for work that can't meet its objective any more: it is worth something until
three times that. Fetched for like the rest it cost 350 of 10,480 worker seconds and 110
of 1,270 moves, and nothing came sooner for it (mean of three replays of four turns)."""

REPORT_MS = 2_000
"""Time between two lines on each pool: half a turn of demand, whatever the load."""

JOIN_MS = 700
"""Time from the end of a move until the minion is listed and has answered a look."""

JOIN_MOST_MS = 3_000
"""Time after which a worker that has arrived is no longer expected to join: four times
the usual."""

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
    def lacks(self) -> bool:
        """Return whether it wants more than it has."""
        if self.lasting_waits or self.labels_wait:
            return True
        return self.wanted > self.capacity

    @property
    def pressure(self) -> float:
        """Return how many times its capacity it wants."""
        return self.wanted / max(1, self.capacity)


@dataclass(frozen=True, slots=True)
class _Rate:
    """What jobs that come keep busy, in thousandths of a core.

    The load: a turn that begins. What its jobs keep busy grows for as long as a job
    takes, and a worker comes 2.2 s after it was asked for: reckoned ahead, the two
    worst windows of 2 s are served 0.457 in time, not 0.436 (mean of three replays).

    Attributes:
        busy: Now.
        ahead: When a worker that is ordered now has come.
        jobs: How many came within `RATE_WINDOW_MS`.
    """

    busy: int
    ahead: int
    jobs: int


def job_arrived(schedule: Schedule, job: Job) -> None:
    """Count a new job's work into its pool's rate."""
    work = 0
    for step in job.spec.steps:
        if step.long_running or step.fills:
            continue
        run_ms = schedule.expected_ms(job.queue, step)
        work += int(step.count * step.need.cpu_milli * run_ms)
    if not work:
        # Jobs that last are no turn, however many come at once.
        return
    spread_ms = max(RATE_WINDOW_MS, urgency.chain_ms(schedule, job))
    arrival = Arrival(schedule.now_ms, work, spread_ms)
    schedule.arrivals.setdefault(schedule.pool_of(job), []).append(arrival)


def demands_of(schedule: Schedule) -> dict[str, PoolDemand]:
    """Return what all pools but the spare ones have and want."""
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
    _count_joining(schedule, demands)
    for pool, demand in demands.items():
        rate = _rate(schedule, pool)
        turns = turns_of(schedule, pool)
        turns.follow(schedule.wall_ms, rate.busy, rate.jobs)
        lead_ms = schedule.bounds.move_ms + JOIN_MS
        due = turns.due_milli(schedule.wall_ms, lead_ms)
        demand.arriving = max(rate.busy, rate.ahead, due)
        demand.untried = not turns.seen
        _count_waiting(schedule, pool, demand)
    for worker_id, move in schedule.moves.items():
        worker = schedule.workers.get(worker_id)
        if worker is not None and move.pool in demands:
            demands[move.pool].labels_wait.difference_update(worker.labels)
    return demands


def _count_joining(schedule: Schedule, demands: dict[str, PoolDemand]) -> None:
    """Count workers that have arrived in their pool before their minions are listed."""
    for worker_id, since_ms in list(schedule.joining.items()):
        worker = schedule.workers.get(worker_id)
        late = schedule.now_ms - since_ms > JOIN_MOST_MS
        if worker is None or late or worker.minion_id in schedule.minions:
            del schedule.joining[worker_id]
        elif worker.pool in demands:
            demands[worker.pool].capacity += worker.room.cpu_milli


def report(schedule: Schedule, demands: dict[str, PoolDemand]) -> None:
    """Tell of each pool, every `REPORT_MS`."""
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


def _rate(schedule: Schedule, pool: str) -> _Rate:
    """Return what a pool's recent jobs keep busy, now and when a worker could come."""
    lead_ms = schedule.bounds.move_ms + JOIN_MS
    window_ms = _window_ms(schedule, pool)
    recent = []
    jobs = before = busy = staying = work = lately = 0
    work_ms = 0.0
    for arrival in schedule.arrivals.get(pool, ()):
        age_ms = schedule.now_ms - arrival.at_ms
        if age_ms > max(2 * RATE_WINDOW_MS, arrival.spread_ms):
            continue
        recent.append(arrival)
        jobs += age_ms <= RATE_WINDOW_MS
        before += RATE_WINDOW_MS < age_ms <= 2 * RATE_WINDOW_MS
        if age_ms > arrival.spread_ms:
            continue
        busy += arrival.work // arrival.spread_ms
        if age_ms + lead_ms <= arrival.spread_ms:
            staying += arrival.work // arrival.spread_ms
        if age_ms <= window_ms:
            lately += arrival.work
        work += arrival.work
        work_ms += arrival.work * arrival.spread_ms
    schedule.arrivals[pool] = recent
    if not work:
        return _Rate(0, 0, jobs)
    spread_ms = work_ms / work
    coming = lately / window_ms * min(1.0, lead_ms / spread_ms)
    if turns_of(schedule, pool).in_turn:
        coming *= _growth(jobs, before, lead_ms - spread_ms / 2)
    return _Rate(busy, staying + int(coming), jobs)


def _growth(jobs: int, before: int, ahead_ms: float) -> float:
    """Return by how much a turn's rate is expected to rise, 1 if it does not.

    The load: a turn whose rate rises for five seconds. Workers that come 2.2 s after
    their order were always too few: 0.815 of four turns was served in time, 0.893 since
    the rise is carried on (mean of four replays).

    Args:
        jobs: How many have come within the newest window.
        before: And in the one before it.
        ahead_ms: From now to the middle of the time that is reckoned.
    """
    rise = jobs - before
    if rise <= GROWTH_SPREADS * math.sqrt(jobs + before):
        return 1.0
    windows = max(0.0, ahead_ms + RATE_WINDOW_MS / 2) / RATE_WINDOW_MS
    return min(GROWTH_MOST, 1.0 + rise / jobs * windows)


def _window_ms(schedule: Schedule, pool: str) -> int:
    """Return the time over which the newest rate is taken: less as a turn begins."""
    turns = schedule.turns.get(pool)
    if turns is None or not turns.in_turn:
        return RATE_WINDOW_MS
    since_ms = schedule.wall_ms - turns.memory.onset_ms
    return min(RATE_WINDOW_MS, ONSET_WINDOW_MS + max(0, since_ms))


def _count_waiting(schedule: Schedule, pool: str, demand: PoolDemand) -> None:
    work = late = 0
    # A line may have thousands of units; those of a step are late together.
    late_steps: dict[int, bool] = {}
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
        needs = int(len(unit.indexes) * spec.need.cpu_milli * run_ms)
        is_late = late_steps.get(id(unit.step))
        if is_late is None:
            is_late = urgency.is_late(schedule, unit.step)
            late_steps[id(unit.step)] = is_late
        if is_late:
            late += needs
        else:
            work += needs
    demand.waiting = work // DRAIN_MS + late // LATE_DRAIN_MS


def turns_of(schedule: Schedule, pool: str) -> Turns:
    """Return what is known of a pool's turns."""
    turns = schedule.turns.get(pool)
    if turns is None:
        memory = schedule.book.turns.get(pool, TurnMemory())
        turns = schedule.turns[pool] = Turns(msgspec.structs.replace(memory))
    return turns
