"""Admission of jobs at peak load: expected waits, rejections, and when to retry.

The owner computes how long new finite work of each pool waits and publishes it with its
heartbeat. Every entry host decides by it whether a job is rejected, and when the caller
of a rejected job should retry.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from courselead.core.scheduler.arrivals import JOIN_MS, lead_time_ms
from courselead.core.scheduler.models import (
    JobSpec,
    Queue,
    StepSpec,
    Worker,
    WorkerPhase,
)
from courselead.core.scheduler.records import PoolWait
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion

MIN_PUBLISHED_WAIT_MS = 1_000
"""Expected wait from which a pool counts as overloaded.

Shorter waits change no answer: Retry-After is in whole seconds.
"""

MAX_WAIT_AGE_MS = 2_000
"""Age from which a published wait is not used: its owner may have been lost."""

CURRENT_WORK_MS = 300
"""Maximum age of a job's remaining work that counts as waiting.

Each tick computes it for the jobs on the ready list. Three ticks allow for one that is
late.
"""

MAX_RETRY_S = 5
"""Maximum Retry-After while the end of the cause is not known.

An evacuation lasts 8 s and more, an outage of the store usually less than that.
"""

VALUE_FACTOR = 3
"""Multiple of its objective up to which a job's completion has some value."""


class RejectReason(StrEnum):
    """Why a job is rejected or could not be stored."""

    OVERLOAD = "overload"
    EVACUATED = "evacuated"
    STORE = "store"


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

    Answers a peak of several times what the pool holds, in which one account submits
    many times its usual work and a part of the minions does not answer.

    Only work that certainly starts first counts: that of higher priorities. Within a
    priority, work that misses its objective gives way to newer work. Of 2,529 jobs that
    were rejected for waiting work of their own priority, 469 would have ended within
    three times their objective (36 replays). Other uncertain amounts shorten the wait
    as well: work of accounts without a weight is left out, and workers that can be
    fetched count.
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
    return done_ms + int(work / max(1, capacity_milli))


def rejection(
    spec: JobSpec, queue: Queue, account: str, wait: PoolWait | None
) -> Rejection | None:
    """Return why a job cannot be served, None if it is accepted.

    Answers a peak that lasts longer than the jobs keep their value: work that ends
    after three times its objective has none and only fills the ready list. Long-running
    and timed jobs wait for the end of a peak. An account without excess has no
    published wait and is accepted.

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

    Answers the return of many callers that were rejected in the same second: they are
    spread over the time from which a retry is useful. For a full pool, that is from
    when the job would be accepted until when it would start at once, so work that is
    served earlier returns earlier. The end of an outage or evacuation is not known: the
    delay grows with the time that it has lasted, of which it adds at most half.

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
    ends: list[int] = []
    for step in spec.steps:
        start_ms = max((ends[before] for before in step.after), default=0)
        ends.append(start_ms + step.estimate_ms)
    return max(ends)


def expected_waits(schedule: Schedule) -> dict[str, PoolWait]:
    """Return the expected waits of all overloaded and evacuated pools.

    Workers that can be fetched are looked up only if a pool is overloaded without them.
    """
    waits: dict[str, PoolWait] = {}
    for pool, load in _loads(schedule).items():
        if expected_wait(load) is None:
            continue
        arriving = (*load.arriving, *_arriving(schedule, pool))
        wait = expected_wait(replace(load, arriving=arriving))
        if wait is not None:
            waits[pool] = wait
    return waits


def _loads(schedule: Schedule) -> dict[str, PoolLoad]:
    """Return the loads of all pools except spare ones, without workers to come."""
    weights = {}
    for name, account in schedule.config.accounts.items():
        if account.weight > 0:
            weights[name] = account.weight
    capacity: dict[str, int] = defaultdict(int)
    silent: dict[str, int] = defaultdict(int)
    zones: dict[str, set[str]] = defaultdict(set)
    for minion in schedule.minions.values():
        if not minion.listed or minion.info.draining or minion.cordoned:
            continue
        pool, zone = minion.info.pool, minion.info.zone
        zones[pool].add(zone)
        if zone in schedule.evacuated_zones:
            continue
        by_pool = silent if minion.failures else capacity
        by_pool[pool] += _finite_capacity_milli(minion)
    backlogs = _backlogs(schedule)
    lead_ms = lead_time_ms(schedule)
    loads = {}
    for pool, settings in schedule.config.pools.items():
        if settings.spare:
            continue
        evacuated_zones: tuple[str, ...] = ()
        if zones[pool] <= schedule.evacuated_zones.keys():
            evacuated_zones = tuple(sorted(zones[pool]))
        # Silent minions may answer again at any time.
        returning = ((lead_ms, silent[pool]),) if silent[pool] else ()
        loads[pool] = PoolLoad(
            capacity[pool],
            returning,
            backlogs.get(pool, {}),
            weights,
            evacuated_zones,
        )
    return loads


def _finite_capacity_milli(minion: Minion) -> int:
    """Return the CPU of a minion that long-running tasks do not reserve."""
    free_milli = minion.info.capacity.cpu_milli
    for run in minion.runs.values():
        if run.unit.spec.long_running:
            free_milli -= run.unit.spec.charge.cpu_milli
    return max(0, free_milli)


def _backlogs(schedule: Schedule) -> dict[str, dict[tuple[str, int], int]]:
    """Return the work of waiting jobs by pool, then account and priority.

    Each tick computes the remaining work of the jobs on the ready list, so a job waits
    if its remaining work is current. The ready list itself is not read again. Only
    steps that may start now count, as other work may use the pool between two steps.

    Left out is work that other work may overtake: that of accounts at their cap, and of
    steps that not every minion may run. So are pools with a single priority, in which
    no work waits for another priority.
    """
    backlogs: dict[str, dict[tuple[str, int], int]] = {}
    pools = _pools_with_priorities(schedule)
    done = _done_by_runs(schedule) if pools else {}
    for (job_id, occurrence), remaining in schedule.remaining_work.items():
        if schedule.now_ms - remaining.at_ms > CURRENT_WORK_MS:
            continue
        job = schedule.jobs.get(job_id)
        queue = None if job is None else schedule.queue(job.queue)
        if job is None or queue is None or queue.pool not in pools:
            continue
        if job.state.final or job.advised or job.account in schedule.pools_at_cap:
            continue
        work = -done.get(job_id, 0)
        for step in job.occurrences.get(occurrence, ()):
            if step.ready and step.open_units and _runs_anywhere(step.spec):
                run_ms = schedule.expected_ms(job.queue, step.spec)
                work += int(step.open_units * step.spec.need.cpu_milli * run_ms)
        backlog = backlogs.setdefault(queue.pool, {})
        key = (job.account, queue.priority)
        backlog[key] = backlog.get(key, 0) + max(0, work)
    return backlogs


def _pools_with_priorities(schedule: Schedule) -> set[str]:
    """Return the pools whose queues have several priorities."""
    priorities: dict[str, set[int]] = defaultdict(set)
    for queue in schedule.config.queues.values():
        priorities[queue.pool].add(queue.priority)
    return {pool for pool, found in priorities.items() if len(found) > 1}


def _runs_anywhere(spec: StepSpec) -> bool:
    """Return whether a step is finite work that any minion may run."""
    if spec.long_running or spec.fills or spec.gang:
        return False
    return not spec.required_label and not spec.max_per_minion


def _done_by_runs(schedule: Schedule) -> dict[str, int]:
    """Return how much work the current runs of each job have done."""
    done: dict[str, int] = defaultdict(int)
    for minion in schedule.minions.values():
        for run in minion.runs.values():
            spec = run.unit.spec
            expected_ms = schedule.expected_ms(run.unit.job.queue, spec)
            age_ms = min(schedule.now_ms - run.started_ms, expected_ms)
            done[run.unit.job.job_id] += int(spec.need.cpu_milli * age_ms)
    return done


def _arriving(schedule: Schedule, pool: str) -> tuple[tuple[int, int], ...]:
    """Return when workers that move to a pool, or could, can be used, with their CPU.

    Idle workers of other pools count like spare ones.
    """
    lead_ms = lead_time_ms(schedule)
    arriving = []
    kinds = set()
    for worker in schedule.workers.values():
        if worker.pool == pool:
            kinds.add(_kind_of(worker))
    for worker_id, worker in schedule.workers.items():
        move = schedule.moves.get(worker_id)
        milli = worker.capacity.cpu_milli
        if worker.zone in schedule.evacuated_zones:
            continue
        if move is not None:
            if move.pool == pool:
                passed_ms = schedule.now_ms - (move.accepted_ms or move.sent_ms)
                arriving.append((max(0, lead_ms - passed_ms), milli))
        elif worker_id in schedule.joining and worker.pool == pool:
            passed_ms = schedule.now_ms - schedule.joining[worker_id]
            arriving.append((max(0, JOIN_MS - passed_ms), milli))
        elif worker.pool == pool or (kinds and _kind_of(worker) not in kinds):
            continue
        elif _can_be_fetched(schedule, worker):
            arriving.append((lead_ms, milli))
    return tuple(arriving)


def _kind_of(worker: Worker) -> str:
    return worker.labels[0] if worker.labels else ""


def _can_be_fetched(schedule: Schedule, worker: Worker) -> bool:
    """Return whether a worker of another pool is spare or idle."""
    if worker.phase is not WorkerPhase.UP:
        return False
    pool = schedule.config.pools.get(worker.pool)
    if pool is not None and pool.spare:
        return True
    minion = schedule.minions.get(worker.minion_id)
    return minion is not None and not minion.runs and not minion.failures
