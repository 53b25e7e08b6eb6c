"""Processor time of one request inside the core: arrival, send and answer."""

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
IN_FLIGHT_PART = 0.25


@dataclass(frozen=True, slots=True)
class Decision:
    """Time of one whole request, in microseconds, best of the rounds."""

    policy: str
    targets: int
    arrive_us: float
    answer_us: float

    @property
    def us(self) -> float:
        """Return the time of all its reductions."""
        return self.arrive_us + self.answer_us


@dataclass(slots=True)
class Rig:
    """One entry host with one pool, a quarter of its slots in use."""

    state: CoreState
    now_ms: int = 1_000
    count: int = 0

    @classmethod
    def from_targets(cls, targets: int, routing: RoutingPolicy) -> "Rig":
        """Return a host with a pool of some targets."""
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
        rig = cls(state)
        rig.feed(LogReachable(rig.now_ms, True))
        rig.feed(Tick(rig.now_ms, START_WALL_MS))
        for _ in range(int(targets * 8 * IN_FLIGHT_PART)):
            rig.arrive()
        return rig

    def feed(self, event: object) -> list[Send]:
        """Take in an event; return the sends."""
        self.state, effects = reduce(self.state, event)
        return [effect for effect in effects if isinstance(effect, Send)]

    def arrive(self) -> Send:
        """Let a request arrive, which is sent at once."""
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
        """Let a whole answer come."""
        at = (self.now_ms, send.request_id, send.attempt, 200)
        self.feed(AnswerStarted(*at))
        self.feed(AnswerEnded(*at))

    def time_one_round(self) -> tuple[float, float]:
        """Return the mean times of arrivals and of answers, microseconds."""
        start = time.process_time_ns()
        sends = [self.arrive() for _ in range(min(REQUESTS, self._room()))]
        between = time.process_time_ns()
        for send in sends:
            self.answer(send)
        end = time.process_time_ns()
        count = len(sends) * 1_000
        return (between - start) / count, (end - between) / count

    def _room(self) -> int:
        """Return how many more requests may be started without a queue."""
        return len(self.state.fleet.workers) * 3


def measure(targets: tuple[int, ...] = (10, 100, 250, 1_000)) -> list[Decision]:
    """Time all policies at some numbers of targets; all take turns."""
    rigs = {}
    for policy in POLICIES:
        for count in targets:
            rigs[policy.name, count] = Rig.from_targets(count, policy)
    best = dict.fromkeys(rigs, (float("inf"), float("inf")))
    gc.collect()
    gc.disable()
    try:
        for _ in range(ROUNDS):
            for key, rig in rigs.items():
                arrive, answer = rig.time_one_round()
                known = best[key]
                best[key] = (min(known[0], arrive), min(known[1], answer))
    finally:
        gc.enable()
    return [Decision(name, count, *took) for (name, count), took in best.items()]


def decisions_table(found: list[Decision]) -> str:
    """Return the times by policy and number of targets."""
    counts = sorted({one.targets for one in found})
    rows = []
    for name in dict.fromkeys(one.policy for one in found):
        by_count = {one.targets: one for one in found if one.policy == name}
        points = [(float(count), by_count[count].us) for count in counts]
        line = Fit.from_points(points)
        times = [by_count[count].us for count in counts]
        rows.append((name, *times, line.base, line.slope * 1_000, line.r2))
    heads = [f"{count:,} targets, us" for count in counts]
    columns = ("policy", *heads, "at 0, us", "for 1,000 targets, us", "r2")
    return table(columns, rows)


__all__ = ["POLICIES", "Decision", "Rig", "decisions_table", "measure"]
