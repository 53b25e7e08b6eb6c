"""What was sent, answered and run, in order, and the check of the rule TWICE."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path

Key = tuple[str, int]
"""A run: task and number."""


@dataclass(slots=True)
class Ledger:
    """Records the events of a play with their times.

    Attributes:
        starts: Time, minion and fence of each start, by task and run.
        ends: Time, minion, number and kind of each end, by task and run.
        notes: When each end was taken note of.
    """

    lines: list[str] = field(default_factory=list)
    starts: dict[Key, tuple[float, str, int]] = field(default_factory=dict)
    ends: dict[Key, tuple[float, str, int, str]] = field(default_factory=dict)
    notes: dict[Key, float] = field(default_factory=dict)
    _begun_s: float = field(default_factory=time.monotonic)

    @property
    def now_s(self) -> float:
        """Return the seconds since the play began."""
        return time.monotonic() - self._begun_s

    def say(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{self.now_s:9.3f} {text}")

    def started(self, task: str, run: int, minion: str, fence: int) -> None:
        """Record that a minion began a run."""
        self.starts[(task, run)] = (self.now_s, minion, fence)
        self.say(f"start {task} run {run} on {minion} fence {fence}")

    def ended(self, task: str, run: int, minion: str, number: int, how: str) -> None:
        """Record that a run ended and how."""
        self.ends[(task, run)] = (self.now_s, minion, number, how)
        self.say(f"end {task} run {run} on {minion} number {number} {how}")

    def noted(self, task: str, run: int, minion: str, number: int, how: str) -> None:
        """Record that an end was taken note of: `ackCursor` reached it."""
        self.notes[(task, run)] = self.now_s
        self.say(f"noted {task} run {run} on {minion} number {number} {how}")

    def started_twice(self) -> list[str]:
        """Return the starts that break TWICE.

        Two runs of a task at the same time, or a start after a run has ended `done`
        if that end is taken note of then or later.
        """
        runs_by_task: dict[str, list[int]] = {}
        for task, run in self.starts:
            runs_by_task.setdefault(task, []).append(run)
        found = []
        for task, runs in runs_by_task.items():
            for earlier in runs:
                for later in runs:
                    reason = self._why_twice(task, earlier, later)
                    if reason:
                        found.append(f"{task}: run {later} {reason} run {earlier}")
        return found

    def _why_twice(self, task: str, earlier: int, later: int) -> str:
        begun_s = self.starts[(task, later)][0]
        if self.starts[(task, earlier)][0] >= begun_s:
            return ""
        end = self.ends.get((task, earlier))
        if end is None or end[0] > begun_s:
            return "began beside"
        noted_s = self.notes.get((task, earlier))
        if end[3] == "done" and noted_s is not None and noted_s >= begun_s:
            return f"began {begun_s - end[0]:.2f} s after the end `done` of"
        return ""

    def running(self, from_s: float, to_s: float) -> list[tuple[str, str]]:
        """Return task and minion of each run that was there at any time of a span."""
        found = []
        for key, (begun_s, minion, _) in self.starts.items():
            end = self.ends.get(key)
            if begun_s <= to_s and (end is None or end[0] >= from_s):
                found.append((key[0], minion))
        return found

    def finish(self, folder: Path, verdict: str, failure: str, result: int) -> None:
        """Write the record, and print the verdict."""
        if failure:
            verdict = f"the case could not run: {failure}"
        self.say(f"{verdict}; exit {result}")
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        print(verdict)
