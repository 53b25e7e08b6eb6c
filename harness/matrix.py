"""The matrix: every promise under every fault at every step."""

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
from harness.hosts import NOT_STEPS
from harness.world import World

END_MS = 22_000
# A fault that strikes later would meet a run with no load left.
STRIKE_BY_MS = 13_000
LEASE_MS = 4_000
RUNS_PER_COLLECT = 20


class Outcome(StrEnum):
    """What became of a cell."""

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
    """What one run showed, for all promises.

    Attributes:
        struck_ms: When the fault struck, -1 if the step never came.
        broken: Invariants of the core that did not hold, or how the run ended.
        trace: Lines of what happened, kept of a failed run only.
    """

    pair: Pair
    seed: int
    struck_ms: int
    violations: tuple[Violation, ...]
    exercised: frozenset[Promise]
    broken: tuple[str, ...] = ()
    trace: tuple[str, ...] = ()

    def outcome(self, promise: Promise) -> Outcome:
        """Return what became of the cell of a promise."""
        if self.struck_ms < 0:
            return Outcome.NOT_COVERED
        if self.broken or any(one.promise is promise for one in self.violations):
            return Outcome.FAILED
        if promise not in self.exercised:
            return Outcome.NOT_COVERED
        return Outcome.PASSED


def steps() -> tuple[str, ...]:
    """Return all steps, from the unions of the core itself."""
    names = [f"event:{kind.__name__}" for kind in get_args(Event)]
    names += [f"record:{kind.__name__}" for kind in get_args(Record)]
    for kind in get_args(Effect):
        if kind is CallAgent:
            names += [f"effect:CallAgent:{op}" for op in AgentOp]
        elif kind not in NOT_STEPS:
            names.append(f"effect:{kind.__name__}")
    return tuple(names)


def pairs() -> tuple[Pair, ...]:
    """Return every fault at every step."""
    return tuple(Pair(fault, step) for step in steps() for fault in FAULTS)


@dataclass(slots=True)
class Matrix:
    """Runs of one seed, each a fault at a step.

    Attributes:
        early: How often each step came in a run without a fault, while there
            was load; `all` over the whole run.
    """

    seed: int
    early: Counter = field(default_factory=Counter)
    all: Counter = field(default_factory=Counter)
    _runs: int = 0

    @classmethod
    def profiled(cls, seed: int) -> "Matrix":
        """Return a matrix that knows how often each step comes."""
        const.LEASE_MS = LEASE_MS
        gc.disable()
        found = cls(seed)
        world = World(seed)
        world.begin()
        world.sched.run_until(STRIKE_BY_MS)
        found.early = Counter(world.seen)
        world.sched.run_until(END_MS)
        found.all = world.seen
        return found

    def run(self, pair: Pair) -> Run:
        """Run a fault at a step."""
        rng = Random(zlib.crc32(f"{self.seed} {pair.fault} {pair.step}".encode()))
        place = rng.choice(("before", "after"))
        if pair.step.startswith("record:"):
            place = "after"
        count = self.early[(pair.step, place)] or self.all[(pair.step, place)]
        world = World(self.seed)
        nth = rng.randint(1, max(1, count))
        injector = Injector(world, pair.fault, pair.step, place, nth, rng)
        if count:
            _guarded(injector)
        self._collect()
        violations = tuple(world.checks.violations)
        bad = violations or world.broken
        return Run(
            pair=pair,
            seed=self.seed,
            struck_ms=injector.struck_ms,
            violations=violations,
            exercised=frozenset(world.checks.exercised),
            broken=tuple(dict.fromkeys(world.broken)),
            trace=tuple(world.trace) if bad else (),
        )

    def _collect(self) -> None:
        """Collect garbage now and then: it is off while a run goes on."""
        self._runs += 1
        if self._runs % RUNS_PER_COLLECT == 0:
            gc.collect()


def sliced(found: tuple[Pair, ...], index: int, count: int) -> Iterator[Pair]:
    """Return one of some equal parts of the pairs, numbered from 1."""
    return iter(found[index - 1 :: count])


def _guarded(injector: Injector) -> None:
    """Run; an exception of the core is a broken run."""
    try:
        faults.run(injector, END_MS)
    except Exception as exc:
        injector.struck_ms = max(injector.struck_ms, 0)
        injector.world.broken.append(f"raised {exc!r}")
