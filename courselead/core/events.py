"""Events: all inputs of an entry host's reducer.

Each event carries `now_ms`, the host's monotonic clock in milliseconds when the
event was created; the core does not read a clock itself.

The daemon reports the class name of an event that the core failed to handle, as
the log field `kind` and as a metric label.
"""

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.fleet.records import (
    Batch,
    JobSpec,
    SnapshotPart,
    TablePublished,
    WorkerInfo,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.fleet.state import FleetState
from courselead.core.table import RequestClass


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent every `tick_ms` of the settings, less often when idle."""

    now_ms: int
    wall_ms: int


# --- log -----------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class BatchesRead:
    """Batches read from the log, in offset order and without gaps.

    A batch that could not be decoded is None. It changes nothing, so that the
    state stays the same on every host.
    """

    now_ms: int
    batches: tuple[tuple[int, Batch | None], ...]


@dataclass(frozen=True, slots=True)
class LogReachable:
    """The log became reachable or unreachable for reading."""

    now_ms: int
    up: bool


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """The fleet state was rebuilt from a snapshot, at start or after a gap."""

    now_ms: int
    fleet: FleetState


@dataclass(frozen=True, slots=True)
class SnapshotSplit:
    """A fleet state was serialised into snapshot records."""

    now_ms: int
    parts: tuple[SnapshotPart, ...]


class AppendResult(StrEnum):
    """Known result of an append."""

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
    """An authenticated request whose head and body have been received.

    Attributes:
        key: Idempotency key, "" if none.
        fingerprint: Digest of method, path and body; it detects a key that is
            reused for another request.
        deadline_ms: Deadline on the host's monotonic clock.
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
    """Why an attempt is known not to have run."""

    REFUSED = "refused"
    FULL = "full"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class SendNotRun:
    """The attempt did not run, so the request may be sent to another target."""

    now_ms: int
    request_id: str
    attempt: int
    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class SendUnknown:
    """The attempt failed after bytes were written, so it may have run."""

    now_ms: int
    request_id: str
    attempt: int
    detail: str


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The head of the target's answer was received and is forwarded."""

    now_ms: int
    request_id: str
    attempt: int
    status: int


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The target's answer is complete.

    Attributes:
        body: The body if it was small enough to keep, else empty.
        body_kept: Whether `body` holds the complete body.
    """

    now_ms: int
    request_id: str
    attempt: int
    status: int
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = False


@dataclass(frozen=True, slots=True)
class AnswerBroken:
    """The answer ended within its body; the caller sees a broken response."""

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
        units: Total units lent, including earlier loans.
        serial: Serial number assigned by the lender; a return refers to it.
    """

    quota: str
    units: int
    serial: int


@dataclass(frozen=True, slots=True)
class PeerReport:
    """Report that an entry host sends to its peers.

    It is sent about five times a second while units are wanted or lent, otherwise
    every few seconds.

    Attributes:
        serial: Increases within the incarnation.
        applied: Offset up to which the sender has applied the log.
        in_flight: Requests in flight by worker, if routing uses those of peers.
        wants: Units that the sender wants, by quota.
        loans: Current loans of the sender to the receiver.
        holding: Units of the receiver's loans that the sender holds, by quota.
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
    """A report of a peer was received."""

    now_ms: int
    report: PeerReport


@dataclass(frozen=True, slots=True)
class PeerReachable:
    """The stream to a peer was opened or lost."""

    now_ms: int
    entry_host: str
    up: bool


# --- platform ------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class MembersListed:
    """The platform's membership list, which may be out of date."""

    now_ms: int
    version: int
    workers: tuple[WorkerInfo, ...]
    leaving_workers: tuple[str, ...]
    entry_hosts: tuple[str, ...]


class AgentOp(StrEnum):
    """Operations of a worker's agent."""

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
    """State of a task as its agent reports it; the usage figures lag behind."""

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
    """State of a worker as its agent reports it."""

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
        refused: The agent's error, "" if the call succeeded.
        report: Set for STATE.
        address: Set for START_MINION.
        task: Set for the task operations.
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
    """A call to an agent failed.

    Attributes:
        unknown: Whether the call may have taken effect.
    """

    now_ms: int
    worker: str
    op: AgentOp
    epoch: int
    unknown: bool
    job_id: str = ""


# --- operators and callers of the management interface --------------------


@dataclass(frozen=True, slots=True)
class TableEdit:
    """An operator's table edit, validated by the management interface."""

    now_ms: int
    request_id: str
    edit: TablePublished
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class ZoneCommand:
    """An operator evacuates or restores a zone.

    The record that is proposed gets the ID of this event's request.
    """

    now_ms: int
    request_id: str
    change: ZoneEvacuated | ZoneRestored
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobsOffered:
    """A caller submits jobs."""

    now_ms: int
    request_id: str
    jobs: tuple[JobSpec, ...]
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class JobsCancelAsked:
    """A caller cancels jobs."""

    now_ms: int
    request_id: str
    client_account: str
    job_ids: tuple[str, ...]
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class LeaveAsked:
    """The host has been asked to shut down gracefully."""

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
    | ZoneCommand
    | JobsOffered
    | JobsCancelAsked
    | LeaveAsked
)
