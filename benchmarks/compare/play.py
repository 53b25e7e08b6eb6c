"""Runs days on source trees, a bounded number at a time."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.compare.days import Day
from benchmarks.compare.outcome import NoResultError, Outcome

RUN_TIMEOUT_S = 1_500
"""Limit for a run: five times that of a grown site on a busy machine."""


@dataclass(frozen=True, slots=True)
class Tree:
    """A named source tree."""

    name: str
    path: Path


@dataclass(frozen=True, slots=True)
class DayRun:
    """One day, run with one seed on one tree."""

    tree: Tree
    day: Day
    seed: int

    @property
    def label(self) -> str:
        """Return the name for log files and status lines."""
        return f"{self.tree.name}-{self.day.label}-{self.seed}"


@dataclass(frozen=True, slots=True)
class Bench:
    """How days are run.

    Attributes:
        program: The program of the users' bench.
        site: The site file.
        logs: Folder for the output of each run.
        why: The line for the bench's journal.
        no_cpu: Charge no processor time, which makes runs mostly repeatable.
    """

    program: Path
    site: Path
    logs: Path
    why: str
    no_cpu: bool

    def run(self, run: DayRun) -> Outcome | None:
        """Run a day; if it has no result, print the reason and return None."""
        command = [str(self.program), "run", str(self.site), run.day.source]
        command += ["--seed", str(run.seed), "--log", "all", "--why", self.why]
        if self.no_cpu:
            command.append("--no-cpu")
        try:
            done = subprocess.run(
                command,
                cwd=run.tree.path,
                capture_output=True,
                text=True,
                check=False,
                timeout=RUN_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            _print_status(f"{run.label}: not played, longer than {RUN_TIMEOUT_S} s")
            return None
        (self.logs / f"{run.label}.log").write_text(done.stdout + done.stderr)
        try:
            outcome = Outcome.from_output(done.stdout)
        except NoResultError as exc:
            _print_status(f"{run.label}: not played: {exc}")
            return None
        _print_status(f"{run.label}: worth {outcome.worth:.3f}, {outcome.remark}")
        return outcome


def run_all(bench: Bench, runs: Iterable[DayRun], jobs: int) -> dict[DayRun, Outcome]:
    """Run days, `jobs` at a time, and return the outcomes of those with a result."""
    bench.logs.mkdir(parents=True, exist_ok=True)
    pending = list(runs)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        outcomes = list(pool.map(bench.run, pending))
    outcome_by_run = {}
    for run, outcome in zip(pending, outcomes, strict=True):
        if outcome is not None:
            outcome_by_run[run] = outcome
    return outcome_by_run


def build(bench: Path, tree: Tree) -> None:
    """Build a tree before its runs, which would otherwise build it concurrently."""
    subprocess.run([str(bench), "build"], cwd=tree.path, check=True)


def _print_status(line: str) -> None:
    sys.stderr.write(line + "\n")
    sys.stderr.flush()
