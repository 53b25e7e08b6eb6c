"""Tickets: permissions of the advice service to start a step on a minion."""

from __future__ import annotations

from courselead.core.scheduler.events import AskAdvice
from courselead.core.scheduler.schedule import Schedule, StepAdvice
from courselead.core.scheduler.state import Minion, Unit

MAX_ADVICE_MINIONS = 100
"""Maximum number of minions in one advice request (limit of the platform protocol)."""

ADVICE_MARGIN_MS = 300
"""Tickets this close to expiry are not used: a start may take that long to arrive."""

ADVICE_RETRY_MS = 500
"""Delay before the advice service is asked again after a failure."""


def tickets_for(
    schedule: Schedule, unit: Unit, minions: list[Minion]
) -> dict[str, str] | None:
    """Return the step's tickets by minion, None if it has no usable ones.

    In that case tickets are requested, unless a request is open or the delay after a
    failed one has not passed.
    """
    advice = schedule.advice.setdefault(unit.step.name, StepAdvice())
    if advice.tickets and schedule.now_ms < advice.until_ms - ADVICE_MARGIN_MS:
        return advice.tickets
    if not advice.asked and schedule.now_ms >= advice.retry_ms:
        advice.asked = True
        ids = tuple(item.minion_id for item in minions[:MAX_ADVICE_MINIONS])
        schedule.emit(AskAdvice(unit.step.name, ids))
    return None


def advice_given(
    schedule: Schedule, step: str, tickets: dict[str, str], valid_ms: int
) -> None:
    """Store the tickets that the advice service returned for a step."""
    advice = schedule.advice.get(step)
    if advice is None:
        return
    advice.asked = False
    advice.tickets = tickets
    advice.until_ms = schedule.now_ms + valid_ms
    if not tickets:
        advice.retry_ms = schedule.now_ms + ADVICE_RETRY_MS
    schedule.dirty_pools.update(schedule.ready)


def advice_failed(schedule: Schedule, step: str) -> None:
    """Schedule another advice request for a step after a failure."""
    advice = schedule.advice.get(step)
    if advice is not None:
        advice.asked = False
        advice.retry_ms = schedule.now_ms + ADVICE_RETRY_MS
