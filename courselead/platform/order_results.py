"""Handling of responses that is common to all services of the platform."""

from __future__ import annotations

from courselead.core.scheduler.events import Outcome
from courselead.daemon.scheduling.ports import OrderResult
from courselead.integrations.http.errors import ExchangeError, NotSent
from courselead.integrations.lean_http import Answer


def result_of_error(error: ExchangeError) -> OrderResult:
    """Return the result of an order that got no response."""
    outcome = Outcome.NOT_SENT if isinstance(error, NotSent) else Outcome.UNKNOWN
    return OrderResult(outcome, 0, error.reason)


def result_if_overloaded(answer: Answer) -> OrderResult | None:
    """Return the result of a response that rejects an order because of load.

    Status 429 and 503 mean that nothing was done. None for any other status.
    """
    if answer.status not in (429, 503):
        return None
    return OrderResult(Outcome.SHED, 0, f"status {answer.status}")
