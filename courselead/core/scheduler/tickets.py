"""Tickets: permissions of the advice service to start a step on a minion.

The service is asked about minions on which a task of the step fits, in several calls if
they are too many for one, until a task fits on an allowed minion or nothing is left to
ask. So a step that no minion may run causes no calls after all were asked about.
"""

from __future__ import annotations

from courselead.core.scheduler.events import AskAdvice
from courselead.core.scheduler.models import AdvicePolicy
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Job, Minion, Unit
from courselead.core.scheduler.step_advice import StepAdvice

MAX_NAMED_MINIONS = 100
"""Maximum number of minions in one call (limit of the platform protocol)."""

NAMED_MINIONS = 30
"""Minions named in a call, unless the service's time per call allows more."""

MAX_NAMING_MS = 1_000
"""Maximum part of a call's duration that is due to the minions named in it."""

MAX_OPEN_CALLS = 4
"""Calls that may wait for the service, which handles one call of a host at a time.

The calls of further steps are decided later, when it is known which steps still need
them.
"""

CALL_SLACK_MS = 2_000
"""Time without an answer, beyond the duration of a call, until it counts as failed.

It is as much longer for each call in a row that has failed.
"""

MAX_CALL_TIMEOUT_MS = 60_000
"""Maximum timeout of a call: while it is open, other steps wait."""

TICKET_MARGIN_MS = 300
"""Tickets this close to expiry are not used: a start may take that long to arrive."""

MARGIN_DIVISOR = 2
"""Tickets are used for at least this part of the time for which they are valid."""

ADVICE_RETRY_MS = 500
"""Delay before a step's next call after a failure or the refusal of a ticket."""


def valid_tickets(
    schedule: Schedule, unit: Unit, minions: list[Minion]
) -> dict[str, str]:
    """Return the tickets that a unit may use now, by minion."""
    advice = schedule.advice.get(unit.step.name)
    return {} if advice is None else advice.valid_tickets(minions, schedule.now_ms)


def may_ask(schedule: Schedule, unit: Unit) -> bool:
    """Return whether the service may be asked about a unit's step now."""
    if len(schedule.open_advice_calls) >= MAX_OPEN_CALLS:
        return False
    if unit.step.name in schedule.open_advice_calls:
        return False
    advice = schedule.advice.get(unit.step.name)
    return advice is None or schedule.now_ms >= advice.retry_ms


def ask(schedule: Schedule, unit: Unit, fitting: list[Minion]) -> None:
    """Ask about the minions that a unit would use, if any of them is not known.

    Args:
        schedule: The owner's state.
        unit: A unit for which no minion with a valid ticket was found.
        fitting: Minions on which a task of the unit fits.
    """
    job = unit.job
    policy = job.advice_policy
    if policy is None:
        return
    name = unit.step.name
    advice = schedule.advice.setdefault(name, StepAdvice())
    count = _named_count(policy, advice.failures)
    named = _minions_to_name(schedule, job, advice, fitting)[:count]
    if not named:
        return
    schedule.open_advice_calls.add(name)
    advice.asked = {item.minion_id: item.info.born_ms for item in named}
    duration_ms = policy.decide_ms + policy.each_ms * len(named)
    slack_ms = CALL_SLACK_MS * (1 + advice.failures)
    timeout_ms = min(duration_ms + slack_ms, MAX_CALL_TIMEOUT_MS)
    schedule.emit(AskAdvice(name, tuple(advice.asked), timeout_ms))


def advice_given(
    schedule: Schedule, step: str, tickets: dict[str, str], valid_ms: int | None
) -> None:
    """Store the tickets that the advice service returned for a step.

    Args:
        schedule: The owner's state.
        step: Name of the step.
        tickets: Tickets by minion.
        valid_ms: Time for which they are valid according to the answer, None if it
            does not say.
    """
    schedule.open_advice_calls.discard(step)
    schedule.dirty_pools.update(schedule.ready)
    advice = schedule.advice.get(step)
    job = schedule.jobs.get(step.partition(".")[0])
    if advice is None or job is None:
        return
    if tickets:
        schedule.advised_minions[job.queue] = frozenset(tickets)
    if job.advice_policy is not None:
        policy_ms = job.advice_policy.valid_ms
        valid_ms = policy_ms if valid_ms is None else min(valid_ms, policy_ms)
    valid_ms = valid_ms or 0
    margin_ms = min(TICKET_MARGIN_MS, valid_ms // MARGIN_DIVISOR)
    advice.record_answer(tickets, schedule.now_ms + valid_ms - margin_ms)
    advice.forget_missing(schedule.minions)


def advice_failed(schedule: Schedule, step: str) -> None:
    """Schedule another advice request for a step after a failure."""
    schedule.open_advice_calls.discard(step)
    schedule.dirty_pools.update(schedule.ready)
    advice = schedule.advice.get(step)
    if advice is not None:
        advice.asked = {}
        advice.failures += 1
        advice.retry_ms = schedule.now_ms + ADVICE_RETRY_MS


def ticket_refused(schedule: Schedule, unit: Unit, minion_id: str) -> None:
    """Drop a ticket that its minion has refused, and ask again after a pause."""
    advice = schedule.advice.get(unit.step.name)
    if advice is not None and advice.tickets.pop(minion_id, None) is not None:
        advice.retry_ms = schedule.now_ms + ADVICE_RETRY_MS


def _named_count(policy: AdvicePolicy, failures: int) -> int:
    """Return how many minions a call may name.

    The time to decide is paid once a call, so where that is long, more are named. The
    service may be slower than its policy says, so each failure halves the number.
    """
    count = MAX_NAMED_MINIONS
    if policy.each_ms > 0:
        worthwhile = max(NAMED_MINIONS, policy.decide_ms // policy.each_ms)
        count = min(count, worthwhile, MAX_NAMING_MS // policy.each_ms)
    return max(1, count >> failures)


def _minions_to_name(
    schedule: Schedule, job: Job, advice: StepAdvice, fitting: list[Minion]
) -> list[Minion]:
    """Return the minions to ask about, the most promising ones first.

    Allowed minions whose tickets have expired need no others beside them. Other steps
    of the queue have probably been allowed to run on the same minions.
    """
    valid = advice.valid_tickets(fitting, schedule.now_ms)
    allowed = advice.allowed(fitting)
    expired = [item for item in allowed if item.minion_id not in valid]
    if expired:
        return expired
    unknown = advice.unknown(fitting)
    likely = schedule.advised_minions.get(job.queue, frozenset())
    unknown.sort(key=lambda item: item.minion_id not in likely)
    return unknown
