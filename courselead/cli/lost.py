"""Where late and failed jobs lost their time, from the logs of all hosts."""

from __future__ import annotations

import bisect
import statistics
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum

from courselead.cli.log_lines import RUN_TROUBLES, Line

LATE_FACTOR = 2.0
"""A job is late if it took this many times its queue's median: clients' objectives
stand in the configuration, not in the logs."""

WINDOW_S = 2.0
"""Length of a row's window: about as long as a short job."""

OWNER_GAP_S = 1.0
"""Time without a job that is scheduled from which nobody owned the schedule: a job that
is not told of beside others that are had its lines dropped."""

LEAST_PART_S = 0.5
"""Least time that tells why a job has not ended: hosts' clocks differ, and a calm job
waits for tenths of that."""

MS_PER_S = 1_000


class Cause(StrEnum):
    """What took most of a lost job's time."""

    NOT_STORED = "not stored"
    NO_OWNER = "no owner"
    TAKEOVER = "doubt after a takeover"
    ON_ITS_WAY = "worker on its way"
    NO_ROOM = "no room"
    RUN_AGAIN = "run again"
    SLOW_RUN = "slow run"
    NOT_ENDED = "not ended in these logs"
    DROPPED = "its lines were dropped"


@dataclass(slots=True)
class JobTimes:
    """What the lines say of one job; times are seconds since 1970, 0 if unknown.

    Attributes:
        asked_at: When it was handed in first, with whatever answer.
        stored_at: When a caller was first told that it is stored.
        waited_ms: Longest wait of a task for a place, which ended at `longest_wait_at`
            on `minion`.
        placed: Whether any start of a task is told of.
        troubles: Runs that failed or were lost, and starts that were not answered.
    """

    queue: str = ""
    asked_at: float = 0.0
    stored_at: float = 0.0
    scheduled_at: float = 0.0
    ended_at: float = 0.0
    state: str = ""
    from_before: bool = False
    waited_ms: int = 0
    longest_wait_at: float = 0.0
    minion: str = ""
    placed: bool = False
    troubles: int = 0

    @property
    def begun_at(self) -> float:
        """Return when it was first heard of."""
        return self.asked_at or self.scheduled_at

    @property
    def took_s(self) -> float:
        """Return how long it took, 0 if it has not ended."""
        return max(0.0, self.ended_at - self.begun_at) if self.ended_at else 0.0


@dataclass(slots=True)
class LostRow:
    """Jobs of one queue that came in one window of time.

    Attributes:
        begin_s: Of the window, from the first line on.
        jobs: All that came.
        causes: What the late and failed ones among them lost their time to.
    """

    begin_s: float
    queue: str
    jobs: int = 0
    causes: Counter[Cause] = field(default_factory=Counter)

    def document(self) -> dict[str, object]:
        """Return the row for JSON."""
        return {
            "begin_s": self.begin_s,
            "queue": self.queue,
            "jobs": self.jobs,
            "lost": sum(self.causes.values()),
            "causes": {str(cause): count for cause, count in self.causes.items()},
        }


def lost_rows(lines: list[Line], window_s: float = WINDOW_S) -> list[LostRow]:
    """Return the rows in the order of time, those without a lost job as well."""
    if not lines:
        return []
    jobs = _jobs(lines)
    moves = _moves(lines)
    pools = _pools(lines)
    first_at = _seconds(lines[0])
    medians = _medians(jobs)
    scheduled = sorted(job.scheduled_at for job in jobs if job.scheduled_at)
    rows: dict[tuple[float, str], LostRow] = {}
    for job in jobs:
        number = int((job.begun_at - first_at) // window_s)
        key = (number * window_s, job.queue)
        row = rows.setdefault(key, LostRow(*key))
        row.jobs += 1
        if _is_lost(job, medians.get(job.queue, 0.0)):
            to_pool = moves.get(pools.get(job.minion, ""), [])
            row.causes[_cause(job, to_pool, scheduled)] += 1
    return [rows[key] for key in sorted(rows)]


def _jobs(lines: list[Line]) -> list[JobTimes]:
    jobs: dict[str, JobTimes] = {}
    for line in lines:
        if line.about_job:
            _take(jobs.setdefault(line.about_job, JobTimes()), line)
    return [job for job in jobs.values() if job.begun_at]


def _take(job: JobTimes, line: Line) -> None:
    at = _seconds(line)
    match line.event:
        case "job_submitted" | "job_known":
            job.queue = job.queue or str(line.fields.get("queue", ""))
            job.asked_at = job.asked_at or at
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
            _take_age(job, line, at)
        case "job_ended":
            _take_age(job, line, at)
            job.ended_at = at
            job.state = str(line.fields.get("state", ""))
        case event if event in RUN_TROUBLES:
            job.troubles += 1


def _take_age(job: JobTimes, line: Line, at: float) -> None:
    """Take since when the owner knows the job, where that line was dropped."""
    age_ms = line.fields.get("age_ms")
    if not job.scheduled_at and isinstance(age_ms, int):
        job.scheduled_at = at - age_ms / MS_PER_S


def _is_lost(job: JobTimes, median_s: float) -> bool:
    if job.state == "cancelled":
        return False
    if not job.ended_at or job.state != "completed":
        return True
    return job.took_s > LATE_FACTOR * median_s


def _cause(job: JobTimes, moves: list[float], scheduled: list[float]) -> Cause:
    """Return what took most of the time; a run's own time is what is left.

    Args:
        job: What is known of it.
        moves: When workers were ordered to its pool.
        scheduled: When jobs were scheduled, in order.
    """
    if not job.stored_at and not job.scheduled_at:
        return Cause.NOT_STORED
    if not job.scheduled_at:
        place = bisect.bisect_left(scheduled, job.stored_at)
        owned = place < len(scheduled) and (
            scheduled[place] - job.stored_at < OWNER_GAP_S
        )
        return Cause.DROPPED if owned else Cause.NO_OWNER
    stored_at = job.stored_at or job.scheduled_at
    waited_s = job.waited_ms / MS_PER_S
    parts = {
        Cause.NOT_STORED: stored_at - job.begun_at,
        Cause.NO_OWNER: job.scheduled_at - stored_at,
        _wait_cause(job, moves): waited_s,
    }
    cause = max(parts, key=parts.__getitem__)
    if not job.ended_at and parts[cause] < LEAST_PART_S:
        return Cause.NOT_ENDED
    left_s = job.took_s - sum(parts.values())
    if parts[cause] >= left_s:
        return cause
    if not job.placed:
        return Cause.DROPPED
    return Cause.RUN_AGAIN if job.troubles else Cause.SLOW_RUN


def _wait_cause(job: JobTimes, moves: list[float]) -> Cause:
    """Return why a job's task waited longest."""
    if job.from_before:
        return Cause.TAKEOVER
    since = job.longest_wait_at - job.waited_ms / MS_PER_S
    if any(since <= at <= job.longest_wait_at for at in moves):
        return Cause.ON_ITS_WAY
    return Cause.NO_ROOM


def _moves(lines: list[Line]) -> dict[str, list[float]]:
    """Return when workers were ordered to each pool."""
    moves: dict[str, list[float]] = defaultdict(list)
    for line in lines:
        if line.event == "move":
            moves[str(line.fields.get("pool", ""))].append(_seconds(line))
    return dict(moves)


def _pools(lines: list[Line]) -> dict[str, str]:
    """Return the pool of each minion."""
    pools = {}
    for line in lines:
        if line.event == "minion_listed":
            minion = str(line.fields.get("minion", ""))
            pools[minion] = str(line.fields.get("pool", ""))
    return pools


def _medians(jobs: list[JobTimes]) -> dict[str, float]:
    """Return the median time of each queue's completed jobs, in seconds."""
    times: dict[str, list[float]] = defaultdict(list)
    for job in jobs:
        if job.state == "completed":
            times[job.queue].append(job.took_s)
    return {queue: statistics.median(found) for queue, found in times.items()}


def _seconds(line: Line) -> float:
    """Return a line's time of day as seconds since 1970, 0 if it has none."""
    try:
        return datetime.fromisoformat(line.at).timestamp()
    except ValueError:
        return 0.0
