"""Random simulations of services in a pool where many jobs of one queue crash minions.

`python -m tests.core.scheduler.storm_plays FIRST LAST [--losses] [--late]` prints the
sums over a range of seeds. For 26 s a quarter of the submitted jobs crash their minions
while owners are lost and services of several tasks run in the same pool. With
`--losses` single machines also lose power, with `--late` some orders are delayed.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from dataclasses import dataclass

from courselead.core.scheduler.models import JobState, Resources
from tests.core.scheduler.innocent_jobs import OtherJobs
from tests.core.scheduler.world import ZONES, World, job, step

MINIONS = 8
RACK_SIZE = 2
CAPACITY = Resources(32_000, 128_000)
SERVICES = 3
SERVICE_TASKS = 5
SERVICE_CPU = 1_500
JOB_GAP_MS = 250
JOBS = 140
CRASHING_FROM = 12
CRASHING_UNTIL = 110
CRASHING_SHARE = 0.25
SETTLE_MS = 40_000
WATCH_MS = 500
OWNER_SHARE = 0.03
LOSS_SHARE = 0.04
LATE_SHARE = 0.1
BORN_MS = 1_690_000_000_000


@dataclass
class Results:
    """Results of one simulation.

    Attributes:
        starts_after: Maximum number of starts of a task after its third crash.
        served: Share of the time for which the tasks of services run, in thousandths.
    """

    starts_after: int
    lost_lives: int
    failed_services: int
    failed_innocent: int
    open_innocent: int
    in_time: int
    innocent: int
    open_guilty: int
    served: int


class CrashStormSimulation:
    """One random simulation."""

    def __init__(self, seed: int, losses: bool = False, late: bool = False) -> None:
        """Set up the world."""
        self.rng = random.Random(seed)
        self.world = world = World(minions=0, seed=seed)
        world.restarts_under_same_id = self.rng.random() < 0.5
        world.late_orders = LATE_SHARE if late else 0.0
        self.losses = losses
        world.add_racks(MINIONS, RACK_SIZE, capacity=CAPACITY, born_ms=BORN_MS)
        self.services: list[str] = []
        self.other_jobs = OtherJobs(world)
        self.crashing_jobs: list[str] = []
        self._active_samples = 0
        self._samples = 0

    def run(self) -> Results:
        """Run the simulation and return its results."""
        world, rng = self.world, self.rng
        world.claim()
        world.run(500)
        service_step = step(
            SERVICE_TASKS, cpu=SERVICE_CPU, long_running=True, may_miss=1
        )
        for number in range(SERVICES):
            self.services.append(world.submit(job(service_step), f"5{number:015x}"))
        world.run(500)
        for number in range(JOBS):
            self._submit(number)
            if rng.random() < OWNER_SHARE:
                world.claim(rng.choice(("", *ZONES)))
            if self.losses and rng.random() < LOSS_SHARE:
                up = [minion for minion in world.all_minions if minion.up]
                if up:
                    world.lose_power(rng.choice(up))
            world.run(rng.randint(0, 2 * JOB_GAP_MS))
            self._watch()
        world.late_orders = 0.0
        for _ in range(SETTLE_MS // WATCH_MS):
            world.run(WATCH_MS)
            self._watch()
        return self._results()

    def _submit(self, number: int) -> None:
        world, rng = self.world, self.rng
        job_id = f"{number:016x}"
        steps = [step(6, cpu=1_800)]
        if rng.random() < 0.6:
            steps.append(step(6, cpu=1_800, after=(0,)))
        world.submit(job(*steps), job_id, 800)
        drawn = rng.random() < CRASHING_SHARE
        if not (CRASHING_FROM <= number < CRASHING_UNTIL and drawn):
            self.other_jobs.add(job_id)
            return
        crash_ms = rng.choice((5, 30, 100, 400))
        tasks = range(6) if rng.random() < 0.5 else (rng.randrange(6),)
        for index in tasks:
            world.crash_ages_ms[f"{job_id}.0.0.{index}"] = crash_ms
        self.crashing_jobs.append(job_id)

    def _watch(self) -> None:
        world = self.world
        running = {run.task for item in world.all_minions for run in item.runs.values()}
        self._samples += SERVICES * SERVICE_TASKS
        for job_id in self.services:
            self._active_samples += sum(task.startswith(job_id) for task in running)
        self.other_jobs.watch()

    def _results(self) -> Results:
        world = self.world
        other_jobs = self.other_jobs
        return Results(
            max(world.started_after.values(), default=0),
            world.crash_count,
            sum(world.state(item) is JobState.FAILED for item in self.services),
            other_jobs.failed,
            other_jobs.open,
            other_jobs.in_time,
            other_jobs.count,
            sum(
                world.state(item) is not JobState.FAILED for item in self.crashing_jobs
            ),
            1_000 * self._active_samples // self._samples,
        )


def main(argv: list[str]) -> None:
    """Print the sums over a range of seeds; `served` is their mean."""
    first, last = int(argv[0]), int(argv[1])
    sums: Counter[str] = Counter()
    worst = 0
    broken: list[str] = []
    for seed in range(first, last):
        simulation = CrashStormSimulation(seed, "--losses" in argv, "--late" in argv)
        simulation.world.limits_starts = False
        try:
            results = simulation.run()
        except AssertionError as exc:
            broken.append(f"{seed}: {exc}")
            continue
        worst = max(worst, results.starts_after)
        for name in Results.__dataclass_fields__:
            sums[name] += getattr(results, name)
    simulated = last - first - len(broken)
    sums["served"] //= max(1, simulated)
    print(f"worst starts after the third crash: {worst}; broken: {len(broken)}")
    for line in broken:
        print(line)
    print(dict(sums))


if __name__ == "__main__":
    main(sys.argv[1:])
