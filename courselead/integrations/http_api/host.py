"""What the HTTP interface asks of the daemon.

The daemon implements `Host`; the interface knows nothing else of it. Every
call runs on the daemon's event loop. All `deadline_ms` here are on the host's
monotonic clock, the one that `now_ms()` reads.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from courselead.core.effects import Problem, ReplyAccepted
from courselead.core.fleet.records import JobSpec, TablePublished
from courselead.core.fleet.state import FleetState
from courselead.core.table import RequestClass

Header = tuple[bytes, bytes]


# --- requests to minions --------------------------------------------------


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request, authenticated and whole.

    Attributes:
        target: Path and query as they go on to the minion, `/...`.
        headers: What may go on to the minion: lower-case names, no hop-by-hop
            header, no credential, no spoofable one. `courselead-request-id`
            is already among them.
        fingerprint: Digest of method, target and body.
        key: Idempotency key, "" if none.
        deadline_ms: On the host's monotonic clock.
    """

    request_id: str
    client_account: str
    service: str
    method: str
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    request_class: RequestClass
    idempotent: bool
    key: str
    fingerprint: str
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class Replay:
    """The kept answer of an earlier run under the same key."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's answer whose head is here.

    Attributes:
        headers: As the target gave them.
        body: Chunks of the body. Raises `errors.AnswerBroken` if the answer
            stops early; ends normally only if the answer is whole.
    """

    status: int
    headers: tuple[Header, ...]
    body: AsyncIterator[bytes]


Reply = Problem | Replay | Answer


class ResponseHandle(Protocol):
    """One request that the daemon has taken in."""

    async def reply(self) -> Reply:
        """Wait for the final answer or for the head of the target's answer."""
        ...

    def caller_gone(self) -> None:
        """Say that nobody waits any more; harmless after the end, and twice."""
        ...


# --- status ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """A peer as this host sees it.

    Attributes:
        standing: `live`, `lost` or `left`, as agreed in the log.
        reachable: Whether the outgoing stream to it is open.
        heard_ms_ago: Age of its newest report, -1 if none was heard.
    """

    entry_host: str
    availability_zone: str
    reachable: bool
    heard_ms_ago: int
    applied: int
    standing: str = "live"


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """A pool as this host sees it; `in_flight` and `queued` are of this host.

    Attributes:
        budget_left: Workers that a planned stop may still take out now.
    """

    client_account: str
    service: str
    wanted: int
    members: int
    serving: int
    in_flight: int
    queued: int
    budget_left: int = 0


@dataclass(frozen=True, slots=True)
class DrainStatus:
    """A planned stop that is under way.

    Attributes:
        phase: `stopping` until the minion has stopped, then `stopped`.
        since: Offset at which the phase began.
        unsettled: Entry hosts that it waits for.
    """

    worker: str
    client_account: str
    service: str
    purpose: str
    phase: str
    since: int
    unsettled: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Alarm:
    """Something an operator should look at.

    Attributes:
        name: Fixed name of the kind, lower case with hyphens.
        client_account: Account concerned, "" if none in particular.
        detail: What is wrong and what to do.
        since_ms: Wall time, milliseconds.
    """

    name: str
    client_account: str
    detail: str
    since_ms: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """State of one entry host for `GET /v1/status`.

    Attributes:
        member: Whether the fleet holds this incarnation as live.
        apply_lag_ms: Age of the newest applied batch when it was applied.
        in_flight: Requests of this host being run by minions.
        queued: Requests waiting on this host.
    """

    entry_host: str
    incarnation: int
    availability_zone: str
    member: bool
    leaving: bool
    log_up: bool
    offset: int
    table_version: int
    apply_lag_ms: int
    in_flight: int
    queued: int
    peers: tuple[PeerStatus, ...] = ()
    pools: tuple[PoolStatus, ...] = ()
    alarms: tuple[Alarm, ...] = ()
    drains: tuple[DrainStatus, ...] = ()


@dataclass(frozen=True, slots=True)
class TableChange:
    """One publish that took effect, newest last in a history.

    Attributes:
        at_ms: Wall time of the proposer, milliseconds.
    """

    offset: int
    at_ms: int
    edit: TablePublished


# --- the daemon -----------------------------------------------------------


class Host(Protocol):
    """The daemon as the HTTP interface sees it."""

    @property
    def fleet(self) -> FleetState:
        """Return the shared state as applied here."""
        ...

    @property
    def ready(self) -> bool:
        """Return whether new requests should be sent to this host."""
        ...

    @property
    def live(self) -> bool:
        """Return whether the daemon's loop turns."""
        ...

    def status(self) -> StatusReport:
        """Return the state of this host, of all accounts."""
        ...

    def now_ms(self) -> int:
        """Return the host's monotonic clock in milliseconds."""
        ...

    async def submit(self, req: IncomingRequest) -> ResponseHandle:
        """Take in a request for a minion."""
        ...

    async def publish(
        self, edit: TablePublished, deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Publish a checked edit; `edit.request_id` is set."""
        ...

    async def submit_jobs(
        self, request_id: str, jobs: tuple[JobSpec, ...], deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Submit jobs of one account."""
        ...

    async def cancel_jobs(
        self,
        request_id: str,
        client_account: str,
        job_ids: tuple[str, ...],
        deadline_ms: int,
    ) -> ReplyAccepted | Problem:
        """Cancel jobs of one account, all in one record."""
        ...

    async def history(self, limit: int) -> tuple[TableChange, ...]:
        """Return the newest publishes that took effect, of all accounts."""
        ...
