"""Figures of a run, and the tables made of them."""

from dataclasses import astuple, dataclass, fields

from benchmarks.jobs.driver import CLOCK_MS, Driver
from courselead.core.fleet.state import JobPhase
from courselead.core.table import RequestClass

MINUTE_MS = 60_000


@dataclass(frozen=True, slots=True)
class Figures:
    """What a run came to.

    Attributes:
        makespan_min: Until the last job ended, minutes.
        batch_p50_min: Median time from submission to end of batch jobs.
        batch_p95_min: The same, 95th percentile.
        late_pct: Part of the normal jobs that ended after their deadlines,
            those that were refused included.
        late_mean_s: Mean lateness of those that ran, seconds; 0 if in time.
        refused: Jobs refused at once.
        failed: Jobs that ended failed.
        killed: Attempts killed for lack of memory.
        moves: Times a job was taken from a worker.
        evictions: Those of them that made room for urgent jobs.
        used_pct: Part of the cores for jobs that was used until the last end.
        urgent_p50_ms: Median time from submission to start of urgent jobs.
        urgent_p99_ms: The same, 99th percentile.
        urgent_over_1s: Urgent jobs that started later than 1 s.
    """

    makespan_min: float
    batch_p50_min: float
    batch_p95_min: float
    late_pct: float
    late_mean_s: float
    refused: int
    failed: int
    killed: int
    moves: int
    evictions: int
    used_pct: float
    urgent_p50_ms: int
    urgent_p99_ms: int
    urgent_over_1s: int

    @classmethod
    def from_driver(cls, driver: Driver) -> "Figures":
        """Return the figures of a finished run."""
        urgent = _waits(driver)
        late = _lateness(driver)
        batch = _batch_times(driver)
        jobs = driver.fleet.jobs.values()
        used = sum(worker.used_core_ms for worker in driver.workers.values())
        cores = sum(worker.cores for worker in driver.workers.values())
        span_ms = max(driver.ended_ms.values())
        return cls(
            makespan_min=span_ms / MINUTE_MS,
            batch_p50_min=_percentile(batch, 0.5) / MINUTE_MS,
            batch_p95_min=_percentile(batch, 0.95) / MINUTE_MS,
            late_pct=100 * sum(one != 0 for one in late) / len(late),
            late_mean_s=sum(max(one, 0) for one in late) / len(late) / 1_000,
            refused=len(driver.refused),
            failed=sum(job.phase is JobPhase.FAILED for job in jobs),
            killed=sum(worker.killed for worker in driver.workers.values()),
            moves=sum(job.moves for job in jobs),
            evictions=driver.evictions,
            used_pct=100 * used / (cores * (driver.now_ms - CLOCK_MS)),
            urgent_p50_ms=_percentile(urgent, 0.5),
            urgent_p99_ms=_percentile(urgent, 0.99),
            urgent_over_1s=sum(wait > 1_000 for wait in urgent),
        )


def _batch_times(driver: Driver) -> list[int]:
    """Return the times from submission to end of batch jobs, sorted."""
    times = []
    for job_id, one in driver.arrivals.items():
        if one.spec.request_class is not RequestClass.BATCH:
            continue
        if job_id in driver.ended_ms:
            times.append(driver.ended_ms[job_id] - one.at_ms)
    return sorted(times)


def _waits(driver: Driver) -> list[int]:
    """Return how long urgent jobs waited for their start, sorted."""
    waits = []
    for job_id, one in driver.arrivals.items():
        if one.spec.request_class is not RequestClass.URGENT:
            continue
        if job_id in driver.started_ms:
            waits.append(driver.started_ms[job_id] - one.at_ms)
    return sorted(waits)


def _lateness(driver: Driver) -> list[int]:
    """Return how late each job with a deadline was; -1 for one not done."""
    late = []
    for job_id, one in driver.arrivals.items():
        if not one.spec.deadline_ms:
            continue
        job = driver.fleet.jobs.get(job_id)
        if job is None or job.phase is not JobPhase.DONE:
            late.append(-1)
            continue
        late.append(max(0, driver.ended_ms[job_id] - one.spec.deadline_ms))
    return late


def _percentile(values: list[int], part: float) -> int:
    """Return a percentile of sorted values."""
    if not values:
        return 0
    return values[min(len(values) - 1, int(part * len(values)))]


def header() -> str:
    """Return the head of the table."""
    names = [field.name.replace("_", " ") for field in fields(Figures)]
    cells = ["fleet", "policy", "learning", *names]
    line = " | ".join(cells)
    rule = " | ".join("---" for _ in cells)
    return f"| {line} |\n| {rule} |"


def row(fleet: str, policy: str, learning: bool, figures: Figures) -> str:
    """Return one line of the table."""
    cells = [fleet, policy, "on" if learning else "off"]
    for value in astuple(figures):
        cells.append(f"{value:.1f}" if isinstance(value, float) else str(value))
    line = " | ".join(cells)
    return f"| {line} |"
