"""Drawn plays of services in a pool where a queue's jobs crash minions by the dozen.

`python -m tests.core.scheduler.storm_plays FIRST LAST [--losses] [--late]` adds up a
range of seeds. A quarter of the jobs that come within 26 s crash their
minions, owners are lost, and services of several tasks run in the same pool. With
`--losses` single machines lose power besides, with `--late` some orders are held up.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from dataclasses import dataclass

from courselead.core.scheduler.models import JobState, Resources
from tests.core.scheduler.innocent_jobs import InnocentJobs
from tests.core.scheduler.world import ZONES, World, job, step

MINIONS = 8
RACK_SIZE = 2
ROOM = Resources(32_000, 128_000)
SERVICES = 3
SERVICE_TASKS = 5
SERVICE_CPU = 1_500
JOB_GAP_MS = 250
JOBS = 140
GUILTY_FROM = 12
GUILTY_UNTIL = 110
GUILTY_SHARE = 0.25
SETTLE_MS = 40_000
WATCH_MS = 500
OWNER_SHARE = 0.03
LOSS_SHARE = 0.04
LATE_SHARE = 0.1
BORN_MS = 1_690_000_000_000


@dataclass
class Figures:
    """What became of a play.

    Attributes:
        starts_after: Most starts of a task after its third crash.
        served: Thousandths of the time for which each task of a service is at work.
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


class StormPlay:
    """One drawn play."""

    def __init__(self, seed: int, losses: bool = False, late: bool = False) -> None:
        """Set the world up."""
        self.rng = random.Random(seed)
        self.world = world = World(minions=0, seed=seed)
        world.reborn_in_place = self.rng.random() < 0.5
        world.late_orders = LATE_SHARE if late else 0.0
        self.losses = losses
        world.add_racks(MINIONS, RACK_SIZE, room=ROOM, born_ms=BORN_MS)
        self.services: list[str] = []
        self.innocent = InnocentJobs(world)
        self.guilty: list[str] = []
        self._at_work = 0
        self._looks = 0

    def run(self) -> Figures:
        """Play it, and return the figures."""
        world, rng = self.world, self.rng
        world.claim()
        world.run(500)
        lasting = step(SERVICE_TASKS, cpu=SERVICE_CPU, long_running=True, may_miss=1)
        for number in range(SERVICES):
            self.services.append(world.submit(job(lasting), f"5{number:015x}"))
        world.run(500)
        for number in range(JOBS):
            self._submit(number)
            if rng.random() < OWNER_SHARE:
                world.claim(rng.choice(("", *ZONES)))
            if self.losses and rng.random() < LOSS_SHARE:
                up = [minion for minion in world.all_minions if minion.up]
                world.lose_power(rng.choice(up))
            world.run(rng.randint(0, 2 * JOB_GAP_MS))
            self._watch()
        world.late_orders = 0.0
        for _ in range(SETTLE_MS // WATCH_MS):
            world.run(WATCH_MS)
            self._watch()
        return self._figures()

    def _submit(self, number: int) -> None:
        world, rng = self.world, self.rng
        job_id = f"{number:016x}"
        steps = [step(6, cpu=1_800)]
        if rng.random() < 0.6:
            steps.append(step(6, cpu=1_800, after=(0,)))
        world.submit(job(*steps), job_id, 800)
        drawn = rng.random() < GUILTY_SHARE
        if not (GUILTY_FROM <= number < GUILTY_UNTIL and drawn):
            self.innocent.add(job_id)
            return
        crash_ms = rng.choice((5, 30, 100, 400))
        tasks = range(6) if rng.random() < 0.5 else (rng.randrange(6),)
        for index in tasks:
            world.crashers[f"{job_id}.0.0.{index}"] = crash_ms
        self.guilty.append(job_id)

    def _watch(self) -> None:
        world = self.world
        running = {run.task for item in world.all_minions for run in item.runs.values()}
        self._looks += SERVICES * SERVICE_TASKS
        for job_id in self.services:
            self._at_work += sum(task.startswith(job_id) for task in running)
        self.innocent.watch()

    def _figures(self) -> Figures:
        world = self.world
        innocent = self.innocent
        return Figures(
            max(world.started_after.values(), default=0),
            world.crash_count,
            sum(world.state(item) is JobState.FAILED for item in self.services),
            innocent.failed,
            innocent.open,
            innocent.in_time,
            innocent.count,
            sum(world.state(item) is not JobState.FAILED for item in self.guilty),
            1_000 * self._at_work // self._looks,
        )


def main(argv: list[str]) -> None:
    """Print the sums over a range of seeds; `served` is their mean."""
    first, last = int(argv[0]), int(argv[1])
    sums: Counter[str] = Counter()
    worst = 0
    broken: list[str] = []
    for seed in range(first, last):
        play = StormPlay(seed, "--losses" in argv, "--late" in argv)
        play.world.limits_starts = False
        try:
            figures = play.run()
        except AssertionError as exc:
            broken.append(f"{seed}: {exc}")
            continue
        worst = max(worst, figures.starts_after)
        for name in Figures.__dataclass_fields__:
            sums[name] += getattr(figures, name)
    played = last - first - len(broken)
    sums["served"] //= max(1, played)
    print(f"worst starts after the third crash: {worst}; broken: {len(broken)}")
    for line in broken:
        print(line)
    print(dict(sums))


if __name__ == "__main__":
    main(sys.argv[1:])
