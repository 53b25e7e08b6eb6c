"""Runs a scenario under a policy and computes its figures."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from benchmarks.figures import percentile
from benchmarks.requests.scenarios import (
    ALOISI,
    ARRIVALS_END_MS,
    COOPERATIVE,
    DRAIN_MS,
    FLOODS,
    MEAN_MS,
    SCENARIOS,
    WARM_UP_MS,
    Callers,
    build_fleet,
)
from benchmarks.requests.simulation import CallerRequest, Simulation
from benchmarks.requests.unsplit import set_quota_split
from courselead.core.requests.policies import (
    LeastOutstanding,
    Policies,
    PowerOfTwo,
    RandomChoice,
    RoundRobin,
    WeightedLeast,
)
from courselead.core.table import RequestClass

SHAPES = {shape.name: shape for shape in (ALOISI, COOPERATIVE)}
CHOSEN = "chosen"
SPLIT = ", split"
_ROUTINGS = (RandomChoice(), RoundRobin(), LeastOutstanding(), PowerOfTwo())
# Each routing policy runs without and with the quota split and loans, which
# separates the effect of the split from that of the choice of a target.
POLICIES = {
    **{one.name: Policies(routing=one) for one in _ROUTINGS},
    **{f"{one.name}{SPLIT}": Policies(routing=one) for one in _ROUTINGS},
    CHOSEN: Policies(routing=WeightedLeast()),
}
QUANTILES = (0.5, 0.99, 0.999)
DEADLINE_PASSED = "deadline-passed"
FLOOD = "flood"


@dataclass(frozen=True, slots=True)
class Job:
    """Parameters of one run."""

    shape: str
    scenario: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run, over the requests that arrived after the warm-up.

    Attributes:
        late: Fraction without an answer by the deadline.
        refused: Fraction answered before the deadline with a problem that states
            that the request did not run.
        failed: Fraction that got an error from the minion or may have run.
        latency_ms: p50, p99 and p99.9 of the latency of served requests, by class.
        start_ms: The same percentiles of the time until the first send.
        max_outstanding: Maximum number of outstanding sends of all hosts on one
            minion.
        overload_fraction: Fraction of the total minion time with more
            outstanding sends than slots.
        served_by_account: Fraction of each account's requests that was served.
        keyed_refused: Fraction of the keyed requests that was refused because
            the log was down.
    """

    job: Job
    request_count: int
    served_per_s: float
    served: float
    late: float
    refused: float
    failed: float
    latency_ms: dict[str, tuple[float, ...]]
    start_ms: dict[str, tuple[float, ...]]
    sends: float
    minion_refusals: float
    max_outstanding: int
    overload_fraction: float
    fairness: float
    served_by_account: dict[str, float]
    keyed_refused: float
    others_served: float
    others_p99_ms: float


def run(job: Job) -> Result:
    """Run one scenario under one policy."""
    set_quota_split(job.policy == CHOSEN or job.policy.endswith(SPLIT))
    shape = SHAPES[job.shape]
    builder = build_fleet(shape)
    policies = POLICIES[job.policy]
    simulation = Simulation.from_builder(
        builder, policies, job.seed, MEAN_MS, WARM_UP_MS
    )
    # The seed leaves out the policy, so that all policies get the same requests.
    seed_scenario = FLOOD if job.scenario in FLOODS else job.scenario
    rng = Random(f"{job.seed}:{job.shape}:{seed_scenario}")
    callers = Callers(simulation, shape, rng)
    scenario = SCENARIOS.get(job.scenario) or FLOODS[job.scenario]
    scenario(callers)
    simulation.run(ARRIVALS_END_MS + DRAIN_MS)
    return _result(job, simulation)


def _result(job: Job, simulation: Simulation) -> Result:
    """Return the figures of a finished run."""
    counted = [
        request
        for request in simulation.requests.values()
        if request.at_ms >= WARM_UP_MS
    ]
    ends = Counter(_outcome_class(request) for request in counted)
    total = len(counted)
    seconds = (ARRIVALS_END_MS - WARM_UP_MS) / 1_000
    minions = simulation.minions.values()
    span_ms = (ARRIVALS_END_MS + DRAIN_MS - WARM_UP_MS) * len(simulation.minions)
    keyed = [request for request in counted if request.keyed]
    down = sum(1 for request in keyed if request.outcome == "log-unavailable")
    accounts = _served_by_account(counted)
    sent = [request for request in counted if request.sends]
    others = [request for request in counted if request.account != "account-00"]
    others_served = [request for request in others if request.outcome == "served"]
    return Result(
        job=job,
        request_count=total,
        served_per_s=ends["served"] / seconds,
        served=ends["served"] / total,
        late=ends["late"] / total,
        refused=ends["refused"] / total,
        failed=ends["failed"] / total,
        latency_ms=_percentiles_by_class(counted, _latency_ms),
        start_ms=_percentiles_by_class(counted, _start_ms),
        sends=sum(request.sends for request in sent) / max(1, len(sent)),
        minion_refusals=sum(minion.refused for minion in minions) / total,
        max_outstanding=max(minion.max_outstanding for minion in minions),
        overload_fraction=sum(minion.overload_ms for minion in minions) / span_ms,
        fairness=_jain(list(accounts.values())),
        served_by_account=accounts,
        keyed_refused=down / len(keyed) if keyed else 0.0,
        others_served=len(others_served) / len(others),
        others_p99_ms=percentile(
            [_latency_ms(request) for request in others_served], 0.99
        ),
    )


def _outcome_class(request: CallerRequest) -> str:
    """Return the outcome as served, late, refused or failed."""
    if request.outcome == "served":
        return "served"
    if request.outcome == DEADLINE_PASSED or not request.outcome:
        return "late"
    return "refused" if request.run_status == "not_run" else "failed"


def _latency_ms(request: CallerRequest) -> float:
    """Return the time until the answer."""
    return float(request.ended_ms - request.at_ms)


def _start_ms(request: CallerRequest) -> float:
    """Return the time until the first send."""
    return float(request.sent_ms - request.at_ms)


def _percentiles_by_class(
    counted: list[CallerRequest], value
) -> dict[str, tuple[float, ...]]:
    """Return percentiles of a value over the served requests, by class."""
    found = {}
    for request_class in RequestClass:
        values = [
            value(request)
            for request in counted
            if request.outcome == "served" and request.request_class is request_class
        ]
        if values:
            found[str(request_class)] = tuple(
                percentile(values, quantile) for quantile in QUANTILES
            )
    return found


def _served_by_account(counted: list[CallerRequest]) -> dict[str, float]:
    """Return the fraction of each account's requests that was served."""
    requests: Counter[str] = Counter(request.account for request in counted)
    served = Counter(
        request.account for request in counted if request.outcome == "served"
    )
    return {name: served[name] / requests[name] for name in sorted(requests)}


def _jain(values: list[float]) -> float:
    """Return Jain's fairness index: 1 if all are equal, 1/n if only one is not 0."""
    squares = sum(value**2 for value in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)
