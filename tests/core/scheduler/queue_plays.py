"""Random simulations of queues that move, go and come back beside other faults.

`python -m tests.core.scheduler.queue_plays FIRST LAST` prints the violated rules and
the sums over a range of seeds. Meanwhile owners are killed or cut off from the log,
minions are cut off and crash, answers are lost, and tasks fail. The world checks every
start. At the end the faults are over, and every job has to end, also where its queue is
gone for good.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass

from courselead.core.scheduler.models import FleetConfig, JobState, Pool, Queue
from tests.core.scheduler.seed_range import run_seeds
from tests.core.scheduler.world import QUEUE, ZONES, World, job, step

POOLS = ("p", "p2", "p3")
MAX_ATTEMPTS = 4
TURNS = 40
TURN_MS = 1_000
TAKEOVER_MS = 1_300
"""Longest time without an owner; entry hosts take over about this long after a kill."""

SETTLE_MS = 60_000
"""Time after the last fault in which leases of silent minions end and all jobs end."""

LENGTHS_MS = (300, 1_500, 6_000)
LOST_ANSWERS = 0.3


@dataclass
class Results:
    """Results of one simulation.

    Attributes:
        changes: Configurations that moved, removed or restored the queue.
        waiting: Jobs that have not ended.
        failed_early: Jobs that have failed before a task had used its attempts.
    """

    starts: int
    changes: int
    owners: int
    jobs: int
    failed: int
    waiting: int
    failed_early: int

    @property
    def is_incomplete(self) -> bool:
        """Return whether a job has not got what it asks for."""
        return bool(self.waiting or self.failed_early)


class QueueSimulation:
    """One random simulation."""

    def __init__(self, seed: int) -> None:
        """Draw the sizes and set up the world."""
        self.rng = rng = random.Random(seed)
        self.version = 1
        self.world = world = World(minions=0, cfg=self._config(POOLS[0]), seed=seed)
        for number in range(rng.choice((9, 18))):
            world.add_minion(
                f"w{number}",
                zone=ZONES[number % len(ZONES)],
                pool=POOLS[number // len(ZONES) % len(POOLS)],
            )
        world.save_ms = rng.choice((2, 30, 300))
        self.jobs: list[str] = []

    def run(self) -> Results:
        """Run the simulation and return its results."""
        world, rng = self.world, self.rng
        world.claim(rng.choice(("", *ZONES)))
        world.run(500)
        for _ in range(TURNS):
            if rng.random() < 0.5 and QUEUE in world.config.queues:
                self._submit()
            self._act(rng.randrange(10))
            world.run(rng.randint(0, TURN_MS))
        self._end_faults()
        world.run(SETTLE_MS)
        return self._results()

    def _config(self, pool: str | None) -> FleetConfig:
        """Return a configuration that sends the queue to a pool, or is without it."""
        queues = {}
        if pool is not None:
            queues[QUEUE] = Queue(QUEUE, pool, max_attempts=MAX_ATTEMPTS)
        return FleetConfig(self.version, queues, {name: Pool(name) for name in POOLS})

    def _change_queue(self) -> None:
        """Move the queue, remove it, or put it back."""
        self.version += 1
        is_gone = QUEUE not in self.world.config.queues
        pool = self.rng.choice(POOLS if is_gone else (*POOLS, None))
        self.world.change_config(self._config(pool))

    def _submit(self) -> None:
        rng = self.rng
        steps = [step(rng.randint(1, 4), cpu=rng.choice((500, 2_000)))]
        if rng.random() < 0.5:
            steps.append(step(rng.randint(1, 3), after=(0,)))
        job_id = f"{len(self.jobs):016x}"
        self.jobs.append(job_id)
        self.world.submit(job(*steps), job_id, rng.choice(LENGTHS_MS))

    def _act(self, choice: int) -> None:
        """Change the queue, or begin or end a fault."""
        world, rng = self.world, self.rng
        minion = rng.choice(world.all_minions)
        match choice:
            case 0 | 1 | 2:
                self._change_queue()
            case 3:
                world.kill_owner()
                if rng.random() < 0.5:
                    self._change_queue()
                world.run(rng.randint(0, TAKEOVER_MS))
                self._claim()
            case 4:
                world.log_cut.add(world.owner.schedule.fence)
                world.run(rng.randint(200, TAKEOVER_MS))
                self._claim()
            case 5 | 6:
                minion.cut = not minion.cut
            case 7 if minion.up:
                world.crash(minion.minion_id)
                world.add_minion(minion.worker_id, zone=minion.zone, pool=minion.pool)
            case 8:
                world.lose_answers = LOST_ANSWERS - world.lose_answers
            case 9 if self.jobs:
                world.failing_jobs ^= {rng.choice(self.jobs)}

    def _claim(self) -> None:
        self.world.claim(self.rng.choice(("", *ZONES)))

    def _end_faults(self) -> None:
        world = self.world
        world.lose_answers = 0.0
        world.failing_jobs.clear()
        world.log_cut.clear()
        for minion in world.all_minions:
            minion.cut = False
        self._claim()

    def _results(self) -> Results:
        world = self.world
        states = {job_id: world.state(job_id) for job_id in self.jobs}
        failed = [
            job_id for job_id, state in states.items() if state is JobState.FAILED
        ]
        used_up = {
            task.partition(".")[0]
            for task, count in world.failed.items()
            if count >= MAX_ATTEMPTS
        }
        return Results(
            len(world.starts),
            self.version - 1,
            world.fence,
            len(self.jobs),
            len(failed),
            sum(not state.final for state in states.values()),
            sum(job_id not in used_up for job_id in failed),
        )


if __name__ == "__main__":
    run_seeds(lambda seed: QueueSimulation(seed).run(), sys.argv[1:])
