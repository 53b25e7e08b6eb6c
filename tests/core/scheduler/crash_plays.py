"""Drawn plays of tasks that crash their minions, beside innocent jobs and other faults.

`python -m tests.core.scheduler.crash_plays FIRST LAST [--losses] [--owners] [--spread]`
prints what a range of seeds adds up to. With `--losses` no task crashes anything, and
racks lose power instead; with `--spread` each task crashes at ages of its own that
change from start to start, beside racks that lose power, too.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from dataclasses import dataclass

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import JobSpec, JobState, Resources
from tests.core.scheduler.innocent_jobs import InnocentJobs
from tests.core.scheduler.world import ZONES, World, job, step

MINIONS = 18
RACK_SIZE = 3
ROOM = Resources(8_000, 16_000)
JOB_GAP_MS = 150
JOBS = 120
LAST_MS = 60_000
BORN_MS = 1_690_000_000_000

CRASHES_MS = (0, 5, 30, 400, 1_500)
"""When in its run a task crashes its minion: at once, or after some work."""

LONGEST_AGE_MS = 30_000
AGES = 16
"""Ages that a task with a spread takes by turns: more than it is ever started."""

LAST_OF_SPREAD_MS = 300_000
"""Time in which a task that crashes so late is given up: it takes six starts."""


@dataclass
class Figures:
    """What became of a play."""

    starts_after: int
    lost_lives: int
    given_up: int
    failed_innocent: int
    open_innocent: int
    in_time: int
    innocent: int
    open_crashers: int


def drawn_spec(rng: random.Random) -> tuple[JobSpec, int]:
    """Return an innocent job and the time that its tasks take."""
    match rng.randrange(8):
        case 0:
            return job(step(2, gang=True)), 800
        case 1:
            return job(step(3), step(2, after=(0,))), 600
        case 2:
            return job(step(1, cpu=3_000, checkpoints=True)), 2_500
        case _:
            return job(step(rng.randint(1, 5))), rng.choice((400, 800, 1_700))


def crasher_spec(rng: random.Random) -> JobSpec:
    """Return a job some of whose tasks crash their minions."""
    match rng.randrange(6):
        case 0:
            return job(step(2, gang=True))
        case 1:
            return job(step(1, long_running=True))
        case 2:
            return job(step(2, checkpoints=True), step(1, after=(0,)))
        case _:
            return job(step(rng.choice((1, 1, 6))))


class CrashPlay:
    """One drawn play."""

    def __init__(
        self,
        seed: int,
        crashers: bool,
        losses: bool,
        owners: bool,
        spread: bool = False,
    ) -> None:
        """Set the world up; `losses` take the power of racks and zones in series."""
        self.rng = random.Random(seed)
        self.world = world = World(minions=0, seed=seed)
        world.reborn_in_place = self.rng.random() < 0.5
        world.add_racks(MINIONS, RACK_SIZE, room=ROOM, born_ms=BORN_MS)
        self.crashers = crashers
        self.losses = losses
        self.owners = owners
        self.spread = spread
        self.innocent = InnocentJobs(world)
        self.guilty: list[str] = []

    def run(self) -> Figures:
        """Play it, and return the figures."""
        world, rng = self.world, self.rng
        world.claim()
        world.run(500)
        lasting = world.submit(job(step(4, long_running=True, cpu=500)), "1a" * 8)
        world.run(500)
        for number in range(JOBS):
            self._submit(number)
            self._strike(number)
            world.run(rng.randint(0, 2 * JOB_GAP_MS))
            self.innocent.watch()
        world.store_down = False
        last_ms = LAST_OF_SPREAD_MS if self.spread else LAST_MS
        for _ in range(last_ms // 500):
            world.run(500)
            self.innocent.watch()
        return self._figures(lasting)

    def _submit(self, number: int) -> None:
        world, rng = self.world, self.rng
        job_id = f"{number:016x}"
        if self.crashers and 20 <= number < 60 and rng.random() < 0.12:
            spec = crasher_spec(rng)
            crash_ms: int | tuple[int, ...] = rng.choice(CRASHES_MS)
            if self.spread:
                crash_ms = self._drawn_ages()
            whole = rng.random() < 0.5
            for index in range(spec.steps[0].count):
                if index == 0 or whole:
                    world.crashers[f"{job_id}.0.0.{index}"] = crash_ms
            length_ms = 2 * LONGEST_AGE_MS if self.spread else 2_000
            world.submit(spec, job_id, length_ms)
            self.guilty.append(job_id)
            return
        spec, length_ms = drawn_spec(rng)
        world.submit(spec, job_id, length_ms)
        self.innocent.add(job_id)

    def _drawn_ages(self) -> tuple[int, ...]:
        """Return ages at which a task crashes, within a spread of its own."""
        rng = self.rng
        bounds = sorted(rng.randint(0, LONGEST_AGE_MS) for _ in range(2))
        return tuple(rng.randint(*bounds) for _ in range(AGES))

    def _strike(self, number: int) -> None:
        world, rng = self.world, self.rng
        # A claim is a record of the log.
        if self.owners and not world.store_down and rng.random() < 0.08:
            world.claim(rng.choice(("", *ZONES)))
        if self.owners and rng.random() < 0.04:
            world.store_down = not world.store_down
        if not self.losses or rng.random() > 0.06:
            return
        victim = rng.choice([item for item in world.all_minions if item.up])
        by_zone = rng.random() < 0.3
        for minion in list(world.all_minions):
            same = minion.labels == victim.labels
            if by_zone:
                same = minion.zone == victim.zone
            if minion.up and same:
                world.lose_power(minion, rng.randint(500, 3_000))

    def _figures(self, lasting: str) -> Figures:
        world = self.world
        innocent = self.innocent
        given_up = [
            order
            for order in world.orders
            if isinstance(order, ev.Note) and order.event == "task_given_up"
        ]
        open_crashers = sum(
            world.state(job_id) is not JobState.FAILED for job_id in self.guilty
        )
        return Figures(
            max(world.started_after.values(), default=0),
            world.crash_count,
            len(given_up),
            innocent.failed + (world.state(lasting) is JobState.FAILED),
            innocent.open,
            innocent.in_time,
            innocent.count,
            open_crashers,
        )


def main(argv: list[str]) -> None:
    """Print the sums over a range of seeds."""
    first, last = int(argv[0]), int(argv[1])
    losses = "--losses" in argv
    sums: Counter[str] = Counter()
    worst = 0
    for seed in range(first, last):
        spread = "--spread" in argv
        play = CrashPlay(
            seed,
            crashers=spread or not losses,
            losses=losses or spread,
            owners="--owners" in argv,
            spread=spread,
        )
        play.world.limits_starts = False
        figures = play.run()
        worst = max(worst, figures.starts_after)
        for name in Figures.__dataclass_fields__:
            sums[name] += getattr(figures, name)
    print(f"worst starts after the third crash: {worst}")
    print(dict(sums))


if __name__ == "__main__":
    main(sys.argv[1:])
