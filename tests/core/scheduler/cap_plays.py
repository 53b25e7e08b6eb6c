"""Drawn plays of client accounts whose caps change, beside other faults.

`python -m tests.core.scheduler.cap_plays FIRST LAST` prints what a range of seeds adds
up to. The world checks the cap at each start.
"""

from __future__ import annotations

import random
import sys
from collections import Counter

from courselead.core.scheduler.models import JobSpec, Resources
from tests.core.scheduler.world import ZONES, World, job, step

MINIONS = 12
ROOM = Resources(8_000, 16_000)
JOBS = 90
GAP_MS = 120
LAST_MS = 60_000
ACCOUNTS = ("hot", "calm", "small", "")
CAPS_MILLI = (0, 2_000, 6_000, 12_000, 30_000)


def drawn_spec(rng: random.Random) -> JobSpec:
    """Return a job of a few tasks, some of which start as one."""
    cpu = rng.choice((500, 1_000, 3_000))
    match rng.randrange(6):
        case 0:
            return job(step(2, cpu=500, gang=True))
        case 1:
            return job(step(3, cpu=cpu), step(4, cpu=cpu, after=(0,)))
        case _:
            return job(step(rng.randint(1, 8), cpu=cpu))


class CapPlay:
    """One drawn play."""

    def __init__(self, seed: int) -> None:
        """Set the world up."""
        self.rng = random.Random(seed)
        self.world = world = World(minions=0, seed=seed)
        for number in range(MINIONS):
            world.add_minion(f"w{number}", zone=ZONES[number % len(ZONES)], room=ROOM)
        self.jobs: list[str] = []

    def run(self) -> Counter[str]:
        """Play it, and return how many jobs are in which state at the end."""
        world, rng = self.world, self.rng
        for account in ACCOUNTS[:-1]:
            self._change_cap(account)
        world.claim(rng.choice(ZONES))
        world.run(400)
        for number in range(JOBS):
            weights = (6, 2, 1, 1) if number % 30 < 15 else (1, 2, 1, 1)
            [account] = rng.choices(ACCOUNTS, weights)
            job_id = f"{number:016x}"
            length_ms = rng.choice((300, 900, 2_500))
            world.submit(drawn_spec(rng), job_id, length_ms, account)
            self.jobs.append(job_id)
            self._strike()
            world.run(rng.randint(0, 2 * GAP_MS))
        self._calm()
        world.run(LAST_MS)
        return Counter(str(world.state(job_id)) for job_id in self.jobs)

    def _change_cap(self, account: str) -> None:
        cpu = self.rng.choice(CAPS_MILLI)
        memory = self.rng.choice((0, 0, 2_000))
        self.world.set_cap(account, Resources(cpu, memory))

    def _strike(self) -> None:
        world, rng = self.world, self.rng
        drawn = rng.random()
        if drawn < 0.08:
            self._change_cap(rng.choice(ACCOUNTS[:-1]))
        elif drawn < 0.15 and not world.store_down:
            world.claim(rng.choice(("", *ZONES)))
        elif drawn < 0.19:
            world.store_down = not world.store_down
        elif drawn < 0.25:
            zone = rng.choice(ZONES)
            cut = rng.random() < 0.5
            for minion in world.all_minions:
                if minion.zone == zone:
                    minion.cut = cut
        elif drawn < 0.28:
            world.late_orders = 0.15 - world.late_orders
        elif drawn < 0.31:
            world.lose_answers = 0.1 - world.lose_answers
        elif drawn < 0.35:
            world.lose_power(
                rng.choice([item for item in world.all_minions if item.up])
            )
        elif drawn < 0.39 and self.jobs:
            job_id = rng.choice(self.jobs)
            if not world.state(job_id).final:
                world.cancel(job_id)

    def _calm(self) -> None:
        """End all faults; each account may use what it wants."""
        world = self.world
        world.store_down = False
        world.late_orders = world.lose_answers = 0.0
        for minion in world.all_minions:
            minion.cut = False
        for account in ACCOUNTS[:-1]:
            world.set_cap(account, Resources(12_000, 0))


def main(argv: list[str]) -> None:
    """Print the sums over a range of seeds, and which of them broke a rule."""
    sums: Counter[str] = Counter()
    for seed in range(int(argv[0]), int(argv[1])):
        try:
            sums += CapPlay(seed).run()
        except AssertionError as exc:
            sums["broken"] += 1
            print(f"seed {seed}: {str(exc)[:160]}", flush=True)
    print(dict(sums))


if __name__ == "__main__":
    main(sys.argv[1:])
