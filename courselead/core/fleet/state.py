"""Shared fleet state: the fold of the log, identical on every entry host."""

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from courselead.core.fleet.records import ClaimOutcome, JobSpec, StopPurpose
from courselead.core.table import Table


class HostStatus(StrEnum):
    """Whether an entry host may hold work."""

    LIVE = "live"
    LOST = "lost"
    LEFT = "left"


class WorkerPhase(StrEnum):
    """Where a worker stands.

    FREE -> STARTING (assigned) -> SERVING -> STOPPING (planned stop claimed,
    waiting for every entry host to settle) -> STOPPED (minion confirmed
    stopped: the fence) -> STARTING again, in the same pool after a reboot or
    in the next one after a move. DOWN is an unplanned loss; QUARANTINED gets
    no more work; GONE has left the platform's list.
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
    """Where a job stands."""

    WAITING = "waiting"
    PLACED = "placed"
    CANCELLING = "cancelling"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class HostState:
    """What is known of an entry host.

    Attributes:
        joined: Offset of its join.
        last_beat: Offset of its newest heartbeat (or join).
        last_beat_ms: Wall time it wrote there, milliseconds.
        applied: Offset it has applied.
        settled: Offset up to which it has settled releases and stops.
        last_seq: Number of its newest batch.
        diverged_at: Offset of a digest that did not match, -1 if none.
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
    """What is agreed on a worker.

    Attributes:
        pool: The one pool it belongs to, "" while it is in none. It belongs
            to the old pool until the assign record of the next one.
        epoch: Goes up with each assignment and each start of a minion.
        since: Offset at which the phase began.
        purpose: Of a planned stop, else None.
        next_pool: Pool after a move.
        minion_address: Where the minion of this epoch serves, "" if nowhere.
        maintained_ms: Wall time of the last reboot for maintenance, 0 never.
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


@dataclass(frozen=True, slots=True)
class PoolCount:
    """How many workers of a pool are members, and how many serve."""

    members: int = 0
    serving: int = 0


@dataclass(frozen=True, slots=True)
class ClaimState:
    """A claimed key and what became of it."""

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
    """A job and its newest attempt.

    Attributes:
        submitted: Offset of its submission.
        attempt: Number of the newest attempt, 0 before the first.
        worker: Where the newest attempt runs.
        since: Offset of the last change.
        failed_on: Workers on which attempts failed, to tell a bad job from a
            bad worker.
        moves: Times it was taken from one worker to another.
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


ClaimKey = tuple[str, str, str]


@dataclass(frozen=True, slots=True)
class FleetState:
    """All that is agreed.

    Attributes:
        offset: Of the newest batch applied, -1 before the first.
        now_ms: Agreed time: the median of the live hosts' newest heartbeat
            stamps, never going back. Used only to forget (claims, ended
            jobs), never for authority.
        digest: Chain digest over offset, record kinds and verdicts, hex.
        digests: The last few (offset, digest), to check heartbeats against.
        claims: By (client account, service, key).
        snapshot_at: Offset of the first part of the newest whole snapshot.
        snapshot_parts: Parts seen so far of a snapshot being written:
            (at, total, digest, writer) to (first offset, indexes seen).
        snapshot_of: Offset whose state the newest whole snapshot holds.
        serving: Index: pool to the sorted ids of its serving workers.
        jobs_on: Index: worker to the sorted ids of the jobs placed on it.
        job_counts: Index: client account to its jobs waiting or running.
        due: What may be forgotten, by time bucket; in a bucket by number from
            0 without gap, taken from the end.
        due_cursor: The bucket to be looked at next.
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


@dataclass(frozen=True, slots=True)
class Verdict:
    """What applying one record came to.

    Attributes:
        accepted: Whether the record took effect, at least in part.
        reason: Why not, one of the constants in `verdicts`, "" if accepted.
        items: For a record of several items: the reason of each in their
            order, "" for one that took effect; empty if all of them did.
    """

    accepted: bool
    reason: str = ""
    items: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Applied:
    """One record with its verdict, for those who wait for it."""

    offset: int
    entry_host: str
    incarnation: int
    seq: int
    record: object
    verdict: Verdict
