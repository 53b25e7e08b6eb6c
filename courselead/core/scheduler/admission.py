"""Admission of jobs at peak load: expected waits, rejections, and when to retry.

The owner computes how long new finite work of each pool waits (`pool_loads.py` collects
the inputs) and publishes it with its heartbeat. Every entry host decides by it whether
a job is rejected, and when the caller of a rejected job should retry.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from courselead.core.scheduler.book import JOB_BYTES, open_job_bytes
from courselead.core.scheduler.models import JobSpec, Queue
from courselead.core.scheduler.records import PoolWait
from courselead.core.scheduler.urgency import longest_chain_ms

MIN_PUBLISHED_WAIT_MS = 1_000
"""Expected wait from which a pool counts as overloaded.

Shorter waits change no answer: Retry-After is in whole seconds.
"""

MAX_PUBLISHED_WAIT_MS = 2**53
"""Longest wait that is published, as records have integers of 64 bits."""

MAX_WAIT_AGE_MS = 2_000
"""Age from which a published wait is not used: its owner may have been lost."""

MAX_RETRY_S = 5
"""Maximum Retry-After while the end of the cause is not known.

An outage of the store usually ends within seconds, so a longer delay would only add
to it. The end of an evacuation is not announced.
"""

LARGE_JOB_TASKS = 1_000
LARGE_SPEC_BYTES = 65_536
"""Tasks, and memory of the specification, up to which a job is accepted whatever the
hosts hold."""

SMALL_JOB_SHARE = 1.5
"""Multiple of the memory for jobs up to which small ones are accepted and opened. The
others cannot use all of it, so that those of other callers need not wait for them."""

VALUE_FACTOR = 3
"""Multiple of its objective up to which a job's completion has some value."""


class RejectReason(StrEnum):
    """Why a job is rejected or could not be stored."""

    OVERLOAD = "overload"
    EVACUATED = "evacuated"
    STORE = "store"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """Capacity and waiting finite work of a pool.

    Attributes:
        capacity_milli: CPU of the usable minions that finite work may use.
        arriving: Workers on their way or that can be fetched: time until each can be
            used in ms, and its CPU.
        backlog: Remaining work of waiting jobs by account and queue priority, in
            thousandths of a core times ms.
        weights: Weights of the accounts that have one.
        evacuated_zones: Evacuated zones, if all of the pool's minions are in them.
    """

    capacity_milli: int
    arriving: tuple[tuple[int, int], ...] = ()
    backlog: Mapping[tuple[str, int], int] = field(default_factory=dict)
    weights: Mapping[str, float] = field(default_factory=dict)
    evacuated_zones: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Rejection:
    """A job that is not accepted.

    Attributes:
        text: The reason as told to the caller.
        wait_ms: Time until work submitted now would start at once, 0 if unknown.
        accepted_ms: Time until the job would be accepted, 0 if unknown.
    """

    reason: RejectReason
    text: str
    wait_ms: int = 0
    accepted_ms: int = 0


def expected_wait(load: PoolLoad) -> PoolWait | None:
    """Return how long new finite work of a pool waits, None if it is not overloaded.

    Uncertain amounts shorten the wait, since a job that could be served must not be
    rejected. Only work that certainly starts first counts: that of higher priorities.
    Waiting work of the same priority does not count, as work that misses its objective
    gives way to newer work. Work of accounts without a weight is left out, and workers
    that can be fetched count as capacity.
    """
    if load.capacity_milli <= 0 and not load.arriving:
        if load.evacuated_zones:
            return PoolWait(zones=load.evacuated_zones)
        return None
    accounts: dict[str, dict[int, int]] = {}
    for account, priority in load.backlog:
        if not load.weights.get(account):
            continue
        ahead = _work_ahead(load, account, priority)
        wait_ms = _drain_ms(ahead, load.capacity_milli, load.arriving)
        if wait_ms >= MIN_PUBLISHED_WAIT_MS:
            accounts.setdefault(account, {})[priority] = wait_ms
    if not accounts:
        return None
    total = sum(load.backlog.values())
    return PoolWait(_drain_ms(total, load.capacity_milli, load.arriving), accounts)


def _work_ahead(load: PoolLoad, account: str, priority: int) -> float:
    """Return the waiting work that certainly starts before new work of an account.

    This is the work of higher priority (a lower number). Of other accounts it counts
    at most what is done, at shares by weight, until the account's own work is done.
    """
    own = 0
    higher: dict[str, int] = defaultdict(int)
    for (other, level), work in load.backlog.items():
        if other == account and level <= priority:
            own += work
        if level < priority and load.weights.get(other):
            higher[other] += work
    per_weight = own / load.weights[account]
    return sum(
        min(work, per_weight * load.weights[other]) for other, work in higher.items()
    )


def _drain_ms(
    work: float, capacity_milli: int, arriving: Iterable[tuple[int, int]]
) -> int:
    """Return the time in which a growing capacity does an amount of work."""
    done_ms = 0
    for at_ms, milli in sorted(arriving):
        if capacity_milli > 0:
            in_time = capacity_milli * (at_ms - done_ms)
            if in_time >= work:
                break
            work -= in_time
        done_ms = at_ms
        capacity_milli += milli
    wait_ms = done_ms + int(work / max(1, capacity_milli))
    return min(wait_ms, MAX_PUBLISHED_WAIT_MS)


def rejection(
    spec: JobSpec, queue: Queue, account: str, wait: PoolWait | None
) -> Rejection | None:
    """Return why a job cannot be served, None if it is accepted.

    A job is rejected if it would end after `VALUE_FACTOR` times its objective: it would
    have no value then and only fill the ready list. Long-running and timed jobs wait
    for the end of a peak. An account without excess has no published wait and is
    accepted.

    Args:
        spec: The submitted job.
        queue: Its queue.
        account: Client account, "" if it has none.
        wait: Newest published wait of the queue's pool, None if there is none or if it
            is too old.
    """
    if wait is None or is_exempt(spec):
        return None
    if wait.zones:
        return evacuated(wait.zones)
    wait_ms = wait_of(wait, account, queue.priority)
    chain_ms = estimated_chain_ms(spec)
    if not wait_ms or not chain_ms:
        return None
    objective_ms = int(queue.stretch * chain_ms) + queue.slo_ms
    accepted_ms = wait_ms + chain_ms - VALUE_FACTOR * objective_ms
    if accepted_ms <= 0:
        return None
    text = f"the pool is full: work submitted now waits for {wait_ms} ms or longer"
    return Rejection(RejectReason.OVERLOAD, text, wait_ms, accepted_ms)


def retry_after_s(rejected: Rejection, lasted_ms: int, spread: float) -> int:
    """Return when the caller of a rejected job should retry, in whole seconds.

    Callers that were rejected in the same second are spread over the time in which a
    retry is useful, so that they do not all return at once. For a full pool, that is
    from when the job would be accepted until when it would start at once, so work that
    is served earlier returns earlier. The end of an outage or evacuation is not known:
    the delay grows with the time that it has lasted, of which it adds at most half.

    Args:
        rejected: The rejection.
        lasted_ms: How long its cause has lasted; not used for a full pool.
        spread: Position within the possible delays, from 0 to less than 1.
    """
    if rejected.reason is RejectReason.OVERLOAD:
        first_s = max(1, math.ceil(rejected.accepted_ms / 1_000))
        last_s = rejected.wait_ms // 1_000
    else:
        first_s = min(MAX_RETRY_S, 1 + lasted_ms // 4_000)
        last_s = min(MAX_RETRY_S, 1 + lasted_ms // 2_000)
    return first_s + int(spread * (max(first_s, last_s) - first_s + 1))


def evacuated(zones: Iterable[str]) -> Rejection:
    """Return the rejection of a job whose possible zones are all evacuated."""
    names = ", ".join(sorted(zones))
    return Rejection(
        RejectReason.EVACUATED, f"all zones that could run it are evacuated: {names}"
    )


def memory_rejection(
    spec: JobSpec, held_bytes: int, max_bytes: int | None
) -> Rejection | None:
    """Return the rejection of a large job that does not fit beside the others.

    Args:
        spec: The submitted job.
        held_bytes: Memory of the other jobs.
        max_bytes: Memory for all jobs, None if it is unknown.
    """
    if max_bytes is None or not is_large(spec):
        return None
    if held_bytes + open_job_bytes(spec) <= max_bytes:
        return None
    return no_memory()


def is_full(spec: JobSpec, spec_bytes: int, max_bytes: int | None) -> bool:
    """Return whether there is no memory for a job even without its tasks.

    Jobs are held until they are forgotten, some time after their end. Small ones may
    use more memory than large ones, as with open tasks.

    Args:
        spec: The submitted job.
        spec_bytes: Memory of the other jobs without their tasks.
        max_bytes: Memory for all jobs, None if it is unknown.
    """
    if max_bytes is None:
        return False
    limit = SMALL_JOB_SHARE * max_bytes
    return spec_bytes + JOB_BYTES + spec.memory_bytes > limit


def no_memory() -> Rejection:
    """Return the rejection of a job for which the hosts have no memory now."""
    text = "the hosts hold as many tasks as they can; come back when some have ended"
    return Rejection(RejectReason.MEMORY, text)


def is_large(spec: JobSpec) -> bool:
    """Return whether a job is accepted only while there is memory for it."""
    return spec.task_count > LARGE_JOB_TASKS or spec.memory_bytes > LARGE_SPEC_BYTES


def is_exempt(spec: JobSpec) -> bool:
    """Return whether a job waits for the end of a peak instead of being rejected."""
    return spec.timed or any(step.long_running for step in spec.steps)


def wait_of(wait: PoolWait, account: str, priority: int) -> int:
    """Return the published wait of an account's work in ms, 0 if it has no excess.

    Work of a lower priority (a higher number) does not delay a job.
    """
    waits = wait.accounts.get(account, {})
    return max((ms for level, ms in waits.items() if level <= priority), default=0)


def estimated_chain_ms(spec: JobSpec) -> int:
    """Return the estimated duration of a job's longest chain of dependent steps."""
    return longest_chain_ms(spec.steps, [step.estimate_ms for step in spec.steps])
