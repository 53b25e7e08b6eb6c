"""Runs a random simulation over a range of seeds from the command line."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import fields
from typing import Protocol


class SimulationResults(Protocol):
    """The results of one seed: a data class with counts."""

    @property
    def is_incomplete(self) -> bool:
        """Return whether something has not ended, so that the seed is printed."""
        ...


def run_seeds(simulate: Callable[[int], SimulationResults], argv: list[str]) -> None:
    """Print the violated rules, the incomplete seeds and the sums over all seeds.

    Args:
        simulate: Runs one seed; an AssertionError names the rule that it violates.
        argv: The first seed, and the one after the last.
    """
    first, last = int(argv[0]), int(argv[1])
    sums: Counter[str] = Counter()
    broken = 0
    for seed in range(first, last):
        try:
            results = simulate(seed)
        except AssertionError as exc:
            broken += 1
            print(f"{seed}: {exc}", flush=True)
            continue
        if results.is_incomplete:
            print(f"{seed}: {results}", flush=True)
        for item in fields(results):
            sums[item.name] += getattr(results, item.name)
    print(f"{last - first} seeds, {broken} with a violated rule, {dict(sums)}")
