"""State of the schedule's owner, with the operations on runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from courselead.core.scheduler import const
from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.bursts import BurstTracker
from courselead.core.scheduler.events import (
    Effect,
    LogEvent,
    MaintainWorker,
    MoveWorker,
    StartRun,
    StopRun,
)
from courselead.core.scheduler.models import (
    NOTHING,
    Bounds,
    FleetConfig,
    Incarnation,
    MinionInfo,
    Queue,
    Resources,
    StepSpec,
    Worker,
)
from courselead.core.scheduler.run_records import RemainingRuns
from courselead.core.scheduler.state import (
    Crash,
    Job,
    LostIncarnation,
    Minion,
    Run,
    RunPhase,
    StrayStart,
    Suspect,
    Unit,
    first_run_of,
)
from courselead.core.scheduler.step_advice import StepAdvice


@dataclass(slots=True)
class WaveState:
    """Progress of a maintenance wave.

    Attributes:
        workers: All workers of the wave.
        cap: Maximum number of workers that are down at once.
        begun: Workers whose maintenance has begun or was refused.
        sent: Workers to order down, with the number of the batch that records it.
        open: Workers with an unanswered order that may still be carried out.
        down: Workers that are or may be down, with the time of their order.
        evacuating: Workers that are being emptied, with the time this started.
        retry_ms: Earliest time to repeat a worker's order.
        told_running: Whether the operator was told that the wave is running.
        completed: Whether maintenance has begun on all workers that still exist.
    """

    workers: tuple[str, ...]
    cap: int
    begun: set[str] = field(default_factory=set)
    sent: dict[str, int] = field(default_factory=dict)
    open: set[str] = field(default_factory=set)
    down: dict[str, int] = field(default_factory=dict)
    evacuating: dict[str, int] = field(default_factory=dict)
    retry_ms: dict[str, int] = field(default_factory=dict)
    told_running: bool = False
    completed: bool = False


@dataclass(slots=True)
class MoveState:
    """An ordered move of a worker to another pool."""

    pool: str
    sent_ms: int
    accepted_ms: int = 0


@dataclass(frozen=True, slots=True)
class MinionPlace:
    """The pool and the availability zone of a minion."""

    pool: str
    zone: str


@dataclass(frozen=True, slots=True)
class Arrival:
    """A submitted job: `work` in thousandths of a core times ms, over `spread_ms`."""

    at_ms: int
    work: int
    spread_ms: int


@dataclass(slots=True)
class RemainingWork:
    """Remaining work of an occurrence.

    Attributes:
        at_ms: When it was computed.
        work: In thousandths of a core times milliseconds.
        chain_ms: Duration of the longest chain of dependent steps.
    """

    at_ms: int
    work: int
    chain_ms: int


def add_use(by_account: dict[str, Resources], account: str, use: Resources) -> None:
    """Add to an account's use; work without an account is not counted."""
    if account:
        by_account[account] = by_account.get(account, NOTHING).plus(use)


def longest_lease_ms(bounds: Bounds) -> int:
    """Return the longest duration of a lease on the slowest allowed minion clock."""
    return int(bounds.lease_max_ms / const.CLOCK_SLOWNESS)


def old_leases_ms(bounds: Bounds) -> int:
    """Return how long after a takeover leases of earlier owners may still run."""
    return longest_lease_ms(bounds) + const.OLD_LEASES_SLACK_MS


@dataclass(slots=True)
class Schedule:
    """State of the owner, modified in place by the functions of this package.

    Times are milliseconds on the owner's monotonic clock, except `wall_ms`.

    Attributes:
        own_zone: Availability zone of the owner's host, "" if unknown.
        remaining_runs: Runs that the previous owner may have left in its own zone.
    """

    fence: int
    bounds: Bounds
    config: FleetConfig
    book: JobBook
    claimed_ms: int
    confirmed_ms: int
    now_ms: int
    wall_ms: int
    jobs: dict[str, Job] = field(default_factory=dict)
    # Jobs that are not open yet, as there is no memory for their tasks, by id: whether
    # an earlier owner may have started some of their tasks.
    waiting_jobs: dict[str, bool] = field(default_factory=dict)
    # Tasks for whose units there is memory, None if it is unknown.
    max_open_tasks: int | None = None
    units: dict[str, Unit] = field(default_factory=dict)
    minions: dict[str, Minion] = field(default_factory=dict)
    # Incarnations that are known to have ended, by minion id.
    ended_incarnations: dict[str, set[Incarnation]] = field(default_factory=dict)
    # Incarnations that were dropped while nothing ran on them, and that may return.
    empty_incarnations: set[Incarnation] = field(default_factory=set)
    # Units that wait for a place, by pool; see `ready_lists`. The values are not used:
    # the keys are an ordered set.
    ready: dict[str, dict[Unit, None]] = field(default_factory=dict)
    constrained_from: dict[str, int] = field(default_factory=dict)
    place_after_ms: dict[str, int] = field(default_factory=dict)
    dirty_pools: set[str] = field(default_factory=set)
    dirty_jobs: dict[str, None] = field(default_factory=dict)
    dirty_waves: set[int] = field(default_factory=set)
    open_batch: int = 1
    saved_batch: int = 0
    # What the advice service has said, by step, and the steps with open calls to it.
    advice: dict[str, StepAdvice] = field(default_factory=dict)
    open_advice_calls: set[str] = field(default_factory=set)
    # When this owner first saw each early cancel, by the key of its record.
    early_cancels_seen_ms: dict[bytes, int] = field(default_factory=dict)
    # Minions that the newest answer with any tickets has allowed, by queue.
    advised_minions: dict[str, frozenset[str]] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    workers_asked_ms: int = 0
    workers_ms: int = -1
    # Minions that only the cloud names: they may have left the minion list while their
    # tasks still run.
    unconfirmed_minions: dict[str, MinionPlace] = field(default_factory=dict)
    # Minions that have reported, but have run ends that no answer has listed yet.
    partly_reported: set[str] = field(default_factory=set)
    # Starts of which a copy may still be carried out, by minion, then task and number.
    stray_starts: dict[str, dict[tuple[str, int], StrayStart]] = field(
        default_factory=dict
    )
    # Whether a start order can only reach the incarnation of the minion it was sent to.
    starts_are_bound: bool = False
    # Units that were running when incarnations crashed, by unit name.
    suspects: dict[str, Suspect] = field(default_factory=dict)
    # Incarnations that ended unexpectedly in the recent past.
    lost_incarnations: list[LostIncarnation] = field(default_factory=list)
    # Names of the units with a crash of each incarnation.
    crashed_units: dict[Incarnation, set[str]] = field(default_factory=dict)
    # Queues with recently started tasks on several lost incarnations, as of the last
    # tick.
    risky_queues: set[str] = field(default_factory=set)
    # By queue: when a task was last given up because of unexplained crashes.
    given_up_ms: dict[str, int] = field(default_factory=dict)
    # Units cleared of suspicion whose crashes still count towards the limit, by name.
    cleared: dict[str, Unit] = field(default_factory=dict)
    # Units with runs of earlier owners whose outcome is still unknown, by name.
    stored_starts: dict[str, Unit] = field(default_factory=dict)
    starts_wait: bool = False
    # Resources in use, by account.
    account_use: dict[str, Resources] = field(default_factory=dict)
    # Use by finite tasks in thousandths of a core, by pool and account.
    pool_use: dict[str, dict[str, int]] = field(default_factory=dict)
    # Part of `account_use` that was started by earlier owners.
    adopted_use: dict[str, Resources] = field(default_factory=dict)
    # By account: pools in which its work waits because of its cap.
    pools_at_cap: dict[str, set[str]] = field(default_factory=dict)
    cap_logged_ms: dict[str, int] = field(default_factory=dict)
    # Time of computation, and use by account that may exist on minions not polled yet.
    unseen_use: tuple[int, dict[str, Resources]] | None = None
    # Until this time, poll waits are short because minion answers are being lost.
    lossy_until_ms: int = 0
    # Minions listed with a pool that is not in the configuration, by id.
    unknown_pool_minions: dict[str, MinionInfo] = field(default_factory=dict)
    waves: dict[int, WaveState] = field(default_factory=dict)
    run_ms: dict[str, float] = field(default_factory=dict)
    # Average time by queue until a long-running task is ready, in ms.
    ready_ms: dict[str, float] = field(default_factory=dict)
    moves: dict[str, MoveState] = field(default_factory=dict)
    moved_ms: dict[str, int] = field(default_factory=dict)
    joining: dict[str, int] = field(default_factory=dict)
    refused_moves: set[tuple[str, str]] = field(default_factory=set)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    demand_peaks: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    bursts: dict[str, BurstTracker] = field(default_factory=dict)
    pools_reported_ms: int = 0
    remaining_work: dict[tuple[str, int], RemainingWork] = field(default_factory=dict)
    cloud_orders_after_ms: int = 0
    own_zone: str = ""
    remaining_runs: RemainingRuns | None = None
    ordered_ms: dict[str, int] = field(default_factory=dict)
    orders_blocked_until_ms: dict[str, int] = field(default_factory=dict)
    # Evacuated availability zones, with the time at which this owner learned of each.
    evacuated_zones: dict[str, int] = field(default_factory=dict)
    # Evacuated zones that were found to be empty.
    emptied_zones: set[str] = field(default_factory=set)
    # Zones without a start since their return, with the time of the return.
    returned_zones: dict[str, int] = field(default_factory=dict)
    # When the newest read of the operator's log was sent.
    operator_log_read_ms: int = 0
    # Whether starts were paused at the newest read of the operator's log.
    starts_paused: bool = False
    effects: list[Effect] = field(default_factory=list)

    def is_over(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to have ended.

        The end of one whose start time was unknown shows nothing about one that has a
        start time.
        """
        ended = self.ended_incarnations.get(incarnation.minion_id, set())
        if incarnation.born_ms:
            return incarnation in ended
        return bool(ended)

    def has_reported_all(self, minion: Minion) -> bool:
        """Return whether all runs of a minion and all their ends are known."""
        return minion.synced and minion.minion_id not in self.partly_reported

    def may_have_earlier_runs(self, minion: Minion) -> bool:
        """Return whether runs or run ends of earlier owners may be on a minion."""
        if minion.info.incarnation in self.empty_incarnations:
            return False
        return not self.has_reported_all(minion)

    def owned_ms(self, now_ms: int) -> int:
        """Return how long this owner has owned the schedule, as its heartbeats tell it.

        Returns 0 while run ends of earlier owners are unknown, as the next owner would
        not expect their tasks on minions without a record.
        """
        return 0 if self.partly_reported else now_ms - self.claimed_ms

    def add_crash(self, unit: Unit, crash: Crash) -> None:
        """Add a crash to a unit."""
        unit.crashes[crash.key] = crash
        self.crashed_units.setdefault(crash.incarnation, set()).add(unit.name)

    @property
    def unsaved(self) -> bool:
        """Return whether the open batch has changes to store."""
        return bool(self.dirty_jobs or self.dirty_waves)

    @property
    def urgent(self) -> bool:
        """Return whether a caller or a start may be waiting for the open batch."""
        if self.starts_wait:
            return True
        return any(self.jobs[job_id].state.final for job_id in self.dirty_jobs)

    @property
    def first_run_number(self) -> int:
        """Return the lowest run number that this owner may assign."""
        return first_run_of(self.fence)

    @property
    def old_leases_end_ms(self) -> int:
        """Return the time when all leases granted by earlier owners have expired."""
        return self.claimed_ms + old_leases_ms(self.bounds)

    @property
    def lease_left_ms(self) -> int:
        """Return the longest lease that may be granted now.

        While the log does not answer, another host may have taken over the schedule.
        After some time it treats runs it cannot see as ended, so their leases must
        have expired by then.
        """
        silent_ms = self.now_ms - self.confirmed_ms
        return self.bounds.lease_max_ms - max(0, silent_ms - const.RENEWAL_MS)

    def grant_lease(self, minion: Minion) -> int:
        """Grant a lease now; record and return its end on the minion's clock."""
        lease_ms = minion.clock_now_ms(self.now_ms) + self.lease_left_ms
        minion.lease_ms = max(minion.lease_ms, lease_ms)
        return lease_ms

    @property
    def order_block_ms(self) -> int:
        """Return how long an owner's order to the cloud blocks the next owner's."""
        return self.bounds.cloud_order_lease_ms + const.ORDER_SLACK_MS

    def stores_starts_on(self, minion: Minion) -> bool:
        """Return whether starts on a minion are stored before they are sent.

        This applies to minions in the owner's own zone.
        """
        return bool(self.own_zone) and minion.info.zone == self.own_zone

    @property
    def log_accepts_records(self) -> bool:
        """Return whether the log has answered recently enough to accept a record."""
        return self.now_ms - self.confirmed_ms < const.OWN_ZONE_SILENCE_MS

    @property
    def operator_log_age_ms(self) -> int:
        """Return the age of this owner's knowledge of the operator's log."""
        return self.now_ms - self.operator_log_read_ms

    @property
    def operator_log_is_too_old(self) -> bool:
        """Return whether an evacuation that this owner has not read may be in force.

        An owner that cannot read the operator's log does not know which zones have been
        evacuated since, so it starts nothing in any zone.
        """
        within_ms = self.bounds.evacuated_within_ms
        return within_ms is not None and self.operator_log_age_ms >= within_ms

    def may_start_in(self, zone: str) -> bool:
        """Return whether a task may be started in an availability zone now."""
        return zone not in self.evacuated_zones and not self.operator_log_is_too_old

    def may_send(self, order: StartRun) -> bool:
        """Return whether the zone of a start order's minion still allows the start."""
        minion = self.minions.get(order.minion_id)
        return minion is not None and self.may_start_in(minion.info.zone)

    def may_restart(self, unit: Unit) -> bool:
        """Return whether a unit whose run was lost without a report may start again.

        The minion may be gone because of another owner that has recorded the run's
        end. If the log has answered since, there is no such owner.
        """
        return unit.lost_ms - self.confirmed_ms < const.UNCONFIRMED_MS

    def queue(self, name: str) -> Queue | None:
        """Return a queue of the newest configuration, None if it does not exist."""
        return self.config.queues.get(name)

    def expected_ms(self, queue: str, spec: StepSpec) -> float:
        """Return a task's expected run time: learned if known, else the estimate."""
        return self.run_ms.get(queue, spec.estimate_ms)

    def emit(self, effect: Effect) -> None:
        """Add an effect to be carried out."""
        self.effects.append(effect)

    def log_event(self, event: str, **fields: object) -> None:
        """Add a log event to the effects."""
        self.effects.append(LogEvent(event, fields))

    def may_order(self, worker_id: str) -> bool:
        """Return whether an order for a worker may be sent to the cloud.

        It may not while an earlier owner's order may be in flight, or while the log
        does not answer: each order is stored there before it is sent. Nor may it while
        an unknown minion may serve on the worker, as the order would end its tasks.
        """
        if self.log_is_silent or self.may_have_unknown_service(worker_id):
            return False
        return self.now_ms >= self.orders_blocked_until_ms.get(worker_id, 0)

    def may_have_unknown_service(self, worker_id: str) -> bool:
        """Return whether a minion with a long-running task may be on a worker.

        A new minion takes tasks as soon as it answers, but the cloud's list tells only
        later on which worker it is.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return False
        pool = self.config.pools.get(worker.pool)
        if pool is not None and pool.spare:
            # It is switched off and has no minion.
            return False
        known = self.minions.get(worker.minion_id)
        known_until_ms = 0 if known is None else known.seen_ms
        return any(
            not minion.worker_id
            and minion.info.zone == worker.zone
            and known_until_ms <= minion.listed_ms
            and minion.serves
            for minion in self.minions.values()
        )

    def order_worker(self, worker_id: str, order: MoveWorker | MaintainWorker) -> None:
        """Send an order for a worker to the cloud and record the time."""
        self.ordered_ms[worker_id] = self.now_ms
        self.emit(order)

    def add_run(self, minion: Minion, run: Run) -> None:
        """Add a run, which stays until it is known to have ended."""
        minion.runs[run.key] = run
        minion.used = minion.used.plus(run.unit.spec.charge)
        run.unit.runs.append(run)
        run.unit.job.live_runs += 1
        run.pool = minion.info.pool
        self._count_use(run, run.unit.spec.need)

    def _count_use(self, run: Run, change: Resources) -> None:
        account = run.unit.job.account
        if not account:
            return
        add_use(self.account_use, account, change)
        if run.unit.spec.long_running:
            return
        by_account = self.pool_use.setdefault(run.pool, {})
        used = by_account.pop(account, 0) + change.cpu_milli
        if used:
            by_account[account] = used

    def drop_run(self, run: Run) -> None:
        """Remove a run that is known to have ended."""
        minion = self.minions.get(run.minion_id)
        if minion is not None and minion.runs.pop(run.key, None) is not None:
            minion.used = minion.used.minus(run.unit.spec.charge)
            self.dirty_pools.add(minion.info.pool)
            if not minion.runs:
                minion.idle_ms = self.now_ms
        if run in run.unit.runs:
            run.unit.runs.remove(run)
            run.unit.job.live_runs -= 1
            self._count_use(run, NOTHING.minus(run.unit.spec.need))
            self.dirty_pools |= self.pools_at_cap.pop(run.unit.job.account, set())
            if run.unit.starts_stored and not run.unit.job.state.final:
                self.dirty_jobs[run.unit.job.job_id] = None

    @property
    def log_is_silent(self) -> bool:
        """Return whether the log has been silent so long that a new owner may exist."""
        return self.now_ms - self.confirmed_ms >= const.UNCONFIRMED_MS

    def is_wanted(self, order: StartRun) -> bool:
        """Return whether a delayed start order should still be sent."""
        minion = self.minions.get(order.minion_id)
        if minion is None or not minion.info.incarnation.may_equal(order.incarnation):
            return False
        run = minion.runs.get((order.task, order.number))
        return run is not None and run.phase is RunPhase.SENT

    def stop_run(self, run: Run, reason: str) -> None:
        """Stop a run; it keeps its resources until it is known to have ended."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        self.order_stop(run)

    def order_stop(self, run: Run) -> None:
        """Send a stop order for a run to the current incarnation of its minion."""
        run.stop_sent_ms = self.now_ms
        run.stop_answered_ms = None
        minion = self.minions.get(run.minion_id)
        born_ms = 0 if minion is None else minion.info.born_ms
        if run.unit.spec.long_running:
            self._log_service_stop(run, minion)
        is_draining = minion is not None and minion.info.draining
        expires = run.unit.is_wanted_service and not is_draining
        self.emit(
            StopRun(
                run.minion_id,
                run.task,
                run.number,
                run.stop_reason,
                born_ms,
                self.now_ms + const.STOP_EXPIRES_MS if expires else 0,
            )
        )

    def _log_service_stop(self, run: Run, minion: Minion | None) -> None:
        """Log the stop of a long-running task with what is known of its step."""
        step = run.unit.step
        check = step.budget_check
        self.log_event(
            "service_stop_sent",
            job_id=step.job.job_id,
            task=run.task,
            run=run.number,
            minion=run.minion_id,
            reason=run.stop_reason,
            percent=run.percent,
            unchanged_ms=self.now_ms - max(run.started_ms, run.percent_ms),
            report_age_ms=None if minion is None else self.now_ms - minion.seen_ms,
            missing=None if check is None else check.missing,
            checked_age_ms=None if check is None else self.now_ms - check.at_ms,
            may_miss=step.spec.may_miss,
        )

    def burst_age_ms(self, pool: str) -> int | None:
        """Return how long a pool's demand burst has lasted, None outside of a burst."""
        bursts = self.bursts.get(pool)
        if bursts is None or not bursts.in_burst:
            return None
        return max(0, self.wall_ms - bursts.memory.onset_ms)
