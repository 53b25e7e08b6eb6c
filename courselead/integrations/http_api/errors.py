"""Errors of the HTTP API."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from courselead.integrations.http_api.problems import ApiProblem


class AnswerBroken(Exception):
    """The target's response ended before it was complete.

    Remedy: write nothing more of it and close the caller's connection, so that the
    caller notices that the response is incomplete.
    """

    def __init__(self, detail: str) -> None:
        """Keep the detail for the log line."""
        super().__init__(f"the response is incomplete: {detail}")
        self.detail = detail


class Refusal(Exception):
    """The exchange ends with a problem response, whose detail names the remedy."""

    def __init__(self, problem: ApiProblem) -> None:
        """Keep the problem to respond with."""
        super().__init__(problem.detail)
        self.problem = problem


class BodyTooLarge(Exception):
    """A request's body is larger than allowed.

    Remedy: the caller has to send less in one body.
    """

    def __init__(self, max_bytes: int) -> None:
        """Keep the limit."""
        super().__init__(f"send at most {max_bytes} bytes in one body")
        self.max_bytes = max_bytes


class BodyTimeout(Exception):
    """A request's body did not arrive in time.

    Remedy: the caller has to send it faster.
    """

    def __init__(self, timeout_s: float) -> None:
        """Keep the timeout for the message."""
        timeout_ms = int(timeout_s * 1000)
        super().__init__(f"the body did not arrive within {timeout_ms} ms")


class CallerLeft(Exception):
    """The caller closed its connection, so no response can be sent."""


class CallerStalled(Exception):
    """The caller did not read its response for too long, and the connection was closed.

    Remedy: the caller has to read responses as they arrive.
    """


class ListenFailed(Exception):
    """The listening socket could not be opened.

    Remedy: free the port, or set another `listen` in the settings.
    """

    def __init__(self, address: str, reason: str) -> None:
        """Name the address and the reason for the operator."""
        super().__init__(f"cannot listen on {address}: {reason}; set another 'listen'")
