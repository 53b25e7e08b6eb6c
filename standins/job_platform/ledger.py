"""Record of starts, ends and cloud orders at a site, with checks of its invariants."""

from __future__ import annotations

import itertools
import math
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
"""Starts allowed for a task after it has crashed `MAX_CRASHES` minion incarnations."""


CAP_OVERAGE_FACTOR = 1.1
"""Multiple of its cap that an account may use: 10% above the cap is allowed."""

OLD_CONFIG_GRACE_S = 9.0
"""Time for which a host that is cut off may apply a replaced configuration, as it keeps
its leases for that long."""


T = TypeVar("T")


def values_in_force(versions: Sequence[tuple[float, T]], since: float) -> list[T]:
    """Return the values that may be in force: the newest and recently replaced ones.

    Args:
        versions: Values with the time from which each holds, oldest first.
        since: Values replaced at or after this time may still be in force on a host.
    """
    values = [value for _, value in versions[-1:]]
    for (_, value), (replaced_at, _) in itertools.pairwise(versions):
        if replaced_at >= since:
            values.append(value)
    return values


@dataclass(slots=True)
class Ledger:
    """Records the starts and ends of all runs at a site and checks them as they arrive.

    Attributes:
        starts: Number of starts of each task.
        done: Number of runs of each task that ended as done.
        crashes: Number of minion incarnations that each task has crashed.
        lost: Number of minion incarnations that ended, for any reason, while the task
            was running there.
        broken: Descriptions of the violations found.
    """

    starts: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)
    crashes: Counter[str] = field(default_factory=Counter)
    lost: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    _running: dict[str, set[str]] = field(default_factory=dict)
    _acknowledged: set[str] = field(default_factory=set)
    _crashed_incarnations: set[tuple[str, str]] = field(default_factory=set)
    _starts_after_crashes: Counter[str] = field(default_factory=Counter)
    _fences: dict[str, int] = field(default_factory=dict)
    _cpu_in_use: Counter[str] = field(default_factory=Counter)
    _caps: dict[str, list[tuple[float, int]]] = field(default_factory=dict)
    _closed_at: dict[str, float] = field(default_factory=dict)

    def record_start(self, task: str, minion: str, zone: str = "") -> None:
        """Record the start of a run on a minion in an availability zone."""
        self.starts[task] += 1
        late_s = time.monotonic() - self._closed_at.get(zone, math.inf)
        if late_s > 0:
            self._add_violation(
                f"{task} starts on {minion} {late_s:.2f} s too late in evacuated {zone}"
            )
        minions = self._running.setdefault(task, set())
        if minions:
            self._add_violation(f"{task} starts on {minion} and runs on {min(minions)}")
        if task in self._acknowledged:
            self._add_violation(f"{task} starts on {minion} after its end was noted")
        minions.add(minion)
        if self.crashes[task] >= MAX_CRASHES:
            self._starts_after_crashes[task] += 1
            if self._starts_after_crashes[task] > MAX_STARTS_AFTER_CRASHES:
                self._add_violation(
                    f"{task} starts after it has ended {self.crashes[task]}"
                )

    def record_crash(self, task: str, incarnation: str) -> None:
        """Record that a task crashed an incarnation of a minion."""
        if (task, incarnation) not in self._crashed_incarnations:
            self._crashed_incarnations.add((task, incarnation))
            self.crashes[task] += 1

    def record_end(self, task: str, minion: str, done: bool) -> None:
        """Record the end of a run, of any kind."""
        self._running.get(task, set()).discard(minion)
        if done:
            self.done[task] += 1

    def record_evacuation(self, zone: str, within_s: float) -> None:
        """Record a zone's evacuation, acknowledged now, and when starts have to end.

        A repeated request does not extend that time.
        """
        self._closed_at.setdefault(zone, time.monotonic() + within_s)

    def record_return(self, zone: str) -> None:
        """Record that a zone's evacuation was withdrawn."""
        self._closed_at.pop(zone, None)

    def record_cap(self, account: str, cap: int) -> None:
        """Record an account's cap of a new configuration; 0 means no limit."""
        self._caps.setdefault(account, []).append((time.monotonic(), cap))

    def add_usage(self, account: str, cpu: int) -> None:
        """Record a start for an account.

        The task that takes the account over its cap is allowed; the next one is not.
        """
        cpu_before = self._cpu_in_use[account]
        self._cpu_in_use[account] += cpu
        caps = self._caps_in_force(account)
        if caps and 0 not in caps and cpu_before > max(caps) * CAP_OVERAGE_FACTOR:
            self._add_violation(f"{account} starts {cpu} beside {cpu_before} of {caps}")

    def subtract_usage(self, account: str, cpu: int) -> None:
        """Record the end of a run of an account."""
        self._cpu_in_use[account] -= cpu

    def _caps_in_force(self, account: str) -> list[int]:
        """Return the newest cap and recently replaced ones, which may be in force."""
        return values_in_force(
            self._caps.get(account, []), time.monotonic() - OLD_CONFIG_GRACE_S
        )

    def record_acknowledgement(self, task: str) -> None:
        """Record that the owner acknowledged a task's end as done to a minion."""
        self._acknowledged.add(task)

    def record_cloud_order(self, machine: str, fence: int) -> None:
        """Record a cloud order that was carried out."""
        if fence < self._fences.get(machine, 0):
            self._add_violation(
                f"{machine} was ordered with {fence} after a higher fence"
            )
        self._fences[machine] = fence

    def to_dict(self) -> dict[str, object]:
        """Return the records as a JSON object."""
        return {
            "starts": dict(self.starts),
            "running": [task for task, minions in self._running.items() if minions],
            "done": dict(self.done),
            "crashes": dict(self.crashes),
            "lost": dict(self.lost),
            "broken": list(self.broken),
        }

    def _add_violation(self, description: str) -> None:
        self.broken.append(description)
