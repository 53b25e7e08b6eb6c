"""Plays days on trees, a bounded number at a time."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.compare.days import Day
from benchmarks.compare.outcome import NotPlayed, Outcome

PLAY_TIMEOUT_S = 1_500
"""Longest play: five times that of a grown site on a busy machine."""


@dataclass(frozen=True, slots=True)
class Tree:
    """A tree of sources under a name."""

    name: str
    path: Path


@dataclass(frozen=True, slots=True)
class Play:
    """One day with one seed on one tree."""

    tree: Tree
    day: Day
    seed: int

    @property
    def label(self) -> str:
        """Return a name for files and lines."""
        return f"{self.tree.name}-{self.day.label}-{self.seed}"


@dataclass(frozen=True, slots=True)
class Bench:
    """How days are played.

    Attributes:
        program: The users' bench.
        site: The site file.
        logs: Where the output of each play goes.
        why: The line for the bench's journal.
        no_cpu: Whether processor time is free, so that a play mostly repeats.
    """

    program: Path
    site: Path
    logs: Path
    why: str
    no_cpu: bool

    def play(self, play: Play) -> Outcome | None:
        """Play a day; nothing, with a line that says why, if it has no result."""
        command = [str(self.program), "run", str(self.site), play.day.source]
        command += ["--seed", str(play.seed), "--log", "all", "--why", self.why]
        if self.no_cpu:
            command.append("--no-cpu")
        try:
            done = subprocess.run(
                command,
                cwd=play.tree.path,
                capture_output=True,
                text=True,
                check=False,
                timeout=PLAY_TIMEOUT_S,
            )
        except subprocess.TimeoutExpired:
            _say(f"{play.label}: not played, longer than {PLAY_TIMEOUT_S} s")
            return None
        (self.logs / f"{play.label}.log").write_text(done.stdout + done.stderr)
        try:
            outcome = Outcome.from_output(done.stdout)
        except NotPlayed as exc:
            _say(f"{play.label}: not played: {exc}")
            return None
        _say(f"{play.label}: worth {outcome.worth:.3f}, {outcome.remark}")
        return outcome


def play_all(bench: Bench, plays: Iterable[Play], jobs: int) -> dict[Play, Outcome]:
    """Play days, `jobs` at a time, and return those that have a result."""
    bench.logs.mkdir(parents=True, exist_ok=True)
    waiting = list(plays)
    with ThreadPoolExecutor(max_workers=jobs) as pool:
        outcomes = list(pool.map(bench.play, waiting))
    found = {}
    for play, outcome in zip(waiting, outcomes, strict=True):
        if outcome is not None:
            found[play] = outcome
    return found


def build(bench: Path, tree: Tree) -> None:
    """Build a tree before its plays, which would otherwise build it side by side."""
    subprocess.run([str(bench), "build"], cwd=tree.path, check=True)


def _say(line: str) -> None:
    sys.stderr.write(line + "\n")
    sys.stderr.flush()
