"""Runs the planner against the fold of the core, in seeded virtual time.

`apply_batch` applies the planner's records. The durations of drains, reboots and
starts are drawn from seeded distributions, and workers fail at a given rate.
Budgets are checked after every batch.
"""

import heapq
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from benchmarks.planner.fleets import FleetSpec
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.budgets import min_serving_workers
from courselead.core.fleet.records import (
    Batch,
    HostBeat,
    HostJoined,
    MinionStopped,
    MinionUp,
    Record,
    StopPlanned,
    StopPurpose,
    TablePublished,
    WorkerAssigned,
    WorkerBack,
    WorkerDown,
    WorkerRebooted,
    WorkersSeen,
)
from courselead.core.fleet.state import (
    AppliedRecord,
    FleetState,
    WorkerPhase,
    WorkerState,
)
from courselead.core.operations import invariants, planner
from courselead.core.operations.placement import PlanningExclusions
from courselead.core.operations.state import DEFAULT_REPLACE_AFTER_MS, OperationsConfig

HOST = "bench"
DAY_MS = 86_400_000
HOUR_MS = 3_600_000
START_WALL_MS = 1_767_225_600_000  # 2026-01-01T00:00Z
PLAN_INTERVAL_MS = 10_000
# Workers become due for maintenance as time passes, without any record, so the
# planner also runs at this interval.
IDLE_PLAN_INTERVAL_MS = HOUR_MS
SETTLE_MS = 1_000
DRAIN_MEDIAN_MS = 30_000
DRAIN_SIGMA = 0.8
DRAIN_MAX_MS = 600_000
REBOOT_RANGE_MS = (180_000, 600_000)
MINION_START_RANGE_MS = (2_000, 10_000)
OUTAGE_MEAN_MS = 6 * HOUR_MS
OUTAGE_MIN_MS = 60_000
JOBS_PER_WORKER = 3
MOST_FRACTION = 0.9
# Losses start before the wave, so that some workers are down when it starts.
WAVE_START_MS = DAY_MS


class EventKind(StrEnum):
    """Kind of a scheduled event."""

    UP = "up"
    STOPPED = "stopped"
    REBOOTED = "rebooted"
    DOWN = "down"
    BACK = "back"
    LOSS = "loss"
    PLAN = "plan"


@dataclass(frozen=True, slots=True)
class Run:
    """Parameters of one run.

    Attributes:
        failures: Fraction of the workers that fails per day.
        days: Length of the run from the start of the wave; an unfinished wave
            is cut off at the end.
        replace_ms: Downtime after which a worker is replaced.
    """

    spec: FleetSpec
    policy: str
    failures: float
    seed: int
    days: float = 13.9
    replace_ms: int = DEFAULT_REPLACE_AFTER_MS


@dataclass(slots=True)
class Result:
    """Measurements of one run.

    Attributes:
        roll_out_ms: Time from the start of the wave until all workers in pools
            were rebooted, -1 if that was not reached.
        most_ms: The same for nine out of ten workers.
        pool_changes: Assignments after the initial ones; each adds a worker to
            a pool or frees it.
        drains: Stops of workers that move to another pool.
        jobs_moved: Jobs moved to another worker because their worker stopped.
        short_hours: Pool-hours with fewer serving workers than the floor of
            the budget; only losses can cause them.
        spare_days: Worker-days of workers in pools beyond the wanted sizes.
        breaches: Pools over budget, summed over all batches.
        zone_breaches: Pools with workers in maintenance in two zones at once,
            summed over all batches.
        refused: Planned stops rejected when they were applied.
        losses: Injected failures.
    """

    roll_out_ms: int = -1
    most_ms: int = -1
    reboots: int = 0
    pool_changes: int = 0
    drains: int = 0
    jobs_moved: int = 0
    short_hours: float = 0.0
    spare_days: float = 0.0
    spare_part: float = 0.0
    breaches: int = 0
    zone_breaches: int = 0
    refused: int = 0
    losses: int = 0
    batches: int = 0


@dataclass(slots=True)
class Driver:
    """One run in progress."""

    run: Run
    fleet: FleetState = field(default_factory=FleetState)
    result: Result = field(default_factory=Result)
    now_ms: int = 0
    _seq: int = 0
    _sequence: int = 0
    _spare_workers: int = 0
    _short_pools: int = 0
    _down_since_ms: dict[str, int] = field(default_factory=dict)
    _counted_until_ms: int = 0
    _replan: bool = True
    _fleet_started: bool = False
    _event_queue: list[tuple[int, int, EventKind, str, int]] = field(
        default_factory=list
    )
    _jobs: dict[str, int] = field(default_factory=dict)
    _config: OperationsConfig = OperationsConfig(maintain=False)
    _duration_rng: Random = field(default_factory=Random)
    _loss_rng: Random = field(default_factory=Random)

    @classmethod
    def from_run(cls, run: Run) -> "Driver":
        """Return a driver whose fleet is assigned and serving.

        Losses and durations have separate random generators, so that all
        policies get the same losses.
        """
        driver = cls(run)
        driver._duration_rng.seed(f"{run.seed}:{run.spec.name}:durations")
        driver._loss_rng.seed(f"{run.seed}:{run.spec.name}:{run.failures}")
        driver._start_fleet()
        return driver

    @property
    def wall_ms(self) -> int:
        """Return the wall time of the run."""
        return START_WALL_MS + self.now_ms

    def drive(self) -> Result:
        """Run to the end and return what was measured."""
        end_ms = WAVE_START_MS + int(self.run.days * DAY_MS)
        self._schedule_loss()
        self._schedule(0, EventKind.PLAN)
        while self._event_queue and self._event_queue[0][0] <= end_ms:
            self.now_ms, _, kind, worker, epoch = heapq.heappop(self._event_queue)
            self._handle_event(kind, worker, epoch)
        self.now_ms = end_ms
        self._accumulate_pool_counts()
        result = self.result
        result.spare_part = result.spare_days / (self.run.days * self.run.spec.workers)
        return result

    # --- start of the fleet -----------------------------------------------

    def _start_fleet(self) -> None:
        """Join the host, publish the table and start the workers of all pools."""
        spec = self.run.spec
        self._append(HostJoined(HOST, 1, "zone-0", ""))
        rows = spec.service_rows()
        self._append(TablePublished(-1, spec.account_rows(), rows, (), HOST))
        self._append(WorkersSeen(spec.worker_infos()))
        without_maintenance = OperationsConfig(maintain=False)
        self._append(
            *planner.make_plan(self.fleet, self.wall_ms, without_maintenance).assigned
        )
        ups = []
        for worker in self._workers(WorkerPhase.STARTING):
            ups.append(MinionUp(worker.worker, worker.epoch, _address(worker)))
            self._jobs[worker.worker] = JOBS_PER_WORKER
        self._append(*ups)
        self._event_queue.clear()
        self._fleet_started = True

    def _workers(self, phase: WorkerPhase) -> list[WorkerState]:
        """Return the workers in a phase, sorted by name."""
        found = [item for item in self.fleet.workers.values() if item.phase is phase]
        return sorted(found, key=lambda item: item.worker)

    # --- events -------------------------------------------------------------

    def _schedule(self, delay_ms: int, kind: EventKind, worker: str = "") -> None:
        """Schedule an event for the current epoch of a worker, or for the fleet."""
        self._sequence += 1
        epoch = self.fleet.workers[worker].epoch if worker else 0
        item = (self.now_ms + delay_ms, self._sequence, kind, worker, epoch)
        heapq.heappush(self._event_queue, item)

    def _handle_event(self, kind: EventKind, name: str, epoch: int) -> None:
        """Handle one event; events of an earlier epoch or phase are ignored."""
        if kind is EventKind.PLAN:
            self._plan()
            return
        if kind is EventKind.LOSS:
            self._fail_random_worker()
            return
        worker = self.fleet.workers[name]
        if worker.epoch != epoch:
            return
        phase = worker.phase
        if kind is EventKind.UP and phase is WorkerPhase.STARTING:
            self._append(MinionUp(name, epoch, _address(worker)))
        elif kind is EventKind.STOPPED and phase is WorkerPhase.STOPPING:
            offset = self.fleet.offset
            beat = HostBeat(HOST, 1, offset, offset, -1, "")
            self._append(beat, MinionStopped(name, epoch))
        elif kind is EventKind.REBOOTED and phase is WorkerPhase.STOPPED:
            self._append(WorkerRebooted(name, epoch, self.wall_ms))
        elif kind is EventKind.BACK and phase is WorkerPhase.DOWN:
            self._append(WorkerBack(name, epoch))

    def _plan(self) -> None:
        """Run the planner if something has changed, and schedule the next run."""
        idle = self.now_ms % IDLE_PLAN_INTERVAL_MS == 0
        if self.now_ms == WAVE_START_MS:
            self._config = OperationsConfig(policy=self.run.policy)
        if self._replan or idle:
            self._replan = False
            exclusions = PlanningExclusions(lost=self._workers_to_replace())
            plan = planner.make_plan(self.fleet, self.wall_ms, self._config, exclusions)
            records = (*plan.assigned, *plan.stops)
            if records:
                self._append(*records)
        self._schedule(PLAN_INTERVAL_MS, EventKind.PLAN)

    def _workers_to_replace(self) -> frozenset[str]:
        """Return the workers whose downtime has reached `replace_ms`."""
        names = []
        for name, since_ms in self._down_since_ms.items():
            if self.now_ms - since_ms >= self.run.replace_ms:
                names.append(name)
        return frozenset(names)

    def _schedule_loss(self) -> None:
        """Schedule the next loss at a random time."""
        per_day = self.run.failures * self.run.spec.workers
        if per_day:
            delay = self._loss_rng.expovariate(per_day / DAY_MS)
            self._schedule(max(1, int(delay)), EventKind.LOSS)

    def _fail_random_worker(self) -> None:
        """Take down one random worker without a planned stop."""
        index = self._loss_rng.randrange(self.run.spec.workers)
        outage = self._loss_rng.expovariate(1 / OUTAGE_MEAN_MS)
        name = sorted(self.fleet.workers)[index]
        worker = self.fleet.workers[name]
        if worker.pool and worker.phase is not WorkerPhase.DOWN:
            self.result.losses += 1
            self._append(WorkerDown(name, worker.epoch, "injected"))
            self._schedule(max(OUTAGE_MIN_MS, int(outage)), EventKind.BACK, name)
        self._schedule_loss()

    # --- the log --------------------------------------------------------------

    def _append(self, *records: Record) -> None:
        """Apply a batch, check the budgets and handle the accepted records."""
        if not records:
            return
        self._seq += 1
        batch = Batch(HOST, 1, self._seq, self.wall_ms, -1, tuple(records))
        before = self.fleet
        self.fleet, applied = apply_batch(before, before.offset + 1, batch)
        if self._fleet_started:
            self._accumulate_pool_counts()
        self._replan = True
        self.result.batches += 1
        self._count_breaches(applied)
        follow_up = []
        for item in applied:
            if item.verdict.accepted:
                follow_up.extend(self._handle_applied(item.record))
            elif isinstance(item.record, StopPlanned):
                self.result.refused += 1
            else:
                raise AssertionError(f"{item.record} refused: {item.verdict.reason}")
        self._append(*follow_up)

    def _count_breaches(self, applied: tuple[AppliedRecord, ...]) -> None:
        """Count the breaches that exist after a batch."""
        result = self.result
        result.breaches += len(invariants.find_budget_violations(self.fleet, applied))
        result.breaches += len(invariants.find_excess_stops(self.fleet))
        result.zone_breaches += len(invariants.find_multi_zone_maintenance(self.fleet))

    def _handle_applied(self, record: Record) -> list[Record]:
        """Schedule the consequences of an accepted record.

        Returns:
            Records to append immediately.
        """
        if isinstance(record, StopPlanned):
            self._drain(record)
        elif isinstance(record, MinionStopped):
            return self._handle_stopped(record.worker)
        elif isinstance(record, WorkerAssigned):
            self._handle_assigned(record)
        elif isinstance(record, WorkerRebooted):
            self.result.reboots += 1
            self._start_minion(record.worker)
            self._record_roll_out()
        elif isinstance(record, WorkerBack):
            self._down_since_ms.pop(record.worker, None)
            self._start_minion(record.worker)
        elif isinstance(record, WorkerDown):
            self._down_since_ms[record.worker] = self.now_ms
            self._jobs[record.worker] = 0
        return []

    def _drain(self, record: StopPlanned) -> None:
        """Drain a worker whose planned stop was accepted."""
        if record.purpose is StopPurpose.MOVE:
            self.result.drains += 1
        self._move_jobs(record.worker)
        drain = self._duration_rng.lognormvariate(0, DRAIN_SIGMA) * DRAIN_MEDIAN_MS
        delay = SETTLE_MS + min(DRAIN_MAX_MS, int(drain))
        self._schedule(delay, EventKind.STOPPED, record.worker)

    def _handle_stopped(self, name: str) -> list[Record]:
        """Schedule the reboot of a stopped worker, or assign it to its next pool."""
        worker = self.fleet.workers[name]
        if worker.purpose is StopPurpose.MAINTENANCE:
            self._schedule(
                self._duration_rng.randint(*REBOOT_RANGE_MS), EventKind.REBOOTED, name
            )
            return []
        version = self.fleet.table.version
        return [WorkerAssigned(name, worker.epoch, worker.next_pool, version)]

    def _handle_assigned(self, record: WorkerAssigned) -> None:
        """Start a worker in its new pool."""
        if self._fleet_started:
            self.result.pool_changes += 1
        if record.pool:
            self._start_minion(record.worker)

    def _start_minion(self, name: str) -> None:
        """Schedule the start of a minion."""
        self._schedule(
            self._duration_rng.randint(*MINION_START_RANGE_MS), EventKind.UP, name
        )

    # --- measurements ---------------------------------------------------------

    def _move_jobs(self, name: str) -> None:
        """Move the jobs of a stopping worker to the least busy workers of its pool."""
        pool = self.fleet.workers[name].pool
        others = self.fleet.serving.get(pool, ())
        for _ in range(self._jobs.get(name, 0)):
            if not others:
                break
            target = min(others, key=lambda item: (self._jobs.get(item, 0), item))
            self._jobs[target] = self._jobs.get(target, 0) + 1
            self.result.jobs_moved += 1
        self._jobs[name] = 0

    def _accumulate_pool_counts(self) -> None:
        """Add the spare workers and short pools since the last change to the result."""
        elapsed_ms = self.now_ms - self._counted_until_ms
        self.result.spare_days += self._spare_workers * elapsed_ms / DAY_MS
        self.result.short_hours += self._short_pools * elapsed_ms / HOUR_MS
        self._counted_until_ms = self.now_ms
        self._spare_workers = 0
        self._short_pools = 0
        for pool, row in self.fleet.table.services.items():
            count = self.fleet.pools.get(pool)
            members = count.members if count else 0
            self._spare_workers += max(0, members - row.workers)
            serving = count.serving if count else 0
            self._short_pools += serving < min_serving_workers(row)

    def _record_roll_out(self) -> None:
        """Record when nine out of ten and when all workers in pools were rebooted."""
        result = self.result
        if result.roll_out_ms >= 0:
            return
        members = [item for item in self.fleet.workers.values() if item.pool]
        rebooted = sum(1 for item in members if item.maintained_ms)
        if result.most_ms < 0 and rebooted >= MOST_FRACTION * len(members):
            result.most_ms = self.now_ms - WAVE_START_MS
        if rebooted == len(members):
            result.roll_out_ms = self.now_ms - WAVE_START_MS


def _address(worker: WorkerState) -> str:
    """Return an address that no earlier minion of the worker has used."""
    return f"{worker.worker}:{1000 + worker.epoch}"
