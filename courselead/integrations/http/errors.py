"""Failures of an HTTP exchange, by whether the request may have been sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent, so a retry is always safe."""

    reason: str


@dataclass(frozen=True, slots=True)
class MaybeSent:
    """The request may have arrived, so only an idempotent request may be retried."""

    reason: str


ExchangeError = NotSent | MaybeSent


class IncompleteBody(Exception):
    """The response body ended before it was complete.

    Remedy: treat the request as possibly run, and retry it only if it is idempotent.
    """

    def __init__(self, reason: str) -> None:
        """Keep the reason for the log line."""
        super().__init__(f"response body is incomplete: {reason}")
        self.reason = reason


class ConnectionBusy(Exception):
    """A second exchange was started before the first response was read or closed.

    Remedy: read the open response to its end, or close it, before the next exchange.
    """
