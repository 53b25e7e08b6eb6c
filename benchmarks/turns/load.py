"""Jobs of several queues that have demand bursts one after another."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from courselead.core.scheduler.models import JobSpec, Resources, StepSpec

IDLE_RATE = 0.05
"""Rate between bursts, as a fraction of the mean rate."""


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The jobs of one queue and the pool they run in.

    Attributes:
        pool: Pool in which the tasks run.
        workers: Initial number of workers of the pool.
        jobs_per_s: Mean rate over bursts and the time between them.
        steps: Mean number of consecutive steps.
        width: Mean number of tasks in a step.
        run_ms: Mean run time of a task.
        cpu_milli: Mean processor demand of a task.
        priority: Priority of the queue.
        long_running_jobs: Number of jobs with long-running tasks, submitted before the
            first burst.
    """

    pool: str
    workers: int
    jobs_per_s: float
    steps: float
    width: float
    run_ms: float
    cpu_milli: float
    priority: int = 0
    long_running_jobs: int = 3


@dataclass(frozen=True, slots=True)
class Bursts:
    """The shape of the demand: the queues have their bursts one after another.

    Attributes:
        burst_ms: Duration of a burst.
        factor: Highest rate of a burst, as a multiple of the mean rate.
        steep: Whether a burst has a constant rate of half of `factor`, without a ramp.
    """

    burst_ms: int = 10_000
    factor: float = 8.0
    steep: bool = False

    def rate(self, at_ms: float, index: int, queues: int) -> float:
        """Return the rate of a queue at a time, as a multiple of its mean rate."""
        burst, phase = divmod(at_ms / self.burst_ms, 1.0)
        if burst % queues != index:
            return IDLE_RATE
        if self.steep:
            return self.factor / 2
        return max(IDLE_RATE, self.factor * math.sin(math.pi * phase) ** 2)


@dataclass(frozen=True, slots=True)
class JobArrival:
    """A job and its arrival time.

    Attributes:
        run_ms: Run time of each task, by step.
    """

    at_ms: int
    queue: str
    spec: JobSpec
    run_ms: tuple[tuple[int, ...], ...]


LARGE = (
    QueueLoad("long-a", 54, 2.84, 2.0, 8, 1_700, 9_800, priority=1),
    QueueLoad("short-b", 60, 18.3, 1.6, 8, 800, 4_500),
    QueueLoad("long-c", 66, 3.47, 2.0, 8, 1_700, 9_800, priority=1),
    QueueLoad("short-d", 48, 14.6, 1.6, 8, 800, 4_500),
)
"""Four queues of a fleet of 272 workers, as in the users' largest deployment: short
jobs at ten per second or more, and long jobs with six times the work."""

LOG_STANDARD_DEVIATION = 0.5
"""Standard deviation of the logarithm of sizes and run times."""


def draw_jobs(
    queues: tuple[QueueLoad, ...], bursts: Bursts, length_ms: int, seed: int
) -> list[JobArrival]:
    """Return random jobs, sorted by arrival time."""
    rng = random.Random(seed)
    jobs = []
    for index, queue in enumerate(queues):
        at_ms = 0.0
        max_rate = queue.jobs_per_s * bursts.factor
        while True:
            at_ms += rng.expovariate(max_rate) * 1_000
            if at_ms >= length_ms:
                break
            if rng.random() * bursts.factor < bursts.rate(at_ms, index, len(queues)):
                jobs.append(_draw_job(queue, int(at_ms), rng))
    return sorted(jobs, key=lambda item: item.at_ms)


def _draw_job(queue: QueueLoad, at_ms: int, rng: random.Random) -> JobArrival:
    steps = []
    run_ms = []
    count = max(1, round(queue.steps + rng.uniform(-0.8, 0.8)))
    for number in range(count):
        width = min(32, max(1, round(_draw_around(queue.width, rng))))
        mean_ms = _draw_around(queue.run_ms, rng)
        cpu = min(30_000, int(_draw_around(queue.cpu_milli, rng)))
        estimate_ms = int(mean_ms * rng.uniform(0.5, 1.5))
        after = (number - 1,) if number else ()
        steps.append(StepSpec(width, Resources(cpu, 1_000), estimate_ms, after))
        times = [int(mean_ms * rng.uniform(0.85, 1.15)) for _ in range(width)]
        run_ms.append(tuple(times))
    spec = JobSpec("x" * 150, tuple(steps))
    return JobArrival(at_ms, queue.pool, spec, tuple(run_ms))


def _draw_around(mean: float, rng: random.Random) -> float:
    return mean * rng.lognormvariate(
        -LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2, LOG_STANDARD_DEVIATION
    )
