"""Fleets and jobs of the bench: what is declared, and what is true."""

import math
from dataclasses import dataclass
from random import Random

from courselead.core.fleet.records import JobSpec
from courselead.core.table import RequestClass

MINUTE_MS = 60_000
# Declared over true, per service in turn: some declare too much, some too little.
BIASES = (2.5, 0.5, 1.0, 4.0, 0.7)
SERVICES = 5
TRUE_SPREAD = 0.5
RUN_SPREAD = 0.7


@dataclass(frozen=True, slots=True)
class FleetShape:
    """A user's fleet of today."""

    name: str
    zones: int
    pool_workers: int
    move_cost: float
    cores: float = 32.0
    memory_mb: int = 128 * 1024


FLEETS = {
    "aloisi": FleetShape("aloisi", zones=4, pool_workers=8, move_cost=4.0),
    "cooperative": FleetShape("cooperative", zones=3, pool_workers=6, move_cost=1.0),
}


@dataclass(frozen=True, slots=True)
class Truth:
    """What a job really takes."""

    work_ms: int
    cores: float
    memory_mb: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job, when it comes, and what it really takes."""

    at_ms: int
    spec: JobSpec
    truth: Truth


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"service-{number}"


def arrivals(shape: FleetShape, seed: int, error: float) -> list[Arrival]:
    """Return all jobs of a run, in the order they come.

    Each pool gets a backlog of batch jobs at the begin, normal jobs with
    deadlines over half an hour, and short urgent ones over the same time.

    Args:
        shape: The fleet.
        seed: Of all draws.
        error: Standard deviation of the logarithm of declared over true, on
            top of the service's bias.
    """
    random = Random(f"{shape.name}/{seed}")
    found = []
    for number in range(SERVICES):
        draw = _Draw(random, shape.name, number, error)
        for _ in range(20 * shape.pool_workers):
            found.append(draw.job(0, RequestClass.BATCH, 8 * MINUTE_MS))
        for _ in range(6 * shape.pool_workers):
            at_ms = random.randrange(30 * MINUTE_MS)
            found.append(draw.job(at_ms, RequestClass.NORMAL, 2 * MINUTE_MS))
        for _ in range(180):
            at_ms = random.randrange(30 * MINUTE_MS)
            found.append(draw.job(at_ms, RequestClass.URGENT, 8_000))
    found.sort(key=lambda one: (one.at_ms, one.spec.job_id))
    return found


class _Draw:
    """Draws the jobs of one service."""

    def __init__(self, random: Random, account: str, service: int, error: float):
        """Draw with a generator that all services share."""
        self._random = random
        self._account = account
        self._service = service
        self._error = error
        self._count = 0

    def job(self, at_ms: int, request_class: RequestClass, work_ms: int) -> Arrival:
        """Return one job; its sizes are true times the error, as declared."""
        truth = Truth(
            work_ms=int(self._spread(work_ms, RUN_SPREAD)),
            cores=min(12.0, self._spread(2.5, TRUE_SPREAD)),
            memory_mb=int(min(48_000, self._spread(6_000, TRUE_SPREAD))),
        )
        deadline_ms = 0
        if request_class is RequestClass.NORMAL:
            deadline_ms = at_ms + 4 * truth.work_ms + 3 * MINUTE_MS
        self._count += 1
        spec = JobSpec(
            job_id=f"{self._service}-{request_class}-{self._count}",
            client_account=self._account,
            service=service_name(self._service),
            request_class=request_class,
            payload="",
            cores=min(16.0, self._declared(truth.cores)),
            memory_mb=min(64 * 1024, int(self._declared(truth.memory_mb))),
            run_ms=max(1, int(self._declared(truth.work_ms))),
            deadline_ms=deadline_ms,
            idempotent=True,
            max_attempts=5,
        )
        return Arrival(at_ms, spec, truth)

    def _declared(self, true: float) -> float:
        """Return what the caller says of a quantity."""
        if not self._error:
            return true
        noise = self._random.gauss(0.0, self._error)
        return true * BIASES[self._service % len(BIASES)] * math.exp(noise)

    def _spread(self, median: float, spread: float) -> float:
        """Return a log-normal draw."""
        return median * math.exp(self._random.gauss(0.0, spread))
