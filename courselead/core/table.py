"""The operators' table: typed rows, and the names of rows and pools.

There is one row per service and one per client account. The version of a row is
the log offset of its last change, so that concurrent edits of different rows are
both accepted and the second of two edits of one row is a conflict.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from immutables import Map

WINDOW_ALWAYS = "always"
WINDOW_NEVER = "never"


class RequestClass(StrEnum):
    """Urgency of a request or job, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class AccountRow:
    """Limits and credentials of one client account.

    Attributes:
        client_account: Name of the account.
        credential_hashes: SHA-256 hex digests of its bearer credentials.
        weight: Share relative to other accounts, above zero.
        ceiling: Maximum requests in flight in the whole fleet; 0 means no limit.
        jobs_limit: Maximum jobs waiting or running; 0 means no limit.
        workers_limit: Maximum workers that its services may request together; 0
            means no limit. Accounts edit their own service rows, so this limit
            keeps one account from taking the free workers that others rely on.
        move_cost: Cost of one move relative to one idle worker-day; with a high
            value the planner keeps spare workers and makes few moves.
    """

    client_account: str
    credential_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    ceiling: int = 0
    jobs_limit: int = 10_000
    workers_limit: int = 0
    move_cost: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceRow:
    """Shares, limits and maintenance settings of one service and its pool.

    Attributes:
        client_account: Owner of the service.
        service: Name, unique within the account.
        share: Weight relative to the account's other services, above zero.
        workers: Desired pool size, in workers.
        ceiling: Maximum requests in flight in the whole fleet; 0 means no limit.
        availability_budget: Fraction of `workers`, 0 to 1, that may be out of
            service at once for maintenance and moves; lost workers count too.
        window: Maintenance window: `always`, `never` or days and times in UTC
            such as `Mon-Fri 22:00-05:00`.
        slots: Maximum requests that one minion runs at once.
        connections: Maximum connections that one minion accepts.
        default_class: Class of a request that specifies none.
        deadline_ms: Deadline of a request that specifies none, in milliseconds.
        queue_limit: Maximum requests queued for this service on one entry host.
    """

    client_account: str
    service: str
    share: float = 1.0
    workers: int = 1
    ceiling: int = 0
    availability_budget: float = 0.25
    window: str = WINDOW_ALWAYS
    slots: int = 8
    connections: int = 64
    default_class: RequestClass = RequestClass.NORMAL
    deadline_ms: int = 10_000
    queue_limit: int = 256

    @property
    def pool(self) -> str:
        """Return the pool's name."""
        return pool_name(self.client_account, self.service)


@dataclass(frozen=True, slots=True)
class Table:
    """The table that is currently in effect.

    Attributes:
        version: Offset of the edit that created this version; -1 before the
            first edit.
        accounts: Account rows by account name.
        services: Service rows by pool name.
        row_versions: Offset of the last change by row key (see `account_key`
            and `service_key`). Removed rows keep theirs, so that an edit based
            on a version before the removal is a conflict.
    """

    version: int = -1
    accounts: Map[str, AccountRow] = field(default_factory=Map)
    services: Map[str, ServiceRow] = field(default_factory=Map)
    row_versions: Map[str, int] = field(default_factory=Map)


def pool_name(client_account: str, service: str) -> str:
    """Return the name of a service's pool."""
    return f"{client_account}/{service}"


def account_key(client_account: str) -> str:
    """Return the row key of an account row."""
    return f"account:{client_account}"


def service_key(pool: str) -> str:
    """Return the row key of a service row."""
    return f"service:{pool}"
