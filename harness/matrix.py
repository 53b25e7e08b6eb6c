"""Test matrix of every promise under every fault at every step."""

import gc
import zlib
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random
from typing import get_args

from courselead.core.effects import CallAgent, Effect
from courselead.core.events import AgentOp, Event
from courselead.core.fleet.records import Record
from courselead.core.jobs import const
from harness import faults
from harness.checks import Promise, Violation
from harness.faults import FAULTS, Injector
from harness.hosts import NON_STEP_EFFECTS
from harness.world import World

END_MS = 22_000
# No load is left in the run of a later fault.
LATEST_FAULT_MS = 11_000
LEASE_MS = 4_000
SEEDS_TRIED = 12
RUNS_PER_COLLECT = 20


class Outcome(StrEnum):
    """Result of a cell."""

    PASSED = "passed"
    FAILED = "failed"
    NOT_COVERED = "not covered"


@dataclass(frozen=True, slots=True)
class Pair:
    """A fault at a step."""

    fault: str
    step: str


@dataclass(frozen=True, slots=True)
class Run:
    """Result of one run, for all promises.

    Attributes:
        injected_ms: When the fault was injected, -1 if the step did not occur.
        broken: Violated invariants of the core, or the exception that ended the run.
        trace: Trace lines, of a failed run only.
    """

    pair: Pair
    seed: int
    injected_ms: int
    violations: tuple[Violation, ...]
    exercised: frozenset[Promise]
    broken: tuple[str, ...] = ()
    trace: tuple[str, ...] = ()

    def outcome(self, promise: Promise) -> Outcome:
        """Return the result of the cell of a promise."""
        if self.injected_ms < 0:
            return Outcome.NOT_COVERED
        if self.broken or any(one.promise is promise for one in self.violations):
            return Outcome.FAILED
        if promise not in self.exercised:
            return Outcome.NOT_COVERED
        return Outcome.PASSED


def steps() -> tuple[str, ...]:
    """Return all steps, from the core's unions of events, records and effects."""
    names = [f"event:{kind.__name__}" for kind in get_args(Event)]
    names += [f"record:{kind.__name__}" for kind in get_args(Record)]
    for kind in get_args(Effect):
        if kind is CallAgent:
            names += [f"effect:CallAgent:{op}" for op in AgentOp]
        elif kind not in NON_STEP_EFFECTS:
            names.append(f"effect:{kind.__name__}")
    return tuple(names)


def pairs() -> tuple[Pair, ...]:
    """Return every fault at every step."""
    return tuple(Pair(fault, step) for step in steps() for fault in FAULTS)


@dataclass(frozen=True, slots=True)
class Profile:
    """Number of occurrences of each step in a run without a fault.

    Attributes:
        early: Occurrences up to `LATEST_FAULT_MS`.
        all: Occurrences in the whole run.
    """

    early: Counter
    all: Counter

    @classmethod
    def of_seed(cls, seed: int) -> "Profile":
        """Run a world without a fault."""
        world = World(seed)
        world.begin()
        world.sched.run_until(LATEST_FAULT_MS)
        early = Counter(world.step_counts)
        world.sched.run_until(END_MS)
        return cls(early, world.step_counts)

    def count(self, step: str, place: str) -> int:
        """Return the number of occurrences at which a fault can be injected."""
        return self.early[(step, place)] or self.all[(step, place)]


@dataclass(slots=True)
class Matrix:
    """Runs a fault at a step, with a seed and, if needed, the seeds after it."""

    seed: int
    _profiles: dict[int, Profile] = field(default_factory=dict)
    _runs: int = 0

    @classmethod
    def from_seed(cls, seed: int) -> "Matrix":
        """Return a matrix, with the lease time scaled to the time of the harness."""
        const.LEASE_MS = LEASE_MS
        gc.disable()
        return cls(seed)

    def run(self, pair: Pair) -> Run:
        """Run a fault at a step, with the first seed in which the step occurs."""
        rng = Random(zlib.crc32(f"{self.seed} {pair.fault} {pair.step}".encode()))
        place = rng.choice(("before", "after"))
        if pair.step.startswith("record:"):
            place = "after"
        seed = self.seed
        while not self._profile(seed).count(pair.step, place):
            seed += 1
            if seed >= self.seed + SEEDS_TRIED:
                return Run(pair, self.seed, -1, (), frozenset())
        return self._inject(pair, place, seed, rng)

    def _inject(self, pair: Pair, place: str, seed: int, rng: Random) -> Run:
        world = World(seed)
        nth = rng.randint(1, self._profile(seed).count(pair.step, place))
        injector = Injector(world, pair.fault, pair.step, place, nth, rng)
        _run_caught(injector)
        self._collect()
        violations = tuple(world.checks.violations)
        bad = violations or world.broken
        return Run(
            pair=pair,
            seed=seed,
            injected_ms=injector.injected_ms,
            violations=violations,
            exercised=frozenset(world.checks.exercised),
            broken=tuple(dict.fromkeys(world.broken)),
            trace=tuple(world.trace) if bad else (),
        )

    def _profile(self, seed: int) -> Profile:
        if seed not in self._profiles:
            self._profiles[seed] = Profile.of_seed(seed)
        return self._profiles[seed]

    def _collect(self) -> None:
        """Collect garbage every `RUNS_PER_COLLECT` runs; it is disabled otherwise."""
        self._runs += 1
        if self._runs % RUNS_PER_COLLECT == 0:
            gc.collect()


def sliced(found: tuple[Pair, ...], index: int, count: int) -> Iterator[Pair]:
    """Return one of `count` equal parts of the pairs, numbered from 1."""
    return iter(found[index - 1 :: count])


def _run_caught(injector: Injector) -> None:
    """Run a world; record an exception of the core as a failure."""
    try:
        faults.run(injector, END_MS)
    except Exception as exc:
        injector.injected_ms = max(injector.injected_ms, 0)
        injector.world.broken.append(f"raised {exc!r}")
