"""Effects: everything an entry host does, as data that the daemon performs."""

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.events import AgentOp, PeerReport
from courselead.core.fleet.records import Batch, Record
from courselead.core.fleet.state import FleetState


@dataclass(frozen=True, slots=True)
class Propose:
    """Put a record into the next batch. Consumed by the host's reducer."""

    record: Record


@dataclass(frozen=True, slots=True)
class Append:
    """Append a batch to the log; one is in flight at a time."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class Send:
    """Send a request to a minion, on one connection for one exchange.

    Attributes:
        fresh: Open a new connection for it (non-idempotent requests).
        timeout_ms: Time left until the deadline.
    """

    request_id: str
    attempt: int
    worker: str
    address: str
    fresh: bool
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class Abort:
    """Close the exchange of an attempt: nothing of it may be heard again."""

    request_id: str
    attempt: int


class RunState(StrEnum):
    """What the caller is told of its request; the field `run` of a problem."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ProblemKind(StrEnum):
    """Kinds of final answers that courselead itself gives."""

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


@dataclass(frozen=True, slots=True)
class Problem:
    """A final answer of courselead's own (RFC 9457).

    Attributes:
        detail: What happened and what the caller can do.
        retry_after_ms: When to come back, 0 if coming back does not help.
        ran_status: The target's status, for ALREADY_RAN.
    """

    kind: ProblemKind
    run: RunState
    detail: str
    retry_after_ms: int = 0
    ran_status: int = 0


@dataclass(frozen=True, slots=True)
class ReplyProblem:
    """Give the caller its final answer now."""

    request_id: str
    problem: Problem


@dataclass(frozen=True, slots=True)
class ReplyReplay:
    """Give the kept answer of an earlier run under the same key."""

    request_id: str
    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ReplyAccepted:
    """A table edit or jobs took effect at `offset`."""

    request_id: str
    offset: int
    job_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a report to a peer; dropped if the stream is not open."""

    entry_host: str
    report: PeerReport


@dataclass(frozen=True, slots=True)
class CallAgent:
    """Call a worker's agent.

    Attributes:
        job_id: For the task calls.
        attempt: For the task calls.
        service: For START_MINION and START_TASK.
        boots: For REBOOT, the boots in the state last read: a repeat after
            the reboot names the old count and reboots nothing.
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
    """Measures taken inside the core."""

    QUEUE_MS = "queue_ms"
    LATENCY_MS = "latency_ms"
    OUTCOME = "outcome"
    RETRY = "retry"
    SLOTS_IN_USE = "slots_in_use"
    INVARIANT = "invariant_broken"
    RECORD = "record"
    APPLY_LAG_MS = "apply_lag_ms"


@dataclass(frozen=True, slots=True)
class Measure:
    """One observation, with bounded labels only."""

    metric: Metric
    value: float
    client_account: str = ""
    request_class: str = ""
    label: str = ""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log.

    Attributes:
        fields: Key and value pairs; never a credential or a body.
    """

    level: str
    event: str
    fields: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(frozen=True, slots=True)
class WriteSnapshot:
    """Serialise a state beside the reducer, and give it back in parts.

    The state is immutable, so it may be read while the next events are taken.
    """

    fleet: FleetState


@dataclass(frozen=True, slots=True)
class Left:
    """Nothing is in flight and the leave is in the log: the host may end."""


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
    | Measure
    | Note
    | WriteSnapshot
    | Left
)
