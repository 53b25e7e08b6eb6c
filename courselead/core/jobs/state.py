"""Local state for scheduling long jobs; it is not replicated to other hosts."""

from dataclasses import dataclass, field

from immutables import Map

from courselead.core.events import AgentOp
from courselead.core.fleet.records import JobEnd, JobSpec
from courselead.core.jobs.evidence import Evidence
from courselead.core.jobs.index import Index
from courselead.core.jobs.sizes import Sizes


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A caller's submission or cancellation whose verdict is pending.

    Attributes:
        specs: Jobs submitted, empty for a cancellation.
        proposed: Whether its record has been proposed.
    """

    request_id: str
    client_account: str
    job_ids: tuple[str, ...]
    specs: tuple[JobSpec, ...]
    deadline_ms: int
    proposed: bool = True


@dataclass(frozen=True, slots=True)
class PendingPlacement:
    """A placement proposed by this host whose verdict is not known yet."""

    worker: str
    cores: float
    memory_mb: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class PendingStart:
    """A task start that this host has to send, since it placed the job."""

    attempt: int
    worker: str
    tries: int
    next_ms: int


@dataclass(frozen=True, slots=True)
class Task:
    """A task whose lease this host renews.

    Attributes:
        position: 0 for the primary host, 1 for the backup.
        next_ms: When the next call is due.
        pending_op: Operation of the call in progress, None if there is none.
        called_ms: When the last call was sent.
        not_found_count: Consecutive "no such task" responses.
        cores_used: Highest usage reported; the last report may have none.
    """

    attempt: int
    worker: str
    position: int
    next_ms: int
    pending_op: AgentOp | None = None
    called_ms: int = 0
    not_found_count: int = 0
    cores_used: float = 0.0
    memory_mb_used: int = 0


@dataclass(frozen=True, slots=True)
class PendingEnd:
    """The end of an attempt that has to be written to the log.

    Attributes:
        due_ms: When this host proposes it, unless another host has by then.
        proposed_ms: When it was last proposed, -1 if never.
    """

    end: JobEnd
    due_ms: int
    proposed_ms: int = -1


@dataclass(frozen=True, slots=True)
class Eviction:
    """A batch job that is being checkpointed to free capacity for an urgent job."""

    for_job: str
    worker: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class UrgentDemand:
    """Recent peak of concurrent urgent jobs in a pool, and the size of one job."""

    count: float
    cores: float
    memory_mb: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """Where and when the newest attempt of a job was placed.

    Attributes:
        offset: Offset of the placement record.
        since_ms: When this host read that record.
    """

    worker: str
    epoch: int
    offset: int
    since_ms: int


@dataclass(frozen=True, slots=True)
class Fence:
    """Time since which no host can have renewed a lease on a lost worker.

    Attributes:
        since: Offset at which the worker was lost.
        renewals_ended_ms: When this host found that no host renews any more.
    """

    since: int
    renewals_ended_ms: int


@dataclass(frozen=True, slots=True)
class JobsState:
    """Local state of job scheduling on this host.

    Attributes:
        index: Queues of waiting jobs.
        sizes: Learned sizes and run times.
        pending_requests: Requests of callers that wait, by request ID.
        evidence: Failure evidence about workers and jobs.
        running: Newest placements, by job.
        urgent_demand: Demand of urgent jobs, by pool.
        pending_placements: Placements proposed by this host, by job.
        starts: Task starts to be sent by this host, by job.
        tasks: Tasks whose leases this host renews, by job.
        pending_ends: Ends to be proposed, by job.
        zone_hosts: Hosts that share the tasks of a zone, by availability zone.
        next_plan_ms: When a pool with waiting jobs is planned next, by pool.
        served: Placements so far divided by the pool's weight, by pool.
        evictions: Jobs being checkpointed for urgent jobs, by job.
        avoided_until_ms: Until when a worker that refused a start gets no
            jobs, by worker.
        fences: Lost workers whose leases are expiring, by worker.
        last_trial_ms: When a suspect worker last got a job as a suspect, or became
            a suspect if it got none since, by worker.
        quarantine_due_ms: When the quarantine of a worker is to be proposed
            next, by worker.
        last_check_ms: When lost and failing workers were last checked.
        log_down_since_ms: When the log last became unreachable.
    """

    index: Index = field(default_factory=Index)
    sizes: Sizes = field(default_factory=Sizes)
    pending_requests: Map[str, PendingRequest] = field(default_factory=Map)
    evidence: Evidence = field(default_factory=Evidence)
    running: Map[str, RunningAttempt] = field(default_factory=Map)
    urgent_demand: Map[str, UrgentDemand] = field(default_factory=Map)
    pending_placements: Map[str, PendingPlacement] = field(default_factory=Map)
    starts: Map[str, PendingStart] = field(default_factory=Map)
    tasks: Map[str, Task] = field(default_factory=Map)
    pending_ends: Map[str, PendingEnd] = field(default_factory=Map)
    zone_hosts: Map[str, tuple[str, ...]] = field(default_factory=Map)
    next_plan_ms: Map[str, int] = field(default_factory=Map)
    served: Map[str, float] = field(default_factory=Map)
    evictions: Map[str, Eviction] = field(default_factory=Map)
    avoided_until_ms: Map[str, int] = field(default_factory=Map)
    fences: Map[str, Fence] = field(default_factory=Map)
    last_trial_ms: Map[str, int] = field(default_factory=Map)
    quarantine_due_ms: Map[str, int] = field(default_factory=Map)
    last_check_ms: int = 0
    log_down_since_ms: int = 0
