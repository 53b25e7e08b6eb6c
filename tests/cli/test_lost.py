"""`courselead explain --lost`: the causes of late and failed jobs."""

import json

import pytest

from courselead.cli.app import run
from courselead.cli.log_lines import read_lines
from courselead.cli.lost import Cause, lost_rows
from tests.cli.test_explain import line

QUEUE = "q"


def job(number: int, at: float, duration_s: float = 1.0, **started) -> list[str]:
    """Return the lines of a job that completes without a delay."""
    job_id = f"{number:016x}"
    task = f"{job_id}.0.0.0"
    started = {"waited_ms": 0, "minion": "m", **started}
    return [
        line(at, "a", "job_submitted", job_id=job_id, queue=QUEUE, verdict="accepted"),
        line(at, "o", "job_scheduled", job_id=job_id, queue=QUEUE, from_before=False),
        line(at + 0.01, "o", "unit_started", job_id=job_id, task=task, **started),
        line(at + duration_s, "o", "job_ended", job_id=job_id, state="completed"),
    ]


def usual_jobs() -> list[str]:
    """Return the lines of a few jobs that set the usual duration."""
    lines = [line(0.5, "o", "minion_listed", minion="m", pool="p")]
    for number in range(5):
        lines += job(number, 1.0 + number / 10)
    return lines


def causes(*lines: str) -> dict[Cause, int]:
    read, skipped = read_lines([*usual_jobs(), *lines])
    assert not skipped
    found: dict[Cause, int] = {}
    for row in lost_rows(read):
        found.update(row.causes)
    return found


def test_jobs_of_the_usual_duration_are_not_lost():
    assert causes() == {}


def test_a_job_that_was_only_refused_was_not_stored():
    refused = line(
        3, "a", "job_submitted", job_id="f" * 16, queue=QUEUE, verdict="not_run"
    )
    assert causes(refused) == {Cause.NOT_STORED: 1}


def test_a_job_that_was_stored_late_was_not_stored_at_first():
    first = line(
        3, "a", "job_submitted", job_id=f"{9:016x}", queue=QUEUE, verdict="not_run"
    )
    assert causes(first, *job(9, 6.0)) == {Cause.NOT_STORED: 1}


def test_a_job_that_was_never_scheduled_had_no_owner():
    lines = job(9, 3.0)[:1]
    assert causes(*lines) == {Cause.NO_OWNER: 1}


@pytest.mark.parametrize(
    ("moved", "before", "cause"),
    [
        (False, False, Cause.NO_FREE_CAPACITY),
        (True, False, Cause.WORKER_MOVING),
        (False, True, Cause.TAKEOVER),
    ],
)
def test_a_job_that_waited(moved, before, cause):
    submitted, scheduled, _, _ = job(9, 3.0)
    scheduled = scheduled.replace('"from_before": false', f'"from_before": {before}')
    scheduled = scheduled.replace("True", "true").replace("False", "false")
    started = line(
        7, "o", "unit_started", job_id=f"{9:016x}", waited_ms=4_000, minion="m"
    )
    ended = line(8, "o", "job_ended", job_id=f"{9:016x}", state="completed")
    lines = [submitted, scheduled, started, ended]
    if moved:
        lines.append(line(4, "o", "move", worker="w", before="x", pool="p"))
    assert causes(*lines) == {cause: 1}


def test_a_lost_run_and_a_slow_run():
    lost = line(4, "o", "run_lost", job_id=f"{9:016x}", reason="its lease is over")
    assert causes(*job(9, 3.0, duration_s=5.0), lost) == {Cause.RERUN: 1}
    assert causes(*job(9, 3.0, duration_s=5.0)) == {Cause.SLOW_RUN: 1}


def test_a_job_with_dropped_lines_does_not_count_as_without_owner():
    # The log keeps 200 lines a second of each event name. In trouble-1 of the large
    # deployment 271 of 2,237 jobs therefore had no `job_scheduled` line and were
    # reported as without an owner.
    submitted = job(9, 3.0)[0]
    age = line(8, "o", "job_ended", job_id=f"{9:016x}", state="completed", age_ms=4_990)
    assert causes(submitted, age) == {Cause.DROPPED: 1}
    scheduled = job(8, 3.1)
    assert causes(submitted, *scheduled) == {Cause.DROPPED: 1}


def test_cancelled_jobs_are_not_lost():
    *lines, ended = job(9, 3.0, duration_s=5.0)
    assert causes(*lines, ended.replace("completed", "cancelled")) == {}


def test_the_command_prints_a_table_or_json(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join([*usual_jobs(), *job(9, 3.0, duration_s=5.0)]) + "\n")
    assert run(["explain", "--lost", str(path)]) == 0
    output = capsys.readouterr().out
    assert "1 slow run" in output
    assert output.endswith("1 of 6 jobs were late, failed or have not ended\n")
    assert run(["explain", "--lost", "--json", str(path)]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["lost"] for row in rows] == [0, 1]
    assert rows[1]["causes"] == {"slow run": 1}


def test_a_window_of_zero_seconds_is_refused(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("")
    assert run(["explain", "--lost", "--window", "0", str(path)]) == 2
    assert "--window" in capsys.readouterr().err
    assert run(["explain", "--lost", str(path)]) != 0


def test_a_job_that_waited_while_a_zone_was_evacuated_names_that():
    # Guards against reporting the wait as a lack of workers.
    begun = line(2, "o", "zone_evacuation_in_force", zone="z-a", runs=3)
    lines = job(9, 8.0, 6.0, waited_ms=4_000)
    over = line(30, "o", "zone_returned", zone="z-a")
    assert causes(begun, *lines, over) == {Cause.ZONE_EVACUATED: 1}


def test_a_job_that_waited_mostly_before_an_evacuation_does_not_name_it():
    # Guards against blaming each evacuation that touches a wait.
    begun = line(7.8, "o", "zone_evacuation_in_force", zone="z-a", runs=3)
    assert causes(begun, *job(9, 8.0, 6.0, waited_ms=4_000)) == {
        Cause.NO_FREE_CAPACITY: 1
    }


def test_a_job_that_waited_while_starts_were_paused_names_that():
    # Guards against reporting the wait as a lack of workers while nothing was started.
    begun = line(4, "o", "evacuation_view_old", age_ms=5_000)
    lines = job(9, 8.0, 6.0, waited_ms=4_000)
    assert causes(begun, *lines) == {Cause.STARTS_PAUSED: 1}
