"""Input of the scheduler: jobs, queues, pools, minions and bounds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec


class JobState(StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Return whether the job has ended."""
        return self in (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Resources of a minion or task: thousandths of a core, MB and GPUs."""

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits(self, free_capacity: Resources) -> bool:
        """Return whether this need fits into the given free resources."""
        return (
            self.cpu_milli <= free_capacity.cpu_milli
            and self.memory_mb <= free_capacity.memory_mb
            and self.gpus <= free_capacity.gpus
        )

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference; it may be negative on an overcommitted minion."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )

    def times(self, count: int) -> Resources:
        """Return the resources multiplied by a count."""
        if count == 1:
            return self
        return Resources(
            self.cpu_milli * count, self.memory_mb * count, self.gpus * count
        )


NOTHING = Resources()


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: `count` tasks with equal resource needs."""

    count: int
    need: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_local: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    max_per_minion: int = 0
    speculative: bool = False
    checkpoints: bool = False
    long_running: bool = False
    image: str = ""
    target_tail_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def charge(self) -> Resources:
        """Return the resources that a task reserves on its minion.

        Filler tasks reserve no CPU.
        """
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.gpus)


STEP_BYTES = 256
REFERENCE_BYTES = 8
"""Memory of a step, and of each number of an earlier step that it lists."""


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as submitted by its caller; times are milliseconds since 1970."""

    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    repeats: int = 0

    @property
    def timed(self) -> bool:
        """Return whether the job has occurrences with due times."""
        return self.repeats > 0

    @property
    def task_count(self) -> int:
        """Return the number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def memory_bytes(self) -> int:
        """Return the approximate memory of this specification."""
        total = len(self.payload)
        for step in self.steps:
            total += STEP_BYTES + REFERENCE_BYTES * len(step.after)
            total += len(step.image) + len(step.required_label)
            total += len(step.preferred_rack)
        return total

    def without_payload(self) -> JobSpec:
        """Return a copy without the text that is sent to minions with each start."""
        return msgspec.structs.replace(self, payload="")

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, 0 for a job that is not timed."""
        if not self.timed:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Timing of the advice service for a queue, in milliseconds."""

    decide_ms: int
    each_ms: int
    valid_ms: int


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue of the configuration; `priority` 0 is the highest.

    A public queue accepts jobs without a credential; they belong to no account. Jobs
    are stored with their queue, as a later configuration may not have it.
    """

    name: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: int = 0
    advice: AdvicePolicy | None = None
    public: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """A pool of workers; the workers of a spare pool are switched off."""

    name: str
    spare: bool = False
    admission_control: bool = True


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of the configuration.

    Attributes:
        name: Name of the account.
        weight: Its share of a full pool, in jobs per second.
        cap: Resources it may use over all minions; an amount of 0 is not limited.
    """

    name: str
    weight: float = 0.0
    cap: Resources = NOTHING


@dataclass(frozen=True, slots=True)
class FleetConfig:
    """The part of the newest configuration that the scheduler needs."""

    version: int = 0
    queues: dict[str, Queue] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One incarnation of a minion, which may restart under the same id.

    Attributes:
        minion_id: Id shared by all incarnations of the minion.
        born_ms: Start time in milliseconds since 1970 on the minion's clock, 0 if
            unknown. It only distinguishes incarnations and does not order them, as a
            clock may be set back.
    """

    minion_id: str
    born_ms: int = 0

    def may_equal(self, other: Incarnation) -> bool:
        """Return whether both may be the same; an unknown start matches any."""
        if self.minion_id != other.minion_id:
            return False
        if not self.born_ms or not other.born_ms:
            return True
        return self.born_ms == other.born_ms


@dataclass(frozen=True, slots=True)
class MinionInfo:
    """A minion's entry in the platform's minion list.

    `warmup_remaining_ms` is how much longer it runs tasks more slowly than usual.
    """

    minion_id: str
    address: str
    pool: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_ms: int = 0
    born_ms: int = 0
    warmup_remaining_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation that the entry describes."""
        return Incarnation(self.minion_id, self.born_ms)

    @property
    def rack(self) -> str:
        """Return the rack, which is the last label; the first one is the kind."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class WorkerPhase(StrEnum):
    """State of a worker according to the cloud."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Worker:
    """A machine of the cloud's list, with the id of the minion on it."""

    worker_id: str
    pool: str
    phase: WorkerPhase
    zone: str
    capacity: Resources
    labels: tuple[str, ...]
    minion_id: str


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Workers due for maintenance, of which at most `cap` may be down at once."""

    wave: int
    workers: tuple[str, ...]
    deadline_s: float
    cap: int


@dataclass(frozen=True, slots=True)
class ZoneEvacuation:
    """The operator's request to start nothing in an availability zone, or its end.

    Attributes:
        evacuated: Whether the zone is evacuated; False once the request is withdrawn.
    """

    zone: str
    evacuated: bool


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the deployment, from the process settings.

    `revoked_within_ms` is the time after which a host that is cut off from the log
    stops serving all accounts; None if it continues with the credentials it knows.
    `cap_overage` is the fraction by which an account may exceed its cap.
    `evacuated_within_ms` is the time after which nothing may start in a zone that the
    operator has evacuated; None if the operator evacuates no zones.
    """

    lease_max_ms: int = 10_000
    move_ms: int = 1_500
    maintenance_ms: int = 2_000
    cloud_order_lease_ms: int = 3_000
    stop_ms: int = 1_000
    status_s: int = 120
    revoked_within_ms: int | None = None
    cap_overage: float = 0.0
    evacuated_within_ms: int | None = None
