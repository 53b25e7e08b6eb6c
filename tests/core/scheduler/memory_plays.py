"""Random simulations of owners with little memory for jobs, beside other faults.

`python -m tests.core.scheduler.memory_plays FIRST LAST` prints the violated rules and
the sums over a range of seeds. Jobs are timed with overlapping occurrences, large or
small, and take several times the memory of an owner. Meanwhile owners are killed or cut
off from the log, get more or less memory, minions are cut off and crash, jobs are
cancelled before and after they arrive. The world checks every start. At the end the
faults are over, and every job has to end.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass

from courselead.core.scheduler.book import OPEN_TASK_BYTES
from courselead.core.scheduler.models import JobState
from tests.core.scheduler.seed_range import run_seeds
from tests.core.scheduler.world import (
    WALL_START_MS,
    ZONES,
    World,
    config,
    job,
    step,
)

TURNS = 30
TURN_MS = 1_000
TAKEOVER_MS = 1_300
SETTLE_MS = 150_000
"""Time after the last fault in which leases of silent minions end and all jobs end."""

TASKS_IN_MEMORY = (12, 16, 24)
LENGTHS_MS = (200, 800, 2_000)
MAX_TASKS = 12
"""Tasks of the largest occurrence: as many as the smallest memory takes."""


@dataclass
class Results:
    """Results of one simulation.

    Attributes:
        most_waiting: Largest number of jobs that waited for memory.
        waiting: Jobs that have not ended.
    """

    starts: int
    owners: int
    jobs: int
    cancelled: int
    most_waiting: int
    waiting: int

    @property
    def is_incomplete(self) -> bool:
        """Return whether a job has not ended."""
        return bool(self.waiting)


class MemorySimulation:
    """One random simulation."""

    def __init__(self, seed: int) -> None:
        """Draw the sizes and set up the world."""
        self.rng = rng = random.Random(seed)
        cfg = config(max_attempts=50)
        self.world = world = World(minions=0, cfg=cfg, seed=seed)
        for number in range(rng.choice((3, 6))):
            world.add_minion(f"w{number}", zone=ZONES[number % len(ZONES)])
        world.save_ms = rng.choice((2, 30, 100))
        self.jobs: list[str] = []
        self.cancelled: set[str] = set()
        self.most_waiting = 0

    def run(self) -> Results:
        """Run the simulation and return its results."""
        world, rng = self.world, self.rng
        self._claim()
        world.run(500)
        for _ in range(TURNS):
            if rng.random() < 0.6:
                self._submit()
            self._act(rng.randrange(9))
            world.run(rng.randint(0, TURN_MS))
            waiting = len(world.owner.schedule.waiting_jobs)
            self.most_waiting = max(self.most_waiting, waiting)
        self._end_faults()
        world.run(SETTLE_MS)
        self._check_memory()
        states = [world.state(job_id) for job_id in self.jobs]
        return Results(
            len(world.starts),
            world.fence,
            len(self.jobs),
            len(self.cancelled),
            self.most_waiting,
            sum(not state.final for state in states),
        )

    def _check_memory(self) -> None:
        """Check that nothing is held for jobs that have ended."""
        schedule = self.world.owner.schedule
        states = {self.world.state(unit.job.job_id) for unit in schedule.units.values()}
        assert not {state for state in states if state.final}, "units of ended jobs"

    def _submit(self) -> None:
        rng = self.rng
        steps = [step(rng.randint(1, MAX_TASKS // 2), cpu=rng.choice((500, 2_000)))]
        if rng.random() < 0.5:
            steps.append(step(rng.randint(1, MAX_TASKS // 2), after=(0,)))
        timing = {}
        if rng.random() < 0.5:
            timing = {
                "first_due_ms": WALL_START_MS + self.world.now_ms,
                "interval_ms": rng.choice((1, 50, 700)),
                "repeats": rng.choice((1, 4, 8)),
            }
        job_id = f"{len(self.jobs):016x}"
        self.jobs.append(job_id)
        if rng.random() < 0.05:
            self.world.cancel_early(job_id)
            self.cancelled.add(job_id)
        self.world.submit(job(*steps, **timing), job_id, rng.choice(LENGTHS_MS))

    def _act(self, choice: int) -> None:
        """Begin or end a fault, or cancel a job."""
        world, rng = self.world, self.rng
        minion = rng.choice(world.all_minions)
        match choice:
            case 0 | 1:
                world.kill_owner()
                world.run(rng.randint(0, TAKEOVER_MS))
                self._claim()
            case 2:
                world.log_cut.add(world.owner.schedule.fence)
                world.run(rng.randint(200, TAKEOVER_MS))
                self._claim()
            case 3 | 4:
                minion.cut = not minion.cut
            case 5 if minion.up:
                world.crash(minion.minion_id)
                world.add_minion(minion.worker_id, zone=minion.zone, pool=minion.pool)
            case 6:
                world.lose_answers = 0.3 - world.lose_answers
            case 7 if self.jobs:
                job_id = rng.choice(self.jobs)
                if world.state(job_id) is not JobState.COMPLETED:
                    self.cancelled.add(job_id)
                world.cancel(job_id)

    def _claim(self) -> None:
        tasks = self.rng.choice(TASKS_IN_MEMORY)
        self.world.max_job_bytes = tasks * OPEN_TASK_BYTES
        self.world.claim(self.rng.choice(("", *ZONES)))

    def _end_faults(self) -> None:
        world = self.world
        world.lose_answers = 0.0
        world.log_cut.clear()
        for minion in world.all_minions:
            minion.cut = False
        self._claim()


if __name__ == "__main__":
    run_seeds(lambda seed: MemorySimulation(seed).run(), sys.argv[1:])
