"""Capacity and demand of each pool, in thousandths of a core."""

from __future__ import annotations

from dataclasses import dataclass, field

from courselead.core.scheduler import evacuation_moves, urgency
from courselead.core.scheduler.arrivals import burst_tracker_of, lead_time_ms, rate_of
from courselead.core.scheduler.models import Worker
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion, Unit

DRAIN_MS = 600
"""Time within which waiting work should be done.

It uses most of the slack of short jobs, as a fetched worker arrives 2.2 s later.
"""

LATE_DRAIN_MS = 3_000
"""Time within which waiting work that misses its objective should be done.

Such work keeps some value until three times its objective. Fetching workers for it as
for other work cost 350 of 10,480 worker seconds and 110 of 1,270 moves, and no job
ended sooner (mean of three replays of four bursts).
"""

REPORT_MS = 2_000
"""Interval of the log lines about each pool: half a demand burst, under any load."""

MAX_JOIN_MS = 3_000
"""Time after which an arrived worker is not expected to join: four times the usual."""

LONG_RUNNING_WAIT_MS = 300
"""Time that a long-running task waits for free capacity before a worker is fetched."""


@dataclass(slots=True)
class PoolDemand:
    """Capacity and demand of a pool, in thousandths of a core.

    Attributes:
        capacity: CPU of the pool's minions and of workers on their way.
        long_running_use: CPU reserved by long-running tasks.
        arriving: Demand of arriving jobs, now, forecast or due with the next burst.
        waiting: Demand of work on the ready list.
        long_running_waits: Whether a long-running task has waited too long.
        waiting_labels: Required labels of units that have waited too long.
        no_burst_yet: Whether the pool has not had a burst yet.
        idle: Minions without runs.
    """

    capacity: int = 0
    long_running_use: int = 0
    arriving: int = 0
    waiting: int = 0
    long_running_waits: bool = False
    waiting_labels: set[str] = field(default_factory=set)
    no_burst_yet: bool = False
    idle: list[Minion] | None = None

    @property
    def wanted(self) -> int:
        """Return the capacity that would serve the pool's work in time."""
        return self.long_running_use + self.arriving + self.waiting

    @property
    def is_short(self) -> bool:
        """Return whether the pool needs more workers."""
        if self.long_running_waits or self.waiting_labels:
            return True
        return self.wanted > self.capacity

    @property
    def pressure(self) -> float:
        """Return the ratio of demand to capacity."""
        return self.wanted / max(1, self.capacity)


def demands_of(schedule: Schedule) -> dict[str, PoolDemand]:
    """Return capacity and demand of all pools except spare ones.

    Minions and workers in evacuated zones are left out: nothing may be started there.
    The long-running tasks that are to be moved out of them need capacity elsewhere.
    """
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
        if minion.info.zone in schedule.evacuated_zones:
            if evacuation_moves.is_due(schedule, minion.info.zone):
                demand.long_running_use += long_running_use(minion)
            continue
        demand.capacity += minion.info.capacity.cpu_milli
        if not minion.runs and schedule.has_reported_all(minion):
            assert demand.idle is not None
            demand.idle.append(minion)
        demand.long_running_use += long_running_use(minion)
    moving = _moving_workers(schedule, demands)
    for pool, worker in moving:
        demands[pool].capacity += worker.capacity.cpu_milli
    _count_joining(schedule, demands)
    for pool, demand in demands.items():
        rate = rate_of(schedule, pool)
        bursts = burst_tracker_of(schedule, pool)
        bursts.update_rate(schedule.wall_ms, rate.busy, rate.jobs)
        due = bursts.due_milli(schedule.wall_ms, lead_time_ms(schedule))
        demand.arriving = max(rate.busy, rate.ahead, due)
        demand.no_burst_yet = not bursts.seen
        _count_waiting(schedule, pool, demand)
    for pool, worker in moving:
        demands[pool].waiting_labels.difference_update(worker.labels)
    return demands


def long_running_use(minion: Minion) -> int:
    """Return the CPU that long-running tasks reserve on a minion."""
    return sum(
        run.unit.spec.charge.cpu_milli
        for run in minion.runs.values()
        if run.unit.spec.long_running
    )


def _moving_workers(
    schedule: Schedule, demands: dict[str, PoolDemand]
) -> list[tuple[str, Worker]]:
    """Return the workers that are being moved, with the pools that they move to."""
    moving = []
    for worker_id, move in schedule.moves.items():
        worker = schedule.workers.get(worker_id)
        if worker is None or move.pool not in demands:
            continue
        if worker.zone not in schedule.evacuated_zones:
            moving.append((move.pool, worker))
    return moving


def _count_joining(schedule: Schedule, demands: dict[str, PoolDemand]) -> None:
    """Count arrived workers whose minions are not listed yet."""
    for worker_id, since_ms in list(schedule.joining.items()):
        worker = schedule.workers.get(worker_id)
        late = schedule.now_ms - since_ms > MAX_JOIN_MS
        if worker is None or late or worker.minion_id in schedule.minions:
            del schedule.joining[worker_id]
        elif worker.zone in schedule.evacuated_zones:
            continue
        elif worker.pool in demands:
            demands[worker.pool].capacity += worker.capacity.cpu_milli


def report(schedule: Schedule, demands: dict[str, PoolDemand]) -> None:
    """Log the state of each pool every `REPORT_MS`."""
    if schedule.now_ms - schedule.pools_reported_ms < REPORT_MS:
        return
    schedule.pools_reported_ms = schedule.now_ms
    for pool, demand in sorted(demands.items()):
        schedule.log_event(
            "pool_state",
            pool=pool,
            capacity_milli=demand.capacity,
            lasting_milli=demand.long_running_use,
            arriving_milli=demand.arriving,
            waiting_milli=demand.waiting,
            idle=len(demand.idle or ()),
            ready=len(schedule.ready.get(pool, ())),
        )


def _count_waiting(schedule: Schedule, pool: str, demand: PoolDemand) -> None:
    # The ready list may have thousands of units, so units of a step are grouped.
    finite: dict[int, list[Unit]] = {}
    for unit in schedule.ready.get(pool, ()):
        if unit.done:
            continue
        step = unit.step
        spec = step.spec
        if spec.required_label and not step.job.state.final:
            waited = schedule.now_ms - unit.ready_ms
            if waited > LONG_RUNNING_WAIT_MS:
                demand.waiting_labels.add(spec.required_label)
        same_step = finite.get(id(step))
        if same_step is not None:
            same_step.append(unit)
            continue
        if step.job.state.final:
            continue
        if spec.long_running:
            waited = schedule.now_ms - unit.ready_ms
            if waited > LONG_RUNNING_WAIT_MS and schedule.now_ms > unit.not_before_ms:
                demand.long_running_waits = True
            continue
        finite[id(step)] = [unit]
    work = late = 0
    for units in finite.values():
        step = units[0].step
        tasks = len(units) * len(units[0].indexes)
        run_ms = schedule.expected_ms(step.job.queue, step.spec)
        core_ms = int(tasks * step.spec.need.cpu_milli * run_ms)
        if urgency.is_late(schedule, step):
            late += core_ms
        else:
            work += core_ms
    demand.waiting = work // DRAIN_MS + late // LATE_DRAIN_MS
