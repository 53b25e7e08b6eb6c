"""Runs with several faults at random times, and shrinking of failing runs."""

from dataclasses import dataclass, replace
from random import Random

from courselead.core.jobs import const
from harness.faults import FAULTS, FaultContext
from harness.matrix import LEASE_MS
from harness.world import HOSTS, World

FIRST_MS = 300
LAST_MS = 16_000
RECOVERY_MS = 11_000
LOAD_BEFORE_END_MS = 6_000
MAX_ACTIONS = 6


@dataclass(frozen=True, slots=True)
class Action:
    """A fault at a host and its time.

    Attributes:
        fault_seed: Seed of the duration of the fault and of the others that it affects.
    """

    at_ms: int
    fault: str
    host: str
    fault_seed: int


@dataclass(frozen=True, slots=True)
class Result:
    """Result of a plan.

    Attributes:
        bad: Violations and failures.
        steps: Number of events that all hosts handled.
    """

    bad: tuple[str, ...]
    steps: int
    trace: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    """The seed of a world and its faults."""

    seed: int
    actions: tuple[Action, ...]

    @classmethod
    def from_seed(cls, seed: int) -> "Plan":
        """Return a random plan for a seed."""
        rng = Random(f"plan {seed}")
        names = [name for name, _ in HOSTS]
        actions = []
        for _ in range(rng.randint(1, MAX_ACTIONS)):
            at_ms = rng.randint(FIRST_MS, LAST_MS)
            fault = rng.choice(tuple(FAULTS))
            fault_seed = rng.randrange(1 << 30)
            actions.append(Action(at_ms, fault, rng.choice(names), fault_seed))
        actions.sort(key=lambda action: action.at_ms)
        return cls(seed, tuple(actions))

    def run(self) -> Result:
        """Run the plan."""
        const.LEASE_MS = LEASE_MS
        world = World(self.seed)
        end_ms = RECOVERY_MS + max((one.at_ms for one in self.actions), default=LAST_MS)
        world.load_to_ms = end_ms - LOAD_BEFORE_END_MS
        world.checks.arm()
        world.begin()
        for action in self.actions:
            world.sched.after(action.at_ms, inject, world, action)
        bad = []
        try:
            world.run(end_ms)
        except Exception as exc:
            bad.append(f"raised {exc!r}")
        bad.extend(world.broken)
        for one in world.checks.violations:
            bad.append(f"{one.at_ms} ms {one.promise}: {one.text}")
        steps = 0
        for (name, place), count in world.step_counts.items():
            if name.startswith("event:") and place == "after":
                steps += count
        return Result(tuple(bad), steps, tuple(world.trace))


def inject(world: World, action: Action) -> None:
    """Inject the fault of an action."""
    world.note(action.host, f"{action.fault} strikes")
    fault = FAULTS[action.fault]
    fault(FaultContext(world, world.hosts[action.host], Random(action.fault_seed)))


def shrink(plan: Plan) -> Plan:
    """Return a plan that still fails and from which no action can be removed."""
    index = 0
    while index < len(plan.actions):
        rest = plan.actions[:index] + plan.actions[index + 1 :]
        smaller = replace(plan, actions=rest)
        if smaller.run().bad:
            plan = smaller
        else:
            index += 1
    return plan
