"""State of the request path of one entry host."""

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

from courselead.core.events import RequestArrived
from courselead.core.fleet.state import FleetState
from courselead.core.requests.fair_queue import FairQueue
from courselead.core.requests.policies import Policies
from courselead.core.requests.queue import ServiceQueue
from courselead.core.requests.roster import TargetSet
from courselead.core.table import Table

MAX_EXCHANGE_MS = 60_000
LOAN_VALIDITY_MS = 1_500
REPORT_INTERVAL_MS = 200
IDLE_REPORT_INTERVAL_MS = 3_000
IGNORE_OLDER_LIST_MS = 30_000
MAX_IN_FLIGHT_PER_HOST = 4_096
MAX_WAITING_PER_HOST = 8_192


class Phase(StrEnum):
    """Phase of a request that has not ended.

    CLAIMING waits for its key's claim to be applied from the log, QUEUED for a
    free unit, DELAYED for its retry time. SENT is in flight to a target, and
    ANSWERING is in flight with its answer already being sent to the caller.
    """

    CLAIMING = "claiming"
    QUEUED = "queued"
    DELAYED = "delayed"
    SENT = "sent"
    ANSWERING = "answering"


IN_FLIGHT = (Phase.SENT, Phase.ANSWERING)


@dataclass(frozen=True, slots=True)
class RequestState:
    """One request that has no final outcome yet.

    Attributes:
        deadline_ms: The caller's deadline, at most `MAX_EXCHANGE_MS` from arrival.
        queue_position: Position in the fifo of its class while QUEUED.
        attempt: Number of the newest attempt, 0 before the first.
        tried_workers: Workers of earlier attempts.
        worker: Worker of the newest attempt.
        quota: Minion quota that the newest attempt uses.
        since_ms: When the phase began; for SENT, when the request was sent.
        due_ms: When a DELAYED request returns to the queue.
        maybe_ran: Whether an earlier attempt may have run.
        claimed: Whether the request holds the claim of its key in the log.
    """

    arrived: RequestArrived
    pool: str
    deadline_ms: int
    phase: Phase
    queue_position: int = 0
    attempt: int = 0
    tried_workers: tuple[str, ...] = ()
    worker: str = ""
    quota: str = ""
    since_ms: int = 0
    due_ms: int = 0
    maybe_ran: bool = False
    claimed: bool = False


@dataclass(frozen=True, slots=True)
class Target:
    """One serving minion as seen by this host.

    Attributes:
        quota: Name of the quota of its slots; each start of a minion has its own.
        same_zone: Whether it is in this host's availability zone.
    """

    worker: str
    pool: str
    epoch: int
    availability_zone: str
    address: str
    quota: str
    same_zone: bool


@dataclass(frozen=True, slots=True)
class Health:
    """Health of one target as observed by this host; a circuit breaker.

    Attributes:
        ewma_ms: EWMA latency of answers that were not failures; 0 if unknown.
        failure_rate: EWMA of failures, from 0 to 1.
        consecutive_failures: Failures since the last success.
        ejected_until_ms: End of the ejection. After it, one request at a time is
            sent until one succeeds (half-open). 0 if not ejected (closed).
        ejections: Number of successive ejections.
        refused: Whether the target refused a request or reported that it leaves.
        full_until_ms: Until when it is not used after it reported being full.
    """

    ewma_ms: float = 0.0
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    ejected_until_ms: int = 0
    ejections: int = 0
    refused: bool = False
    full_until_ms: int = 0


@dataclass(frozen=True, slots=True)
class PoolView:
    """The serving minions of one pool.

    Attributes:
        same_zone: Targets in this host's zone that may have a free unit.
        other_zones: Targets in other zones that may have a free unit.
        members: All workers of the pool, sorted.
        choice_count: Number of targets chosen so far, for round robin.
        ewma_ms: EWMA service time; 0 if unknown.
        sampled_ms: Time of the newest sample.
    """

    same_zone: TargetSet = field(default_factory=TargetSet)
    other_zones: TargetSet = field(default_factory=TargetSet)
    members: tuple[str, ...] = ()
    choice_count: int = 0
    ewma_ms: float = 0.0
    sampled_ms: int = 0


@dataclass(frozen=True, slots=True)
class RetryBucket:
    """Token bucket that limits the retries of one client account."""

    tokens: float
    at_ms: int


@dataclass(frozen=True, slots=True)
class ShareHolder:
    """An entry host that holds a share of the quotas.

    Attributes:
        live: False for a lost host, whose share of ceilings stays reserved.
    """

    entry_host: str
    incarnation: int
    availability_zone: str
    live: bool


@dataclass(frozen=True, slots=True)
class ShareBasis:
    """Host list and table from which shares are computed.

    It took effect at an offset above `after` and not above `offset`.

    Attributes:
        after: Highest offset at which it is known not to have been in effect.
        offset: Offset at which it is known to have been in effect.
        holders: Hosts among which quotas are split.
        table: Table that defines the slots and ceilings.
    """

    after: int
    offset: int
    holders: tuple[ShareHolder, ...]
    table: Table


@dataclass(frozen=True, slots=True)
class LentUnits:
    """Units of one quota lent to one peer.

    Attributes:
        held: Units that the peer held according to its newest report.
        unheard_offers: (serial, units) of the offers in reports of this host that
            the peer had not received when it sent that report.
        offer: Units offered in the newest report of this host.
        offered_ms: When the newest offer above zero was sent.
    """

    held: int = 0
    unheard_offers: tuple[tuple[int, int], ...] = ()
    offer: int = 0
    offered_ms: int = 0

    @property
    def units(self) -> int:
        """Return the units that must be counted as used by the peer."""
        return max([self.held, *[units for _, units in self.unheard_offers]])


@dataclass(frozen=True, slots=True)
class BorrowedUnits:
    """Units of one quota borrowed from one peer.

    Attributes:
        units: Units of the newest offer, valid for new sends for
            `LOAN_VALIDITY_MS`.
        cap: Maximum number of units in use from this lender.
        received_ms: When the newest offer was received.
    """

    units: int
    cap: int
    received_ms: int


@dataclass(frozen=True, slots=True)
class PeerView:
    """Contents of the newest report received from a peer."""

    incarnation: int
    serial: int
    last_report_ms: int
    wants: Map[str, int]
    in_flight: Map[str, int]


@dataclass(frozen=True, slots=True)
class SentReport:
    """Time of the newest report sent to a peer.

    Attributes:
        busy: Whether there was anything to report, or a loan between the hosts.
    """

    at_ms: int
    busy: bool


@dataclass(frozen=True, slots=True)
class RequestsState:
    """Complete state of the local request path.

    Attributes:
        policies: Exchangeable policies.
        synced_fleet: Shared state from which the derived maps below were last updated.
        incarnation: Own incarnation at that time.
        member: Whether this host was a member at that time.
        leaving: Whether this host has been asked to leave.
        requests: Requests without a final outcome, by request id.
        account_order: Accounts that may start queued requests, in fair order.
        accounts: Per account, its pools that may start queued requests.
        queues: Queues by pool.
        waiting: Number of requests not in flight, over all pools.
        in_flight_count: Number of requests in flight, over all pools.
        in_use: Units in use by this host, by quota.
        in_flight_by_worker: Number of this host's requests in flight, by worker.
        targets: Serving minions by worker.
        pools: Targets and service time by pool name.
        health: Health of the current epoch, by worker.
        cooldowns: Time before which a worker is not used, by worker.
        bases: Share bases not yet settled by all hosts, oldest first.
        over_share: Whether more units are in use than the smallest share under
            `bases`, as of the last check. It can only become true when `bases`
            changes.
        shares: Cached base shares by quota.
        lent: Units lent, by quota and borrower.
        borrowed: Units borrowed, by quota and lender.
        peers: Newest reports received, by entry host.
        unreachable: Peers whose stream is known to be down.
        leaving_workers: Workers that the platform lists as leaving.
        list_version: Version of the platform's member list, -1 before the first.
        listed_ms: When that list was received.
        retry_budgets: Retry budgets by account.
        timers: Request ids by time slot.
        timer_slot: First slot not fully processed, -1 before the first event.
        serial: Serial number of this host's newest report.
        reported_ms: When that report was made.
        sent_reports: Newest report sent, by peer.
    """

    policies: Policies = field(default_factory=Policies)
    synced_fleet: FleetState | None = None
    incarnation: int = 0
    member: bool = False
    leaving: bool = False
    requests: Map[str, RequestState] = field(default_factory=Map)
    account_order: FairQueue = field(default_factory=FairQueue)
    accounts: Map[str, FairQueue] = field(default_factory=Map)
    queues: Map[str, ServiceQueue] = field(default_factory=Map)
    waiting: int = 0
    in_flight_count: int = 0
    in_use: Map[str, int] = field(default_factory=Map)
    in_flight_by_worker: Map[str, int] = field(default_factory=Map)
    targets: Map[str, Target] = field(default_factory=Map)
    pools: Map[str, PoolView] = field(default_factory=Map)
    health: Map[str, Health] = field(default_factory=Map)
    cooldowns: Map[str, int] = field(default_factory=Map)
    bases: tuple[ShareBasis, ...] = ()
    over_share: bool = False
    shares: Map[str, int] = field(default_factory=Map)
    lent: Map[str, Map[str, LentUnits]] = field(default_factory=Map)
    borrowed: Map[str, Map[str, BorrowedUnits]] = field(default_factory=Map)
    peers: Map[str, PeerView] = field(default_factory=Map)
    unreachable: frozenset[str] = frozenset()
    leaving_workers: frozenset[str] = frozenset()
    list_version: int = -1
    listed_ms: int = 0
    retry_budgets: Map[str, RetryBucket] = field(default_factory=Map)
    timers: Map[int, tuple[str, ...]] = field(default_factory=Map)
    timer_slot: int = -1
    serial: int = 0
    reported_ms: int = 0
    sent_reports: Map[str, SentReport] = field(default_factory=Map)

    @classmethod
    def from_policies(cls, policies: Policies) -> "RequestsState":
        """Return the initial state with the given policies."""
        return cls(policies=policies)
