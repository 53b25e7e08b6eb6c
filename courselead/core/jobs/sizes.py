"""Learned sizes and run times: what jobs use against what was declared.

Learned from the ends of attempts in the log and from nothing else, so that
all hosts that read the same records learn the same. For each service and
quantity the logarithm of used over declared is followed by an exponentially
weighted mean and variance, clipped against outliers. The declared value is
the prior: it counts like a few observations.
"""

import math
from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.fleet.records import JobEnd, JobOutcome, JobSpec
from courselead.core.fleet.state import WorkerState
from courselead.core.jobs import const
from courselead.core.table import pool_name

MAX_RATIO = 16.0
_MAX_LOG = math.log(MAX_RATIO)
PRIOR_COUNT = 4.0
# Newest observation's least weight; about the last 20 count.
MIN_GAIN = 0.05
# Margins above the middle, in standard deviations: too little memory kills a
# job, too few cores slow its neighbours down, a run time only orders jobs.
CORES_MARGIN = 0.7
MEMORY_MARGIN = 1.6
RUN_MARGIN = 0.0


@dataclass(frozen=True, slots=True)
class Ratio:
    """Logarithm of used over declared: mean, variance and count."""

    mean: float = 0.0
    variance: float = 0.0
    count: int = 0

    def seen(self, used: float, declared: float) -> "Ratio":
        """Return the ratio after one more observation."""
        if used <= 0 or declared <= 0:
            return self
        value = math.log(used / declared)
        value = max(-_MAX_LOG, min(_MAX_LOG, value))
        count = self.count + 1
        gain = max(1 / count, MIN_GAIN)
        delta = value - self.mean
        mean = self.mean + gain * delta
        variance = (1 - gain) * (self.variance + gain * delta * delta)
        return Ratio(mean, variance, count)

    def factor(self, margin: float) -> float:
        """Return what a declared value is multiplied by."""
        weight = self.count / (self.count + PRIOR_COUNT)
        value = weight * (self.mean + margin * math.sqrt(self.variance))
        return math.exp(max(-_MAX_LOG, min(_MAX_LOG, value)))


@dataclass(frozen=True, slots=True)
class ServiceSizes:
    """What is learned of the jobs of one service."""

    cores: Ratio = Ratio()
    memory: Ratio = Ratio()
    run: Ratio = Ratio()


@dataclass(frozen=True, slots=True)
class Sizes:
    """What is learned, by pool name."""

    services: Map[str, ServiceSizes] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class Need:
    """What a job is expected to take."""

    cores: float
    memory_mb: int
    run_ms: int


NOTHING_LEARNED = ServiceSizes()


def learn(sizes: Sizes, spec: JobSpec, end: JobEnd, resumed: bool) -> Sizes:
    """Return the sizes after the end of an attempt.

    Args:
        sizes: Before.
        spec: The job.
        end: With the usage that the worker reported.
        resumed: Whether the attempt began at a checkpoint: its run time is
            then only a part of the job's.
    """
    pool = pool_name(spec.client_account, spec.service)
    known = sizes.services.get(pool, NOTHING_LEARNED)
    run = known.run
    if end.outcome is JobOutcome.DONE and not resumed:
        run = run.seen(end.ran_ms, spec.run_ms)
    learned = ServiceSizes(
        cores=known.cores.seen(end.cores_used, spec.cores),
        memory=known.memory.seen(end.memory_mb_used, spec.memory_mb),
        run=run,
    )
    return replace(sizes, services=sizes.services.set(pool, learned))


def need_of(sizes: Sizes, spec: JobSpec) -> Need:
    """Return what a job is expected to take."""
    pool = pool_name(spec.client_account, spec.service)
    known = sizes.services.get(pool, NOTHING_LEARNED)
    return Need(
        cores=spec.cores * known.cores.factor(CORES_MARGIN),
        memory_mb=math.ceil(spec.memory_mb * known.memory.factor(MEMORY_MARGIN)),
        run_ms=int(spec.run_ms * known.run.factor(RUN_MARGIN)),
    )


def least_need(sizes: Sizes, spec: JobSpec) -> Need:
    """Return the lesser of what is declared and what is expected.

    Admission uses it: a job is refused only if neither fits.
    """
    need = need_of(sizes, spec)
    return Need(
        cores=min(need.cores, spec.cores),
        memory_mb=min(need.memory_mb, spec.memory_mb),
        run_ms=min(need.run_ms, spec.run_ms),
    )


def room_for_jobs(worker: WorkerState) -> tuple[float, int]:
    """Return the cores and memory that jobs may hold on a worker in all."""
    return worker.cores * const.JOBS_PART, int(worker.memory_mb * const.JOBS_PART)


def fits(need: Need, worker: WorkerState) -> bool:
    """Return whether a job fits a worker that holds no other job."""
    cores, memory_mb = room_for_jobs(worker)
    return need.cores <= cores and need.memory_mb <= memory_mb
