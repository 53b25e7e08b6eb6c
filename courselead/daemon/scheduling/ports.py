"""What the scheduling daemon needs from outside, and the types it speaks."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio
from returns.result import Result

from courselead.core.credentials import CredentialHolders
from courselead.core.scheduler.events import (
    EndReport,
    Event,
    Outcome,
    RunReport,
    StartRun,
)
from courselead.core.scheduler.models import (
    FleetConfig,
    MaintenanceWave,
    MinionInfo,
    Worker,
)
from courselead.core.scheduler.records import KeyedRecord
from courselead.core.scheduler.scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class Appended:
    """Offsets of the first record that was stored and of the log's end after."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """The log answered that nothing was stored, or never got the request."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No answer: the records may be stored, now or seconds later."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendFenced:
    """A producer of a higher epoch has written."""


@dataclass(frozen=True, slots=True)
class EndMoved:
    """The log does not end where it was expected to."""

    end: int


AppendError = NotAppended | AppendUnknown | AppendFenced | EndMoved


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Records of a log from an offset on; empty when the wait was over."""

    start: int
    end: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The records asked for are dropped: start from the newest of each key."""


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log did not answer."""

    reason: str


ReadError = HistoryGone | ReadFailed


@dataclass(frozen=True, slots=True)
class NewestRecord:
    """The newest record of a key."""

    offset: int
    record: KeyedRecord


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key; read on from `end`, before which pages began."""

    end: int
    records: tuple[NewestRecord, ...]


@dataclass(frozen=True, slots=True)
class ProducerMark:
    """Makes an append the only one of its number, and fences older epochs."""

    name: str
    epoch: int
    sequence: int


class KeyedLog(Protocol):
    """A log whose newest record of each key is kept."""

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
        expected_end: int | None = None,
        mark: ProducerMark | None = None,
    ) -> Result[Appended, AppendError]:
        """Store records, all or none."""
        ...

    async def read(
        self,
        start: int,
        wait_ms: int,
        on_arrival: Callable[[int], None] | None = None,
    ) -> Result[LogBatch, ReadError]:
        """Return records from an offset on, waiting for the first of them.

        Args:
            start: Offset of the first record.
            wait_ms: Longest wait for it.
            on_arrival: Told the log's end once records have begun to come.
        """
        ...

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        ...


class FollowedLog(Protocol):
    """A log as its followers need it."""

    async def read(
        self, start: int, wait_ms: int
    ) -> Result[LogBatch | Newest, ReadError]:
        """Return records from an offset on, or the newest of each key beyond it."""
        ...

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        ...


@dataclass(frozen=True, slots=True)
class MinionHold:
    """A minion's whole report."""

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """What a minion or the cloud said to an order."""

    outcome: Outcome
    clock_ms: int = 0
    reason: str = ""
    repeated: bool = False


class MinionLink(Protocol):
    """The way to one life of a minion."""

    async def hold(
        self, fence: int, cursor: int, lease_ms: int, wait_ms: int
    ) -> Result[MinionHold, OrderAnswer]:
        """Look at the minion and renew its lease; `lease_ms` 0 renews nothing."""
        ...

    async def start(self, order: StartRun, fence: int) -> OrderAnswer:
        """Start a run; the order reaches that life or nobody, however late."""
        ...

    async def stop(self, task: str, number: int, fence: int) -> OrderAnswer:
        """Stop a run."""
        ...

    async def pace(
        self, task: str, number: int, percent: int, fence: int
    ) -> OrderAnswer:
        """Set the pace of a run."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


@dataclass(frozen=True, slots=True)
class Tickets:
    """An answer of the advice service."""

    tickets: dict[str, str]
    valid_ms: int


class AdviceService(Protocol):
    """Says which minions may run a step."""

    async def ask(
        self, step: str, minion_ids: Sequence[str], timeout_ms: int
    ) -> Result[Tickets, str]:
        """Return the minions that may run a step, or why there is no answer."""
        ...


class Cloud(Protocol):
    """The cloud's workers."""

    async def workers(self) -> Result[tuple[Worker, ...], str]:
        """Return all workers."""
        ...

    async def move(self, worker_id: str, pool: str, fence: int) -> OrderAnswer:
        """Move a worker to another pool."""
        ...

    async def maintain(self, worker_id: str, wave: int, fence: int) -> OrderAnswer:
        """Take a worker down for its maintenance."""
        ...


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Requests of a host and path prefix belong to a queue."""

    host: str
    prefix: str
    queue: str


@dataclass(frozen=True, slots=True)
class Directions:
    """The operators' configuration, decoded.

    Attributes:
        version: Of the configuration.
        routes: Where requests belong.
        fleet: What the scheduler needs.
        body_bytes: Longest body of a request.
        holders: Whose credentials are; None where there are no client accounts, and
            all queues are open.
    """

    version: int
    routes: tuple[RouteRule, ...]
    fleet: FleetConfig
    body_bytes: int
    holders: CredentialHolders | None = None


@dataclass(frozen=True, slots=True)
class Platform:
    """Everything of the platform that the daemon uses."""

    jobs: KeyedLog
    claims: KeyedLog
    starts: KeyedLog
    directions: KeyedLog
    minions: KeyedLog
    status: KeyedLog
    advice: AdviceService
    cloud: Cloud
    decode: Decoder
    link: LinkFactory


class Decoder(Protocol):
    """Turns records of the platform into types."""

    def directions(self, record: KeyedRecord) -> Directions | MaintenanceWave | None:
        """Return what an operator's record says, nothing if it is of no concern."""
        ...

    def minion(self, record: KeyedRecord) -> MinionInfo | str:
        """Return a minion of the list, or the id of one that left it."""
        ...

    def wave_status(self, wave: int, completed: bool) -> KeyedRecord:
        """Return the record that tells the operator how far a wave is."""
        ...


class LinkFactory(Protocol):
    """Makes the way to a minion."""

    def __call__(self, info: MinionInfo) -> MinionLink:
        """Return the way to one life of a minion."""
        ...


class ScheduleOwner(Protocol):
    """What the owner's tasks need of it."""

    fence: int
    scheduler: Scheduler | None
    saved: anyio.Event

    def handle(self, event: Event) -> None:
        """Apply an event and act on what it leads to."""
        ...


@dataclass(slots=True)
class HostCounters:
    """Counts since the start, shown by the metrics address."""

    counts: dict[str, int] = field(default_factory=dict)
    watched: dict[str, Callable[[], int]] = field(default_factory=dict)
    observe: Callable[[str, str, float], None] = lambda call, outcome, seconds: None
    observe_job: Callable[[str, str, float], None] = lambda queue, event, seconds: None
    observe_account: Callable[[str, str, float], None] = (
        lambda account, event, seconds: None
    )

    def add(self, name: str, by: int = 1) -> None:
        """Count something."""
        self.counts[name] = self.counts.get(name, 0) + by

    def took(self, call: str, outcome: str, begun: float) -> None:
        """Take the time of a call that was begun at `begun` on the steady clock."""
        self.observe(call, outcome, anyio.current_time() - begun)

    def watch(self, name: str, read: Callable[[], int]) -> None:
        """Show a count that is kept elsewhere."""
        self.watched[name] = read

    def all(self) -> dict[str, int]:
        """Return all counts."""
        found = dict(self.counts)
        for name, read in self.watched.items():
            found[name] = read()
        return found
