"""One run of a scenario under a policy, and what is measured of it."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from benchmarks.figures import percentile
from benchmarks.requests.scenarios import (
    ALOISI,
    COOPERATIVE,
    DRAIN_MS,
    END_MS,
    FLOODS,
    MEAN_MS,
    SCENARIOS,
    WARM_MS,
    Callers,
    build,
)
from benchmarks.requests.unsplit import use_split
from benchmarks.requests.world import Asked, World
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
# Each as it is usually built, and each under the quota split with loans, to
# tell what the split does from what the choice of a target does.
POLICIES = {
    **{one.name: Policies(routing=one) for one in _ROUTINGS},
    **{f"{one.name}{SPLIT}": Policies(routing=one) for one in _ROUTINGS},
    CHOSEN: Policies(routing=WeightedLeast()),
}
PARTS = (0.5, 0.99, 0.999)
LATE = "deadline-passed"
FLOOD = "flood"


@dataclass(frozen=True, slots=True)
class Job:
    """What is to be run."""

    shape: str
    scenario: str
    policy: str
    seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run, of the requests that came after the warm-up.

    Attributes:
        late: Part that got no answer by its deadline.
        refused: Part that was told that nothing was run, before its deadline.
        failed: Part that got an error of the minion, or may have run.
        latency_ms: p50, p99 and p99.9 of served requests by class.
        start_ms: The same of the time until the first send.
        overshoot: Most sends of all hosts outstanding on one minion.
        over_part: Part of all minions' time with more than its slots.
        by_account: Part of an account's requests that was served.
        keyed_refused: Part of the keyed requests refused as the log was down.
    """

    job: Job
    asked: int
    served_per_s: float
    served: float
    late: float
    refused: float
    failed: float
    latency_ms: dict[str, tuple[float, ...]]
    start_ms: dict[str, tuple[float, ...]]
    sends: float
    minion_refusals: float
    overshoot: int
    over_part: float
    fairness: float
    by_account: dict[str, float]
    keyed_refused: float
    others_served: float
    others_p99_ms: float


def run(job: Job) -> Result:
    """Run one scenario under one policy."""
    use_split(job.policy == CHOSEN or job.policy.endswith(SPLIT))
    shape = SHAPES[job.shape]
    builder = build(shape)
    policies = POLICIES[job.policy]
    world = World.from_builder(builder, policies, job.seed, MEAN_MS, WARM_MS)
    # All policies meet the same requests at the same times.
    scene = FLOOD if job.scenario in FLOODS else job.scenario
    rng = Random(f"{job.seed}:{job.shape}:{scene}")
    callers = Callers(world, shape, rng)
    scenario = SCENARIOS.get(job.scenario) or FLOODS[job.scenario]
    scenario(callers)
    world.run(END_MS + DRAIN_MS)
    return _result(job, world)


def _result(job: Job, world: World) -> Result:
    """Return the figures of a run that has ended."""
    counted = [ask for ask in world.asked.values() if ask.at_ms >= WARM_MS]
    ends = Counter(_end_of(ask) for ask in counted)
    total = len(counted)
    seconds = (END_MS - WARM_MS) / 1_000
    minions = world.minions.values()
    span_ms = (END_MS + DRAIN_MS - WARM_MS) * len(world.minions)
    keyed = [ask for ask in counted if ask.keyed]
    down = sum(1 for ask in keyed if ask.outcome == "log-unavailable")
    accounts = _by_account(counted)
    sent = [ask for ask in counted if ask.sends]
    others = [ask for ask in counted if ask.account != "account-00"]
    others_served = [ask for ask in others if ask.outcome == "served"]
    return Result(
        job=job,
        asked=total,
        served_per_s=ends["served"] / seconds,
        served=ends["served"] / total,
        late=ends["late"] / total,
        refused=ends["refused"] / total,
        failed=ends["failed"] / total,
        latency_ms=_by_class(counted, _latency_ms),
        start_ms=_by_class(counted, _start_ms),
        sends=sum(ask.sends for ask in sent) / max(1, len(sent)),
        minion_refusals=sum(minion.refused for minion in minions) / total,
        overshoot=max(minion.most for minion in minions),
        over_part=sum(minion.over_ms for minion in minions) / span_ms,
        fairness=_jain(list(accounts.values())),
        by_account=accounts,
        keyed_refused=down / len(keyed) if keyed else 0.0,
        others_served=len(others_served) / len(others),
        others_p99_ms=percentile([_latency_ms(ask) for ask in others_served], 0.99),
    )


def _end_of(ask: Asked) -> str:
    """Return which of four ends a request met."""
    if ask.outcome == "served":
        return "served"
    if ask.outcome == LATE or not ask.outcome:
        return "late"
    return "refused" if ask.ran == "not_run" else "failed"


def _latency_ms(ask: Asked) -> float:
    """Return the time until the answer."""
    return float(ask.ended_ms - ask.at_ms)


def _start_ms(ask: Asked) -> float:
    """Return the time until the first send."""
    return float(ask.sent_ms - ask.at_ms)


def _by_class(counted: list[Asked], value) -> dict[str, tuple[float, ...]]:
    """Return percentiles of a value of the served requests of each class."""
    found = {}
    for request_class in RequestClass:
        values = [
            value(ask)
            for ask in counted
            if ask.outcome == "served" and ask.request_class is request_class
        ]
        if values:
            found[str(request_class)] = tuple(
                percentile(values, part) for part in PARTS
            )
    return found


def _by_account(counted: list[Asked]) -> dict[str, float]:
    """Return the part of each account's requests that was served."""
    asked: Counter[str] = Counter(ask.account for ask in counted)
    served = Counter(ask.account for ask in counted if ask.outcome == "served")
    return {name: served[name] / asked[name] for name in sorted(asked)}


def _jain(values: list[float]) -> float:
    """Return Jain's index: 1 if all are served alike, 1/n if only one is."""
    squares = sum(value**2 for value in values)
    if not squares:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)
