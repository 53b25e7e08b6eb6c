"""What the minions of a site saw, and what of it must never be seen."""

from __future__ import annotations

import itertools
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

CRASHES_ALLOWED = 3
STARTS_ALLOWED = 2
"""Starts of a task after so many lives of minions have crashed under it."""


CAP_OVERAGE = 1.1
"""Times its cap that an account may have at work: a tenth is allowed beyond it."""

CONFIG_S = 9.0
"""Time for which a host that is cut off may know an older configuration only, and go on
with its leases."""


T = TypeVar("T")


def in_force(versions: Sequence[tuple[float, T]], since: float) -> list[T]:
    """Return the values that may be in force: the newest, and those replaced of late.

    Args:
        versions: Values with the time from which each holds, oldest first.
        since: Time from which on a replaced one may still be in force somewhere.
    """
    found = [value for _, value in versions[-1:]]
    for (_, value), (until, _) in itertools.pairwise(versions):
        if until >= since:
            found.append(value)
    return found


@dataclass(slots=True)
class Ledger:
    """Starts and ends of all minions of a site, checked as they come.

    Attributes:
        starts: How often each task was started.
        done: How often each task ended as done.
        crashes: How many lives each task has ended.
        lost: How many lives have ended under each task, whatever ended them.
        broken: Promises that were broken, in words.
    """

    starts: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)
    crashes: Counter[str] = field(default_factory=Counter)
    lost: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    _running: dict[str, set[str]] = field(default_factory=dict)
    _noted: set[str] = field(default_factory=set)
    _crashed_lives: set[tuple[str, str]] = field(default_factory=set)
    _starts_after: Counter[str] = field(default_factory=Counter)
    _fences: dict[str, int] = field(default_factory=dict)
    _used: Counter[str] = field(default_factory=Counter)
    _caps: dict[str, list[tuple[float, int]]] = field(default_factory=dict)

    def started(self, task: str, minion: str) -> None:
        """Take a start."""
        self.starts[task] += 1
        elsewhere = self._running.setdefault(task, set())
        if elsewhere:
            self._break(f"{task} starts on {minion} and runs on {min(elsewhere)}")
        if task in self._noted:
            self._break(f"{task} starts on {minion} after its end was noted")
        elsewhere.add(minion)
        if self.crashes[task] >= CRASHES_ALLOWED:
            self._starts_after[task] += 1
            if self._starts_after[task] > STARTS_ALLOWED:
                self._break(f"{task} starts after it has ended {self.crashes[task]}")

    def crashed(self, task: str, life: str) -> None:
        """Take the end of a minion's life by a task."""
        if (task, life) not in self._crashed_lives:
            self._crashed_lives.add((task, life))
            self.crashes[task] += 1

    def ended(self, task: str, minion: str, done: bool) -> None:
        """Take an end of any kind."""
        self._running.get(task, set()).discard(minion)
        if done:
            self.done[task] += 1

    def capped(self, account: str, cap: int) -> None:
        """Take an account's cap of a new configuration; 0 is no limit."""
        self._caps.setdefault(account, []).append((time.monotonic(), cap))

    def used_more(self, account: str, cpu: int) -> None:
        """Take a start of an account; it may exceed its cap by this one task."""
        used = self._used[account]
        self._used[account] += cpu
        caps = self._caps_in_force(account)
        if caps and 0 not in caps and used > max(caps) * CAP_OVERAGE:
            self._break(f"{account} starts {cpu} beside {used} of {caps}")

    def used_less(self, account: str, cpu: int) -> None:
        """Take the end of a run of an account."""
        self._used[account] -= cpu

    def _caps_in_force(self, account: str) -> list[int]:
        """Return the caps that may be in force: the newest, and others not long ago."""
        return in_force(self._caps.get(account, []), time.monotonic() - CONFIG_S)

    def noted(self, task: str) -> None:
        """Take note that a minion was told to forget a task's end as done."""
        self._noted.add(task)

    def ordered(self, machine: str, fence: int) -> None:
        """Take an order to the cloud that was carried out."""
        if fence < self._fences.get(machine, 0):
            self._break(f"{machine} was ordered with {fence} after a higher fence")
        self._fences[machine] = fence

    def document(self) -> dict[str, object]:
        """Return all of it, for JSON."""
        return {
            "starts": dict(self.starts),
            "done": dict(self.done),
            "crashes": dict(self.crashes),
            "lost": dict(self.lost),
            "broken": list(self.broken),
        }

    def _break(self, what: str) -> None:
        self.broken.append(what)
