"""Exchangeable policies for target selection, retries and fair queueing.

All policies are pure and stateless. The benchmarks run the request path with
alternative ones.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from courselead.core.table import AccountRow, ServiceRow

COST_SCALE = 1_000_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """One target that may take the request.

    Attributes:
        outstanding: Requests in flight there from this entry host.
        limit: Units that this entry host may use there now.
        peers: Requests in flight there from other entry hosts, as last reported.
        latency: Its EWMA latency relative to the pool's, 1.0 if not known.
        failure_rate: EWMA of failures, from 0 to 1.
    """

    worker: str
    outstanding: int
    limit: int
    peers: int
    latency: float
    failure_rate: float


class RoutingPolicy(Protocol):
    """Selection of a target among those with a free unit.

    Attributes:
        uses_health: Whether ejected targets are skipped.
        uses_peers: Whether the in-flight counts of peers are needed.
    """

    name: str
    uses_health: bool
    uses_peers: bool

    def sample_positions(
        self, size: int, hash_value: int, choice_count: int
    ) -> Sequence[int]:
        """Return the positions below `size` to examine, at least one."""
        ...

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate to use; `candidates` is not empty."""
        ...


def spread_positions(size: int, hash_value: int, max_count: int) -> Sequence[int]:
    """Return up to `max_count` distinct, evenly spaced positions.

    The first position is given by `hash_value`.
    """
    start = hash_value % size
    step = max(1, size // max_count)
    return [(start + index * step) % size for index in range(min(size, max_count))]


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Random target, by a hash of the request id."""

    name: str = "random"
    uses_health: bool = False
    uses_peers: bool = False

    def sample_positions(
        self, size: int, hash_value: int, choice_count: int
    ) -> Sequence[int]:
        """Return the position given by the hash."""
        return (hash_value % size,)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the only candidate."""
        return candidates[0]


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Targets in rotation."""

    name: str = "round_robin"
    uses_health: bool = False
    uses_peers: bool = False

    def sample_positions(
        self, size: int, hash_value: int, choice_count: int
    ) -> Sequence[int]:
        """Return the next position in rotation."""
        return (choice_count % size,)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the only candidate."""
        return candidates[0]


@dataclass(frozen=True, slots=True)
class LeastOutstanding:
    """Target with the fewest requests in flight from this entry host."""

    name: str = "least_outstanding"
    uses_health: bool = False
    uses_peers: bool = False

    def sample_positions(
        self, size: int, hash_value: int, choice_count: int
    ) -> Sequence[int]:
        """Return all positions, starting at the one given by the hash."""
        start = hash_value % size
        return [(start + index) % size for index in range(size)]

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the fewest requests in flight from this host."""
        return min(candidates, key=lambda one: one.outstanding)


@dataclass(frozen=True, slots=True)
class PowerOfTwo:
    """Less loaded of two targets, counting own requests and those of peers."""

    name: str = "power_of_two"
    uses_health: bool = False
    uses_peers: bool = True

    def sample_positions(
        self, size: int, hash_value: int, choice_count: int
    ) -> Sequence[int]:
        """Return up to two positions given by the hash."""
        return spread_positions(size, hash_value, 2)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the fewest requests in flight from all hosts."""
        return min(candidates, key=lambda one: one.outstanding + one.peers)


@dataclass(frozen=True, slots=True)
class WeightedLeast:
    """Lowest utilization of the own quota, weighted by latency and failures.

    Examines up to `sample_size` targets with a free unit, so the cost does not grow
    with the pool.

    Attributes:
        sample_size: Maximum number of targets to examine.
        slow_ratio: Latency relative to the pool's above which a target is slow.
            Below it latency is ignored. Otherwise the fastest of equal targets
            would get all requests at low load.
        failure_weight: Weight of the failure rate. A target that fails fast must
            not be preferred for its low latency.
    """

    name: str = "weighted_least"
    uses_health: bool = True
    uses_peers: bool = False
    sample_size: int = 6
    slow_ratio: float = 1.5
    failure_weight: float = 8.0

    def sample_positions(
        self, size: int, hash_value: int, choice_count: int
    ) -> Sequence[int]:
        """Return up to `sample_size` positions given by the hash."""
        return spread_positions(size, hash_value, self.sample_size)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate with the lowest weighted load."""
        best = candidates[0]
        if len(candidates) == 1:
            return best
        best_score = self._score(best)
        for one in candidates[1:]:
            score = self._score(one)
            if score < best_score:
                best, best_score = one, score
        return best

    def _score(self, one: Candidate) -> float:
        load = (one.outstanding + 1) / one.limit
        latency = min(max(one.latency / self.slow_ratio, 1.0), 8.0)
        return load * latency * (1.0 + self.failure_weight * one.failure_rate)


class RetryPolicy(Protocol):
    """Conditions and delays for retries."""

    max_attempts: int
    ratio: float
    floor_per_s: float
    burst: float

    def delay_ms(self, seed: int, request_id: str, attempt: int) -> int:
        """Return how long to wait after a failed attempt, in milliseconds."""
        ...


@dataclass(frozen=True, slots=True)
class JitteredRetry:
    """Exponential delay with jitter and a token bucket per client account.

    Attributes:
        ratio: Tokens earned per request.
        floor_per_s: Tokens earned per second without any request.
        burst: Maximum number of tokens.
    """

    max_attempts: int = 3
    ratio: float = 0.1
    floor_per_s: float = 1.0
    burst: float = 20.0
    base_ms: int = 20

    def delay_ms(self, seed: int, request_id: str, attempt: int) -> int:
        """Return a delay between 0.5 and 1.5 times the mean of this attempt."""
        mean = self.base_ms << (attempt - 1)
        hash_value = xxhash.xxh64_intdigest(
            f"{request_id}\x00{attempt}".encode(), seed=seed
        )
        return mean // 2 + hash_value % mean


class FairnessPolicy(Protocol):
    """Virtual-time cost of starting one request, by level of the fair queueing."""

    def account_cost(self, row: AccountRow | None) -> int:
        """Return the cost to the client account."""
        ...

    def service_cost(self, row: ServiceRow) -> int:
        """Return the cost to the service."""
        ...

    def class_cost(self, index: int) -> int:
        """Return the cost to the class."""
        ...


@dataclass(frozen=True, slots=True)
class WeightedFairness:
    """Weights from the table for accounts and services, fixed weights for classes.

    With weights 1000:10:1 urgent requests start first, except that a backlogged
    normal class gets one start per 100 urgent ones and batch one per thousand.
    Urgent requests keep 98.9 % of the starts under any backlog, and no class
    starves.
    """

    class_weights: tuple[int, int, int] = (1_000, 10, 1)

    def account_cost(self, row: AccountRow | None) -> int:
        """Return the cost by the account's weight."""
        return _cost(row.weight if row is not None else 1.0)

    def service_cost(self, row: ServiceRow) -> int:
        """Return the cost by the service's share."""
        return _cost(row.share)

    def class_cost(self, index: int) -> int:
        """Return the cost by the class's weight."""
        return COST_SCALE // self.class_weights[index]


def _cost(weight: float) -> int:
    """Return the virtual-time cost of one start for a weight."""
    if weight <= 0:
        return COST_SCALE * COST_SCALE
    return max(1, int(COST_SCALE / weight))


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies in use on one entry host."""

    routing: RoutingPolicy = field(default_factory=WeightedLeast)
    retry: RetryPolicy = field(default_factory=JitteredRetry)
    fairness: FairnessPolicy = field(default_factory=WeightedFairness)
    refuse_unmeetable_deadlines: bool = True
