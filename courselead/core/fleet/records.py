"""Log records: every change of the shared state is made by one of these.

A record is a proposal. It contains the versions (epochs, offsets) that the decision
was based on. It is validated when it is applied, in offset order and with the same
result on every entry host. An invalid record changes nothing.
"""

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.table import AccountRow, RequestClass, ServiceRow


class StopPurpose(StrEnum):
    """Reason for a planned stop of a worker."""

    MAINTENANCE = "maintenance"
    MOVE = "move"


class ClaimOutcome(StrEnum):
    """Outcome of a claimed non-idempotent request."""

    PENDING = "pending"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class JobOutcome(StrEnum):
    """Outcome of one attempt of a job."""

    DONE = "done"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"
    CANCELLED = "cancelled"
    REFUSED = "refused"


# --- entry hosts ---------------------------------------------------------


@dataclass(frozen=True, slots=True)
class HostJoined:
    """An entry host has started; its new incarnation replaces any older one."""

    entry_host: str
    incarnation: int
    availability_zone: str
    peer_address: str


@dataclass(frozen=True, slots=True)
class HostBeat:
    """Heartbeat of an entry host.

    Attributes:
        applied: Offset up to which the host has applied the log.
        settled: Offset up to which the host has settled every release and stop: it
            has no request in flight on those workers and will not send any.
        digest_at: Offset of `digest`.
        digest: Chained digest of offsets, record kinds and verdicts, in hex.
    """

    entry_host: str
    incarnation: int
    applied: int
    settled: int
    digest_at: int
    digest: str


@dataclass(frozen=True, slots=True)
class HostLeft:
    """An entry host shuts down gracefully and has no requests in flight."""

    entry_host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class HostLost:
    """A peer considers an entry host lost.

    Valid only if `last_beat` is still the newest heartbeat of that host, so a host
    that has sent a heartbeat in the meantime remains a member.
    """

    entry_host: str
    incarnation: int
    last_beat: int
    by: str


# --- table ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class TablePublished:
    """Table rows set and removed by an operator, based on a table version."""

    base_version: int
    accounts: tuple[AccountRow, ...]
    services: tuple[ServiceRow, ...]
    removed: tuple[str, ...]
    author: str
    request_id: str = ""


# --- availability zones --------------------------------------------------


@dataclass(frozen=True, slots=True)
class ZoneEvacuated:
    """From this record on, no target of the zone gets new requests, jobs or pools.

    A move that has begun ends; see `workers.worker_assigned`.

    Attributes:
        operator: Who requested it.
        at_ms: Wall clock time of the request, in milliseconds since the epoch.
        read_offset: Offset up to which the proposing host had read the log. The record
            is rejected if the zone has changed after that, as it may have waited in an
            outbox while a newer command took effect. None for no such check.
    """

    availability_zone: str
    operator: str
    at_ms: int
    request_id: str = ""
    read_offset: int | None = None


@dataclass(frozen=True, slots=True)
class ZoneRestored:
    """The targets of an evacuated zone are used again; see `ZoneEvacuated`."""

    availability_zone: str
    operator: str
    at_ms: int
    request_id: str = ""
    read_offset: int | None = None


# --- workers, pools, moves and maintenance -------------------------------


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """Properties of a worker as reported by the platform."""

    worker: str
    availability_zone: str
    rack: str
    address: str
    cores: float
    memory_mb: int


@dataclass(frozen=True, slots=True)
class WorkersSeen:
    """Workers in the platform's membership list that are new or have changed."""

    workers: tuple[WorkerInfo, ...]


@dataclass(frozen=True, slots=True)
class WorkersGone:
    """Workers, with their epochs, that are no longer in the platform's list."""

    workers: tuple[tuple[str, int], ...]


@dataclass(frozen=True, slots=True)
class WorkerAssigned:
    """Assign a worker to a pool, or to none after a move; increments the epoch."""

    worker: str
    epoch: int
    pool: str
    table_version: int


@dataclass(frozen=True, slots=True)
class MinionUp:
    """The worker's minion serves at `address`; also ends an unplanned loss."""

    worker: str
    epoch: int
    address: str


@dataclass(frozen=True, slots=True)
class WorkerDown:
    """Unplanned loss: the worker is unreachable or has restarted."""

    worker: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True)
class WorkerBack:
    """A lost worker responds again without a minion and must start a new one."""

    worker: str
    epoch: int


@dataclass(frozen=True, slots=True)
class StopPlanned:
    """Planned stop, which reserves the pool's availability budget before the drain.

    Attributes:
        at_ms: Wall clock time of the host that appended the record, in milliseconds
            since the epoch, for the check against the maintenance window.
        next_pool: Pool that the worker joins after a move, "" for none.
    """

    worker: str
    epoch: int
    purpose: StopPurpose
    next_pool: str
    table_version: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class StopCancelled:
    """Cancel a planned stop whose minion has not been stopped yet."""

    worker: str
    epoch: int
    reason: str


@dataclass(frozen=True, slots=True)
class MinionStopped:
    """The agent confirmed that the minion of this epoch has stopped gracefully.

    From this record on, a stale request gets a refused connection and was certainly
    not run. The record is the fence for a move and for a reboot.
    """

    worker: str
    epoch: int


@dataclass(frozen=True, slots=True)
class WorkerRebooted:
    """The agent is back after the reboot of a planned stop."""

    worker: str
    epoch: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class WorkerQuarantined:
    """The worker keeps failing its work and receives no more of it."""

    worker: str
    epoch: int
    reason: str


# --- claims of non-idempotent requests -----------------------------------


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim of an idempotency key, made before its request is sent."""

    client_account: str
    service: str
    key: str
    fingerprint: str
    request_id: str
    expires_ms: int


@dataclass(frozen=True, slots=True)
class ClaimsMade:
    """Claims made by one entry host; for each key the lowest offset wins."""

    entry_host: str
    incarnation: int
    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class ClaimEnd:
    """Outcome of one claimed request; small responses are stored for replay."""

    client_account: str
    service: str
    key: str
    request_id: str
    outcome: ClaimOutcome
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@dataclass(frozen=True, slots=True)
class ClaimsEnded:
    """Outcomes of claims made by one entry host."""

    ends: tuple[ClaimEnd, ...]


# --- jobs ----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Long-running job as submitted; its sizes are stated by the caller, unverified."""

    job_id: str
    client_account: str
    service: str
    request_class: RequestClass
    payload: str
    cores: float
    memory_mb: int
    run_ms: int
    deadline_ms: int
    idempotent: bool
    max_attempts: int = 3


@dataclass(frozen=True, slots=True)
class JobsSubmitted:
    """Jobs accepted by one entry host."""

    jobs: tuple[JobSpec, ...]


@dataclass(frozen=True, slots=True)
class JobPlaced:
    """Place a waiting job on a worker as a given attempt."""

    job_id: str
    attempt: int
    worker: str
    epoch: int
    cores: float
    memory_mb: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class JobEnd:
    """End of a job attempt, with the resource usage reported by the worker."""

    job_id: str
    attempt: int
    outcome: JobOutcome
    error: str = ""
    progress: float = 0.0
    checkpoint: str = ""
    cores_used: float = 0.0
    memory_mb_used: int = 0
    ran_ms: int = 0


@dataclass(frozen=True, slots=True)
class JobsEnded:
    """Batch of ended job attempts."""

    ends: tuple[JobEnd, ...]


@dataclass(frozen=True, slots=True)
class JobsCancelled:
    """Jobs cancelled by one client account, combined into a single append."""

    client_account: str
    job_ids: tuple[str, ...]


# --- snapshots -----------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One chunk of the shared state as of offset `at`.

    Attributes:
        at: Offset of the state.
        index: Number of this chunk, starting at 0.
        total: Number of chunks.
        digest: Hex digest of the complete compressed state.
        writer: Entry host that wrote the chunk; two hosts may write the same
            snapshot.
        data: Chunk of the compressed state.
    """

    at: int
    index: int
    total: int
    digest: str
    writer: str
    data: bytes


Record = (
    HostJoined
    | HostBeat
    | HostLeft
    | HostLost
    | TablePublished
    | ZoneEvacuated
    | ZoneRestored
    | WorkersSeen
    | WorkersGone
    | WorkerAssigned
    | MinionUp
    | WorkerDown
    | WorkerBack
    | StopPlanned
    | StopCancelled
    | MinionStopped
    | WorkerRebooted
    | WorkerQuarantined
    | ClaimsMade
    | ClaimsEnded
    | JobsSubmitted
    | JobPlaced
    | JobsEnded
    | JobsCancelled
    | SnapshotPart
)


@dataclass(frozen=True, slots=True)
class Batch:
    """Records that are appended to the log together.

    Attributes:
        entry_host: Entry host that appended the batch.
        incarnation: Incarnation of that host, never reused.
        seq: Sequence number of the batch within the incarnation, starting at 1. If
            the response to an append is lost, the batch is sent again with the same
            number, and the second copy is ignored when it is applied.
        at_ms: Wall clock time of that host, in milliseconds since the epoch.
        snapshot: Offset of the first part of the newest complete snapshot known to
            that host, -1 for none. A new host reads the last batch of the log to
            find out where to start.
        records: The proposals, in the order in which they are applied.
    """

    entry_host: str
    incarnation: int
    seq: int
    at_ms: int
    snapshot: int
    records: tuple[Record, ...]
