"""Counts of executions, from which a test can detect duplicates."""

from __future__ import annotations

from collections import Counter
from typing import Any


class Runs:
    """Counts executions by request and by ticket; a parent gets the same counts."""

    def __init__(self, parent: Runs | None = None) -> None:
        """Start at zero."""
        self.by_request: Counter[str] = Counter()
        self.by_ticket: Counter[str] = Counter()
        self.executions = 0
        self.cut_off = 0
        self.refused = 0
        self.failed = 0
        self._parent = parent

    def add_execution(self, request_id: str, ticket: str) -> None:
        """Count one execution; an empty request id or ticket is not counted by key."""
        self.executions += 1
        if request_id:
            self.by_request[request_id] += 1
        if ticket:
            self.by_ticket[ticket] += 1
        if self._parent is not None:
            self._parent.add_execution(request_id, ticket)

    def add_cut_off(self, count: int) -> None:
        """Count executions that a reboot or a kill cut short."""
        self.cut_off += count
        if self._parent is not None:
            self._parent.add_cut_off(count)

    def add_refused(self) -> None:
        """Count a request that was refused before its execution."""
        self.refused += 1
        if self._parent is not None:
            self._parent.add_refused()

    def add_failed(self) -> None:
        """Count a request that the fault `fail_all` failed without executing it."""
        self.failed += 1
        if self._parent is not None:
            self._parent.add_failed()

    def summary(self, brief: bool) -> dict[str, Any]:
        """Return the counts; a brief summary omits the counts of single keys."""
        counts: dict[str, Any] = {
            "executions": self.executions,
            "duplicates": {
                "request": _count_repeats(self.by_request),
                "ticket": _count_repeats(self.by_ticket),
            },
            "cut_off": self.cut_off,
            "refused": self.refused,
            "failed": self.failed,
        }
        if not brief:
            counts["by_request"] = self.by_request
            counts["by_ticket"] = self.by_ticket
        return counts


def _count_repeats(counts: Counter[str]) -> int:
    return sum(counts.values()) - len(counts)
