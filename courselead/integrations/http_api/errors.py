"""Errors of the HTTP interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from courselead.integrations.http_api.problems import ApiProblem


class AnswerBroken(Exception):
    """The target's answer stopped before its end.

    Remedy: nothing more may be written of it; the caller's connection is
    closed so that the caller sees the break.
    """

    def __init__(self, detail: str) -> None:
        """Keep the detail for the log line."""
        super().__init__(f"the answer broke off: {detail}")
        self.detail = detail


class Refusal(Exception):
    """The exchange ends with a problem; the remedy is in its detail."""

    def __init__(self, problem: ApiProblem) -> None:
        """Keep the problem to answer with."""
        super().__init__(problem.detail)
        self.problem = problem


class CallerLeft(Exception):
    """The caller closed its connection: there is nobody to answer."""


class CallerStalled(Exception):
    """The caller left its answer unread for too long.

    Remedy: read answers as they come; the connection was closed.
    """


class ListenFailed(Exception):
    """The listening socket could not be opened.

    Remedy: free the port, or set another `listen` in the settings.
    """

    def __init__(self, address: str, reason: str) -> None:
        """Keep the address for the operator."""
        super().__init__(f"cannot listen on {address}: {reason}; set another 'listen'")
