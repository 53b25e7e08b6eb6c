"""Failures of one HTTP exchange, told apart by what may have been sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this process: a repeat is always safe."""

    reason: str


@dataclass(frozen=True, slots=True)
class MaybeSent:
    """Some of the request may have arrived: repeat it only if it is idempotent."""

    reason: str


ExchangeError = NotSent | MaybeSent


class Broken(Exception):
    """The answer's body stopped early; what was read so far is not the whole.

    Remedy: treat the request as possibly done, and repeat it only if it is idempotent.
    """

    def __init__(self, reason: str) -> None:
        """Keep the reason for the log line."""
        super().__init__(f"answer body is incomplete: {reason}")
        self.reason = reason


class ConnectionBusy(Exception):
    """A second exchange was started before the first answer was read or closed.

    Remedy: read the open answer to its end, or close it, before the next exchange.
    """
