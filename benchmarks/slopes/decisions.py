"""Processor time of a request in the core: arrival, send and answer."""

import gc
import time
from dataclasses import dataclass

from benchmarks.figures import Fit, table
from benchmarks.slopes.fleets import START_WALL_MS, Builder, Size, host_name
from courselead.core.effects import Send
from courselead.core.events import (
    AnswerEnded,
    AnswerStarted,
    LogReachable,
    RequestArrived,
    Tick,
)
from courselead.core.identity import Identity
from courselead.core.outbox import OutboxState
from courselead.core.reducer import CoreState, reduce
from courselead.core.requests.policies import (
    LeastOutstanding,
    Policies,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
    RoutingPolicy,
    WeightedLeast,
)
from courselead.core.requests.state import RequestsState
from courselead.core.table import RequestClass

POLICIES: tuple[RoutingPolicy, ...] = (
    RandomChoice(),
    RoundRobin(),
    LeastOutstanding(),
    PowerOfTwo(),
    WeightedLeast(),
)
REQUESTS = 200
ROUNDS = 9
IN_FLIGHT_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Decision:
    """Processor time of a whole request in microseconds, the best of all rounds."""

    policy: str
    targets: int
    arrive_us: float
    answer_us: float

    @property
    def us(self) -> float:
        """Return the total time of the request."""
        return self.arrive_us + self.answer_us


@dataclass(slots=True)
class HostUnderTest:
    """An entry host with one pool, of whose slots a quarter is in use."""

    state: CoreState
    now_ms: int = 1_000
    count: int = 0

    @classmethod
    def from_targets(cls, targets: int, routing: RoutingPolicy) -> "HostUnderTest":
        """Return a host with a pool of `targets` targets."""
        size = Size(workers=targets, pools=1, accounts=1, hosts=1, zones=1)
        fleet = Builder.from_size(size).fleet
        name = host_name(0)
        host = fleet.hosts[name]
        zone = host.availability_zone
        me = Identity(name, 1, zone, host.peer_address, 1)
        policies = Policies(routing=routing)
        state = CoreState(
            me=me,
            fleet=fleet,
            outbox=OutboxState(next_seq=host.last_seq + 1),
            requests=RequestsState.from_policies(policies),
        )
        tested = cls(state)
        tested.feed(LogReachable(tested.now_ms, True))
        tested.feed(Tick(tested.now_ms, START_WALL_MS))
        for _ in range(int(targets * 8 * IN_FLIGHT_SHARE)):
            tested.arrive()
        return tested

    def feed(self, event: object) -> list[Send]:
        """Reduce an event and return the resulting sends."""
        self.state, effects = reduce(self.state, event)
        return [effect for effect in effects if isinstance(effect, Send)]

    def arrive(self) -> Send:
        """Let a request arrive and return its send, which is immediate."""
        self.count += 1
        sends = self.feed(
            RequestArrived(
                now_ms=self.now_ms,
                request_id=f"00000000-0000-4000-8000-{self.count:012x}",
                client_account="account-00",
                service="service-000",
                request_class=RequestClass.NORMAL,
                idempotent=True,
                key="",
                fingerprint="f",
                deadline_ms=self.now_ms + 10_000,
                body_bytes=100,
            )
        )
        return sends[0]

    def answer(self, send: Send) -> None:
        """Let the answer to a send start and end."""
        at = (self.now_ms, send.request_id, send.attempt, 200)
        self.feed(AnswerStarted(*at))
        self.feed(AnswerEnded(*at))

    def time_one_round(self) -> tuple[float, float]:
        """Return the mean times of an arrival and of an answer, in microseconds."""
        start = time.process_time_ns()
        sends = [self.arrive() for _ in range(min(REQUESTS, self._free_slots()))]
        middle = time.process_time_ns()
        for send in sends:
            self.answer(send)
        end = time.process_time_ns()
        count = len(sends) * 1_000
        return (middle - start) / count, (end - middle) / count

    def _free_slots(self) -> int:
        """Return the number of requests that can start without being queued."""
        return len(self.state.fleet.workers) * 3


def measure(targets: tuple[int, ...] = (10, 100, 250, 1_000)) -> list[Decision]:
    """Time all policies at several numbers of targets, interleaved in rounds."""
    hosts = {}
    for policy in POLICIES:
        for count in targets:
            hosts[policy.name, count] = HostUnderTest.from_targets(count, policy)
    best = dict.fromkeys(hosts, (float("inf"), float("inf")))
    gc.collect()
    gc.disable()
    try:
        for _ in range(ROUNDS):
            for key, tested in hosts.items():
                arrive, answer = tested.time_one_round()
                previous = best[key]
                best[key] = (min(previous[0], arrive), min(previous[1], answer))
    finally:
        gc.enable()
    return [Decision(name, count, *took) for (name, count), took in best.items()]


def decisions_table(decisions: list[Decision]) -> str:
    """Return the times by policy and by number of targets, with linear fits."""
    counts = sorted({decision.targets for decision in decisions})
    rows = []
    for name in dict.fromkeys(decision.policy for decision in decisions):
        by_count = {
            decision.targets: decision
            for decision in decisions
            if decision.policy == name
        }
        points = [(float(count), by_count[count].us) for count in counts]
        fit = Fit.from_points(points)
        times = [by_count[count].us for count in counts]
        rows.append((name, *times, fit.intercept, fit.slope * 1_000, fit.r2))
    headings = [f"{count:,} targets, us" for count in counts]
    columns = ("policy", *headings, "at 0, us", "for 1,000 targets, us", "r2")
    return table(columns, rows)


__all__ = ["POLICIES", "Decision", "HostUnderTest", "decisions_table", "measure"]
