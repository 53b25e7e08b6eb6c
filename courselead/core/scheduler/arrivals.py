"""How much work arrives in a pool, now and by the time that a worker takes to come."""

from __future__ import annotations

import math
from dataclasses import dataclass

import msgspec

from courselead.core.scheduler import urgency
from courselead.core.scheduler.schedule import Arrival, Schedule
from courselead.core.scheduler.state import Job
from courselead.core.scheduler.turns import TurnMemory, Turns

RATE_WINDOW_MS = 1_000
"""Least time over which the work that arrives is counted: a quarter of a turn.
A job of longer steps keeps fewer cores busy for longer."""

ONSET_WINDOW_MS = 400
"""The same for the first moments of a turn, in which a second is mostly lull: six jobs
at the rate of the least busy queue of the largest fleet."""

GROWTH_SPREADS = 1.0
"""Rise of the rate that counts, in standard deviations of what chance makes of it: a
false one costs idle workers for 2.5 s."""

GROWTH_MOST = 3.0
"""Most that a rate is expected to rise within the 2.2 s that a worker takes to come."""

JOIN_MS = 700
"""Time from the end of a move until the minion is listed and has answered a look."""


@dataclass(frozen=True, slots=True)
class ArrivalRate:
    """What jobs that come keep busy, in thousandths of a core.

    The load: a turn that begins. What its jobs keep busy grows for as long as a job
    takes, and a worker comes 2.2 s after it was asked for. With a forecast over that
    time the two worst windows of 2 s are served 0.457 in time, not 0.436 (mean of three
    replays).

    Attributes:
        busy: Now.
        ahead: When a worker that is ordered now has come.
        jobs: How many came within `RATE_WINDOW_MS`.
    """

    busy: int
    ahead: int
    jobs: int


def job_arrived(schedule: Schedule, job: Job) -> None:
    """Count a new job's work into its pool's rate."""
    work = 0
    for step in job.spec.steps:
        if step.long_running or step.fills:
            continue
        run_ms = schedule.expected_ms(job.queue, step)
        work += int(step.count * step.need.cpu_milli * run_ms)
    if not work:
        # Jobs that last are no turn, however many come at once.
        return
    spread_ms = max(RATE_WINDOW_MS, urgency.chain_ms(schedule, job))
    arrival = Arrival(schedule.now_ms, work, spread_ms)
    schedule.arrivals.setdefault(schedule.pool_of(job), []).append(arrival)


def lead_time_ms(schedule: Schedule) -> int:
    """Return how long a worker takes from its order until it can be used."""
    return schedule.bounds.move_ms + JOIN_MS


def rate_of(schedule: Schedule, pool: str) -> ArrivalRate:
    """Return what a pool's recent jobs keep busy; forgets older ones."""
    recent = _recent(schedule, pool)
    jobs = _jobs_within(schedule, recent, RATE_WINDOW_MS)
    at_work = []
    for arrival in recent:
        if schedule.now_ms - arrival.at_ms <= arrival.spread_ms:
            at_work.append(arrival)
    if not at_work:
        return ArrivalRate(0, 0, jobs)
    lead_ms = lead_time_ms(schedule)
    busy = staying = 0
    for arrival in at_work:
        busy += arrival.work // arrival.spread_ms
        if schedule.now_ms - arrival.at_ms + lead_ms <= arrival.spread_ms:
            staying += arrival.work // arrival.spread_ms
    spread_ms = _mean_spread_ms(at_work)
    coming = _newest_rate(schedule, pool, at_work) * min(1.0, lead_ms / spread_ms)
    if schedule.turn_age_ms(pool) is not None:
        before = _jobs_within(schedule, recent, 2 * RATE_WINDOW_MS) - jobs
        coming *= _growth(jobs, before, lead_ms - spread_ms / 2)
    return ArrivalRate(busy, staying + int(coming), jobs)


def _recent(schedule: Schedule, pool: str) -> list[Arrival]:
    """Return the arrivals that are at work or tell of the rate, and keep only them."""
    recent = []
    for arrival in schedule.arrivals.get(pool, ()):
        longest_ms = max(2 * RATE_WINDOW_MS, arrival.spread_ms)
        if schedule.now_ms - arrival.at_ms <= longest_ms:
            recent.append(arrival)
    schedule.arrivals[pool] = recent
    return recent


def _jobs_within(schedule: Schedule, arrivals: list[Arrival], span_ms: int) -> int:
    """Return how many came within the newest `span_ms`."""
    count = 0
    for arrival in arrivals:
        count += schedule.now_ms - arrival.at_ms <= span_ms
    return count


def _mean_spread_ms(arrivals: list[Arrival]) -> float:
    """Return for how long work keeps its cores busy, as the mean of all work."""
    weighted = sum(arrival.work * arrival.spread_ms for arrival in arrivals)
    return weighted / sum(arrival.work for arrival in arrivals)


def _newest_rate(schedule: Schedule, pool: str, arrivals: list[Arrival]) -> float:
    """Return the work that comes, in thousandths of a core for all of its time."""
    window_ms = _window_ms(schedule, pool)
    work = 0
    for arrival in arrivals:
        if schedule.now_ms - arrival.at_ms <= window_ms:
            work += arrival.work
    return work / window_ms


def _growth(jobs: int, before: int, ahead_ms: float) -> float:
    """Return by how much a turn's rate is expected to rise, 1 if it does not.

    The load: a turn whose rate rises for five seconds. Workers that come 2.2 s after
    their order were always too few: 0.815 of four turns was served in time, 0.893 since
    the rise is extrapolated (mean of four replays).

    Args:
        jobs: How many have come within the newest window.
        before: And in the one before it.
        ahead_ms: From now to the middle of the time that is forecast.
    """
    rise = jobs - before
    if rise <= GROWTH_SPREADS * math.sqrt(jobs + before):
        return 1.0
    windows = max(0.0, ahead_ms + RATE_WINDOW_MS / 2) / RATE_WINDOW_MS
    return min(GROWTH_MOST, 1.0 + rise / jobs * windows)


def _window_ms(schedule: Schedule, pool: str) -> int:
    """Return the time over which the newest rate is taken: less as a turn begins."""
    turn_ms = schedule.turn_age_ms(pool)
    if turn_ms is None:
        return RATE_WINDOW_MS
    return min(RATE_WINDOW_MS, ONSET_WINDOW_MS + turn_ms)


def turns_of(schedule: Schedule, pool: str) -> Turns:
    """Return what is known of a pool's turns."""
    turns = schedule.turns.get(pool)
    if turns is None:
        memory = schedule.book.turns.get(pool, TurnMemory())
        turns = schedule.turns[pool] = Turns(msgspec.structs.replace(memory))
    return turns
