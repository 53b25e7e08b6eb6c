"""What the owner of the schedule knows: jobs, units, runs, minions."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from courselead.core.scheduler import const
from courselead.core.scheduler.models import (
    JobSpec,
    JobState,
    Life,
    MinionInfo,
    Resources,
    StepSpec,
)


def first_run_of(fence: int) -> int:
    """Return the lowest run number that an owner may give out."""
    return (fence - 1) * const.RUNS_PER_FENCE + 1


class RunPhase(StrEnum):
    """How far a run is, as the owner knows."""

    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one minion, until its end is proved.

    Times are milliseconds on the owner's steady clock.

    Attributes:
        confirmed: Whether its minion's present life has reported it.
        start_repeated: Whether its start was sent more than once.
        born_ms: Of the life that it is on, 0 if that is not known.
        carried_over: Whether a life before was meant, and this one may have it.
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
    carried_over: bool = False

    @property
    def life(self) -> Life:
        """Return the life that it is on, or was sent to."""
        return Life(self.minion_id, self.born_ms)

    @property
    def task(self) -> str:
        """Return the task's name."""
        return self.unit.task_name(self.index)

    @property
    def key(self) -> tuple[str, int]:
        """Return what names the run on its minion."""
        return (self.task, self.number)

    def is_fresh(self, now_ms: int) -> bool:
        """Return whether it was started a short time ago."""
        return now_ms - self.started_ms < const.FRESH_MS

    @property
    def at_work(self) -> bool:
        """Return whether a lasting task is at work."""
        return self.phase is RunPhase.RUNNING and self.percent >= 100


@dataclass(frozen=True, slots=True)
class Crash:
    """A life that ended with a run of a task on it, or that may have begun there.

    Attributes:
        number: Of the run.
        age_ms: Time from the run's start until the end of the life was learned.
        alone: Whether nothing but the task's own job speaks for that end: no other
            job's task was there, and no rack, zone or worker explains it.
        explained: Whether something else than the task explains that end.
        cleared: Whether a later run has gone on for long: it makes no suspect any more,
            and still counts towards the limit.
    """

    number: int
    life: Life
    age_ms: int
    alone: bool = False
    explained: bool = False
    cleared: bool = False

    @property
    def drops_out(self) -> bool:
        """Return whether it does not count towards the limit of the task's starts.

        What is lost beside it at the same moment may be another task's doing; a task
        that ran on for long besides is none that ends each minion it is on.
        """
        ran_on = self.cleared or self.age_ms >= const.OUTLIVED_MOST_MS
        return self.explained and ran_on

    @property
    def key(self) -> tuple[int, Life]:
        """Return what one crash is told by, however often it is learned."""
        return (self.number, self.life)


@dataclass(slots=True, eq=False)
class Unit:
    """What is started as one: a task, or all tasks of a gang.

    Attributes:
        crashes: Lives that ended with it, by run number and life.
        stored_batch: Batch of records that must be stored before its next start.
        left_starts: Runs of earlier owners that may have been on a life, by number.
        has_lasted: Whether a run of it has gone on for so long under this owner that
            nothing that it lost before counts.
        first_start_known: Whether the one start that may be on no record, the first
            under the owner to which its job came, was found running or has counted.
    """

    step: StepRun
    indexes: tuple[int, ...]
    done: bool = False
    failed_numbers: set[int] = field(default_factory=set)
    runs: list[Run] = field(default_factory=list)
    checkpoint: str = ""
    next_number: int = 1
    ready_ms: int = 0
    not_before_ms: int = 0
    lost_ms: int = 0
    backoff_ms: int = 0
    avoid: set[str] = field(default_factory=set)
    crashes: dict[tuple[int, Life], Crash] = field(default_factory=dict)
    stored_batch: int = 0
    left_starts: set[tuple[int, Life]] = field(default_factory=set)
    has_lasted: bool = False
    first_start_known: bool = False

    @property
    def starts_stored(self) -> bool:
        """Return whether its starts are stored, a suspect's before they are sent.

        What an owner has no time to learn, as it is lost soon after a start, the next
        one learns from the record. Tasks that an earlier owner may have started may be
        such, too.
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

    def learn_start(self, number: int) -> None:
        """Note what is known of one of its starts, which was found or has counted."""
        if number == first_run_of(self.job.opened_fence):
            self.first_start_known = True

    @property
    def is_over(self) -> bool:
        """Return whether it starts no more."""
        return self.done or self.job.state.final

    @property
    def is_dear(self) -> bool:
        """Return whether its loss costs its caller more than a short task's."""
        return self.spec.long_running or self.spec.gang

    @property
    def failed(self) -> int:
        """Return how many of its runs have failed."""
        return len(self.failed_numbers)

    @property
    def crash_count(self) -> int:
        """Return under how many starts lives have crashed since it was last cleared.

        The members of a gang start as one; a copy of a start may reach a second life.
        """
        if not self.crashes:
            return 0
        return self._starts_of(
            crash for crash in self.crashes.values() if not crash.cleared
        )

    @property
    def caution(self) -> int:
        """Return after how many crashes its next start is, for the choice of its place.

        With few starts left it is kept apart, though it was cleared since.
        """
        if not self.crashes:
            return 0
        count = self.limit_count
        return count if count >= const.CALM_CRASHES else self.crash_count

    @property
    def weight(self) -> int:
        """Return how many of these speak against it."""
        if self.limit_count >= const.CALM_CRASHES:
            return self.limit_count
        return self._starts_of(
            crash
            for crash in self.crashes.values()
            if not crash.cleared and not crash.explained
        )

    @property
    def limit_count(self) -> int:
        """Return how many crashes count towards the limit of its starts."""
        return self._starts_of(
            crash for crash in self.crashes.values() if not crash.drops_out
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
        """Return the name under which progress keeps the unit."""
        return f"{self.step.number}.{self.indexes[0]}"

    def task_name(self, index: int) -> str:
        """Return the name of one of its tasks."""
        step = self.step
        return f"{step.job.job_id}.{step.occurrence}.{step.number}.{index}"


@dataclass(frozen=True, slots=True)
class LostLife:
    """A life that ended without an order or a notice.

    Attributes:
        at_ms: When that was learned.
        place: What names its machine, as far as is known.
        job_ids: Whose tasks were on it.
        had_suspects: Whether several lives had crashed before under one of these tasks.
        fresh_queues: Of finite tasks that had been started there shortly before.
    """

    life: Life
    at_ms: int
    zone: str
    rack: str
    place: str
    job_ids: frozenset[str]
    had_suspects: bool
    fresh_queues: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class StrayStart:
    """A start of which a copy may be carried out yet.

    Attributes:
        until_ms: When it is carried out no more.
        born_ms: Of the life that it was for, 0 if that tells none.
    """

    until_ms: int
    born_ms: int


@dataclass(slots=True, eq=False)
class Suspect:
    """A unit under which lives have crashed.

    Attributes:
        at_ms: When the newest crash was learned; 0 for those of an earlier owner.
        unsettled: Crashes with the lives that were lost: others that are lost at the
            same moment may be learned a little later.
        tried_ms: Since when nothing but room holds its next start up, 0 before.
    """

    unit: Unit
    at_ms: int = 0
    unsettled: list[tuple[tuple[int, Life], LostLife]] = field(default_factory=list)
    tried_ms: int = 0


@dataclass(slots=True, eq=False)
class StepRun:
    """A step of one occurrence of a job.

    Attributes:
        at_cap_ms: Since when its account's cap holds it up, 0 if it does not.
        capped_ms: For how long that has held it up in all.
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

    @property
    def name(self) -> str:
        """Return the step's name, as the advice service knows it."""
        return f"{self.job.job_id}.{self.occurrence}.{self.number}"


@dataclass(slots=True, eq=False)
class Job:
    """A job that has not ended, or whose runs have not.

    Attributes:
        account: Whose it is, "" if it belongs to none.
        zone: The availability zone in which its tasks are placed if there is room.
        cancelled: Whether its caller has cancelled it, also after it had failed.
        opened_fence: Of the owner to which it came, 0 if that is not known.
    """

    job_id: str
    queue: str
    spec: JobSpec
    accepted_ms: int
    from_before: bool
    account: str = ""
    pool: str = ""
    state: JobState = JobState.QUEUED
    cancelled: bool = False
    begun: bool = False
    closed: set[int] = field(default_factory=set)
    occurrences: dict[int, list[StepRun]] = field(default_factory=dict)
    next_occurrence: int = 0
    live_runs: int = 0
    advised: bool = False
    zone: str = ""
    chain_ms: int = 0
    ended_ms: int = 0
    opened_fence: int = 0


@dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """An end by its number, with the batch of records that must be stored first."""

    sequence: int
    batch: int
    task: str


@dataclass(slots=True, eq=False)
class Minion:
    """A minion, as far as the owner has seen it.

    Attributes:
        clock_ms: Its clock in its newest answer.
        clock_at_ms: When that answer came, on the owner's clock.
        lease_ms: Newest lease's end sent to it, on its clock.
        synced: Whether it answered a look with this owner's fence.
        synced_ms: When it did so first: no earlier owner's order comes after.
        ended_seen: Number of the newest end that was processed.
        unheard_ms: When the first start was sent since it last answered anything.
        unsaved: Ends that the minion may forget once they are stored.
        cursor: Ends up to this number may be forgotten by the minion.
        stray_lease_ms: When the longest lease is over that an order meant for the life
            before may have given to this one, on the owner's clock; 0 without one.
        bars: Stray starts whose stops this life has not answered.
        rival: Newest entry of a life that seems older than this one.
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
    unheard_ms: int = 0
    listed_ms: int = 0
    idle_ms: int = 0
    stray_lease_ms: int = 0
    bars: set[tuple[str, int]] = field(default_factory=set)
    rival: MinionInfo | None = None
    _known_room: tuple[Resources, Resources, Resources] | None = None

    @property
    def minion_id(self) -> str:
        """Return its id."""
        return self.info.minion_id

    @property
    def room(self) -> Resources:
        """Return what is left of its room: asked for far more often than changed."""
        whole, used = self.info.room, self.used
        known = self._known_room
        if known is None or known[0] is not whole or known[1] is not used:
            known = self._known_room = (whole, used, whole.minus(used))
        return known[2]

    @property
    def has_no_entry(self) -> bool:
        """Return whether the list tells of this life no more."""
        return not self.listed or self.rival is not None

    @property
    def tasks_at_risk(self) -> list[str]:
        """Return the tasks that a next owner must not start while it is unheard.

        Those that run, and those that have ended without the log's knowledge: started
        again they would be done twice.
        """
        tasks = [run.task for run in self.runs.values()]
        tasks += [end.task for end in self.unsaved]
        return tasks

    def is_unheard(self, now_ms: int) -> bool:
        """Return whether it has not answered a start for too long."""
        return bool(self.unheard_ms) and now_ms - self.unheard_ms > const.UNHEARD_MS

    def clock_now_ms(self, now_ms: int) -> int:
        """Return an estimate of its clock."""
        return self.clock_ms + now_ms - self.clock_at_ms

    def lease_over_ms(self) -> int:
        """Return when, on the owner's clock, no lease sent to it can still run."""
        left_ms = max(0, self.lease_ms - self.clock_ms)
        slow_ms = int(left_ms / const.CLOCK_SLOWNESS)
        own_ms = self.clock_at_ms + slow_ms + const.LEASE_MARGIN_MS
        return max(own_ms, self.stray_lease_ms)
