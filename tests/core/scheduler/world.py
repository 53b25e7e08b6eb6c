"""Simulation of owners and minions in virtual time, with faults and rule checks.

The world checks every start. A violated rule fails with an AssertionError whose message
begins with the name of the rule, such as TWICE, ORDER or LIMIT.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.models import (
    AdvicePolicy,
    Bounds,
    ClientAccount,
    FleetConfig,
    Incarnation,
    JobSpec,
    JobState,
    Pool,
    Queue,
    Resources,
    StepSpec,
    Worker,
    WorkerPhase,
)
from courselead.core.scheduler.records import (
    EarlyCancel,
    EarlyCancelForgotten,
    JobAccepted,
    JobCancelled,
    OwnerHeartbeat,
    decode,
    encode,
)
from courselead.core.scheduler.run_records import RemainingRuns
from courselead.core.scheduler.schedule import old_leases_ms
from courselead.core.scheduler.scheduler import Scheduler
from courselead.daemon.scheduling.held_starts import HeldStarts
from standins.job_platform.ledger import values_in_force
from tests.core.scheduler.fake_minions import (
    MAX_LISTED_ENDS,
    POOL,
    FakeMinion,
    FakeRun,
)
from tests.core.scheduler.fake_services import FakeServices

LATENCY_MS = 2
POLL_MS = 200
TICK_MS = 100
ENTRY_MS = 20
"""Time until a changed capacity has been listed and orders in flight have arrived."""

BACK_MS = 700
"""Time after which a crashed minion is back."""

ENTRY_LOST_MS = 4_500
"""Time after which the list entry of a silent minion is removed."""

CONTACT_MS = 4_000
STOP_MS = 900
"""Bounds of the platform: a run that no live job explains must have ended within their
sum after its start and its job's cancellation."""

COLD_FACTOR = 4
"""Multiple of its run time that a task takes on a minion that is not warm yet."""

LATE_MS = (500, 6_000)
"""Range of the delays of late orders, unless a test sets another one."""

CRASHES_ALLOWED = 3
STARTS_ALLOWED = 2
"""Allowed starts of a task after `CRASHES_ALLOWED` crashes."""
WALL_START_MS = 1_700_000_000_000

CONFIG_MS = 3_000
"""Time within which a new configuration must take effect."""

MAX_ADVISED_AT_ONCE = 100
"""Maximum number of minions in one call to the advice service."""

QUEUE = "q"
ZONES = ("z0", "z1", "z2")
CAPACITY = Resources(4_000, 4_000)


def step(count=1, cpu=1000, memory=100, **fields) -> StepSpec:
    fields.setdefault("estimate_ms", 500)
    return StepSpec(count=count, need=Resources(cpu, memory), **fields)


def job(*steps: StepSpec, **fields) -> JobSpec:
    return JobSpec("payload", tuple(steps), **fields)


def config(**fields) -> FleetConfig:
    fields.setdefault("max_attempts", 3)
    queue = Queue(QUEUE, POOL, **fields)
    return FleetConfig(1, {QUEUE: queue}, {POOL: Pool(POOL)})


class World:
    """One log, one minion list, some minions and a sequence of owners."""

    def __init__(
        self,
        minions=2,
        cfg: FleetConfig | None = None,
        bounds: Bounds | None = None,
        seed=0,
        guards=False,
        capacity: Resources | None = None,
    ) -> None:
        capacity = capacity or Resources(4_000, 4_000)
        self.now_ms = 1_000
        self.random = random.Random(seed)
        self.config = cfg or config()
        # Settings that the configurations so far have given the queue, newest last.
        self.queue_settings = [self.config.queues[QUEUE]]
        self.bounds = bounds or Bounds()
        self.book = JobBook()
        self.minions: dict[str, FakeMinion] = {}
        self.all_minions: list[FakeMinion] = []
        self.services = FakeServices(self.all_minions, seed)
        self.listed: set[str] = set()
        self.owner: Scheduler | None = None
        self.owners: list[Scheduler] = []
        self.fence = 0
        self.done: dict[str, list[tuple[Incarnation, int]]] = {}
        self.acknowledged: set[tuple[Incarnation, int]] = set()
        self.failed: dict[str, int] = {}
        # Failed runs whose ends were lost with their minions before any owner took note
        # of them: they do not count as attempts.
        self.unnoted_failures: Counter[str] = Counter()
        self.starts: list[tuple[int, str, int, str]] = []
        self._last_start_ms: dict[str, int] = {}
        self.lengths: dict[str, int] = {}
        self.failing_jobs: set[str] = set()
        # Run time in ms after which a task crashes its minion. The values of a tuple
        # are used in rotation, one for each start.
        self.crash_ages_ms: dict[str, int | tuple[int, ...]] = {}
        self.restarts_under_same_id = False
        self.crashed_under: dict[str, set[Incarnation]] = {}
        self.started_after: dict[str, int] = {}
        self.crash_count = 0
        self.limits_starts = True
        self.poll_ms = POLL_MS
        # Range of the time that an order waits in the owner's process before it leaves.
        self.queue_ms = (0, 0)
        self._queue_random = random.Random(seed)
        # When the order that is being carried out was sent, if it was delayed.
        self._delayed_since_ms: int | None = None
        # Delayed starts that were carried out in an evacuated zone or for a cancelled
        # job.
        self.late_zone_starts = 0
        self.late_cancelled_starts = 0
        self.lose_answers = 0.0
        # False once orders may be delayed: they reach the incarnation current then.
        self._starts_are_bound = True
        self._late_orders = 0.0
        self.late_ms = LATE_MS
        # Caps by account, each with the time from which it applies.
        self._caps: dict[str, list[tuple[int, Resources]]] = {}
        self.store_down = False
        # Duration of a save of progress. Starts are stored by other calls.
        self.save_ms = LATENCY_MS
        self._saving_until: dict[int, int] = {}
        self._held_starts: dict[Scheduler, HeldStarts] = {}
        # Fences of owners that cannot reach the log.
        self.log_cut: set[int] = set()
        # Evacuated zones with the time since when nothing may start there, and whether
        # owners can read the operator's log.
        self.closed_zones: dict[str, int] = {}
        self.operator_log_readable = True
        # Time until a read of the operator's log is answered.
        self.operator_log_ms = 0
        # The zones of the newest answered read, and when each owner's one was sent.
        self._zones_read: tuple[frozenset[str], int] = (frozenset(), self.now_ms)
        self._zones_read_ms: dict[int, int] = {}
        self._cancelled_ms: dict[str, int] = {}
        # Owners that have ended without notice.
        self._killed: set[Scheduler] = set()
        self._last_owner: Scheduler | None = None
        # Cut connections between owners, by fence, and minions.
        self.cut_connections: set[tuple[int, str]] = set()
        self.guards = guards
        self.maintained: list[str] = []
        self.down: dict[str, int] = {}
        self.wave_cap = 0
        self.hold_maintenance_ms = 0
        self.wave_status: list[tuple[int, bool]] = []
        # Memory for the jobs of the log that the next owners are given.
        self.max_job_bytes: int | None = None
        self.advised: dict[str, str] = {}
        self.advice_calls = 0
        self.advice_slowness = 1.0
        self.refused_tickets = 0
        self.asked_minions: Counter[str] = Counter()
        self._advice_free_ms = 0
        self.paces: list[tuple[str, int]] = []
        self.figures: dict[str, int] = {}
        self.orders: list[ev.Effect] = []
        self.workers_known = True
        # Stored by owners about minions in their zones: fence and tasks at risk.
        self.stored_runs: dict[str, tuple[int, frozenset[str]]] = {}
        self._queue: list[tuple[int, int, object]] = []
        self._count = itertools.count()
        self._incarnations = itertools.count(1)
        for number in range(minions):
            self.add_minion(f"w{number}", capacity=capacity)

    # Set-up

    @property
    def late_orders(self) -> float:
        """Return the share of orders that are delayed by seconds."""
        return self._late_orders

    @late_orders.setter
    def late_orders(self, share: float) -> None:
        self._late_orders = share
        if share:
            self._starts_are_bound = False
            for owner in self.owners:
                owner.schedule.starts_are_bound = False

    def add_minion(self, worker_id: str, **fields) -> FakeMinion:
        minion = FakeMinion(f"i{next(self._incarnations)}", worker_id, **fields)
        self.minions[minion.minion_id] = minion
        self.all_minions.append(minion)
        self.listed.add(minion.minion_id)
        self._tell(ev.MinionListed(minion.info()))
        return minion

    def add_racks(self, minions: int, rack_size: int, **fields) -> None:
        """Add minions in racks that are distributed over the zones round-robin."""
        for number in range(minions):
            rack = number // rack_size
            self.add_minion(
                f"w{number}",
                zone=ZONES[rack % len(ZONES)],
                labels=("a", f"r{rack}"),
                **fields,
            )

    def claim(self, zone: str = "") -> Scheduler:
        """Let a new owner take over; the previous one is not notified."""
        before = self._last_owner
        self.fence += 1
        if self._is_operator_log_answering and not self.operator_log_ms:
            self._zones_read = (frozenset(self.closed_zones), self.now_ms)
        zones, read_ms = self._zones_read
        owner = Scheduler(
            self.fence,
            self.fence == 1,
            self.config,
            self.bounds,
            self.book,
            self.now_ms,
            WALL_START_MS + self.now_ms,
            zone,
            self._remaining_runs_of(before),
            self._starts_are_bound,
            self.now_ms - read_ms,
            self.max_job_bytes,
        )
        # A host follows the operator's log also before it owns the schedule.
        owner.handle(ev.ZonesEvacuated(zones), self.now_ms)
        self.owner = self._last_owner = owner
        self.owners.append(owner)
        for minion_id in sorted(self.listed):
            owner.handle(ev.MinionListed(self.minions[minion_id].info()), self.now_ms)
        self._at(0, lambda: self._tick(owner))
        self._pump(owner)
        return owner

    def kill_owner(self) -> None:
        """End the owner without notice; its orders in flight still arrive."""
        if self.owner is None:
            return
        self._killed.add(self.owner)
        if self.owner in self.owners:
            self.owners.remove(self.owner)
        self.owner = None

    def _remaining_runs_of(self, owner: Scheduler | None) -> RemainingRuns | None:
        """Return what the next owner learns from the records of an owner."""
        if owner is None:
            return None
        schedule = owner.schedule
        by_minion = {}
        for minion_id, (fence, tasks) in self.stored_runs.items():
            if fence == schedule.fence:
                by_minion[minion_id] = tasks
        # The owner's last stored heartbeat may be older than this.
        owned_ms = schedule.owned_ms(schedule.confirmed_ms)
        heartbeat = OwnerHeartbeat(
            schedule.fence, "", 0, zone=schedule.own_zone, owned_ms=owned_ms
        )
        return RemainingRuns.from_owner(
            heartbeat, by_minion, old_leases_ms(self.bounds)
        )

    def submit(
        self, spec: JobSpec, job_id="00000000000000aa", length_ms=500, account=""
    ) -> str:
        self.lengths[job_id] = length_ms
        settings = self.config.queues.get(QUEUE)
        record = JobAccepted(job_id, QUEUE, spec, account, settings)
        self.book.apply(decode(encode(record)))
        self._tell(ev.JobArrived(job_id))
        return job_id

    def set_cap(self, account: str, cap: Resources) -> None:
        """Change an account's cap in the configuration."""
        accounts = {**self.config.accounts, account: ClientAccount(account, cap=cap)}
        self.config = replace(
            self.config, version=self.config.version + 1, accounts=accounts
        )
        self._caps.setdefault(account, []).append((self.now_ms, cap))
        self._tell(ev.ConfigChanged(self.config))

    def change_config(self, cfg: FleetConfig) -> None:
        """Let the operator write a configuration, which takes effect at once."""
        self.config = cfg
        if QUEUE in cfg.queues:
            self.queue_settings.append(cfg.queues[QUEUE])
        self._tell(ev.ConfigChanged(cfg))

    def used_by(self, account: str) -> Resources:
        """Return the resources used by an account, including runs unseen by owners."""
        used = Resources()
        for minion in self.all_minions:
            if not minion.up:
                continue
            for run in minion.runs.values():
                job_id = run.task.partition(".")[0]
                if self.book.jobs[job_id].account == account:
                    used = used.plus(self._spec_of(run.task).need)
        return used

    def _check_cap(self, account: str) -> None:
        """Check that an account is within the caps that may be in force at a start.

        It may exceed the cap by the allowed overage and by the task that starts.
        """
        caps = values_in_force(self._caps.get(account, []), self.now_ms - CONFIG_MS)
        if not caps:
            return
        used = self.used_by(account)
        for name in ("cpu_milli", "memory_mb", "gpus"):
            amounts = [getattr(cap, name) for cap in caps]
            limit = max(amounts) * (1 + self.bounds.cap_overage)
            fits = 0 in amounts or getattr(used, name) <= limit
            assert fits, f"QUOTA: {account} has {used} of {caps} running"

    def evacuate(self, zone: str) -> None:
        """Let the operator evacuate a zone, which takes effect within the bound."""
        within_ms = self.bounds.evacuated_within_ms or 0
        # A repeated request doesn't put the bound off.
        self.closed_zones.setdefault(zone, self.now_ms + within_ms)
        self._tell_zones()

    def restore(self, zone: str) -> None:
        """Let the operator withdraw the evacuation of a zone."""
        self.closed_zones.pop(zone, None)
        self._tell_zones()

    def _tell_zones(self) -> None:
        """Let the owner read the change at once, unless reads are slow."""
        if self.owner is not None and not self.operator_log_ms:
            self._read_operator_log(self.owner)
            self._pump(self.owner)

    @property
    def _is_operator_log_answering(self) -> bool:
        return self.operator_log_readable and not self.store_down

    def _read_operator_log(self, owner: Scheduler) -> None:
        """Let an owner read the operator's log, if the log answers it."""
        if not self._is_operator_log_answering:
            return
        fence, sent_ms = owner.schedule.fence, self.now_ms
        if fence in self.log_cut:
            return
        zones = frozenset(self.closed_zones)

        def answered() -> None:
            if owner in self._killed or sent_ms < self._zones_read_ms.get(fence, 0):
                return
            self._zones_read_ms[fence] = sent_ms
            self._zones_read = max(self._zones_read, (zones, sent_ms), key=_sent_ms)
            owner.handle(ev.ZonesEvacuated(zones), self.now_ms)
            owner.handle(ev.OperatorLogRead(sent_ms), self.now_ms)

        if self.operator_log_ms:
            self._at(self.operator_log_ms, answered)
        else:
            answered()

    def cancel(self, job_id: str) -> None:
        self.book.apply(JobCancelled(job_id))
        self._cancelled_ms.setdefault(job_id, self.now_ms)
        self._tell(ev.JobCancelRequested(job_id))

    def cancel_early(self, job_id: str, queue=QUEUE, account="") -> None:
        """Cancel a job at a host that does not know it; it may be stored later."""
        self.book.apply(EarlyCancel(job_id, queue, account))
        self._tell(ev.EarlyCancelStored(job_id))

    def state(self, job_id: str) -> JobState:
        return self.book.jobs[job_id].state

    def crash(self, minion_id: str, silent=False) -> None:
        self._end_incarnation(self.minions[minion_id])
        if not silent:
            self.unlist(minion_id)

    def _end_incarnation(self, minion: FakeMinion) -> None:
        minion.up = False
        for run in minion.runs.values():
            self.services.note_end(run, self.now_ms)
        for end in minion.ended:
            self.unnoted_failures[end.task] += end.kind is ev.EndKind.FAILED
        minion.runs.clear()
        minion.ended.clear()

    def starts_of(self, task: str) -> list[str]:
        """Return the minions on which a task was started, oldest first."""
        return [minion_id for _, name, _, minion_id in self.starts if name == task]

    def _crash_under(self, minion: FakeMinion, task: str) -> None:
        """Let a task crash its minion, which comes back as a new incarnation."""
        self.crashed_under.setdefault(task, set()).add(minion.incarnation)
        self.lose_power(minion)

    def lose_power(self, minion: FakeMinion, back_ms: int = BACK_MS) -> None:
        """End an incarnation without notice, as a crash or a power loss does."""
        self.crash_count += 1
        self.crash(minion.minion_id, silent=True)

        def back() -> None:
            if self.restarts_under_same_id:
                born_ms = WALL_START_MS + self.now_ms
                self.list_entry(self.start_again(minion.minion_id, born_ms))
                return
            self.add_minion(
                minion.worker_id,
                capacity=minion.capacity,
                zone=minion.zone,
                pool=minion.pool,
                labels=minion.labels,
            )

        def entry_lost() -> None:
            if self.minions[minion.minion_id] is minion:
                self.unlist(minion.minion_id)

        self._at(back_ms, back)
        self._at(ENTRY_LOST_MS, entry_lost)

    def unlist(self, minion_id: str) -> None:
        self.listed.discard(minion_id)
        self._tell(ev.MinionUnlisted(minion_id))

    def start_again(self, minion_id: str, born_ms: int, **fields) -> FakeMinion:
        """End an incarnation and start the next one under its id, without notice."""
        before = self.minions[minion_id]
        self._end_incarnation(before)
        kept = {
            "capacity": before.capacity,
            "zone": before.zone,
            "pool": before.pool,
            "labels": before.labels,
            "clock_offset": 0,
        }
        minion = FakeMinion(
            minion_id, before.worker_id, born_ms=born_ms, **{**kept, **fields}
        )
        self.minions[minion_id] = minion
        self.all_minions.append(minion)
        return minion

    def list_entry(self, minion: FakeMinion) -> None:
        """Add a minion's current incarnation to the platform's list."""
        self.listed.add(minion.minion_id)
        self._tell(ev.MinionListed(minion.info()))

    def change_capacity(self, minion_id: str, capacity: Resources) -> None:
        """Change a minion's capacity and update its list entry."""
        minion = self.minions[minion_id]
        minion.capacity_before = minion.capacity
        minion.shrunk_ms = self.now_ms + ENTRY_MS
        minion.capacity = capacity
        self._tell(ev.MinionListed(minion.info()))

    def drain(self, minion_id: str) -> None:
        minion = self.minions[minion_id]
        minion.draining = True
        self._tell(ev.MinionListed(minion.info()))

    # Time

    def run(self, for_ms: int) -> None:
        until = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= until:
            at, _, work = heapq.heappop(self._queue)
            self._advance(at)
            work()  # type: ignore[operator]
        self._advance(until)

    def _advance(self, at: int) -> None:
        self.now_ms = max(self.now_ms, at)
        for minion in self.all_minions:
            self._run_minion(minion)

    def at(self, in_ms: int, work) -> None:
        """Call a function after a time."""
        self._at(in_ms, work)

    def _at(self, in_ms: int, work) -> None:
        heapq.heappush(self._queue, (self.now_ms + in_ms, next(self._count), work))

    def _tell(self, event: ev.Event) -> None:
        if self.owner is not None:
            self.owner.handle(event, self.now_ms)
            self._pump(self.owner)

    def _tick(self, owner: Scheduler) -> None:
        if owner not in self.owners:
            return
        self._read_operator_log(owner)
        owner.handle(ev.Tick(WALL_START_MS + self.now_ms), self.now_ms)
        if self._reaches_log(owner):
            owner.handle(ev.LogAnswered(self.now_ms), self.now_ms)
        self._held_starts_of(owner).drop_all(owner.schedule)
        self._pump(owner)
        self._at(TICK_MS, lambda: self._tick(owner))

    # Minion behavior

    def _run_minion(self, minion: FakeMinion) -> None:
        if not minion.up:
            return
        for run in list(minion.runs.values()):
            crash_ms = run.crash_ms
            if crash_ms is not None and self.now_ms - run.started_ms >= crash_ms:
                self._crash_under(minion, run.task)
                return
        if minion.clock(self.now_ms) > minion.lease_ms:
            minion.lapsed_ms = self.now_ms
        if minion.runs and minion.clock(self.now_ms) > minion.lease_ms:
            for run in list(minion.runs.values()):
                self._end(minion, run, ev.EndKind.LAPSED)
            return
        for run in list(minion.runs.values()):
            if run.stop_at_ms is not None and self.now_ms >= run.stop_at_ms:
                self._end(minion, run, ev.EndKind.STOPPED)
            elif run.long_running:
                continue
            elif self.now_ms - run.started_ms >= run.length_ms:
                self._finish(minion, run)
        for run in minion.runs.values():
            self._check_asked_for(minion, run)

    def _check_asked_for(self, minion: FakeMinion, run: FakeRun) -> None:
        """Check that a run of a cancelled job ends in time.

        It counts from the last time at which the minion was cut off from the owner or a
        stop of the run was delayed. The time without an owner counts.
        """
        cancelled_ms = self._cancelled_ms.get(run.task.partition(".")[0])
        if cancelled_ms is None:
            return
        if self.owner is not None and not self._reaches(self.owner, minion):
            run.unreached_ms = self.now_ms
        since_ms = max(run.started_ms, cancelled_ms, run.unreached_ms)
        unasked_ms = self.now_ms - since_ms
        in_time = unasked_ms <= CONTACT_MS + STOP_MS
        assert in_time, f"UNASKED: {run.task} on {minion.minion_id} for {unasked_ms} ms"

    def _finish(self, minion: FakeMinion, run: FakeRun) -> None:
        job_id = run.task.partition(".")[0]
        bad = minion.fails_all or job_id in self.failing_jobs
        self._end(minion, run, ev.EndKind.FAILED if bad else ev.EndKind.DONE)

    def _end(self, minion: FakeMinion, run: FakeRun, kind: ev.EndKind) -> None:
        del minion.runs[(run.task, run.number)]
        self.services.note_end(run, self.now_ms)
        minion.sequence += 1
        minion.highest[run.task] = max(minion.highest.get(run.task, 0), run.number)
        minion.ended.append(
            ev.EndReport(minion.sequence, run.task, run.number, kind, run.checkpoint)
        )
        # A long-running task is to start again however it ends.
        if kind is ev.EndKind.DONE and not run.long_running:
            self.done.setdefault(run.task, []).append(
                (minion.incarnation, minion.sequence)
            )
            minion.done_ms[minion.sequence] = self.now_ms
        if kind is ev.EndKind.FAILED:
            self.failed[run.task] = self.failed.get(run.task, 0) + 1

    def end_service_task(
        self,
        minion: FakeMinion,
        rng: random.Random,
        kind: ev.EndKind = ev.EndKind.FAILED,
    ) -> None:
        """Let a long-running task on a minion end by itself."""
        runs = [run for run in minion.runs.values() if run.long_running]
        if runs:
            self._end(minion, rng.choice(runs), kind)

    def _spec_of(self, task: str) -> StepSpec:
        job_id, _, number, _ = task.split(".")
        return self.book.jobs[job_id].spec.steps[int(number)]

    def _start(self, minion: FakeMinion, order: ev.StartRun, fence: int) -> ev.Outcome:
        if fence < minion.fence:
            return ev.Outcome.FENCED
        minion.fence = fence
        minion.lease_ms = max(
            minion.lease_ms,
            min(order.lease_ms, minion.clock(self.now_ms) + self.bounds.lease_max_ms),
        )
        key = (order.task, order.number)
        if key in minion.runs:
            return ev.Outcome.OK
        if order.number <= minion.highest.get(order.task, 0):
            return ev.Outcome.SUPERSEDED
        spec = self._spec_of(order.task)
        used = Resources()
        for run in minion.runs.values():
            used = used.plus(self._spec_of(run.task).charge)
        capacity = minion.capacity
        before = minion.capacity_before
        if before is not None and self.now_ms <= minion.shrunk_ms:
            capacity = Resources(
                max(capacity.cpu_milli, before.cpu_milli),
                max(capacity.memory_mb, before.memory_mb),
            )
        fits = spec.charge.fits(capacity.minus(used))
        if self.guards and not fits:
            return ev.Outcome.NO_CAPACITY
        if self.advised and order.ticket != self.advised.get(minion.minion_id):
            self.refused_tickets += 1
            return ev.Outcome.NO_TICKET
        assert fits, f"LIMIT: {order.task} on {minion.minion_id}"
        self._check_start(minion, order, spec)
        self._check_cap(self.book.jobs[order.task.partition(".")[0]].account)
        self._check_starts_after_crashes(order.task)
        job_id = order.task.partition(".")[0]
        slowdown = COLD_FACTOR if self.now_ms < minion.cold_until_ms else 1
        minion.runs[key] = FakeRun(
            order.task,
            order.number,
            self.now_ms,
            self.lengths[job_id] * slowdown,
            spec.long_running,
            crash_ms=self._crash_age(order.task),
            ready_ms=self.services.ready_ms(minion, self.now_ms)
            if spec.long_running
            else 0,
        )
        if order.task in self.crash_ages_ms:
            # Wakes the world at that time, so that the crash is carried out.
            self._at(minion.runs[key].crash_ms, lambda: None)
        self.starts.append((self.now_ms, order.task, order.number, minion.minion_id))
        self._last_start_ms[order.task] = self.now_ms
        return ev.Outcome.OK

    def _crash_age(self, task: str) -> int | None:
        ages = self.crash_ages_ms.get(task)
        if not isinstance(ages, tuple):
            return ages
        begun = sum(name == task for _, name, _, _ in self.starts)
        return ages[begun % len(ages)]

    def _check_start(
        self, minion: FakeMinion, order: ev.StartRun, spec: StepSpec
    ) -> None:
        task = order.task
        closed_ms = self.closed_zones.get(minion.zone)
        if closed_ms is not None:
            # A minion may carry out late what was sent in time.
            sent_ms = self._delayed_since_ms
            sent_ms = self.now_ms if sent_ms is None else sent_ms
            assert sent_ms <= closed_ms, f"EVAC: {task} in {minion.zone}"
            self.late_zone_starts += self.now_ms > closed_ms
        entry = self.book.jobs[task.partition(".")[0]]
        self.late_cancelled_starts += entry.cancelled
        if not spec.speculative:
            for other in self.all_minions:
                running = [key for key in other.runs if key[0] == task]
                assert not running, f"TWICE: {task} also runs on {other.minion_id}"
            for incarnation, sequence in self.done.get(task, []):
                acknowledged = (incarnation, sequence) in self.acknowledged
                assert not acknowledged, f"TWICE: {task} was done and acknowledged"
        prefix, number, _ = task.rsplit(".", 2)
        for before in entry.spec.steps[int(number)].after:
            for index in range(entry.spec.steps[before].count):
                name = f"{prefix}.{before}.{index}"
                gang = entry.spec.steps[before].gang
                assert gang or self.done.get(name), f"ORDER: {task} before {name}"
        pools = {settings.pool for settings in self.queue_settings}
        assert minion.pool in pools, f"ROUTE: {task} in pool {minion.pool}"
        if not spec.long_running:
            limit = self.queue_settings[-1].max_attempts
            attempts = self.failed.get(task, 0) - self.unnoted_failures[task]
            assert attempts < limit, f"BUDGET: {task}"
        if spec.max_per_minion:
            same = [
                run
                for run in minion.runs.values()
                if run.task.rpartition(".")[0] == task.rpartition(".")[0]
            ]
            assert len(same) < spec.max_per_minion, f"ROUTE: {task}"

    def _check_stop(self, minion: FakeMinion, run: FakeRun) -> None:
        """Check that a stop keeps to the budget of a long-running step."""
        spec = self._spec_of(run.task)
        entry = self.book.jobs[run.task.partition(".")[0]]
        if not spec.may_miss or entry.cancelled or minion.draining:
            return
        is_delayed = self._delayed_since_ms is not None
        self.services.check_stop(
            run, self.now_ms, spec.count, spec.may_miss, is_delayed
        )

    def _check_starts_after_crashes(self, task: str) -> None:
        crashed = len(self.crashed_under.get(task, ()))
        if crashed < CRASHES_ALLOWED:
            return
        starts = self.started_after[task] = self.started_after.get(task, 0) + 1
        over = self.limits_starts and starts > STARTS_ALLOWED
        assert not over, f"BUDGET: {task}, {crashed} incarnations have crashed"

    # Driver

    def _pump(self, owner: Scheduler) -> None:
        owner.place(self.now_ms)
        for effect in owner.take_effects():
            self.orders.append(effect)
            self._carry_out(owner, effect)
        self._save(owner)

    def _reaches_log(self, owner: Scheduler) -> bool:
        """Return whether an owner can store records in the log."""
        cut = owner.schedule.fence in self.log_cut
        return owner is self.owner and not self.store_down and not cut

    def _reaches(self, owner: Scheduler, minion: FakeMinion) -> bool:
        """Return whether an owner's orders arrive at a minion."""
        cut = (owner.schedule.fence, minion.minion_id) in self.cut_connections
        return minion.up and not minion.cut and not cut

    def _save(self, owner: Scheduler) -> None:
        if not self._reaches_log(owner):
            return
        batch, saves = owner.take_saves()
        if not saves:
            return

        def stored() -> None:
            if owner is not self.owner:
                return
            for effect in saves:
                self.book.apply(decode(encode(effect.progress)))
            owner.handle(ev.ProgressSaved(batch), self.now_ms)
            self._held_starts_of(owner).stored(owner.schedule)
            self._pump(owner)

        # Saves of an owner are serialized.
        fence = owner.schedule.fence
        ends_ms = max(self.now_ms, self._saving_until.get(fence, 0)) + self.save_ms
        self._saving_until[fence] = ends_ms
        self._at(ends_ms - self.now_ms, stored)

    def _carry_out(self, owner: Scheduler, effect: ev.Effect) -> None:
        fence = owner.schedule.fence
        match effect:
            case ev.StartPolling():
                self._at(1, lambda: self._poll_minion(owner, effect.incarnation))
            case ev.StartRun():
                self._held_starts_of(owner).start(owner.schedule, effect)
            case ev.StoreRuns():
                self._at(
                    LATENCY_MS, lambda: self._keep_storing_runs(owner, effect.minion_id)
                )
            case ev.StopRun():
                self._order(owner, effect, lambda m: self._stop(m, effect, fence))
            case ev.PaceRun():
                self.paces.append((effect.task, effect.percent))
            case ev.ListWorkers():
                if self.workers_known:
                    asked = self.now_ms
                    self._at(LATENCY_MS, lambda: self._list_workers(owner, asked))
            case ev.MaintainWorker():
                self._store_and_maintain(owner, effect)
            case ev.StepDown():
                if owner in self.owners:
                    self.owners.remove(owner)
            case ev.ForgetEarlyCancels():
                for key in effect.keys:
                    self.book.apply(EarlyCancelForgotten(key))
            case ev.SaveWaveStatus():
                self.wave_status.append((effect.wave, effect.completed))
            case ev.AskAdvice():
                self._give_advice(owner, effect)

    def _give_advice(self, owner: Scheduler, asked: ev.AskAdvice) -> None:
        """Answer a call as the advice service does, or let it time out."""
        assert 0 < len(asked.minion_ids) <= MAX_ADVISED_AT_ONCE
        self.advice_calls += 1
        self.asked_minions.update(asked.minion_ids)
        policy = self.queue_settings[-1].advice or AdvicePolicy(0, 0, 3_000)
        took_ms = policy.decide_ms + policy.each_ms * len(asked.minion_ids)
        took_ms = int(took_ms * self.advice_slowness)
        begin_ms = max(self.now_ms, self._advice_free_ms)
        self._advice_free_ms = begin_ms + took_ms
        if took_ms > asked.timeout_ms:
            failed = ev.AdviceFailed(asked.step, "timeout")
            delay_ms = begin_ms + asked.timeout_ms - self.now_ms
            self._at(delay_ms, lambda: self._reply(owner, failed))
            return
        tickets = {}
        for minion_id in asked.minion_ids:
            if minion_id in self.advised:
                tickets[minion_id] = self.advised[minion_id]
        given = ev.AdviceAnswered(asked.step, tickets, None)
        delay_ms = self._advice_free_ms + LATENCY_MS - self.now_ms
        self._at(delay_ms, lambda: self._reply(owner, given))

    def _held_starts_of(self, owner: Scheduler) -> HeldStarts:
        """Return the starts of an owner that wait for a save, as held by the daemon."""
        if owner not in self._held_starts:
            self._held_starts[owner] = HeldStarts(
                lambda order: self._store_and_start(owner, order),
                lambda answer: self._reply(owner, answer),
            )
        return self._held_starts[owner]

    def _store_and_start(self, owner: Scheduler, order: ev.StartRun) -> None:
        fence = owner.schedule.fence

        def send() -> None:
            if not owner.may_send(order, self.now_ms):
                answer = order.not_sent("nothing may be started in its zone")
                self._reply(owner, answer)
                return
            self._order(owner, order, lambda m: self._start(m, order, fence))

        def stored() -> None:
            if self._store_runs(owner, order.minion_id):
                send()
                return
            answer = order.not_sent("the log did not take it")
            self._at(300, lambda: self._reply(owner, answer))

        minion = owner.schedule.minions[order.minion_id]
        if owner.schedule.stores_starts_on(minion):
            self._at(LATENCY_MS, stored)
        else:
            send()

    def _store_runs(self, owner: Scheduler, minion_id: str) -> bool:
        """Store the tasks that may run on a minion; False if the log is unreachable."""
        minion = owner.schedule.minions.get(minion_id)
        if minion is None or not self._reaches_log(owner):
            return False
        tasks = frozenset(minion.tasks_at_risk)
        self.stored_runs[minion_id] = (owner.schedule.fence, tasks)
        return True

    def _keep_storing_runs(self, owner: Scheduler, minion_id: str) -> None:
        """Store a minion's runs; repeated until the log takes it, as by the daemon."""
        if owner is not self.owner or minion_id not in owner.schedule.minions:
            return
        if not self._store_runs(owner, minion_id):
            self._at(TICK_MS, lambda: self._keep_storing_runs(owner, minion_id))

    def _reply(self, owner: Scheduler, event: ev.Event) -> None:
        if owner in self._killed:
            return
        owner.handle(event, self.now_ms)
        self._pump(owner)

    def _order(self, owner: Scheduler, effect, act) -> None:
        verb = "start" if isinstance(effect, ev.StartRun) else "stop"

        def answer(outcome: ev.Outcome) -> None:
            self._reply(
                owner,
                ev.OrderAnswered(
                    effect.minion_id,
                    effect.task,
                    effect.number,
                    verb,
                    outcome,
                    born_ms=effect.born_ms,
                ),
            )

        def arrive() -> None:
            # Orders are addressed by id, so the current incarnation gets the order.
            minion = self.minions[effect.minion_id]
            if not self._reaches(owner, minion):
                self._at(1_000, lambda: answer(ev.Outcome.UNKNOWN))
                return
            if self.random.random() < self.late_orders:
                run = minion.runs.get((effect.task, effect.number))
                if verb == "stop" and run is not None:
                    run.unreached_ms = self.now_ms
                self._at(self.random.randint(*self.late_ms), late)
                self._at(1_000, lambda: answer(ev.Outcome.UNKNOWN))
                return
            outcome = act(minion)
            self._run_minion(minion)
            if not minion.up:
                # Its connection is lost with it.
                self._at(LATENCY_MS, lambda: answer(ev.Outcome.UNKNOWN))
                return
            if self.random.random() < self.lose_answers:
                self._at(1_000, lambda: answer(ev.Outcome.UNKNOWN))
                return
            self._at(LATENCY_MS, lambda: answer(outcome))

        sent_ms = self.now_ms

        def leave() -> None:
            nonlocal sent_ms
            if owner in self._killed:
                return
            if not _may_leave(owner, effect, self.now_ms):
                answer(ev.Outcome.NOT_SENT)
                return
            sent_ms = self.now_ms
            self._at(LATENCY_MS, arrive)

        def late() -> None:
            minion = self.minions[effect.minion_id]
            if minion.up:
                self._delayed_since_ms = sent_ms
                act(minion)
                self._delayed_since_ms = None

        if self.queue_ms == (0, 0):
            self._at(LATENCY_MS, arrive)
        else:
            self._at(self._queue_random.randint(*self.queue_ms), leave)

    def _stop(self, minion: FakeMinion, order: ev.StopRun, fence: int) -> ev.Outcome:
        if fence < minion.fence:
            return ev.Outcome.FENCED
        minion.fence = fence
        highest = minion.highest.get(order.task, 0)
        minion.highest[order.task] = max(highest, order.number)
        run = minion.runs.get((order.task, order.number))
        if run is not None and run.stop_at_ms is None:
            self._check_stop(minion, run)
            self.services.note_end(run, self.now_ms)
            run.stop_at_ms = self.now_ms + 100
        return ev.Outcome.OK

    def _poll_minion(self, owner: Scheduler, incarnation: Incarnation) -> None:
        if owner not in self.owners:
            return
        minion_id = incarnation.minion_id
        call = owner.poll_call(minion_id, self.now_ms, incarnation.born_ms)
        if call is None:
            return
        minion = self.minions[minion_id]
        sent = self.now_ms
        if not self._reaches(owner, minion):
            failed = ev.PollFailed(
                minion_id, ev.Outcome.UNKNOWN, "silent", incarnation.born_ms
            )
            self._at(300, lambda: self._reply(owner, failed))
            self._at(400, lambda: self._poll_minion(owner, incarnation))
            return
        fence = owner.schedule.fence
        if fence < minion.fence:
            failed = ev.PollFailed(
                minion_id, ev.Outcome.FENCED, "", incarnation.born_ms
            )
            self._at(LATENCY_MS, lambda: self._reply(owner, failed))
            return
        minion.fence = fence
        if call.lease_ms:
            longest = minion.clock(self.now_ms) + self.bounds.lease_max_ms
            minion.lease_ms = max(minion.lease_ms, min(call.lease_ms, longest))
        # As in the real client, nothing is acknowledged to an incarnation that has not
        # answered on its connection yet.
        cursor = call.cursor if minion.answers else 0
        minion.answers = True
        for end in minion.ended:
            if end.sequence <= cursor:
                self._acknowledge(minion, end)
        minion.ended = [end for end in minion.ended if end.sequence > cursor]
        running = tuple(
            ev.RunReport(
                run.task,
                run.number,
                run.checkpoint,
                self._percent(run),
                self.figures.get(run.task, 0),
            )
            for run in minion.runs.values()
        )
        report = ev.PollAnswered(
            minion_id,
            sent,
            minion.clock(self.now_ms),
            running,
            tuple(minion.ended[:MAX_LISTED_ENDS]),
            len(minion.ended) < MAX_LISTED_ENDS,
            incarnation.born_ms,
            minion.incarnation if minion.born_ms else None,
        )
        self._at(LATENCY_MS, lambda: self._reply(owner, report))
        self._at(self.poll_ms, lambda: self._poll_minion(owner, incarnation))

    def _acknowledge(self, minion: FakeMinion, end: ev.EndReport) -> None:
        """Record that an owner has taken note of an end, and check what began since.

        A start after the end of a run that was done is a second run of its task, unless
        the minion's lease was over between its end and the acknowledgement.
        """
        self.acknowledged.add((minion.incarnation, end.sequence))
        ended_ms = minion.done_ms.get(end.sequence)
        if ended_ms is None or minion.lapsed_ms > ended_ms:
            return
        if self._spec_of(end.task).speculative:
            return
        again_ms = self._last_start_ms[end.task]
        assert again_ms <= ended_ms, f"TWICE: {end.task} was done and starts again"

    def _percent(self, run: FakeRun) -> int:
        if run.long_running:
            return 100 if run.is_at_work(self.now_ms) else 0
        return min(99, 100 * (self.now_ms - run.started_ms) // run.length_ms)

    def _list_workers(self, owner: Scheduler, asked_ms: int) -> None:
        workers = []
        for minion in self.minions.values():
            workers.append(
                Worker(
                    minion.worker_id,
                    minion.pool,
                    WorkerPhase.UP if minion.up else WorkerPhase.DOWN,
                    minion.zone,
                    minion.capacity,
                    minion.labels,
                    minion.minion_id,
                )
            )
        by_worker = {item.worker_id: item for item in workers}
        self._reply(owner, ev.WorkersListed(asked_ms, tuple(by_worker.values())))

    def _store_and_maintain(self, owner: Scheduler, order: ev.MaintainWorker) -> None:
        """Send an order to the cloud once it is stored, as the daemon does.

        The log refuses it from an owner that has been replaced.
        """
        if owner is not self.owner:
            return
        if not self._reaches_log(owner):
            self._at(TICK_MS, lambda: self._store_and_maintain(owner, order))
            return
        self._at(LATENCY_MS, lambda: self._maintain(owner, order))

    def _maintain(self, owner: Scheduler, order: ev.MaintainWorker) -> None:
        minion = None
        for item in self.minions.values():
            if item.worker_id == order.worker_id:
                minion = item
        if self.hold_maintenance_ms:
            held, self.hold_maintenance_ms = self.hold_maintenance_ms, 0
            self._at(held, lambda: self._maintain(owner, order))
            return
        again = order.worker_id in self.maintained
        if not again and minion is not None and not minion.up:
            # The platform refuses orders for a worker that is not up.
            busy = ev.CloudOrderAnswered(
                order.worker_id, ev.Outcome.NO_CAPACITY, wave=order.wave
            )
            self._reply(owner, busy)
            return
        self._reply(
            owner,
            ev.CloudOrderAnswered(order.worker_id, ev.Outcome.OK, wave=order.wave),
        )
        if again:
            return
        self.maintained.append(order.worker_id)
        if self.wave_cap:
            assert len(self.down) < self.wave_cap, f"LIMIT: {order.worker_id} is down"
        if minion is None:
            # The worker is switched off and has no minion.
            return
        long_running = [run for run in minion.runs.values() if run.long_running]
        assert not long_running, f"AVAIL: {order.worker_id} still serves"
        self.down[order.worker_id] = self.now_ms
        self.crash(minion.minion_id)

        def back() -> None:
            del self.down[order.worker_id]
            self.add_minion(
                order.worker_id,
                capacity=minion.capacity,
                zone=minion.zone,
                pool=minion.pool,
                labels=minion.labels,
            )

        self._at(self.bounds.maintenance_ms, back)


def _may_leave(owner: Scheduler, order: ev.StartRun | ev.StopRun, now_ms: int) -> bool:
    """Return whether the daemon sends an order that has waited for a connection."""
    if isinstance(order, ev.StopRun):
        return not order.is_expired(now_ms)
    return owner.schedule.is_wanted(order) and owner.may_send(order, now_ms)


def _sent_ms(read: tuple[frozenset[str], int]) -> int:
    return read[1]


def world_of_zones(minions=6, seed=0, capacity: Resources = CAPACITY) -> World:
    """Return a world with minions in three availability zones, round-robin."""
    world = World(minions=0, seed=seed)
    for number in range(minions):
        world.add_minion(
            f"w{number}", zone=ZONES[number % len(ZONES)], capacity=capacity
        )
    return world
