"""What the scheduler is told and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from courselead.core.scheduler.models import (
    FleetConfig,
    Life,
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
    """What became of an order to a minion."""

    OK = "ok"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LEASE_OVER = "lease_over"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    SHED = "shed"
    REFUSED = "refused"
    OTHER_LIFE = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RunReport:
    """A run that a minion says it has; `figure` is a tail in ms or cpu in use."""

    task: str
    number: int
    checkpoint: str
    percent: int
    figure: int


@dataclass(frozen=True, slots=True)
class EndReport:
    """A run that a minion says has ended."""

    sequence: int
    task: str
    number: int
    kind: EndKind
    checkpoint: str


class _OfLife:
    """What is meant for, or comes from, one life of a minion.

    Attributes:
        minion_id: Of the minion.
        born_ms: Of the life, 0 if that is not known.
    """

    __slots__ = ()

    minion_id: str
    born_ms: int

    @property
    def life(self) -> Life:
        """Return the life."""
        return Life(self.minion_id, self.born_ms)


# Events


@dataclass(frozen=True, slots=True)
class ConfigChanged:
    """A newer configuration."""

    config: FleetConfig


@dataclass(frozen=True, slots=True)
class MinionListed:
    """The platform's list has a minion, new or changed."""

    info: MinionInfo


@dataclass(frozen=True, slots=True)
class MinionUnlisted:
    """The platform's list has a minion no more; it may still run."""

    minion_id: str


@dataclass(frozen=True, slots=True)
class JobArrived:
    """The log has a job that is new to this owner."""

    job_id: str


@dataclass(frozen=True, slots=True)
class JobCancelRequested:
    """The log has a cancel."""

    job_id: str


@dataclass(frozen=True, slots=True)
class HoldAnswered(_OfLife):
    """A minion answered a look.

    Attributes:
        born_ms: Of the life that was looked at, 0 if that was not known.
        answered_by: The life that answered, if it said so.
    """

    minion_id: str
    sent_ms: int
    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    born_ms: int = 0
    answered_by: Life | None = None


@dataclass(frozen=True, slots=True)
class HoldFailed(_OfLife):
    """A look failed."""

    minion_id: str
    outcome: Outcome
    reason: str
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswered(_OfLife):
    """A start, stop or pace order was answered, or given up.

    Attributes:
        born_ms: Of the life that was meant, 0 if that was not known.
        repeated: Whether it was sent more than once: a copy may be carried out yet.
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
    """The log has all records up to a batch."""

    batch: int


@dataclass(frozen=True, slots=True)
class LogAnswered:
    """The log took a record that was first sent then: there was no newer owner yet."""

    sent_ms: int


@dataclass(frozen=True, slots=True)
class AdviceGiven:
    """The advice service answered; `tickets` by minion."""

    step: str
    tickets: dict[str, str]
    valid_ms: int


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """The advice service did not answer."""

    step: str
    reason: str


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The cloud's list of workers, asked for at `asked_ms`."""

    asked_ms: int
    workers: tuple[Worker, ...]


@dataclass(frozen=True, slots=True)
class DutyAnswered:
    """The cloud answered a move or a maintenance order, or did not.

    A slow cloud answers a repeated order when another one is under way, so the
    answer says which it is to: to a move into `pool`, or to maintenance in `wave`.
    """

    worker_id: str
    outcome: Outcome
    reason: str = ""
    pool: str = ""
    wave: int = 0


@dataclass(frozen=True, slots=True)
class WaveRequested:
    """The operator wants workers maintained."""

    wave: MaintenanceWave


@dataclass(frozen=True, slots=True)
class Tick:
    """Time passed; `wall_ms` is since 1970."""

    wall_ms: int


Event = (
    ConfigChanged
    | MinionListed
    | MinionUnlisted
    | JobArrived
    | JobCancelRequested
    | HoldAnswered
    | HoldFailed
    | OrderAnswered
    | ProgressSaved
    | LogAnswered
    | AdviceGiven
    | AdviceFailed
    | WorkersListed
    | DutyAnswered
    | WaveRequested
    | Tick
)

# Effects


@dataclass(frozen=True, slots=True)
class StartRun(_OfLife):
    """Start a task on a minion; `lease_ms` is on its clock.

    Attributes:
        batch: Batch of records that must be stored before it is sent, 0 for none.
        once: Whether it is not sent again without an answer: a copy may reach the next
            life of a minion that it has crashed.
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
        """Return the word that it was not sent, and is to be placed anew."""
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
class NoteRuns:
    """Store what may run on a minion of the owner's own zone, which has reported."""

    minion_id: str


@dataclass(frozen=True, slots=True)
class StopRun(_OfLife):
    """Stop a run on a minion."""

    minion_id: str
    task: str
    number: int
    reason: str
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class PaceRun(_OfLife):
    """Let a run work at a share."""

    minion_id: str
    task: str
    number: int
    percent: int
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class SaveProgress:
    """Store how far a job or a wave is in the batch that is open now."""

    progress: JobProgress | WaveProgress


@dataclass(frozen=True, slots=True)
class ForgetJob:
    """Drop a job that ended long ago.

    Or one that never ran, as its id was that of another account's job: a duplicate.
    """

    job_id: str
    account: str = ""
    is_duplicate: bool = False


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Ask which of these minions may run a step."""

    step: str
    minion_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MoveWorker:
    """Move a worker to another pool."""

    worker_id: str
    pool: str


@dataclass(frozen=True, slots=True)
class MaintainWorker:
    """Take a worker down for its maintenance."""

    worker_id: str
    wave: int


@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Ask the cloud for its list."""


@dataclass(frozen=True, slots=True)
class SaveWaveStatus:
    """Tell the operator how far a wave is."""

    wave: int
    completed: bool


@dataclass(frozen=True, slots=True)
class FollowMinion(_OfLife):
    """Keep looking at a life of a minion from now on."""

    minion_id: str
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class LeaveMinion:
    """Look at a minion no more: its life is over."""

    minion_id: str


@dataclass(frozen=True, slots=True)
class StepDown:
    """A newer owner exists."""

    reason: str


@dataclass(frozen=True, slots=True)
class Note:
    """A decision for the log of the process."""

    event: str
    fields: dict[str, object]


Effect = (
    StartRun
    | NoteRuns
    | StopRun
    | PaceRun
    | SaveProgress
    | ForgetJob
    | AskAdvice
    | MoveWorker
    | MaintainWorker
    | ListWorkers
    | SaveWaveStatus
    | FollowMinion
    | LeaveMinion
    | StepDown
    | Note
)
