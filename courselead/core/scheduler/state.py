"""Data model of the schedule's owner: jobs, steps, units, runs and minions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from courselead.core.scheduler import const
from courselead.core.scheduler.models import (
    AdvicePolicy,
    Incarnation,
    JobSpec,
    JobState,
    MinionInfo,
    Queue,
    Resources,
    StepSpec,
)
from courselead.core.scheduler.records import OccurrenceProgress

READY_PERCENT = 100
"""Progress that a long-running task reports while it serves its users."""


def first_run_of(fence: int) -> int:
    """Return the lowest run number that an owner with this fence may assign."""
    return (fence - 1) * const.RUNS_PER_FENCE + 1


class RunPhase(StrEnum):
    """Phase of a run, as known to the owner."""

    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one minion, kept until it is known to have ended.

    Times are milliseconds on the owner's monotonic clock.

    Attributes:
        confirmed: Whether its minion's current incarnation has reported it.
        start_repeated: Whether its start was sent more than once.
        born_ms: Start time of the incarnation that it runs on, 0 if unknown.
        may_be_on_new_incarnation: Whether it was sent to an earlier incarnation of the
            minion and may have reached the current one.
    """

    unit: Unit
    index: int
    number: int
    minion_id: str
    started_ms: int
    phase: RunPhase = RunPhase.SENT
    running_ms: int = 0
    checkpoint: str = ""
    percent: int = 0
    percent_ms: int = 0
    figure: int = 0
    stop_sent_ms: int = 0
    stop_answered_ms: int | None = None
    stop_reason: str = ""
    pace: int = 100
    confirmed: bool = False
    start_repeated: bool = False
    pool: str = ""
    born_ms: int = 0
    may_be_on_new_incarnation: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that it runs on or was sent to."""
        return Incarnation(self.minion_id, self.born_ms)

    @property
    def task(self) -> str:
        """Return the task's name."""
        return self.unit.task_name(self.index)

    @property
    def key(self) -> tuple[str, int]:
        """Return the task name and run number, which identify the run on its minion."""
        return (self.task, self.number)

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether it was started less than `FRESH_MS` ago."""
        return now_ms - self.started_ms < const.FRESH_MS

    @property
    def is_working(self) -> bool:
        """Return whether a long-running task is fully up."""
        return self.phase is RunPhase.RUNNING and self.percent >= READY_PERCENT


@dataclass(frozen=True, slots=True)
class Crash:
    """The unexpected end of an incarnation on which a task ran, or may have started.

    Attributes:
        number: Run number.
        age_ms: Time from the run's start until the end of the incarnation was learned.
        alone: Whether the task's own job is the only possible cause: no other job's
            task was on the minion, and no rack, zone or worker failure explains it.
        explained: Whether something other than the task explains the end.
        cleared: Whether a later run lasted long enough that this crash no longer makes
            the task a suspect. It still counts towards the limit.
    """

    number: int
    incarnation: Incarnation
    age_ms: int
    alone: bool = False
    explained: bool = False
    cleared: bool = False

    @property
    def is_discounted(self) -> bool:
        """Return whether it does not count towards the task's crash limit.

        Another explanation alone is not enough, as the minions lost at the same moment
        may have been crashed by another task. The task must also have run for long: it
        is then not one that crashes every minion it runs on.
        """
        ran_on = self.cleared or self.age_ms >= const.OUTLIVED_MAX_MS
        return self.explained and ran_on

    @property
    def key(self) -> tuple[int, Incarnation]:
        """Return the key that identifies the crash, however often it is reported."""
        return (self.number, self.incarnation)


@dataclass(slots=True, eq=False)
class Unit:
    """The unit of placement: a single task, or all tasks of a gang.

    Attributes:
        crashes: Its crashes, by run number and incarnation.
        stored_batch: Batch of records that must be stored before its next start.
        stored_starts: Runs of earlier owners, as run number and incarnation, that may
            have started.
        has_lasted: Whether a run has lasted so long under this owner that earlier
            crashes no longer count.
        first_start_known: Whether its first start under the owner that accepted the job
            was found running or has been counted. Only that start may be missing from
            the log.
        ready_pool: Pool on whose ready list it is, None if it is on none.
        stalls: Times in a row that a long-running task was stopped as it did not become
            ready.
    """

    step: StepRun
    indexes: tuple[int, ...]
    done: bool = False
    failed_numbers: set[int] = field(default_factory=set)
    runs: list[Run] = field(default_factory=list)
    checkpoint: str = ""
    next_number: int = 1
    ready_ms: int = 0
    ready_pool: str | None = None
    not_before_ms: int = 0
    lost_ms: int = 0
    backoff_ms: int = 0
    avoid: set[str] = field(default_factory=set)
    crashes: dict[tuple[int, Incarnation], Crash] = field(default_factory=dict)
    stored_batch: int = 0
    stored_starts: set[tuple[int, Incarnation]] = field(default_factory=set)
    has_lasted: bool = False
    first_start_known: bool = False
    stalls: int = 0

    @property
    def starts_stored(self) -> bool:
        """Return whether its starts are stored; a suspect's are stored before sending.

        If the owner is lost soon after a start, the next owner learns of the start from
        the record. Tasks that an earlier owner may have started are stored too, as they
        may have crashed minions without a record of it.
        """
        return bool(self.crashes) or self.job.from_before

    @property
    def spec(self) -> StepSpec:
        """Return the step's specification."""
        return self.step.spec

    @property
    def job(self) -> Job:
        """Return the job."""
        return self.step.job

    def record_start(self, number: int) -> None:
        """Record that one of its starts was found running or was counted."""
        if number == first_run_of(self.job.opened_fence):
            self.first_start_known = True

    @property
    def is_over(self) -> bool:
        """Return whether it will not start any more."""
        return self.done or self.job.state.final

    @property
    def keeps_running(self) -> bool:
        """Return whether its runs should keep running.

        When one task of a service fails, the others still serve users. They run until
        the caller sees that the job has failed and cancels it.
        """
        job = self.job
        if self.done or job.cancelled:
            return False
        if not job.state.final:
            return True
        return job.state is JobState.FAILED and self.spec.long_running

    @property
    def is_wanted_service(self) -> bool:
        """Return whether it is a long-running task that should keep running."""
        return self.spec.long_running and not self.spec.gang and self.keeps_running

    @property
    def is_costly(self) -> bool:
        """Return whether losing it costs the caller more than losing a short task."""
        return self.spec.long_running or self.spec.gang

    @property
    def failed(self) -> int:
        """Return how many of its runs have failed."""
        return len(self.failed_numbers)

    @property
    def crash_count(self) -> int:
        """Return the number of crashes since it was last cleared of suspicion.

        A gang counts once for each start, as its tasks start together. For a single
        task each incarnation counts, as a copy of a start may reach a second
        one.
        """
        if not self.crashes:
            return 0
        return self._starts_of(
            crash for crash in self.crashes.values() if not crash.cleared
        )

    @property
    def placement_crash_count(self) -> int:
        """Return the number of crashes that counts for the placement of its next start.

        With few starts left before the limit, cleared crashes count too, so that the
        unit stays isolated.
        """
        if not self.crashes:
            return 0
        count = self.limit_count
        return count if count >= const.CALM_CRASHES else self.crash_count

    @property
    def evidence_count(self) -> int:
        """Return the number of crashes that count as evidence against it."""
        if self.limit_count >= const.CALM_CRASHES:
            return self.limit_count
        return self._starts_of(
            crash
            for crash in self.crashes.values()
            if not crash.cleared and not crash.explained
        )

    @property
    def limit_count(self) -> int:
        """Return the number of crashes that count towards its crash limit."""
        return self._starts_of(
            crash for crash in self.crashes.values() if not crash.is_discounted
        )

    def _starts_of(self, crashes: Iterable[Crash]) -> int:
        if self.spec.gang:
            return len({crash.number for crash in crashes})
        return sum(1 for _ in crashes)

    @property
    def name(self) -> str:
        """Return the name of its first task."""
        return self.task_name(self.indexes[0])

    @property
    def checkpoint_key(self) -> str:
        """Return the key of the unit in the stored progress."""
        return f"{self.step.number}.{self.indexes[0]}"

    def task_name(self, index: int) -> str:
        """Return the name of one of its tasks."""
        step = self.step
        return f"{step.job.job_id}.{step.occurrence}.{step.number}.{index}"


@dataclass(frozen=True, slots=True)
class LostIncarnation:
    """An incarnation that ended unexpectedly, without an order or a notice.

    Attributes:
        at_ms: When the end was learned.
        place: Name of its machine, as far as known.
        job_ids: Jobs whose tasks were on it.
        had_suspects: Whether one of these tasks had several crashes before.
        fresh_queues: Queues of finite tasks that had recently been started there.
    """

    incarnation: Incarnation
    at_ms: int
    zone: str
    rack: str
    place: str
    job_ids: frozenset[str]
    had_suspects: bool
    fresh_queues: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StrayStart:
    """A start of which a copy may still be carried out.

    Attributes:
        until_ms: Time after which no copy is carried out any more.
        born_ms: Start time of the incarnation that it was sent to, 0 if unknown.
    """

    until_ms: int
    born_ms: int


@dataclass(slots=True, eq=False)
class Suspect:
    """A unit that is suspected of crashing minions.

    Attributes:
        at_ms: When the newest crash was learned; 0 for crashes under an earlier owner.
        unsettled: Crashes that are not yet classified, with their lost incarnations.
            Others lost at the same moment may be learned of a little later.
        tried_ms: Since when only a lack of free capacity delays its next start, 0
            before.
        logged_waits: What it has waited for since its newest crash, as logged.
    """

    unit: Unit
    at_ms: int = 0
    unsettled: list[tuple[tuple[int, Incarnation], LostIncarnation]] = field(
        default_factory=list
    )
    tried_ms: int = 0
    logged_waits: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class BudgetCheck:
    """A check of whether a long-running step may miss one more task.

    Attributes:
        missing: How many other tasks of the step did not work.
    """

    at_ms: int
    missing: int


@dataclass(slots=True, eq=False)
class StepRun:
    """A step of one occurrence of a job.

    Attributes:
        budget_check: Newest check of its disruption budget, for the log.
        at_cap_ms: Since when it waits for its account's cap, 0 if it does not.
        capped_ms: Total time that it has waited for the cap.
    """

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    units: list[Unit] = field(default_factory=list)
    open_units: int = 0
    ready: bool = False
    at_cap_ms: int = 0
    capped_ms: int = 0
    budget_check: BudgetCheck | None = None

    @property
    def name(self) -> str:
        """Return the step's name, as used with the advice service."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"


@dataclass(slots=True, eq=False)
class Job:
    """A job that has not ended, or that still has runs.

    Attributes:
        settings: Settings of its queue in the newest configuration that has or had it,
            as far as known; None if they are unknown.
        accepted_settings: Settings of its queue when it was accepted, None if unknown.
        account: The client account that it belongs to, "" if none.
        zone: The preferred availability zone for its tasks.
        start_pools: Pools in which its tasks may have been started, each with the batch
            that records it.
        cancelled: Whether its caller has cancelled it, also after it had failed.
        opened_fence: Fence of the owner that accepted it, 0 if unknown.
        saved: Stored progress of the occurrences that this owner has not opened yet.
    """

    job_id: str
    queue: str
    spec: JobSpec
    accepted_ms: int
    from_before: bool
    account: str = ""
    settings: Queue | None = None
    accepted_settings: Queue | None = None
    start_pools: dict[str, int] = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    begun: bool = False
    closed: set[int] = field(default_factory=set)
    occurrences: dict[int, list[StepRun]] = field(default_factory=dict)
    saved: dict[int, OccurrenceProgress] = field(default_factory=dict)
    next_occurrence: int = 0
    live_runs: int = 0
    zone: str = ""
    chain_ms: int | None = None
    ended_ms: int = 0
    opened_fence: int = 0

    @property
    def pool(self) -> str:
        """Return the pool in which its tasks start now, "" if that is unknown."""
        return "" if self.settings is None else self.settings.pool

    @property
    def has_open_occurrence(self) -> bool:
        """Return whether an occurrence is open that has tasks left."""
        return any(number not in self.closed for number in self.occurrences)

    @property
    def advised(self) -> bool:
        """Return whether the advice service decides where its tasks may start."""
        return self.advice_policy is not None

    @property
    def advice_policy(self) -> AdvicePolicy | None:
        """Return the policy of its queue, None if its tasks may start anywhere."""
        return None if self.settings is None else self.settings.advice


@dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """A run end by its sequence number, with the batch to store before it is acked."""

    sequence: int
    batch: int
    task: str


@dataclass(slots=True, eq=False)
class Minion:
    """A minion, as known to the owner.

    Attributes:
        clock_ms: Its clock in its newest answer.
        clock_at_ms: When that answer arrived, on the owner's clock.
        lease_ms: Latest end of a lease sent to it, on its clock.
        synced: Whether it has answered a poll that carried this owner's fence. All of
            its runs are known then, but maybe not all of its run ends.
        synced_ms: When it first did so; no order of an earlier owner arrives later.
        ended_seen: Sequence number of the newest processed run end.
        unanswered_since_ms: When the first start was sent since its last answer.
        unsaved: Run ends that the minion may drop once they are stored.
        cursor: The minion may drop run ends up to this sequence number.
        stray_lease_ms: Latest end, on the owner's clock, of a lease that an order sent
            to the previous incarnation may have granted to this one; 0 if there is
            none.
        unanswered_stray_stops: Stray starts whose stop orders this incarnation has not
            answered yet.
        older_entry: Newest list entry of an incarnation that seems older than this one.
        warm_at_ms: When it is expected to have warmed up, 0 if it is not warming up.
    """

    info: MinionInfo
    listed: bool = True
    worker_id: str = ""
    clock_ms: int = 0
    clock_at_ms: int = 0
    lease_ms: int = 0
    synced: bool = False
    synced_ms: int = 0
    failures: int = 0
    failures_in_row: list[str] = field(default_factory=list)
    rest_until_ms: int = 0
    quarantine_until_ms: int = 0
    cordoned: bool = False
    ended_seen: int = 0
    unsaved: list[UnsavedEnd] = field(default_factory=list)
    cursor: int = 0
    used: Resources = field(default_factory=Resources)
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    seen_ms: int = 0
    unanswered_since_ms: int = 0
    listed_ms: int = 0
    idle_ms: int = 0
    stray_lease_ms: int = 0
    unanswered_stray_stops: set[tuple[str, int]] = field(default_factory=set)
    older_entry: MinionInfo | None = None
    warm_at_ms: int = 0
    _known_free_capacity: tuple[Resources, Resources, Resources] | None = None

    @property
    def minion_id(self) -> str:
        """Return its id."""
        return self.info.minion_id

    @property
    def free_capacity(self) -> Resources:
        """Return its free resources; cached, as they are read far more than changed."""
        whole, used = self.info.capacity, self.used
        known = self._known_free_capacity
        if known is None or known[0] is not whole or known[1] is not used:
            known = self._known_free_capacity = (whole, used, whole.minus(used))
        return known[2]

    @property
    def has_no_entry(self) -> bool:
        """Return whether the minion list no longer has an entry of this incarnation."""
        return not self.listed or self.older_entry is not None

    @property
    def serves(self) -> bool:
        """Return whether it has a long-running task."""
        return any(run.unit.spec.long_running for run in self.runs.values())

    @property
    def tasks_at_risk(self) -> list[str]:
        """Return the tasks that the next owner must not start while it is unreachable.

        These are the running tasks and those whose end is not in the log yet. Starting
        them again would execute them twice.
        """
        tasks = [run.task for run in self.runs.values()]
        tasks += [end.task for end in self.unsaved]
        return tasks

    def step_count(self, step: StepRun) -> int:
        """Return how many tasks of a step it runs."""
        return sum(run.unit.step is step for run in self.runs.values())

    def is_warming_up(self, now_ms: int) -> bool:
        """Return whether it still runs tasks more slowly than usual after its start."""
        return now_ms < self.warm_at_ms

    def is_unresponsive(self, now_ms: int) -> bool:
        """Return whether it has not answered a start for too long."""
        return (
            bool(self.unanswered_since_ms)
            and now_ms - self.unanswered_since_ms > const.START_RESPONSE_TIMEOUT_MS
        )

    def clock_now_ms(self, now_ms: int) -> int:
        """Return the estimated current time of its clock."""
        return self.clock_ms + now_ms - self.clock_at_ms

    def lease_over_ms(self) -> int:
        """Return the time on the owner's clock when all leases sent to it are over."""
        left_ms = max(0, self.lease_ms - self.clock_ms)
        slow_ms = int(left_ms / const.CLOCK_SLOWNESS)
        own_ms = self.clock_at_ms + slow_ms + const.LEASE_MARGIN_MS
        return max(own_ms, self.stray_lease_ms)
