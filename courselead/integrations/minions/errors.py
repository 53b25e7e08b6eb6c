"""Outcomes of an exchange that brought no answer."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.integrations.http import Broken

__all__ = ["Broken", "NotRun", "Unknown"]


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run: send it to any minion of the service.

    Args:
        reason: Why, for the log line.
        refusal: `full` or `leaving` when the minion itself refused; empty when it
            could not be reached.
    """

    reason: str
    refusal: str = ""


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have been run: repeat it only if it is idempotent."""

    reason: str
