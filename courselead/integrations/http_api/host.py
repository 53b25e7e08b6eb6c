"""The interface between the HTTP API and the daemon.

The daemon implements `Host`, and the HTTP API uses nothing else of it. Every call
runs on the daemon's event loop. All `deadline_ms` values in this module refer to the
host's monotonic clock, which `now_ms()` returns.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from courselead.core.effects import Problem, ReplyAccepted
from courselead.core.fleet.records import (
    JobSpec,
    TablePublished,
    ZoneEvacuated,
    ZoneRestored,
)
from courselead.core.fleet.state import FleetState
from courselead.core.table import RequestClass

Header = tuple[bytes, bytes]


# --- requests to minions --------------------------------------------------


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """An authenticated request with its complete body.

    Attributes:
        target: Path and query to send to the minion, `/...`.
        headers: Headers to forward to the minion, with lower-case names. Hop-by-hop
            headers, credentials and headers that a caller could spoof are removed;
            `courselead-request-id` is already included.
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
    """The stored response of an earlier run with the same idempotency key."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's response whose head has arrived.

    Attributes:
        headers: Headers as sent by the target.
        body: Chunks of the body. Raises `errors.AnswerBroken` if the response is cut
            short, and ends normally only if it is complete.
    """

    status: int
    headers: tuple[Header, ...]
    body: AsyncIterator[bytes]


Reply = Problem | Replay | Answer


class ResponseHandle(Protocol):
    """One request that was submitted to the daemon."""

    async def reply(self) -> Reply:
        """Wait for a final reply or for the head of the target's response."""
        ...

    def caller_gone(self) -> None:
        """Report that the caller no longer waits; has no effect after the end."""
        ...


# --- status ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """State of a peer as known to this host.

    Attributes:
        standing: `live`, `lost` or `left`, as agreed in the log.
        reachable: Whether the outgoing stream to it is open.
        heard_ms_ago: Age of its newest report, -1 if none was received.
    """

    entry_host: str
    availability_zone: str
    reachable: bool
    heard_ms_ago: int
    applied: int
    standing: str = "live"


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """State of a pool; `in_flight` and `queued` count this host's requests only.

    Attributes:
        budget_left: Number of workers that planned stops may still take out now.
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
    """A planned stop in progress.

    Attributes:
        phase: `stopping` until the minion has stopped, then `stopped`.
        since: Log offset at which the phase began.
        unsettled: Entry hosts that the stop waits for.
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
    """A condition that needs an operator's attention.

    Attributes:
        name: Fixed name of the kind of alarm, lower case with hyphens.
        client_account: Account concerned, "" if none in particular.
        detail: What is wrong and what to do.
        since_ms: Wall-clock time in milliseconds.
    """

    name: str
    client_account: str
    detail: str
    since_ms: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """State of one entry host for `GET /v1/status`.

    Attributes:
        member: Whether the fleet state lists this incarnation as live.
        apply_lag_ms: Age of the newest applied batch when it was applied.
        in_flight: Number of this host's requests that minions are running.
        queued: Number of requests waiting on this host.
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
class ZoneStatus:
    """State of an availability zone of the fleet.

    Attributes:
        operator: Who requested the evacuation, "" if the zone is not evacuated.
        at_ms: Wall-clock time of that request in milliseconds, 0 if there is none.
        targets: Number of the zone's serving workers.
        targets_with_work: Number of the zone's workers that have jobs, or requests
            in flight from this host or, by their newest reports, from its peers.
    """

    availability_zone: str
    evacuated: bool
    operator: str
    at_ms: int
    targets: int
    targets_with_work: int


@dataclass(frozen=True, slots=True)
class TableChange:
    """One table edit that took effect; a history lists the newest last.

    Attributes:
        at_ms: Wall-clock time of the proposer in milliseconds.
    """

    offset: int
    at_ms: int
    edit: TablePublished


# --- the daemon -----------------------------------------------------------


class Host(Protocol):
    """The daemon's interface for the HTTP API."""

    @property
    def fleet(self) -> FleetState:
        """Return the replicated state as applied on this host."""
        ...

    @property
    def ready(self) -> bool:
        """Return whether new requests should be sent to this host."""
        ...

    @property
    def live(self) -> bool:
        """Return whether the daemon's event loop is running."""
        ...

    def status(self) -> StatusReport:
        """Return the state of this host, including all accounts."""
        ...

    def now_ms(self) -> int:
        """Return the host's monotonic clock in milliseconds."""
        ...

    async def submit(self, req: IncomingRequest) -> ResponseHandle:
        """Submit a request for a minion."""
        ...

    async def publish(
        self, edit: TablePublished, deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Publish a validated edit, whose `request_id` must be set."""
        ...

    def zones(self) -> tuple[ZoneStatus, ...]:
        """Return the state of all availability zones, sorted by name."""
        ...

    async def change_zone(
        self, change: ZoneEvacuated | ZoneRestored, deadline_ms: int
    ) -> ReplyAccepted | Problem:
        """Evacuate or restore a zone.

        Args:
            change: The record, with its `request_id` set. The daemon sets its time.
            deadline_ms: When to give up waiting for the verdict.
        """
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
        """Cancel jobs of one account with a single record."""
        ...

    async def history(self, limit: int) -> tuple[TableChange, ...]:
        """Return the newest table edits that took effect, of all accounts."""
        ...
