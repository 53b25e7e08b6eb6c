"""Command line: `python -m benchmarks.takeover`.

A new owner opens a job that an earlier owner accepted, and adopts its running tasks
from the first reports of the minions. Each step holds the owner's event loop, which
also has to send its heartbeats, so the longest one counts.
"""

from __future__ import annotations

import gc
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from cyclopts import App

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.models import (
    Bounds,
    FleetConfig,
    JobSpec,
    JobState,
    MinionInfo,
    Pool,
    Queue,
    Resources,
    StepSpec,
)
from courselead.core.scheduler.records import JobAccepted, JobProgress
from courselead.core.scheduler.scheduler import Scheduler

TASKS = (1_000, 3_000, 10_000)
MINIONS = 60
TASKS_PER_STEP = 1_000
RUN_MS = 100_000
BEGUN_MS = 1_000
FIRST_RUN = 5
PERCENT = 10
POOL = "pool"
JOB = "00000000000000aa"
SETTINGS = Queue(POOL, POOL, 0, 4, 2.0, 600)
NEED = Resources(25, 64)
CAPACITY = Resources(64_000, 262_144)

app = App(name="takeover", help="Measure a takeover of a job with many running tasks.")


@dataclass(frozen=True, slots=True)
class Takeover:
    """Durations of the steps of a takeover, in milliseconds.

    Attributes:
        open_ms: Opening the job.
        reports_ms: Processing each minion's first report, in order of arrival.
    """

    open_ms: float
    reports_ms: tuple[float, ...]

    @classmethod
    def of_job(cls, tasks: int, minions: int = MINIONS) -> Takeover:
        """Measure the takeover of a job with so many running tasks."""
        book = _book_with_job(tasks)
        names = [
            f"{JOB}.0.{number // TASKS_PER_STEP}.{number % TASKS_PER_STEP}"
            for number in range(tasks)
        ]
        config = FleetConfig(1, {POOL: SETTINGS}, {POOL: Pool(POOL)})
        gc.collect()
        owners: list[Scheduler] = []
        open_ms = _timed_ms(
            lambda: owners.append(
                Scheduler(2, False, config, Bounds(), book, BEGUN_MS, BEGUN_MS)
            )
        )
        [owner] = owners
        reports_ms = []
        for number in range(minions):
            now_ms = BEGUN_MS + 1 + number
            minion_id = f"i{number}"
            running = tuple(
                ev.RunReport(task, FIRST_RUN, "", PERCENT, 0)
                for task in names[number::minions]
            )
            report = ev.PollAnswered(minion_id, now_ms, now_ms, running, (), True)
            owner.handle(ev.MinionListed(_info(minion_id)), now_ms)
            owner.poll_call(minion_id, now_ms)
            reports_ms.append(_timed_ms(partial(_report, owner, report, now_ms)))
        adopted = sum(len(item.runs) for item in owner.schedule.minions.values())
        if adopted != tasks:
            raise RuntimeError(f"{adopted} of {tasks} runs were adopted")
        return cls(open_ms, tuple(reports_ms))


def _book_with_job(tasks: int) -> JobBook:
    steps = tuple(
        StepSpec(min(TASKS_PER_STEP, tasks - first), NEED, RUN_MS)
        for first in range(0, tasks, TASKS_PER_STEP)
    )
    book = JobBook()
    book.apply(JobAccepted(JOB, POOL, JobSpec("text", steps), settings=SETTINGS))
    book.apply(JobProgress(JOB, JobState.RUNNING, True))
    return book


def _info(minion_id: str) -> MinionInfo:
    return MinionInfo(minion_id, "", POOL, "zone", CAPACITY, ("kind", "rack"))


def _report(owner: Scheduler, report: ev.PollAnswered, now_ms: int) -> None:
    """Process a report and a round of placement, as the owner does in one turn."""
    owner.handle(report, now_ms)
    owner.place(now_ms)
    owner.take_effects()


def _timed_ms(call: Callable[[], object]) -> float:
    begun = time.perf_counter()
    call()
    return (time.perf_counter() - begun) * 1_000


@app.default
def main() -> None:
    """Print the durations by number of running tasks."""
    headings = ["tasks", "open, ms", "longest report, ms", "all reports, ms"]
    print("| " + " | ".join(headings) + " |")
    print("|" + "---|" * len(headings))
    for tasks in TASKS:
        found = Takeover.of_job(tasks)
        cells = [found.open_ms, max(found.reports_ms), sum(found.reports_ms)]
        row = " | ".join(f"{cell:.0f}" for cell in cells)
        print(f"| {tasks:,} | {row} |")


if __name__ == "__main__":
    sys.exit(app())
