"""Fleets and jobs of the benchmark, with declared and true job sizes."""

import math
from dataclasses import dataclass
from random import Random

from courselead.core.fleet.records import JobSpec
from courselead.core.table import RequestClass

MINUTE_MS = 60_000
# Ratio of declared to true sizes by service: some services declare too much,
# others too little.
DECLARATION_BIASES = (2.5, 0.5, 1.0, 4.0, 0.7)
SERVICES = 5
RESOURCE_SIGMA = 0.5
RUN_TIME_SIGMA = 0.7


@dataclass(frozen=True, slots=True)
class FleetShape:
    """The current fleet of a user."""

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
class TrueDemand:
    """Work and resources that a job really needs."""

    work_ms: int
    cores: float
    memory_mb: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job with its arrival time and its true demand."""

    at_ms: int
    spec: JobSpec
    true_demand: TrueDemand


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"service-{number}"


def arrivals(shape: FleetShape, seed: int, error: float) -> list[Arrival]:
    """Return all jobs of a run in order of arrival.

    Each pool starts with a backlog of batch jobs. Normal jobs with deadlines
    and short urgent jobs arrive over the first half hour.

    Args:
        shape: Fleet that the jobs run on.
        seed: Seed of all random draws.
        error: Standard deviation of the logarithm of the ratio of declared
            to true sizes, in addition to the service's bias.
    """
    random = Random(f"{shape.name}/{seed}")
    jobs = []
    for number in range(SERVICES):
        generator = _JobGenerator(random, shape.name, number, error)
        for _ in range(20 * shape.pool_workers):
            jobs.append(generator.job(0, RequestClass.BATCH, 8 * MINUTE_MS))
        for _ in range(6 * shape.pool_workers):
            at_ms = random.randrange(30 * MINUTE_MS)
            jobs.append(generator.job(at_ms, RequestClass.NORMAL, 2 * MINUTE_MS))
        for _ in range(180):
            at_ms = random.randrange(30 * MINUTE_MS)
            jobs.append(generator.job(at_ms, RequestClass.URGENT, 8_000))
    jobs.sort(key=lambda arrival: (arrival.at_ms, arrival.spec.job_id))
    return jobs


class _JobGenerator:
    """Generates random jobs of one service."""

    def __init__(self, random: Random, account: str, service: int, error: float):
        """Use a random generator that all services share."""
        self._random = random
        self._account = account
        self._service = service
        self._error = error
        self._count = 0

    def job(self, at_ms: int, request_class: RequestClass, work_ms: int) -> Arrival:
        """Return one job whose declared sizes are the true ones times the error."""
        true_demand = TrueDemand(
            work_ms=int(self._draw_lognormal(work_ms, RUN_TIME_SIGMA)),
            cores=min(12.0, self._draw_lognormal(2.5, RESOURCE_SIGMA)),
            memory_mb=int(min(48_000, self._draw_lognormal(6_000, RESOURCE_SIGMA))),
        )
        deadline_ms = 0
        if request_class is RequestClass.NORMAL:
            deadline_ms = at_ms + 4 * true_demand.work_ms + 3 * MINUTE_MS
        self._count += 1
        spec = JobSpec(
            job_id=f"{self._service}-{request_class}-{self._count}",
            client_account=self._account,
            service=service_name(self._service),
            request_class=request_class,
            payload="",
            cores=min(16.0, self._draw_declared(true_demand.cores)),
            memory_mb=min(64 * 1024, int(self._draw_declared(true_demand.memory_mb))),
            run_ms=max(1, int(self._draw_declared(true_demand.work_ms))),
            deadline_ms=deadline_ms,
            idempotent=True,
            max_attempts=5,
        )
        return Arrival(at_ms, spec, true_demand)

    def _draw_declared(self, true_value: float) -> float:
        """Return the declared value of a quantity."""
        if not self._error:
            return true_value
        noise = self._random.gauss(0.0, self._error)
        return (
            true_value
            * DECLARATION_BIASES[self._service % len(DECLARATION_BIASES)]
            * math.exp(noise)
        )

    def _draw_lognormal(self, median: float, sigma: float) -> float:
        """Draw a lognormal value."""
        return median * math.exp(self._random.gauss(0.0, sigma))
