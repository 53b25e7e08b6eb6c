from benchmarks.schedule.fleet import STEPS, TASKS, Fleet
from benchmarks.takeover.__main__ import Takeover
from courselead.core.scheduler.models import JobState


def test_the_benchmark_completes_jobs():
    fleet = Fleet(1, 2)
    fleet.submit("pool-0")
    fleet.pass_time(2_500)
    assert fleet.starts == STEPS * TASKS
    assert [entry.state for entry in fleet.book.jobs.values()] == [JobState.COMPLETED]


def test_the_benchmark_of_takeovers_adopts_all_runs():
    # It raises an error if runs are missing.
    found = Takeover.of_job(50, minions=3)
    assert len(found.reports_ms) == 3
