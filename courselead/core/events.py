"""Events: everything that can happen to an entry host.

Each carries `now_ms`, the host's monotonic clock in milliseconds at the time
the event was made; the core reads no clock of its own.
"""

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.fleet.records import (
    Batch,
    JobSpec,
    SnapshotPart,
    TablePublished,
    WorkerInfo,
)
from courselead.core.fleet.state import FleetState
from courselead.core.table import RequestClass


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent at least every `TICK_MS`."""

    now_ms: int
    wall_ms: int


# --- log -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class BatchesRead:
    """Batches read from the log, in offset order, without gap.

    A batch that could not be decoded is None: it changes nothing, the same
    on every host.
    """

    now_ms: int
    batches: tuple[tuple[int, Batch | None], ...]


@dataclass(frozen=True, slots=True)
class LogReachable:
    """The log's reader went up or down."""

    now_ms: int
    up: bool


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """Shared state was rebuilt from a snapshot, at start or after a gap."""

    now_ms: int
    fleet: FleetState


@dataclass(frozen=True, slots=True)
class SnapshotSplit:
    """A state was serialised into the records that carry it."""

    now_ms: int
    parts: tuple[SnapshotPart, ...]


class AppendResult(StrEnum):
    """What is known of an append."""

    STORED = "stored"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """The append of batch `seq` ended."""

    now_ms: int
    seq: int
    result: AppendResult
    offset: int = -1


# --- requests ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """An authenticated request with its whole head and body received.

    Attributes:
        deadline_ms: On the host's monotonic clock.
        key: Idempotency key, "" if none.
        fingerprint: Digest of method, path and body, for a reused key.
    """

    now_ms: int
    request_id: str
    client_account: str
    service: str
    request_class: RequestClass
    idempotent: bool
    key: str
    fingerprint: str
    deadline_ms: int
    body_bytes: int


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller closed its connection before its answer was complete."""

    now_ms: int
    request_id: str


class NotRunReason(StrEnum):
    """Why a send is known not to have run."""

    REFUSED = "refused"
    FULL = "full"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class SendNotRun:
    """Nothing of this attempt was run: it may be tried elsewhere."""

    now_ms: int
    request_id: str
    attempt: int
    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class SendUnknown:
    """The attempt broke after bytes were written: it may have run."""

    now_ms: int
    request_id: str
    attempt: int
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The head of the target's answer is here and goes on to the caller."""

    now_ms: int
    request_id: str
    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The target's answer is whole. The body is kept here only if small."""

    now_ms: int
    request_id: str
    attempt: int
    status: int
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The answer stopped in its body; the caller sees the break."""

    now_ms: int
    request_id: str
    attempt: int
    detail: str


# --- peers ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Loan:
    """Units of a quota lent to a peer.

    Attributes:
        quota: Name of the quota: `minion:<worker>:<epoch>`,
            `service:<pool>` or `account:<client_account>`.
        units: Units lent in all, not in addition to an earlier loan.
        serial: Of the lender; a return names it.
    """

    quota: str
    units: int
    serial: int


@dataclass(frozen=True, slots=True)
class PeerReport:
    """What an entry host tells its peers.

    About five times a second while units are wanted or lent, else every few
    seconds.

    Attributes:
        serial: Counts up within the incarnation.
        in_flight: Requests in flight by worker, if routing looks at peers'.
        wants: Units wanted by quota.
        loans: What it lends to the receiver now.
        holding: What it holds of the receiver's loans, by quota.
    """

    entry_host: str
    incarnation: int
    availability_zone: str
    serial: int
    applied: int
    in_flight: tuple[tuple[str, int], ...] = ()
    wants: tuple[tuple[str, int], ...] = ()
    loans: tuple[Loan, ...] = ()
    holding: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class PeerReported:
    """A report of a peer came in."""

    now_ms: int
    report: PeerReport


@dataclass(frozen=True, slots=True)
class PeerReachable:
    """The stream to a peer opened or broke."""

    now_ms: int
    entry_host: str
    up: bool


# --- platform ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MembersListed:
    """The platform's list, as old as it may be."""

    now_ms: int
    version: int
    workers: tuple[WorkerInfo, ...]
    leaving_workers: tuple[str, ...]
    entry_hosts: tuple[str, ...]


class AgentOp(StrEnum):
    """Calls to a worker agent."""

    STATE = "state"
    START_MINION = "start_minion"
    STOP_MINION = "stop_minion"
    REBOOT = "reboot"
    START_TASK = "start_task"
    RENEW_TASK = "renew_task"
    CHECKPOINT_TASK = "checkpoint_task"
    STOP_TASK = "stop_task"


@dataclass(frozen=True, slots=True)
class TaskReport:
    """What an agent says of a task; usage lags."""

    job_id: str
    attempt: int
    state: str
    progress: float
    checkpoint: str
    error: str
    cores_used: float
    memory_mb_used: int
    ran_ms: int


@dataclass(frozen=True, slots=True)
class AgentReport:
    """State of a worker as its agent gives it."""

    epoch: int
    minion_state: str
    minion_service: str
    minion_address: str
    minion_in_flight: int
    rebooting: bool
    boots: int
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class AgentAnswered:
    """A call to an agent was answered.

    Attributes:
        refused: The agent's error, "" if it did as asked.
        report: Given for STATE.
        address: Given for START_MINION.
        task: Given for the task calls.
    """

    now_ms: int
    wall_ms: int
    worker: str
    op: AgentOp
    epoch: int
    refused: str = ""
    report: AgentReport | None = None
    address: str = ""
    task: TaskReport | None = None
    job_id: str = ""


@dataclass(frozen=True, slots=True)
class AgentFailed:
    """A call to an agent failed; `unknown` if it may have taken effect."""

    now_ms: int
    worker: str
    op: AgentOp
    epoch: int
    unknown: bool
    job_id: str = ""


# --- operators and callers of the management interface --------------------


@dataclass(frozen=True, slots=True)
class TableEdit:
    """An operator's publish, checked at the edge."""

    now_ms: int
    request_id: str
    edit: TablePublished
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobsOffered:
    """Jobs that a caller submits."""

    now_ms: int
    request_id: str
    jobs: tuple[JobSpec, ...]
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobsCancelAsked:
    """Jobs that a caller cancels."""

    now_ms: int
    request_id: str
    client_account: str
    job_ids: tuple[str, ...]
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class LeaveAsked:
    """The host is to stop in order."""

    now_ms: int


Event = (
    Tick
    | BatchesRead
    | SnapshotLoaded
    | SnapshotSplit
    | LogReachable
    | AppendEnded
    | RequestArrived
    | CallerGone
    | SendNotRun
    | SendUnknown
    | AnswerStarted
    | AnswerEnded
    | AnswerBroken
    | PeerReported
    | PeerReachable
    | MembersListed
    | AgentAnswered
    | AgentFailed
    | TableEdit
    | JobsOffered
    | JobsCancelAsked
    | LeaveAsked
)
