"""Mutable working copy of the request state while one event is processed."""

from dataclasses import fields

from immutables import Map

from courselead.core.context import Context
from courselead.core.effects import Effect, Metric, RecordMetric
from courselead.core.fleet.state import FleetState
from courselead.core.requests.fair_queue import FairQueue
from courselead.core.requests.policies import Policies
from courselead.core.requests.queue import ServiceQueue
from courselead.core.requests.state import (
    BorrowedUnits,
    Health,
    LentUnits,
    PeerView,
    PoolView,
    RequestsState,
    RequestState,
    RetryBucket,
    SentReport,
    ShareBasis,
    Target,
)

_FIELDS = tuple(field.name for field in fields(RequestsState))


class Turn:
    """Working copy of the state for one call of `reduce`, never shared.

    It avoids building a new frozen `RequestsState` after every step. It has the
    fields of `RequestsState`, whose values remain persistent maps and frozen data.
    It also collects the effects of the event.
    """

    __slots__ = (*_FIELDS, "ctx", "now", "effects")

    policies: Policies
    synced_fleet: FleetState | None
    incarnation: int
    member: bool
    leaving: bool
    requests: Map[str, RequestState]
    account_order: FairQueue
    accounts: Map[str, FairQueue]
    queues: Map[str, ServiceQueue]
    waiting: int
    in_flight_count: int
    in_use: Map[str, int]
    in_flight_by_worker: Map[str, int]
    targets: Map[str, Target]
    pools: Map[str, PoolView]
    health: Map[str, Health]
    cooldowns: Map[str, int]
    bases: tuple[ShareBasis, ...]
    over_share: bool
    shares: Map[str, int]
    lent: Map[str, Map[str, LentUnits]]
    borrowed: Map[str, Map[str, BorrowedUnits]]
    peers: Map[str, PeerView]
    unreachable: frozenset[str]
    leaving_workers: frozenset[str]
    list_version: int
    listed_ms: int
    retry_budgets: Map[str, RetryBucket]
    timers: Map[int, tuple[str, ...]]
    timer_slot: int
    serial: int
    reported_ms: int
    sent_reports: Map[str, SentReport]
    ctx: Context
    now: int
    effects: list[Effect]

    def __init__(self, state: RequestsState, ctx: Context):
        for name in _FIELDS:
            setattr(self, name, getattr(state, name))
        self.ctx = ctx
        self.now = ctx.now_ms
        self.effects = []

    def freeze(self) -> RequestsState:
        """Return the current values as a frozen state."""
        return RequestsState(*[getattr(self, name) for name in _FIELDS])

    def emit(self, effect: Effect) -> None:
        """Append an effect to the result of this turn."""
        self.effects.append(effect)

    def measure(self, metric: Metric, value: float, req: RequestState, label: str = ""):
        """Emit a metric observation with the account and class of a request."""
        arrived = req.arrived
        cls = str(arrived.request_class)
        self.effects.append(
            RecordMetric(metric, value, arrived.client_account, cls, label)
        )
