"""The whole state of a schedule's owner, and the ways to change a run in it."""

from __future__ import annotations

from dataclasses import dataclass, field

from courselead.core.scheduler import const
from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.events import (
    Effect,
    MaintainWorker,
    MoveWorker,
    Note,
    StartRun,
    StopRun,
)
from courselead.core.scheduler.models import (
    NOTHING,
    Bounds,
    FleetConfig,
    Life,
    MinionInfo,
    Queue,
    Resources,
    StepSpec,
    Worker,
)
from courselead.core.scheduler.run_records import LeftRuns
from courselead.core.scheduler.state import (
    Job,
    LostLife,
    Minion,
    Run,
    RunPhase,
    StepRun,
    StrayStart,
    Suspect,
    Unit,
    first_run_of,
)
from courselead.core.scheduler.turns import Turns


@dataclass(slots=True)
class StepAdvice:
    """Tickets for a step, by minion; `asked` while a question is under way."""

    tickets: dict[str, str] = field(default_factory=dict)
    until_ms: int = 0
    asked: bool = False
    retry_ms: int = 0


@dataclass(slots=True)
class WaveState:
    """How far a maintenance wave is.

    Attributes:
        workers: All that are due.
        cap: How many may be down at once.
        begun: Workers whose maintenance has begun, or is not due.
        sent: Workers to be ordered down, with the batch that tells of it.
        open: Workers with an order that was not answered and may be carried out yet.
        down: Workers that are or may be down, with the time of their order.
        evacuating: Workers that are being emptied, since when.
        retry_ms: When a worker's order may be sent again.
        told_running: Whether the operator was told that it runs.
        completed: Whether all that stay have begun.
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
    """A move of a worker between pools that was ordered."""

    pool: str
    sent_ms: int
    accepted_ms: int = 0


@dataclass(frozen=True, slots=True)
class DoubtedLife:
    """A minion that only the cloud knows: it may have left the list while it runs."""

    pool: str
    zone: str


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that came: its core-milliseconds and the time they are spread over."""

    at_ms: int
    work: int
    spread_ms: int


@dataclass(slots=True)
class Left:
    """What is left of an occurrence: core-milliseconds, and its longest chain."""

    at_ms: int
    work: int
    chain_ms: int


def add_use(by_account: dict[str, Resources], account: str, use: Resources) -> None:
    """Add to what an account uses; what belongs to no account is not counted."""
    if account:
        by_account[account] = by_account.get(account, NOTHING).plus(use)


def longest_lease_ms(bounds: Bounds) -> int:
    """Return how long a lease can run, on a clock as slow as a minion's may be."""
    return int(bounds.lease_max_ms / const.CLOCK_SLOWNESS)


def doubt_ms(bounds: Bounds) -> int:
    """Return for how long after a claim leases of earlier owners may run."""
    return longest_lease_ms(bounds) + const.DOUBT_SLACK_MS


@dataclass(slots=True)
class Schedule:
    """State of the owner; changed in place by the functions of this package.

    Times are milliseconds of the owner's steady clock, but for `wall_ms`.

    Attributes:
        own_zone: The availability zone of the owner's host, "" if it is not known.
        left_runs: What the owner before may have left running in its own.
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
    units: dict[str, Unit] = field(default_factory=dict)
    minions: dict[str, Minion] = field(default_factory=dict)
    # Lives that are over, by minion.
    dead: dict[str, set[Life]] = field(default_factory=dict)
    ready: dict[str, list[Unit]] = field(default_factory=dict)
    special_from: dict[str, int] = field(default_factory=dict)
    place_after_ms: dict[str, int] = field(default_factory=dict)
    dirty_pools: set[str] = field(default_factory=set)
    dirty_jobs: dict[str, None] = field(default_factory=dict)
    dirty_waves: set[int] = field(default_factory=set)
    open_batch: int = 1
    saved_batch: int = 0
    advice: dict[str, StepAdvice] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    workers_asked_ms: int = 0
    workers_ms: int = -1
    doubted_lives: dict[str, DoubtedLife] = field(default_factory=dict)
    # Starts of which a copy may be carried out yet, by minion, task and number.
    stray_starts: dict[str, dict[tuple[str, int], StrayStart]] = field(
        default_factory=dict
    )
    # Whether a start can reach no other life of its minion than the one it is for.
    starts_are_bound: bool = False
    # Units under which lives have crashed, by name, and those lives.
    suspects: dict[str, Suspect] = field(default_factory=dict)
    lost_lives: list[LostLife] = field(default_factory=list)
    # Queues whose fresh starts were on several of them, as of the last tick.
    risky_queues: set[str] = field(default_factory=set)
    # When a task of a queue was last given up with witnesses.
    guilty_ms: dict[str, int] = field(default_factory=dict)
    # Units that were cleared of suspicion, and whose crashes still count, by name.
    cleared: dict[str, Unit] = field(default_factory=dict)
    # Units with runs of earlier owners whose fate is not known yet, by name.
    left_starts: dict[str, Unit] = field(default_factory=dict)
    starts_wait: bool = False
    # By account: what it has running, of finite tasks in thousandths of a core by pool,
    # too, what of it an earlier owner had started, and the pools in which its work
    # waits for its cap.
    account_use: dict[str, Resources] = field(default_factory=dict)
    pool_use: dict[str, dict[str, int]] = field(default_factory=dict)
    adopted_use: dict[str, Resources] = field(default_factory=dict)
    pools_at_cap: dict[str, set[str]] = field(default_factory=dict)
    cap_noted_ms: dict[str, int] = field(default_factory=dict)
    # What accounts may have where no look has reached yet, and when it was reckoned.
    unseen_use: tuple[int, dict[str, Resources]] | None = None
    # Answers of minions are lost now and then until this time.
    lossy_until_ms: int = 0
    # Listed with a pool that the configuration does not name, by id.
    strangers: dict[str, MinionInfo] = field(default_factory=dict)
    waves: dict[int, WaveState] = field(default_factory=dict)
    run_ms: dict[str, float] = field(default_factory=dict)
    moves: dict[str, MoveState] = field(default_factory=dict)
    moved_ms: dict[str, int] = field(default_factory=dict)
    joining: dict[str, int] = field(default_factory=dict)
    barred_moves: set[tuple[str, str]] = field(default_factory=set)
    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    demand_peaks: dict[str, list[tuple[int, int]]] = field(default_factory=dict)
    turns: dict[str, Turns] = field(default_factory=dict)
    pools_reported_ms: int = 0
    left: dict[tuple[str, int], Left] = field(default_factory=dict)
    duty_after_ms: int = 0
    own_zone: str = ""
    left_runs: LeftRuns | None = None
    ordered_ms: dict[str, int] = field(default_factory=dict)
    barred_ms: dict[str, int] = field(default_factory=dict)
    effects: list[Effect] = field(default_factory=list)

    def is_over(self, life: Life) -> bool:
        """Return whether a life is known to be over."""
        return any(life.may_be(over) for over in self.dead.get(life.minion_id, ()))

    @property
    def unsaved(self) -> bool:
        """Return whether the open batch has anything to store."""
        return bool(self.dirty_jobs or self.dirty_waves)

    @property
    def urgent(self) -> bool:
        """Return whether a caller or a start may wait for what is to be stored."""
        if self.starts_wait:
            return True
        return any(self.jobs[job_id].state.final for job_id in self.dirty_jobs)

    @property
    def first_run_number(self) -> int:
        """Return the lowest run number that this owner may give out."""
        return first_run_of(self.fence)

    @property
    def doubt_until_ms(self) -> int:
        """Return when no lease given by an earlier owner can still run."""
        return self.claimed_ms + doubt_ms(self.bounds)

    @property
    def lease_left_ms(self) -> int:
        """Return the longest lease that may be given now.

        While the log is silent another host may own the schedule. It takes the runs
        that it cannot see as gone after a time, and they must be over by then.
        """
        silent_ms = self.now_ms - self.confirmed_ms
        return self.bounds.lease_max_ms - max(0, silent_ms - const.RENEWAL_MS)

    def grant_lease(self, minion: Minion) -> int:
        """Return the end of a lease given now, on the minion's clock, and keep it."""
        lease_ms = minion.clock_now_ms(self.now_ms) + self.lease_left_ms
        minion.lease_ms = max(minion.lease_ms, lease_ms)
        return lease_ms

    @property
    def order_bar_ms(self) -> int:
        """Return how long an owner's order to the cloud bars the next owner's."""
        return self.bounds.duty_lease_ms + const.ORDER_SLACK_MS

    def is_noted(self, minion: Minion) -> bool:
        """Return whether what starts on a minion is stored before it is ordered."""
        return bool(self.own_zone) and minion.info.zone == self.own_zone

    @property
    def may_note(self) -> bool:
        """Return whether the log is likely to take what has to be stored."""
        return self.now_ms - self.confirmed_ms < const.OWN_ZONE_SILENCE_MS

    def may_restart(self, unit: Unit) -> bool:
        """Return whether a unit whose run went without a report may start again.

        The run's minion may be gone because of another owner that has noted its end.
        That owner does not exist if the log has answered since.
        """
        return unit.lost_ms - self.confirmed_ms < const.UNCONFIRMED_MS

    def queue(self, name: str) -> Queue | None:
        """Return a queue of the newest configuration."""
        return self.config.queues.get(name)

    def expected_ms(self, queue: str, spec: StepSpec) -> float:
        """Return the time that a task is expected to run: learned, else declared."""
        return self.run_ms.get(queue, spec.estimate_ms)

    def emit(self, effect: Effect) -> None:
        """Want something done."""
        self.effects.append(effect)

    def note(self, event: str, **fields: object) -> None:
        """Want a decision logged."""
        self.effects.append(Note(event, fields))

    def may_order(self, worker_id: str) -> bool:
        """Return whether the cloud may get an order for a worker.

        Not while an earlier owner's order may be under way, nor while the log, which
        takes each order before it is sent, is silent.
        """
        if self.log_is_silent:
            return False
        return self.now_ms >= self.barred_ms.get(worker_id, 0)

    def order_worker(self, worker_id: str, order: MoveWorker | MaintainWorker) -> None:
        """Give an order to the cloud, and remember when."""
        self.ordered_ms[worker_id] = self.now_ms
        self.emit(order)

    def add_run(self, minion: Minion, run: Run) -> None:
        """Keep a run until its end is proved."""
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
        """Forget a run whose end is proved."""
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
        """Return whether the log is silent for so long that another may own this."""
        return self.now_ms - self.confirmed_ms >= const.UNCONFIRMED_MS

    def is_wanted(self, order: StartRun) -> bool:
        """Return whether a start that had to wait is still to be sent."""
        minion = self.minions.get(order.minion_id)
        if minion is None or not minion.info.life.may_be(order.life):
            return False
        run = minion.runs.get((order.task, order.number))
        return run is not None and run.phase is RunPhase.SENT

    def stop_run(self, run: Run, reason: str) -> None:
        """Order a run's stop; it counts until its end is proved."""
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.stop_reason = reason
        self.order_stop(run)

    def order_stop(self, run: Run) -> None:
        """Send a run's stop to the present life of its minion."""
        run.stop_sent_ms = self.now_ms
        run.stop_answered_ms = None
        minion = self.minions.get(run.minion_id)
        born_ms = 0 if minion is None else minion.info.born_ms
        self.emit(
            StopRun(run.minion_id, run.task, run.number, run.stop_reason, born_ms)
        )

    def turn_age_ms(self, pool: str) -> int | None:
        """Return how long a pool's turn has lasted, nothing outside of one."""
        turns = self.turns.get(pool)
        if turns is None or not turns.in_turn:
            return None
        return max(0, self.wall_ms - turns.memory.onset_ms)

    def pool_of(self, job: Job) -> str:
        """Return the pool that a job's tasks run in, "" if no queue names one."""
        queue = self.queue(job.queue)
        return queue.pool if queue is not None else job.pool

    def away_in_step(self, step: StepRun, but: Run | None = None) -> int:
        """Return how many tasks of a lasting step are not at work."""
        away = 0
        for unit in step.units:
            if but is not None and but.unit is unit:
                continue
            if any(self._is_at_work(run) for run in unit.runs):
                continue
            away += 1
        return away

    def _is_at_work(self, run: Run) -> bool:
        """Return whether a lasting task is at work, as far as its minion answers.

        What a silent minion reported last is no longer known: another task that is
        stopped meanwhile may be one too many of the step.
        """
        minion = self.minions.get(run.minion_id)
        return run.at_work and minion is not None and not minion.failures

    def may_interrupt(self, run: Run) -> bool:
        """Return whether a lasting task may be stopped within its step's budget."""
        spec = run.unit.spec
        if not spec.long_running:
            return True
        if not self._is_settled(run.unit.step):
            return False
        allowed = max(1, spec.may_miss)
        return self.away_in_step(run.unit.step, run) < allowed

    def _is_settled(self, step: StepRun) -> bool:
        """Return whether no stop of an earlier owner can be under way in a step.

        A run that is being stopped is reported like one that is at work.
        """
        settle_ms = self.bounds.stop_ms + const.STOP_SETTLE_MS
        for unit in step.units:
            for run in unit.runs:
                minion = self.minions.get(run.minion_id)
                if run.number >= self.first_run_number or minion is None:
                    continue
                if self.now_ms - minion.synced_ms < settle_ms:
                    return False
        return True
