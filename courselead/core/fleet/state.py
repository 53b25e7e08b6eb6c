"""Shared fleet state, derived from the log and identical on every entry host."""

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from courselead.core.fleet.records import ClaimOutcome, JobSpec, StopPurpose
from courselead.core.table import Table


class HostStatus(StrEnum):
    """Membership status of an entry host; only live hosts may hold work."""

    LIVE = "live"
    LOST = "lost"
    LEFT = "left"


class WorkerPhase(StrEnum):
    """Lifecycle phase of a worker.

    FREE -> STARTING (assigned) -> SERVING -> STOPPING (planned stop accepted,
    waiting for every entry host to settle) -> STOPPED (stop of the minion
    confirmed, which is the fence) -> STARTING again, in the same pool after a
    reboot or in the next pool after a move. DOWN is an unplanned loss, a
    QUARANTINED worker receives no more work, and a GONE worker is no longer in
    the platform's list.
    """

    FREE = "free"
    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"
    DOWN = "down"
    QUARANTINED = "quarantined"
    GONE = "gone"


class JobPhase(StrEnum):
    """Lifecycle phase of a job."""

    WAITING = "waiting"
    PLACED = "placed"
    CANCELLING = "cancelling"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class HostState:
    """State of an entry host.

    Attributes:
        joined: Offset of its join record.
        last_beat: Offset of its newest heartbeat, or of its join record.
        last_beat_ms: Wall clock time in that record, in milliseconds since the epoch.
        applied: Offset up to which it has applied the log.
        settled: Offset up to which it has settled releases and stops.
        last_seq: Sequence number of its newest batch.
        diverged_at: Offset of the first digest that did not match, -1 if none.
    """

    entry_host: str
    incarnation: int
    availability_zone: str
    peer_address: str
    status: HostStatus
    joined: int
    last_beat: int
    last_beat_ms: int
    applied: int
    settled: int
    last_seq: int = 0
    diverged_at: int = -1


@dataclass(frozen=True, slots=True)
class WorkerState:
    """State of a worker.

    Attributes:
        pool: The only pool it belongs to, "" if it is in none. During a move, it
            belongs to the old pool until the record that assigns it to the next one.
        epoch: Incremented with each assignment and each start of a minion.
        since: Offset at which the phase began.
        purpose: Purpose of a planned stop, None if no stop is planned.
        next_pool: Pool that the worker joins after a move, "" if none.
        minion_address: Address of the minion of this epoch, "" if there is none.
        maintained_ms: Wall clock time of the last maintenance reboot, in
            milliseconds since the epoch, 0 if there was none.
        resumed_epoch: Epoch at which its minion was started, if it went on at a later
            one because its stop was cancelled; 0 otherwise.
    """

    worker: str
    availability_zone: str
    rack: str
    address: str
    cores: float
    memory_mb: int
    pool: str = ""
    epoch: int = 0
    phase: WorkerPhase = WorkerPhase.FREE
    since: int = -1
    purpose: StopPurpose | None = None
    next_pool: str = ""
    minion_address: str = ""
    maintained_ms: int = 0
    reason: str = ""
    resumed_epoch: int = 0

    @property
    def minion_epoch(self) -> int:
        """Return the epoch at which its minion was started."""
        return self.resumed_epoch or self.epoch


@dataclass(frozen=True, slots=True)
class PoolCount:
    """Number of member workers and of serving workers of a pool."""

    members: int = 0
    serving: int = 0


@dataclass(frozen=True, slots=True)
class ClaimState:
    """State of a claimed idempotency key, including the stored response."""

    fingerprint: str
    request_id: str
    entry_host: str
    incarnation: int
    offset: int
    expires_ms: int
    outcome: ClaimOutcome = ClaimOutcome.PENDING
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@dataclass(frozen=True, slots=True)
class JobState:
    """State of a job and its newest attempt.

    Attributes:
        submitted: Offset of its submission.
        attempt: Number of the newest attempt, 0 before the first one.
        worker: Worker of the newest attempt.
        since: Offset of the last change.
        failed_on: Workers on which attempts failed, used to distinguish a bad job
            from a bad worker.
        moves: Number of attempts that were checkpointed or lapsed instead of failing.
    """

    spec: JobSpec
    submitted: int
    phase: JobPhase = JobPhase.WAITING
    attempt: int = 0
    worker: str = ""
    worker_epoch: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    lease_ms: int = 0
    since: int = -1
    progress: float = 0.0
    checkpoint: str = ""
    error: str = ""
    failed_on: tuple[str, ...] = ()
    moves: int = 0
    ended_ms: int = 0


@dataclass(frozen=True, slots=True)
class EvacuationState:
    """An evacuation in force.

    Attributes:
        operator: Who requested it.
        at_ms: Wall clock time of the request, in milliseconds since the epoch.
        since: Offset of its record.
    """

    availability_zone: str
    operator: str
    at_ms: int
    since: int


ClaimKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class FleetState:
    """The complete replicated state.

    Attributes:
        offset: Offset of the newest applied batch, -1 before the first one.
        now_ms: Agreed time, in milliseconds since the epoch: the median of the
            newest heartbeat timestamps of the live hosts, which never decreases.
            Used only for the expiry of claims and ended jobs, never to decide
            authority.
        digest: Chained digest of offsets, record kinds and verdicts, in hex.
        digests: The most recent (offset, digest) pairs, used to verify heartbeats.
        claims: Claims by (client account, service, key).
        snapshot_at: Offset of the first part of the newest complete snapshot.
        snapshot_parts: Parts of incomplete snapshots, as a map from (at, total,
            digest, writer) to (offset of the first part, indexes present).
        snapshot_of: Offset of the state in the newest complete snapshot.
        serving: Index from pool to the sorted IDs of its serving workers.
        jobs_on: Index from worker to the sorted IDs of the jobs placed on it.
        job_counts: Number of waiting or running jobs by client account.
        due: Expiry index of claims and jobs by time bucket. Entries of a bucket are
            numbered from 0 without gaps and processed from the end.
        due_cursor: Next bucket of the expiry index to process.
        evacuations: Evacuations in force by availability zone. This field and the next
            one have a default, since snapshots of earlier versions lack them.
        zone_changes: Offset of the newest record by which a zone was evacuated or
            restored, by availability zone.
    """

    offset: int = -1
    now_ms: int = 0
    digest: str = ""
    digests: tuple[tuple[int, str], ...] = ()
    table: Table = field(default_factory=Table)
    hosts: Map[str, HostState] = field(default_factory=Map)
    workers: Map[str, WorkerState] = field(default_factory=Map)
    pools: Map[str, PoolCount] = field(default_factory=Map)
    claims: Map[ClaimKey, ClaimState] = field(default_factory=Map)
    jobs: Map[str, JobState] = field(default_factory=Map)
    snapshot_at: int = -1
    snapshot_parts: Map[str, tuple[int, frozenset[int]]] = field(default_factory=Map)
    snapshot_of: int = -1
    serving: Map[str, tuple[str, ...]] = field(default_factory=Map)
    jobs_on: Map[str, tuple[str, ...]] = field(default_factory=Map)
    job_counts: Map[str, int] = field(default_factory=Map)
    due: Map[int, Map[int, ClaimKey | str]] = field(default_factory=Map)
    due_cursor: int = 0
    evacuations: Map[str, EvacuationState] = field(default_factory=Map)
    zone_changes: Map[str, int] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Result of applying one record.

    Attributes:
        accepted: Whether the record took effect, at least in part.
        reason: Rejection reason, one of the constants in `verdicts`, "" if accepted.
        items: For a record with several items, the rejection reason of each item in
            order, "" for an accepted item. Empty if all items were accepted.
    """

    accepted: bool
    reason: str = ""
    items: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AppliedRecord:
    """A record of an applied batch with its verdict, which may be a rejection."""

    offset: int
    entry_host: str
    incarnation: int
    seq: int
    record: object
    verdict: Verdict
