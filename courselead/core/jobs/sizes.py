"""Learned sizes and run times: the usage of jobs relative to declared values.

Everything is learned from the ends of attempts in the log, so that all hosts
that read the same records learn the same. For each service and quantity, the
logarithm of the used value is fitted to that of the declared value by linear
regression with exponentially decaying weights, in which outliers are clipped.
The intercept corrects declarations that are off by a constant factor. If
declarations carry little information, the slope decreases, and estimates
approach the typical size of the service. The declared value is the prior and
counts like a few observations.
"""

import math
from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.fleet.records import JobEnd, JobOutcome, JobSpec
from courselead.core.fleet.state import WorkerState
from courselead.core.jobs import const
from courselead.core.table import pool_name

# Maximum factor, in either direction, between a declared value and the usage that is
# learned for it, and between a declared value and its estimate, margin included.
MAX_RATIO = 16.0
_MAX_LOG = math.log(MAX_RATIO)
# Weight of the declared value, in observations.
PRIOR_COUNT = 4.0
# With fewer observations the slope is one: usage is proportional to the
# declared value.
SLOPE_COUNT = 8
# Minimum weight of the newest observation; about the last 40 count.
MIN_GAIN = 0.025
# Margins above the estimate, in standard deviations. Jobs share a worker, so
# errors partly cancel out. Too little memory kills a job, too few cores only
# slow it down, and run times only order jobs.
CORES_MARGIN = 0.4
MEMORY_MARGIN = 1.0
RUN_MARGIN = 0.0
# Factor on the usage that was observed in an earlier attempt of a job.
OBSERVED_MARGIN = 1.1


@dataclass(frozen=True, slots=True)
class Fit:
    """Regression of used on declared values, both as logarithms.

    Attributes:
        count: Number of observations.
        mean_x: Mean of the declared values.
        mean_y: Mean of the used values.
        var_x: Variance of the declared values.
        var_y: Variance of the used values.
        cov: Covariance of declared and used values.
    """

    count: int = 0
    mean_x: float = 0.0
    mean_y: float = 0.0
    var_x: float = 0.0
    var_y: float = 0.0
    cov: float = 0.0

    def add(self, used: float, declared: float) -> "Fit":
        """Return the fit with one more observation."""
        if not 0 < used < math.inf or not 0 < declared < math.inf:
            return self
        x = math.log(declared)
        y = x + max(-_MAX_LOG, min(_MAX_LOG, math.log(used) - x))
        count = self.count + 1
        gain = max(1 / count, MIN_GAIN)
        off_x = x - self.mean_x
        off_y = y - self.mean_y
        keep = 1 - gain
        return Fit(
            count=count,
            mean_x=self.mean_x + gain * off_x,
            mean_y=self.mean_y + gain * off_y,
            var_x=keep * (self.var_x + gain * off_x * off_x),
            var_y=keep * (self.var_y + gain * off_y * off_y),
            cov=keep * (self.cov + gain * off_x * off_y),
        )

    def expected(self, declared: float, margin: float) -> float:
        """Return the estimated usage for a declared value.

        Args:
            declared: Declared value; if it is not a finite number above zero,
                it is returned unchanged.
            margin: Standard deviations to add to the estimate.
        """
        if not self.count or not 0 < declared < math.inf:
            return declared
        x = math.log(declared)
        slope = self._slope()
        spread = self.var_y - 2 * slope * self.cov + slope * slope * self.var_x
        y = self.mean_y + slope * (x - self.mean_x) + margin * math.sqrt(max(spread, 0))
        weight = self.count / (self.count + PRIOR_COUNT)
        change = weight * (y - x)
        return declared * math.exp(max(-_MAX_LOG, min(_MAX_LOG, change)))

    def _slope(self) -> float:
        """Return the slope, from 0 (independent) to 1 (proportional)."""
        if self.count < SLOPE_COUNT or self.var_x <= 0:
            return 1.0
        return max(0.0, min(1.0, self.cov / self.var_x))


@dataclass(frozen=True, slots=True)
class ServiceSizes:
    """Learned sizes and run times of the jobs of one service."""

    cores: Fit = Fit()
    memory: Fit = Fit()
    run: Fit = Fit()


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of an open job in an earlier attempt."""

    cores: float
    memory_mb: int


@dataclass(frozen=True, slots=True)
class Sizes:
    """Learned sizes and observed usage.

    Attributes:
        services: Learned sizes, by pool name.
        usage: Usage in earlier attempts of open jobs, by job.
    """

    services: Map[str, ServiceSizes] = field(default_factory=Map)
    usage: Map[str, Usage] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class Need:
    """Estimated resource usage and run time of a job."""

    cores: float
    memory_mb: int
    run_ms: int


NOTHING_LEARNED = ServiceSizes()


def learn(sizes: Sizes, spec: JobSpec, end: JobEnd, resumed: bool) -> Sizes:
    """Update the learned sizes from the end of an attempt.

    Args:
        sizes: Sizes before the end.
        spec: Specification of the job.
        end: End of the attempt, with the usage that the worker reported.
        resumed: Whether the attempt may have begun at a checkpoint, so that its
            run time is only a part of the job's.
    """
    pool = pool_name(spec.client_account, spec.service)
    service_sizes = sizes.services.get(pool, NOTHING_LEARNED)
    run = service_sizes.run
    if end.outcome is JobOutcome.DONE and not resumed:
        run = run.add(end.ran_ms, spec.run_ms)
    learned = ServiceSizes(
        cores=service_sizes.cores.add(end.cores_used, spec.cores),
        memory=service_sizes.memory.add(end.memory_mb_used, spec.memory_mb),
        run=run,
    )
    return replace(sizes, services=sizes.services.set(pool, learned))


def record_usage(sizes: Sizes, end: JobEnd, is_over: bool) -> Sizes:
    """Record the usage of a job's attempt, or drop it if the job is over."""
    usage = sizes.usage
    if is_over:
        usage = usage.delete(end.job_id) if end.job_id in usage else usage
    elif end.cores_used > 0 or end.memory_mb_used > 0:
        usage = usage.set(end.job_id, Usage(end.cores_used, end.memory_mb_used))
    return replace(sizes, usage=usage)


def need_of(sizes: Sizes, spec: JobSpec) -> Need:
    """Return the estimated need of a job."""
    pool = pool_name(spec.client_account, spec.service)
    service_sizes = sizes.services.get(pool, NOTHING_LEARNED)
    cores = service_sizes.cores.expected(spec.cores, CORES_MARGIN)
    memory_mb = service_sizes.memory.expected(spec.memory_mb, MEMORY_MARGIN)
    usage = sizes.usage.get(spec.job_id)
    if usage is not None and usage.cores > 0:
        cores = usage.cores * OBSERVED_MARGIN
    if usage is not None and usage.memory_mb > 0:
        memory_mb = usage.memory_mb * OBSERVED_MARGIN
    run_ms = service_sizes.run.expected(spec.run_ms, RUN_MARGIN)
    return Need(cores, math.ceil(memory_mb), int(run_ms))


def least_need(sizes: Sizes, spec: JobSpec) -> Need:
    """Return the minimum of the declared and the estimated need, for each quantity.

    The result may combine declared and estimated quantities. Admission uses it, so a
    job is not refused for a quantity if either its declared or its estimated amount
    fits.
    """
    need = need_of(sizes, spec)
    return Need(
        cores=min(need.cores, spec.cores),
        memory_mb=min(need.memory_mb, spec.memory_mb),
        run_ms=min(need.run_ms, spec.run_ms),
    )


def job_capacity(worker: WorkerState) -> tuple[float, int]:
    """Return the cores and memory that jobs may use on a worker in total."""
    return worker.cores * const.JOBS_SHARE, int(worker.memory_mb * const.JOBS_SHARE)


def fits(need: Need, worker: WorkerState) -> bool:
    """Return whether a job fits on a worker without other jobs."""
    cores, memory_mb = job_capacity(worker)
    return need.cores <= cores and need.memory_mb <= memory_mb
