"""Computes the figures of a run and formats them as a table."""

from dataclasses import astuple, dataclass, fields

from benchmarks.jobs.driver import START_WALL_MS, Driver
from courselead.core.fleet.state import JobPhase
from courselead.core.table import RequestClass

MINUTE_MS = 60_000


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of a run.

    Attributes:
        makespan_min: Minutes until the last job ended.
        batch_p50_min: Median time from submission to end of batch jobs.
        batch_p95_min: The same, 95th percentile.
        late_pct: Percentage of the normal jobs that ended after their deadlines;
            refused jobs are included.
        late_mean_s: Mean lateness in seconds; a job in time counts as 0.
        refused: Jobs refused at submission.
        failed: Jobs that ended as failed.
        killed: Attempts killed because memory ran out.
        moves: Number of times that a job was moved off a worker.
        evictions: Moves that freed capacity for urgent jobs.
        used_pct: Percentage of the cores for jobs that was used until the last job
            ended.
        urgent_p50_ms: Median time from submission to start of urgent jobs.
        urgent_p99_ms: The same, 99th percentile.
        urgent_over_1s: Urgent jobs that waited more than 1 s for their start.
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
        urgent = _urgent_start_delays(driver)
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
            late_pct=100 * sum(lateness != 0 for lateness in late) / len(late),
            late_mean_s=sum(max(lateness, 0) for lateness in late) / len(late) / 1_000,
            refused=len(driver.refused),
            failed=sum(job.phase is JobPhase.FAILED for job in jobs),
            killed=sum(worker.killed for worker in driver.workers.values()),
            moves=sum(job.moves for job in jobs),
            evictions=driver.evictions,
            used_pct=100 * used / (cores * (driver.now_ms - START_WALL_MS)),
            urgent_p50_ms=_percentile(urgent, 0.5),
            urgent_p99_ms=_percentile(urgent, 0.99),
            urgent_over_1s=sum(delay > 1_000 for delay in urgent),
        )


def _batch_times(driver: Driver) -> list[int]:
    """Return the times from submission to end of batch jobs, sorted."""
    durations = []
    for job_id, arrival in driver.arrivals.items():
        if arrival.spec.request_class is not RequestClass.BATCH:
            continue
        if job_id in driver.ended_ms:
            durations.append(driver.ended_ms[job_id] - arrival.at_ms)
    return sorted(durations)


def _urgent_start_delays(driver: Driver) -> list[int]:
    """Return the times from submission to start of urgent jobs, sorted."""
    delays = []
    for job_id, arrival in driver.arrivals.items():
        if arrival.spec.request_class is not RequestClass.URGENT:
            continue
        if job_id in driver.started_ms:
            delays.append(driver.started_ms[job_id] - arrival.at_ms)
    return sorted(delays)


def _lateness(driver: Driver) -> list[int]:
    """Return the lateness of each job with a deadline, -1 for one not done."""
    late = []
    for job_id, arrival in driver.arrivals.items():
        if not arrival.spec.deadline_ms:
            continue
        job = driver.fleet.jobs.get(job_id)
        if job is None or job.phase is not JobPhase.DONE:
            late.append(-1)
            continue
        late.append(max(0, driver.ended_ms[job_id] - arrival.spec.deadline_ms))
    return late


def _percentile(values: list[int], fraction: float) -> int:
    """Return a percentile of sorted values."""
    if not values:
        return 0
    return values[min(len(values) - 1, int(fraction * len(values)))]


def header() -> str:
    """Return the header of the table."""
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
