"""Interfaces of the scheduling daemon to the platform, and the types they use."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio
import xxhash
from returns.result import Result

from courselead.core.credentials import CredentialHolders
from courselead.core.scheduler.events import (
    EndReport,
    Event,
    Outcome,
    RunReport,
    StartRun,
    StopRun,
)
from courselead.core.scheduler.models import (
    FleetConfig,
    MaintenanceWave,
    MinionInfo,
    Worker,
    ZoneEvacuation,
)
from courselead.core.scheduler.records import KeyedRecord
from courselead.core.scheduler.scheduler import Scheduler


@dataclass(frozen=True, slots=True)
class Appended:
    """Offset of the first record stored, and end of the log after the append."""

    offset: int
    end: int


@dataclass(frozen=True, slots=True)
class NotAppended:
    """Nothing was stored: the log refused the append or never received it."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The log did not respond: the records may be stored, now or seconds later."""

    reason: str


@dataclass(frozen=True, slots=True)
class AppendFenced:
    """The append was refused because a producer with a higher epoch has appended."""


@dataclass(frozen=True, slots=True)
class UnexpectedEnd:
    """A conditional append failed because the log has a different end."""

    end: int


AppendError = NotAppended | AppendUnknown | AppendFenced | UnexpectedEnd


@dataclass(frozen=True, slots=True)
class LogBatch:
    """Records of a log from an offset on; empty if none arrived within the wait."""

    start: int
    end: int
    records: tuple[KeyedRecord, ...]


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The requested records no longer exist: restart from the newest of each key."""


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log could not be read."""

    reason: str


ReadError = HistoryGone | ReadFailed


@dataclass(frozen=True, slots=True)
class NewestRecord:
    """The newest record of a key."""

    offset: int
    record: KeyedRecord


@dataclass(frozen=True, slots=True)
class Newest:
    """The newest record of each key.

    Reads continue from `end`, the end of the log when the first page was requested.
    Records may be newer than that.
    """

    end: int
    records: tuple[NewestRecord, ...]


@dataclass(frozen=True, slots=True)
class ProducerMark:
    """Identifies an append, so that a retry is stored once, and fences older epochs."""

    name: str
    epoch: int
    sequence: int


class KeyedLog(Protocol):
    """A log that retains the newest record of each key."""

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
        expected_end: int | None = None,
        mark: ProducerMark | None = None,
    ) -> Result[Appended, AppendError]:
        """Store records atomically."""
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
            wait_ms: Maximum wait for the first record.
            on_arrival: Called with the log's end as soon as records begin to arrive.
        """
        ...

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        ...


class FollowedLog(Protocol):
    """The read operations that followers of a log use."""

    async def read(
        self, start: int, wait_ms: int
    ) -> Result[LogBatch | Newest, ReadError]:
        """Return records from an offset on, or newer records of each key."""
        ...

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        ...


@dataclass(frozen=True, slots=True)
class MinionReport:
    """A minion's report.

    Attributes:
        running: All of its runs.
        ended: The oldest run ends that are not acknowledged.
        lists_all_ends: Whether `ended` has all of them; an answer has a limited number.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    lists_all_ends: bool
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The response of a minion or the cloud to an order."""

    outcome: Outcome
    clock_ms: int = 0
    reason: str = ""
    repeated: bool = False


class MinionLink(Protocol):
    """Connection to one incarnation of a minion."""

    async def poll(
        self, fence: int, cursor: int, lease_ms: int, wait_ms: int
    ) -> Result[MinionReport, OrderResult]:
        """Poll the minion and renew its lease; `lease_ms` 0 does not renew it."""
        ...

    async def start(
        self, order: StartRun, fence: int, may_send: Callable[[], bool]
    ) -> OrderResult:
        """Start a run; a delayed order never reaches another incarnation.

        `may_send` is asked at the moment of sending, each time that it is sent.
        """
        ...

    async def stop(
        self, order: StopRun, fence: int, may_send: Callable[[], bool]
    ) -> OrderResult:
        """Stop a run, unless `may_send` returns False at the moment of sending.

        An order that expires does not wait behind others.
        """
        ...

    async def pace(
        self, task: str, number: int, percent: int, fence: int
    ) -> OrderResult:
        """Set the pace of a run, in percent."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


@dataclass(frozen=True, slots=True)
class Tickets:
    """A response of the advice service.

    Attributes:
        tickets: Tickets by minion.
        valid_ms: Time for which they are valid, None if the response does not say.
    """

    tickets: dict[str, str]
    valid_ms: int | None


class AdviceService(Protocol):
    """Decides which minions may run a step."""

    async def request_tickets(
        self, step: str, minion_ids: Sequence[str], timeout_ms: int
    ) -> Result[Tickets, str]:
        """Return tickets for the minions that may run a step, or a failure reason."""
        ...


class Cloud(Protocol):
    """API of the cloud that provides the workers."""

    async def list_workers(self) -> Result[tuple[Worker, ...], str]:
        """Return all workers."""
        ...

    async def move(self, worker_id: str, pool: str, fence: int) -> OrderResult:
        """Move a worker to another pool."""
        ...

    async def maintain(self, worker_id: str, wave: int, fence: int) -> OrderResult:
        """Take a worker down for maintenance."""
        ...


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Maps requests with a host and path prefix to a queue."""

    host: str
    prefix: str
    queue: str

    @property
    def address(self) -> int:
        """Return a digest of the host and the prefix that fits into a record."""
        return xxhash.xxh3_64_intdigest(f"{self.host} {self.prefix}".encode())


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The queue that a request selects.

    Attributes:
        queue: Name of the queue.
        address: Digest of the host and path prefix that selected it.
        rest: Path after the prefix.
    """

    queue: str
    address: int
    rest: str


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The operators' configuration, decoded.

    Attributes:
        version: Version of the configuration.
        routes: Rules that map requests to queues.
        fleet: Configuration of the scheduler.
        body_bytes: Maximum body of a request.
        holders: Client accounts by credential; None if there are no client accounts,
            so that all queues are public.
    """

    version: int
    routes: tuple[RouteRule, ...]
    fleet: FleetConfig
    body_bytes: int
    holders: CredentialHolders | None = None


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's logs and services that the daemon uses."""

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
    """Converts records of the platform to and from the types of the daemon."""

    @property
    def malformed_count(self) -> int:
        """Return how many malformed records have been read."""
        ...

    def operator_config(
        self, record: KeyedRecord
    ) -> OperatorConfig | MaintenanceWave | ZoneEvacuation | None:
        """Return the content of an operator's record, None if it is not relevant."""
        ...

    def decode_minion(self, record: KeyedRecord) -> MinionInfo | str:
        """Return a listed minion, or the id of a minion that was removed."""
        ...

    def encode_wave_status(self, wave: int, completed: bool) -> KeyedRecord:
        """Return the record with the status of a maintenance wave."""
        ...


class LinkFactory(Protocol):
    """Creates connections to minions."""

    def __call__(self, info: MinionInfo) -> MinionLink:
        """Return a connection to one incarnation of a minion."""
        ...


class ScheduleOwner(Protocol):
    """The interface of the owner that its tasks use."""

    fence: int
    scheduler: Scheduler | None
    saved: anyio.Event

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and wake the execution of its effects."""
        ...


@dataclass(slots=True)
class HostCounters:
    """Counters since startup, exported as metrics."""

    counts: dict[str, int] = field(default_factory=dict)
    registered: dict[str, Callable[[], int]] = field(default_factory=dict)
    observe: Callable[[str, str, float], None] = lambda call, outcome, seconds: None
    observe_job: Callable[[str, str, float], None] = lambda queue, event, seconds: None
    observe_account: Callable[[str, str, float], None] = (
        lambda account, event, seconds: None
    )

    def add(self, name: str, by: int = 1) -> None:
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + by

    def record_duration(self, call: str, outcome: str, begun: float) -> None:
        """Record the duration of a call that began at `begun` (monotonic time)."""
        self.observe(call, outcome, anyio.current_time() - begun)

    def register(self, name: str, read: Callable[[], int]) -> None:
        """Register a counter whose value is read by a function."""
        self.registered[name] = read

    def current_values(self) -> dict[str, int]:
        """Return the values of all counters."""
        found = dict(self.counts)
        for name, read in self.registered.items():
            found[name] = read()
        return found
