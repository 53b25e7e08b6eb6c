"""Jobs of a few queues whose demand rises and falls by turns."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from courselead.core.scheduler.models import JobSpec, Resources, StepSpec

LULL_SHARE = 0.05
"""Rate between turns, as a part of the mean."""


@dataclass(frozen=True, slots=True)
class QueueLoad:
    """The jobs of one queue and the pool they run in.

    Attributes:
        pool: Where its tasks run.
        workers: How many workers the pool has at first.
        jobs_per_s: Mean rate over all turns.
        steps: Mean number of steps, one after the other.
        width: Mean number of tasks of a step.
        run_ms: Mean run time of a task.
        cpu_milli: Mean need of a task.
        priority: Of the queue.
        lasting: Jobs of tasks that last, handed in before the first turn.
    """

    pool: str
    workers: int
    jobs_per_s: float
    steps: float
    width: float
    run_ms: float
    cpu_milli: float
    priority: int = 0
    lasting: int = 3


@dataclass(frozen=True, slots=True)
class Turns:
    """The shape of the demand: one queue after the other has its turn.

    Attributes:
        turn_ms: How long a turn lasts.
        factor: Highest rate of a turn, as a multiple of the mean.
        steep: Whether it is reached at once, and kept.
    """

    turn_ms: int = 10_000
    factor: float = 8.0
    steep: bool = False

    def rate(self, at_ms: float, place: int, queues: int) -> float:
        """Return a queue's rate at a moment, as a multiple of its mean."""
        number, part = divmod(at_ms / self.turn_ms, 1.0)
        if number % queues != place:
            return LULL_SHARE
        if self.steep:
            return self.factor / 2
        return max(LULL_SHARE, self.factor * math.sin(math.pi * part) ** 2)


@dataclass(frozen=True, slots=True)
class Arriving:
    """A job and when it comes.

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
"""Four queues of a fleet of 272 workers: short jobs at ten a second and more, long ones
with six times the work, as the users' largest deployment has them."""

SPREAD = 0.5
"""Spread of sizes and run times: the standard deviation of their logarithm."""


def draw_jobs(
    queues: tuple[QueueLoad, ...], turns: Turns, length_ms: int, seed: int
) -> list[Arriving]:
    """Return jobs in the order in which they come."""
    rng = random.Random(seed)
    jobs = []
    for place, queue in enumerate(queues):
        at_ms = 0.0
        most = queue.jobs_per_s * turns.factor
        while True:
            at_ms += rng.expovariate(most) * 1_000
            if at_ms >= length_ms:
                break
            if rng.random() * turns.factor < turns.rate(at_ms, place, len(queues)):
                jobs.append(_job(queue, int(at_ms), rng))
    return sorted(jobs, key=lambda item: item.at_ms)


def _job(queue: QueueLoad, at_ms: int, rng: random.Random) -> Arriving:
    steps = []
    run_ms = []
    count = max(1, round(queue.steps + rng.uniform(-0.8, 0.8)))
    for number in range(count):
        width = min(32, max(1, round(_around(queue.width, rng))))
        mean_ms = _around(queue.run_ms, rng)
        cpu = min(30_000, int(_around(queue.cpu_milli, rng)))
        estimate_ms = int(mean_ms * rng.uniform(0.5, 1.5))
        after = (number - 1,) if number else ()
        steps.append(StepSpec(width, Resources(cpu, 1_000), estimate_ms, after))
        times = [int(mean_ms * rng.uniform(0.85, 1.15)) for _ in range(width)]
        run_ms.append(tuple(times))
    spec = JobSpec("x" * 150, tuple(steps))
    return Arriving(at_ms, queue.pool, spec, tuple(run_ms))


def _around(mean: float, rng: random.Random) -> float:
    return mean * rng.lognormvariate(-SPREAD * SPREAD / 2, SPREAD)
