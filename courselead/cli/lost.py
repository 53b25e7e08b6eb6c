"""Finds from the logs of all hosts why jobs were late or failed."""

from __future__ import annotations

import bisect
import statistics
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

from courselead.cli.evacuations import Restriction, find_restrictions
from courselead.cli.log_lines import RUN_FAILURE_EVENTS, Line

LATE_FACTOR = 2.0
"""A job is late if it took more than this many times the median of its queue: clients'
objectives are in the configuration, not in the logs."""

WINDOW_S = 2.0
"""Length of the time window of a row: about the duration of a short job."""

OWNER_GAP_S = 1.0
"""If no job was scheduled within this time after a job was stored, the schedule had no
owner. If another job was, the `job_scheduled` line of this one was dropped."""

MIN_CAUSE_S = 0.5
"""A shorter time is not reported as the cause why a job has not ended: hosts' clocks
differ, and a job without any problem waits for tenths of this."""

MS_PER_S = 1_000


class Cause(StrEnum):
    """What took most of the time of a lost job: one that was late or failed."""

    NOT_STORED = "not stored"
    NO_OWNER = "no owner"
    TAKEOVER = "doubt after a takeover"
    ZONE_EVACUATED = "zone evacuated"
    STARTS_PAUSED = "starts paused"
    WORKER_MOVING = "worker on its way"
    NO_FREE_CAPACITY = "no room"
    RERUN = "run again"
    SLOW_RUN = "slow run"
    NOT_ENDED = "not ended in these logs"
    DROPPED = "its lines were dropped"


@dataclass(slots=True)
class JobTimes:
    """Times of one job from the log; in seconds since 1970, 0 if unknown.

    Attributes:
        submitted_at: When it was first submitted, whether accepted or not.
        stored_at: When a caller was first told that it is stored.
        from_before: Whether an owner took it over from the previous owner.
        waited_ms: Longest time that one of its tasks waited to be placed. The wait
            ended at `longest_wait_at` on `minion`.
        placed: Whether the log has a start of any of its tasks.
        run_failures: Runs that failed or were lost, and starts that were refused or not
            answered.
    """

    queue: str = ""
    submitted_at: float = 0.0
    stored_at: float = 0.0
    scheduled_at: float = 0.0
    ended_at: float = 0.0
    state: str = ""
    from_before: bool = False
    waited_ms: int = 0
    longest_wait_at: float = 0.0
    minion: str = ""
    placed: bool = False
    run_failures: int = 0

    @property
    def first_seen_at(self) -> float:
        """Return the time of its first line, 0 if unknown."""
        return self.submitted_at or self.scheduled_at

    @property
    def duration_s(self) -> float:
        """Return its duration, 0 if it has not ended."""
        return max(0.0, self.ended_at - self.first_seen_at) if self.ended_at else 0.0


@dataclass(slots=True)
class LostRow:
    """Jobs of one queue that were submitted in one time window.

    Attributes:
        begin_s: Start of the window, relative to the first line.
        jobs: Number of jobs submitted.
        causes: Number of late and failed jobs by cause.
    """

    begin_s: float
    queue: str
    jobs: int = 0
    causes: Counter[Cause] = field(default_factory=Counter)

    def document(self) -> dict[str, object]:
        """Return the row as JSON data."""
        return {
            "begin_s": self.begin_s,
            "queue": self.queue,
            "jobs": self.jobs,
            "lost": sum(self.causes.values()),
            "causes": {str(cause): count for cause, count in self.causes.items()},
        }


def lost_rows(lines: list[Line], window_s: float = WINDOW_S) -> list[LostRow]:
    """Return the rows in order of time, including rows without lost jobs."""
    if not lines:
        return []
    jobs = _collect_jobs(lines)
    moves = _moves_by_pool(lines)
    pools = _pool_by_minion(lines)
    first_at = lines[0].seconds
    medians = _median_durations(jobs)
    restrictions = find_restrictions(lines)
    scheduled = sorted(job.scheduled_at for job in jobs if job.scheduled_at)
    rows: dict[tuple[float, str], LostRow] = {}
    for job in jobs:
        number = int((job.first_seen_at - first_at) // window_s)
        key = (number * window_s, job.queue)
        row = rows.setdefault(key, LostRow(*key))
        row.jobs += 1
        if _is_lost(job, medians.get(job.queue, 0.0)):
            pool_moves = moves.get(pools.get(job.minion, ""), [])
            row.causes[_cause(job, pool_moves, scheduled, restrictions)] += 1
    return [rows[key] for key in sorted(rows)]


def _collect_jobs(lines: list[Line]) -> list[JobTimes]:
    jobs: dict[str, JobTimes] = {}
    for line in lines:
        if line.job_id:
            _apply_line(jobs.setdefault(line.job_id, JobTimes()), line)
    return [job for job in jobs.values() if job.first_seen_at]


def _apply_line(job: JobTimes, line: Line) -> None:
    at = line.seconds
    match line.event:
        case "job_submitted" | "job_known":
            job.queue = job.queue or str(line.fields.get("queue", ""))
            job.submitted_at = job.submitted_at or at
            if line.fields.get("verdict") in ("accepted", "known"):
                job.stored_at = job.stored_at or at
        case "job_scheduled":
            job.queue = job.queue or str(line.fields.get("queue", ""))
            job.scheduled_at = job.scheduled_at or at
            job.from_before = job.from_before or bool(line.fields.get("from_before"))
        case "unit_started":
            job.placed = True
            waited_ms = line.fields.get("waited_ms")
            if isinstance(waited_ms, int) and waited_ms >= job.waited_ms:
                job.waited_ms = waited_ms
                job.longest_wait_at = at
                job.minion = str(line.fields.get("minion", ""))
        case "job_begun" | "step_done":
            _apply_age(job, line, at)
        case "job_ended":
            _apply_age(job, line, at)
            job.ended_at = at
            job.state = str(line.fields.get("state", ""))
        case event if event in RUN_FAILURE_EVENTS:
            job.run_failures += 1


def _apply_age(job: JobTimes, line: Line, at: float) -> None:
    """Derive when the job was scheduled from its age, if that line was dropped."""
    age_ms = line.fields.get("age_ms")
    if not job.scheduled_at and isinstance(age_ms, int):
        job.scheduled_at = at - age_ms / MS_PER_S


def _is_lost(job: JobTimes, median_s: float) -> bool:
    if job.state == "cancelled":
        return False
    if not job.ended_at or job.state != "completed":
        return True
    return job.duration_s > LATE_FACTOR * median_s


def _cause(
    job: JobTimes,
    moves: list[float],
    scheduled: list[float],
    restrictions: list[Restriction],
) -> Cause:
    """Return what took most of the time; time not spent waiting counts as run time.

    Args:
        job: The lost job.
        moves: Times at which workers were ordered to its pool.
        scheduled: Times at which jobs were scheduled, sorted.
        restrictions: Times in which zones were evacuated or starts were paused.
    """
    if not job.stored_at and not job.scheduled_at:
        return Cause.NOT_STORED
    if not job.scheduled_at:
        index = bisect.bisect_left(scheduled, job.stored_at)
        owned = index < len(scheduled) and (
            scheduled[index] - job.stored_at < OWNER_GAP_S
        )
        return Cause.DROPPED if owned else Cause.NO_OWNER
    stored_at = job.stored_at or job.scheduled_at
    waited_s = job.waited_ms / MS_PER_S
    parts = {
        Cause.NOT_STORED: stored_at - job.first_seen_at,
        Cause.NO_OWNER: job.scheduled_at - stored_at,
        _wait_cause(job, moves, restrictions): waited_s,
    }
    cause = max(parts, key=parts.__getitem__)
    if not job.ended_at and parts[cause] < MIN_CAUSE_S:
        return Cause.NOT_ENDED
    run_s = job.duration_s - sum(parts.values())
    if parts[cause] >= run_s:
        return cause
    if not job.placed:
        return Cause.DROPPED
    return Cause.RERUN if job.run_failures else Cause.SLOW_RUN


def _wait_cause(
    job: JobTimes, moves: list[float], restrictions: list[Restriction]
) -> Cause:
    """Return the cause of the longest wait of a job's task."""
    if job.from_before:
        return Cause.TAKEOVER
    since = job.longest_wait_at - job.waited_ms / MS_PER_S
    zones = {
        item.zone
        for item in restrictions
        if item.covers_most_of(since, job.longest_wait_at)
    }
    if zones:
        return Cause.STARTS_PAUSED if "" in zones else Cause.ZONE_EVACUATED
    if any(since <= at <= job.longest_wait_at for at in moves):
        return Cause.WORKER_MOVING
    return Cause.NO_FREE_CAPACITY


def _moves_by_pool(lines: list[Line]) -> dict[str, list[float]]:
    """Return the times at which workers were ordered to each pool."""
    moves: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == "move":
            moves[str(line.fields.get("pool", ""))].append(line.seconds)
    return dict(moves)


def _pool_by_minion(lines: list[Line]) -> dict[str, str]:
    """Return the pool of each minion."""
    pools = {}
    for line in lines:
        if line.event == "minion_listed":
            minion = str(line.fields.get("minion", ""))
            pools[minion] = str(line.fields.get("pool", ""))
    return pools


def _median_durations(jobs: list[JobTimes]) -> dict[str, float]:
    """Return the median duration of each queue's completed jobs, in seconds."""
    times: dict[str, list[float]] = defaultdict(list)
    for job in jobs:
        if job.state == "completed":
            times[job.queue].append(job.duration_s)
    return {queue: statistics.median(found) for queue, found in times.items()}
