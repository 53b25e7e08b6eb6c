"""What each pool has, and what its work wants, in thousandths of a core."""

from __future__ import annotations

from dataclasses import dataclass, field

from courselead.core.scheduler import urgency
from courselead.core.scheduler.arrivals import lead_time_ms, rate_of, turns_of
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Unit

DRAIN_MS = 600
"""Time within which waiting work should be done: most of the slack of short jobs, as a
worker that is fetched comes 2.2 s later."""

LATE_DRAIN_MS = 3_000
"""The same for work that can't meet its objective any more: it is worth something until
three times that. Fetched for like the rest it cost 350 of 10,480 worker seconds and 110
of 1,270 moves, and nothing came sooner for it (mean of three replays of four turns)."""

REPORT_MS = 2_000
"""Time between two lines on each pool: half a turn of demand, whatever the load."""

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
        rate = rate_of(schedule, pool)
        turns = turns_of(schedule, pool)
        turns.follow(schedule.wall_ms, rate.busy, rate.jobs)
        due = turns.due_milli(schedule.wall_ms, lead_time_ms(schedule))
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


def _count_waiting(schedule: Schedule, pool: str, demand: PoolDemand) -> None:
    # A line may have thousands of units; those of a step are alike.
    finite: dict[int, list[Unit]] = {}
    for unit in schedule.ready.get(pool, ()):
        if unit.done:
            continue
        step = unit.step
        spec = step.spec
        if spec.required_label and not step.job.state.final:
            waited = schedule.now_ms - unit.ready_ms
            if waited > LASTING_WAIT_MS:
                demand.labels_wait.add(spec.required_label)
        alike = finite.get(id(step))
        if alike is not None:
            alike.append(unit)
            continue
        if step.job.state.final:
            continue
        if spec.long_running:
            waited = schedule.now_ms - unit.ready_ms
            if waited > LASTING_WAIT_MS and schedule.now_ms > unit.not_before_ms:
                demand.lasting_waits = True
            continue
        finite[id(step)] = [unit]
    work = late = 0
    for units in finite.values():
        step = units[0].step
        tasks = len(units) * len(units[0].indexes)
        run_ms = schedule.expected_ms(step.job.queue, step.spec)
        needs = int(tasks * step.spec.need.cpu_milli * run_ms)
        if urgency.is_late(schedule, step):
            late += needs
        else:
            work += needs
    demand.waiting = work // DRAIN_MS + late // LATE_DRAIN_MS
