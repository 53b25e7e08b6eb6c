"""Outcomes of exchanges without a response."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.integrations.http import IncompleteBody

__all__ = ["IncompleteBody", "NotRun", "OutcomeUnknown"]


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request was certainly not run: send it to any minion of the service.

    Args:
        reason: Reason for the log.
        refusal: `full` or `leaving` if the minion refused the request; empty if it
            could not be reached.
    """

    reason: str
    refusal: str = ""


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have been run: repeat it only if it is idempotent."""

    reason: str
