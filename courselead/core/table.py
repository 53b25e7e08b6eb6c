"""The operators' table: typed rows, and the names of rows and pools.

One row per service and one per client account. A row keeps the log offset of
its last change as its version, so that edits of different rows both stand and
the second edit of one row is a conflict.
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
        weight: Share against other accounts, above zero.
        ceiling: Most requests in flight over the whole fleet; 0 is no ceiling.
        jobs_limit: Most jobs waiting or running; 0 is no limit.
        workers_limit: Most workers that its services may ask for together; 0
            is no limit. Accounts edit their own service rows, so this is what
            keeps one from taking the free workers that others count on.
        move_cost: What one move weighs against one idle worker-day; a high
            value makes the planner hold spare workers and move little.
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
    """Shares, limits and maintenance terms of one service and its pool.

    Attributes:
        client_account: Owner of the service.
        service: Name, unique within the account.
        share: Weight against the account's other services, above zero.
        workers: Pool size wanted, in workers.
        ceiling: Most requests in flight over the fleet; 0 is no ceiling.
        availability_budget: Fraction of `workers` that may be out at once
            through maintenance and moves, losses included; 0 to 1.
        window: `always`, `never` or `Mon-Fri 22:00-05:00` in UTC.
        slots: Requests one minion runs at once.
        connections: Connections one minion takes.
        default_class: Class of a request that names none.
        deadline_ms: Deadline of a request that names none, in milliseconds.
        queue_limit: Most requests queued for this service on one entry host.
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
    """The table in force.

    Attributes:
        version: Offset of the publish that made it; -1 before the first.
        accounts: Account rows by account name.
        services: Service rows by pool name.
        row_versions: Offset of the last change by row key (see `account_key`
            and `service_key`); kept for removed rows too, so that an edit
            based on the time before a removal is a conflict.
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
