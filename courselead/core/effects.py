"""Effects: actions of an entry host as data, which the daemon performs."""

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.events import AgentOp, PeerReport
from courselead.core.fleet.records import Batch, Record
from courselead.core.fleet.state import FleetState


@dataclass(frozen=True, slots=True)
class Propose:
    """Add a record to the outbox. The top-level reducer consumes this effect."""

    record: Record


@dataclass(frozen=True, slots=True)
class Append:
    """Append a batch to the log; only one append is in flight at a time."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to a minion on a connection that carries nothing else.

    Attributes:
        new_connection: Whether to open a new connection (for non-idempotent requests).
        timeout_ms: Time left until the deadline, in milliseconds.
    """

    request_id: str
    attempt: int
    worker: str
    address: str
    new_connection: bool
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class Abort:
    """Close the exchange of an attempt and ignore anything it may still return."""

    request_id: str
    attempt: int


class RunState(StrEnum):
    """Whether a request ran, as reported in the field `run` of a problem."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ProblemKind(StrEnum):
    """Kinds of problems that courselead itself returns as a final answer."""

    NO_SUCH_SERVICE = "no-such-service"
    QUEUE_FULL = "queue-full"
    CEILING = "ceiling-reached"
    CANNOT_FINISH = "cannot-finish-in-time"
    DEADLINE = "deadline-passed"
    NO_TARGET = "no-target"
    TARGET_FAILED = "target-failed"
    TARGET_BROKE = "target-broke"
    RETRY_BUDGET = "retry-budget-spent"
    LOG_DOWN = "log-unavailable"
    KEY_REUSED = "idempotency-key-reused"
    KEY_IN_USE = "idempotency-key-in-use"
    KEY_UNKNOWN = "earlier-outcome-unknown"
    ALREADY_RAN = "already-ran"
    LEAVING = "entry-host-leaving"
    CONFLICT = "table-conflict"
    TABLE_REFUSED = "table-refused"
    JOB_REFUSED = "job-refused"
    NOT_FOUND = "not-found"
    OVERLOAD = "overload"
    EVACUATED = "zone-evacuated"
    ZONE_REFUSED = "zone-refused"


@dataclass(frozen=True, slots=True)
class Problem:
    """A final answer given by courselead itself (RFC 9457 problem details).

    Attributes:
        run: Whether the request ran.
        detail: What happened and what the caller can do.
        retry_after_ms: Delay before a retry, 0 if a retry does not help.
        ran_status: Status that the target returned, for ALREADY_RAN.
    """

    kind: ProblemKind
    run: RunState
    detail: str
    retry_after_ms: int = 0
    ran_status: int = 0


@dataclass(frozen=True, slots=True)
class ReplyProblem:
    """Answer the caller with a problem."""

    request_id: str
    problem: Problem


@dataclass(frozen=True, slots=True)
class ReplyReplay:
    """Answer the caller with the stored answer of an earlier run with its key."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReplyAccepted:
    """Answer that a change by operators or a call for jobs took effect at `offset`."""

    request_id: str
    offset: int
    job_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a report to a peer; it is dropped if the stream is not open."""

    entry_host: str
    report: PeerReport


@dataclass(frozen=True, slots=True)
class CallAgent:
    """Call a worker's agent.

    Attributes:
        job_id: Set for the task operations.
        attempt: Set for the task operations.
        service: Set for START_MINION and START_TASK.
        boots: Boot count in the last state read, set for REBOOT. A call repeated
            after the reboot carries the old count and does not reboot again.
    """

    worker: str
    address: str
    op: AgentOp
    epoch: int
    service: str = ""
    slots: int = 0
    connections: int = 0
    job_id: str = ""
    attempt: int = 0
    payload: str = ""
    checkpoint: str = ""
    lease_ms: int = 0
    cores: float = 0.0
    memory_mb: int = 0
    boots: int = 0


class Metric(StrEnum):
    """Metrics that the core records."""

    QUEUE_MS = "queue_ms"
    LATENCY_MS = "latency_ms"
    OUTCOME = "outcome"
    RETRY = "retry"
    SLOTS_IN_USE = "slots_in_use"
    INVARIANT = "invariant_broken"
    RECORD = "record"
    APPLY_LAG_MS = "apply_lag_ms"


@dataclass(frozen=True, slots=True)
class RecordMetric:
    """Record one observation of a metric; the number of label values is bounded."""

    metric: Metric
    value: float
    client_account: str = ""
    request_class: str = ""
    label: str = ""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a line to the process log.

    Attributes:
        level: Name of the log method, such as `warning`.
        event: Name of the log event.
        fields: Key and value pairs; never a credential or a body.
    """

    level: str
    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Serialise a state outside the reducer; `SnapshotSplit` returns its parts.

    The state is immutable, so it can be read while the next events are handled.
    """

    fleet: FleetState


@dataclass(frozen=True, slots=True)
class Left:
    """End the process: nothing is in flight and the leave is in the log."""


Effect = (
    Propose
    | Append
    | Send
    | Abort
    | ReplyProblem
    | ReplyReplay
    | ReplyAccepted
    | SendPeer
    | CallAgent
    | RecordMetric
    | LogEvent
    | WriteSnapshot
    | Left
)
