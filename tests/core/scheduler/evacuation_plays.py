"""Random simulations of zones that are evacuated and returned amid faults.

`python -m tests.core.scheduler.evacuation_plays FIRST LAST` prints the violated rules
and the sums over a range of seeds. Owners are killed, zones, stores and minions are
cut off, orders are carried out 2 to 12 s late, jobs are cancelled, and waves restart
workers. The world checks every start, stop and run of a cancelled job.
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, replace

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import (
    Bounds,
    JobSpec,
    JobState,
    MaintenanceWave,
    Resources,
)
from tests.core.scheduler.seed_range import run_seeds
from tests.core.scheduler.world import ZONES, job, step, world_of_zones

MINIONS = 9
CAPACITY = Resources(4_000, 4_000)
WITHIN_MS = 5_000
TURNS = 60
TURN_MS = 600
SETTLE_MS = 60_000
"""Time after the last fault within which all jobs have ended: several leases."""

SERVICES = 2
SERVICE_TASKS = 4
LATE_SHARE = 0.6
LATE_MS = (2_000, 12_000)
SLOW_READ_MS = (500, 8_000)
TAKEOVER_MS = 1_300
"""Longest time without an owner; entry hosts take over about this long after a kill."""


@dataclass
class Results:
    """Results of one simulation.

    Attributes:
        late_zone_starts: Starts in an evacuated zone whose orders were sent in time.
        late_cancelled_starts: Starts of jobs that were cancelled meanwhile.
        open_jobs: Jobs that have neither completed nor been cancelled.
        idle_services: Tasks of services that don't run at the end.
    """

    starts: int
    evacuations: int
    late_zone_starts: int
    late_cancelled_starts: int
    cancelled: int
    maintained: int
    open_jobs: int
    idle_services: int

    @property
    def is_incomplete(self) -> bool:
        """Return whether a job or service has not got what it asks for."""
        return bool(self.open_jobs or self.idle_services)


def random_spec(rng: random.Random) -> tuple[JobSpec, int]:
    """Return a random finite job and the run time of its tasks in ms."""
    match rng.randrange(6):
        case 0:
            return job(step(2, gang=True)), 900
        case 1:
            return job(step(3), step(2, after=(0,))), 600
        case 2:
            return job(step(2, checkpoints=True)), 8_000
        case 3:
            return job(step(2, cpu=2_000)), 15_000
        case _:
            return job(step(rng.randint(1, 5))), rng.choice((300, 800, 1_700))


class EvacuationSimulation:
    """One random simulation."""

    def __init__(self, seed: int) -> None:
        """Set up the world."""
        self.rng = random.Random(seed)
        self.world = world = world_of_zones(MINIONS, seed, CAPACITY)
        world.bounds = replace(Bounds(), evacuated_within_ms=WITHIN_MS)
        world.late_ms = LATE_MS
        self.faults: dict[str, int] = {}
        self.evacuations = 0
        self.jobs: list[str] = []
        self.cancelled: set[str] = set()
        self.services: list[str] = []
        self.wave: ev.WaveRequested | None = None

    def run(self) -> Results:
        """Run the simulation and return its results."""
        world, rng = self.world, self.rng
        world.claim()
        world.run(500)
        spec = step(SERVICE_TASKS, cpu=500, long_running=True, may_miss=1)
        for number in range(SERVICES):
            self.services.append(world.submit(job(spec), f"5{number:015x}"))
        world.run(1_000)
        for number in range(TURNS):
            self._submit(number)
            self._act(rng.randrange(12))
            world.run(rng.randint(0, 2 * TURN_MS))
        self._end_faults()
        world.run(SETTLE_MS)
        return self._results()

    def _submit(self, number: int) -> None:
        if self.world.store_down:
            return
        spec, length_ms = random_spec(self.rng)
        self.jobs.append(self.world.submit(spec, f"{number:016x}", length_ms))

    def _act(self, choice: int) -> None:
        """Let the operator or a caller act, or begin or end a fault."""
        world, rng = self.world, self.rng
        zone = rng.choice(ZONES)
        match choice:
            # The operator's and the callers' requests need the store.
            case 0 | 1 | 2 if not world.store_down:
                self._toggle(zone)
            case 3 | 4 if self.jobs and not world.store_down:
                job_id = rng.choice(self.jobs[-8:])
                if not world.state(job_id).final:
                    world.cancel(job_id)
                    self.cancelled.add(job_id)
            case 5 if not world.store_down:
                world.kill_owner()
                world.run(rng.randint(0, TAKEOVER_MS))
                self._claim()
            case 6:
                self._cut_from_store()
            case 7:
                for minion in world.all_minions:
                    minion.cut = minion.zone == zone and not minion.cut
            case 8:
                world.store_down = not world.store_down
            case 9:
                slow_ms = rng.randint(*SLOW_READ_MS)
                world.operator_log_ms = 0 if world.operator_log_ms else slow_ms
            case 10:
                world.late_orders = LATE_SHARE - world.late_orders
            case 11 if self.wave is None:
                workers = tuple(sorted(item.worker_id for item in world.all_minions))
                self.wave = ev.WaveRequested(MaintenanceWave(1, workers, 60, 1))
                world.owner.handle(self.wave, world.now_ms)

    def _toggle(self, zone: str) -> None:
        world = self.world
        if zone in world.closed_zones:
            world.restore(zone)
            return
        world.evacuate(zone)
        self.evacuations += 1

    def _cut_from_store(self) -> None:
        """Cut the owner off from the store, but not from minions, and replace it."""
        world = self.world
        if world.store_down:
            return
        world.log_cut.add(world.owner.schedule.fence)
        world.run(self.rng.randint(200, TAKEOVER_MS))
        self._claim()

    def _claim(self) -> None:
        self.world.claim(self.rng.choice(("", *ZONES)))
        if self.wave is not None:
            self.world.owner.handle(self.wave, self.world.now_ms)

    def _end_faults(self) -> None:
        world = self.world
        world.store_down = False
        world.operator_log_ms = 0
        world.late_orders = 0.0
        for minion in world.all_minions:
            minion.cut = False
        world.log_cut.clear()
        for zone in list(world.closed_zones):
            world.restore(zone)
        self._claim()

    def _results(self) -> Results:
        world = self.world
        running = {run.task for item in world.all_minions for run in item.runs.values()}
        serving = [task for task in running if task[:16] in self.services]
        return Results(
            len(world.starts),
            self.evacuations,
            world.late_zone_starts,
            world.late_cancelled_starts,
            len(self.cancelled),
            len(world.maintained),
            sum(
                world.state(item) is not JobState.COMPLETED
                for item in self.jobs
                if item not in self.cancelled
            ),
            SERVICES * SERVICE_TASKS - len(serving),
        )


if __name__ == "__main__":
    run_seeds(lambda seed: EvacuationSimulation(seed).run(), sys.argv[1:])
