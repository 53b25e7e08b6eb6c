"""Events that the scheduler processes and effects that it requests."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.scheduler.models import (
    FleetConfig,
    Incarnation,
    MaintenanceWave,
    MinionInfo,
    Worker,
)
from courselead.core.scheduler.records import JobProgress, WaveProgress


class EndKind(StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Outcome(StrEnum):
    """Result of an order to a minion or to the cloud."""

    OK = "ok"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LEASE_OVER = "lease_over"
    NO_CAPACITY = "no_room"
    NO_TICKET = "no_ticket"
    SHED = "shed"
    REFUSED = "refused"
    OTHER_INCARNATION = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a minion reports as running.

    Attributes:
        figure: Tail latency in ms or CPU in use.
    """

    task: str
    number: int
    checkpoint: str
    percent: int
    figure: int


@dataclass(frozen=True, slots=True)
class EndReport:
    """A run that a minion reports as ended."""

    sequence: int
    task: str
    number: int
    kind: EndKind
    checkpoint: str


class _IncarnationMessage:
    """Base of messages to or from one incarnation (`Incarnation`) of a minion.

    Attributes:
        minion_id: Id of the minion.
        born_ms: Start time of the incarnation, 0 if unknown.
    """

    __slots__ = ()

    minion_id: str
    born_ms: int

    @property
    def incarnation(self) -> Incarnation:
        """Return the incarnation."""
        return Incarnation(self.minion_id, self.born_ms)


# Events


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration is available."""

    config: FleetConfig


@dataclass(frozen=True, slots=True)
class MinionListed:
    """An entry of the platform's minion list was added or changed."""

    info: MinionInfo


@dataclass(frozen=True, slots=True)
class MinionUnlisted:
    """A minion was removed from the platform's list; it may still be running."""

    minion_id: str


@dataclass(frozen=True, slots=True)
class JobArrived:
    """The log contains a job that is new to this owner."""

    job_id: str


@dataclass(frozen=True, slots=True)
class EarlyCancelStored:
    """A caller has cancelled a job that was not known."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobCancelRequested:
    """The log contains a cancellation of a job."""

    job_id: str


@dataclass(frozen=True, slots=True)
class PollAnswered(_IncarnationMessage):
    """A minion answered a poll.

    Attributes:
        ended: The oldest run ends that are not acknowledged.
        lists_all_ends: Whether `ended` has all of them; an answer has a limited number.
        born_ms: Start time of the polled incarnation, 0 if it was unknown.
        answered_by: The incarnation that answered, None if the answer does not tell.
    """

    minion_id: str
    sent_ms: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    lists_all_ends: bool
    born_ms: int = 0
    answered_by: Incarnation | None = None


@dataclass(frozen=True, slots=True)
class PollFailed(_IncarnationMessage):
    """A poll of a minion failed."""

    minion_id: str
    outcome: Outcome
    reason: str
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswered(_IncarnationMessage):
    """A start, stop or pace order was answered or abandoned.

    Attributes:
        born_ms: Start time of the addressed incarnation, 0 if it was unknown.
        repeated: Whether the order was sent more than once, so that a delayed copy may
            still be carried out.
    """

    minion_id: str
    task: str
    number: int
    verb: str
    outcome: Outcome
    clock_ms: int = 0
    reason: str = ""
    born_ms: int = 0
    repeated: bool = False


@dataclass(frozen=True, slots=True)
class ProgressSaved:
    """The log has stored all records up to a batch."""

    batch: int


@dataclass(frozen=True, slots=True)
class LogAnswered:
    """The log accepted a record, so there was no newer owner when it was sent.

    Attributes:
        sent_ms: When the record was first sent.
    """

    sent_ms: int


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """The advice service answered.

    Attributes:
        tickets: Tickets by minion.
        valid_ms: Time for which they are valid, None if the answer does not say.
    """

    step: str
    tickets: dict[str, str]
    valid_ms: int | None


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """The advice service did not answer."""

    step: str
    reason: str


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The cloud returned its list of workers, requested at `asked_ms`."""

    asked_ms: int
    workers: tuple[Worker, ...]


@dataclass(frozen=True, slots=True)
class CloudOrderAnswered:
    """A move or maintenance order to the cloud was answered or timed out.

    A slow cloud may answer a repeated order while another one is pending, so the event
    names the order: a move into `pool`, or maintenance in `wave`.
    """

    worker_id: str
    outcome: Outcome
    reason: str = ""
    pool: str = ""
    wave: int = 0


@dataclass(frozen=True, slots=True)
class WaveRequested:
    """The operator requested maintenance of workers."""

    wave: MaintenanceWave


@dataclass(frozen=True, slots=True)
class ZonesEvacuated:
    """The set of evacuated availability zones has changed."""

    zones: frozenset[str]


@dataclass(frozen=True, slots=True)
class OperatorLogRead:
    """The operator's log was read up to its end.

    Attributes:
        sent_ms: When the read was sent. Everything that was stored before it is known.
    """

    sent_ms: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed.

    Attributes:
        wall_ms: Milliseconds since 1970.
    """

    wall_ms: int


Event = (
    ConfigChanged
    | MinionListed
    | MinionUnlisted
    | JobArrived
    | JobCancelRequested
    | EarlyCancelStored
    | PollAnswered
    | PollFailed
    | OrderAnswered
    | ProgressSaved
    | LogAnswered
    | AdviceAnswered
    | AdviceFailed
    | WorkersListed
    | CloudOrderAnswered
    | WaveRequested
    | ZonesEvacuated
    | OperatorLogRead
    | Tick
)

# Effects


@dataclass(frozen=True, slots=True)
class StartRun(_IncarnationMessage):
    """Start a task on a minion.

    Attributes:
        lease_ms: End of the lease on the minion's clock.
        batch: Batch of records that must be stored before it is sent, 0 for none.
        once: Whether to send it only once even without an answer, because a copy may
            reach the next incarnation of a minion that the task has crashed.
    """

    minion_id: str
    task: str
    number: int
    payload: str
    lease_ms: int
    checkpoint: str
    ticket: str
    born_ms: int = 0
    batch: int = 0
    once: bool = False

    def not_sent(self, reason: str) -> OrderAnswered:
        """Return the event that it was not sent and has to be placed again."""
        return OrderAnswered(
            self.minion_id,
            self.task,
            self.number,
            "start",
            Outcome.NOT_SENT,
            reason=reason,
            born_ms=self.born_ms,
        )


@dataclass(frozen=True, slots=True)
class StoreRuns:
    """Store what may run on a minion of the owner's zone that has reported."""

    minion_id: str


@dataclass(frozen=True, slots=True)
class StopRun(_IncarnationMessage):
    """Stop a run on a minion.

    Attributes:
        expires_ms: Time on the owner's monotonic clock after which the order is not
            sent any more, as what it was based on may have changed; 0 if it may wait.
    """

    minion_id: str
    task: str
    number: int
    reason: str
    born_ms: int = 0
    expires_ms: int = 0

    def is_expired(self, now_ms: int) -> bool:
        """Return whether it must not be sent any more."""
        return bool(self.expires_ms) and now_ms > self.expires_ms


@dataclass(frozen=True, slots=True)
class PaceRun(_IncarnationMessage):
    """Set the pace of a run to a share of its full speed.

    Attributes:
        percent: The share.
    """

    minion_id: str
    task: str
    number: int
    percent: int
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class SaveProgress:
    """Store the progress of a job or maintenance wave in the open batch."""

    progress: JobProgress | WaveProgress


@dataclass(frozen=True, slots=True)
class ForgetEarlyCancels:
    """Remove records of early cancels from the log, by their keys."""

    keys: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ForgetJob:
    """Drop the records of a job that ended long ago, or of a duplicate.

    Attributes:
        is_duplicate: Whether the job never ran because a job of another account has
            the same id.
    """

    job_id: str
    account: str = ""
    is_duplicate: bool = False


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask the advice service which of these minions may run a step."""

    step: str
    minion_ids: tuple[str, ...]
    timeout_ms: int


@dataclass(frozen=True, slots=True)
class MoveWorker:
    """Move a worker to another pool."""

    worker_id: str
    pool: str

    def not_sent(self, reason: str) -> CloudOrderAnswered:
        """Return the event that it was not sent."""
        return CloudOrderAnswered(
            self.worker_id, Outcome.NOT_SENT, reason, pool=self.pool
        )


@dataclass(frozen=True, slots=True)
class MaintainWorker:
    """Take a worker down for its maintenance."""

    worker_id: str
    wave: int

    def not_sent(self, reason: str) -> CloudOrderAnswered:
        """Return the event that it was not sent."""
        return CloudOrderAnswered(
            self.worker_id, Outcome.NOT_SENT, reason, wave=self.wave
        )


@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Request the cloud's list of workers."""


@dataclass(frozen=True, slots=True)
class SaveWaveStatus:
    """Report the status of a maintenance wave to the operator."""

    wave: int
    completed: bool


@dataclass(frozen=True, slots=True)
class StartPolling(_IncarnationMessage):
    """Start polling an incarnation of a minion."""

    minion_id: str
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class StopPolling:
    """Stop polling a minion whose incarnation has ended."""

    minion_id: str


@dataclass(frozen=True, slots=True)
class StepDown:
    """Give up the schedule because a newer owner exists."""

    reason: str


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a decision to the log of the process."""

    event: str
    fields: dict[str, object]


Effect = (
    StartRun
    | StoreRuns
    | StopRun
    | PaceRun
    | SaveProgress
    | ForgetJob
    | ForgetEarlyCancels
    | AskAdvice
    | MoveWorker
    | MaintainWorker
    | ListWorkers
    | SaveWaveStatus
    | StartPolling
    | StopPolling
    | StepDown
    | LogEvent
)
