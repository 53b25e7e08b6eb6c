"""Where late and failed jobs lost their time."""

import json

import pytest

from courselead.cli.app import run
from courselead.cli.log_lines import read_lines
from courselead.cli.lost import Cause, lost_rows
from tests.cli.test_explain import line

QUEUE = "q"


def job(number: int, at: float, took: float = 1.0, **started) -> list[str]:
    """Return the lines of a job that is served without trouble."""
    job_id = f"{number:016x}"
    task = f"{job_id}.0.0.0"
    started = {"waited_ms": 0, "minion": "m", **started}
    return [
        line(at, "a", "job_submitted", job_id=job_id, queue=QUEUE, verdict="accepted"),
        line(at, "o", "job_scheduled", job_id=job_id, queue=QUEUE, from_before=False),
        line(at + 0.01, "o", "unit_started", job_id=job_id, task=task, **started),
        line(at + took, "o", "job_ended", job_id=job_id, state="completed"),
    ]


def calm() -> list[str]:
    """Return the lines of a few jobs that show what is usual."""
    lines = [line(0.5, "o", "minion_listed", minion="m", pool="p")]
    for number in range(5):
        lines += job(number, 1.0 + number / 10)
    return lines


def causes(*lines: str) -> dict[Cause, int]:
    read, bad = read_lines([*calm(), *lines])
    assert not bad
    found: dict[Cause, int] = {}
    for row in lost_rows(read):
        found.update(row.causes)
    return found


def test_jobs_that_are_served_as_usual_are_not_lost():
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


def test_a_job_that_nobody_scheduled_had_no_owner():
    lines = job(9, 3.0)[:1]
    assert causes(*lines) == {Cause.NO_OWNER: 1}


@pytest.mark.parametrize(
    ("moved", "before", "cause"),
    [
        (False, False, Cause.NO_ROOM),
        (True, False, Cause.ON_ITS_WAY),
        (False, True, Cause.TAKEOVER),
    ],
)
def test_a_job_that_waited(moved, before, cause):
    asked, scheduled, _, _ = job(9, 3.0)
    scheduled = scheduled.replace('"from_before": false', f'"from_before": {before}')
    scheduled = scheduled.replace("True", "true").replace("False", "false")
    started = line(
        7, "o", "unit_started", job_id=f"{9:016x}", waited_ms=4_000, minion="m"
    )
    ended = line(8, "o", "job_ended", job_id=f"{9:016x}", state="completed")
    lines = [asked, scheduled, started, ended]
    if moved:
        lines.append(line(4, "o", "move", worker="w", before="x", pool="p"))
    assert causes(*lines) == {cause: 1}


def test_a_run_that_was_lost_and_one_that_was_slow():
    lost = line(4, "o", "run_lost", job_id=f"{9:016x}", reason="its lease is over")
    assert causes(*job(9, 3.0, took=5.0), lost) == {Cause.RUN_AGAIN: 1}
    assert causes(*job(9, 3.0, took=5.0)) == {Cause.SLOW_RUN: 1}


def test_a_job_whose_lines_were_dropped_is_not_said_to_have_had_no_owner():
    # Trouble-1 of the large deployment: 271 of 2,237 jobs had no `job_scheduled` line,
    # as a kind has 200 lines a second, and were said to have had no owner.
    asked = job(9, 3.0)[0]
    age = line(8, "o", "job_ended", job_id=f"{9:016x}", state="completed", age_ms=4_990)
    assert causes(asked, age) == {Cause.DROPPED: 1}
    beside = job(8, 3.1)
    assert causes(asked, *beside) == {Cause.DROPPED: 1}


def test_cancelled_jobs_are_not_lost():
    *lines, ended = job(9, 3.0, took=5.0)
    assert causes(*lines, ended.replace("completed", "cancelled")) == {}


def test_the_command_prints_a_table_or_json(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join([*calm(), *job(9, 3.0, took=5.0)]) + "\n")
    assert run(["explain", "--lost", str(path)]) == 0
    said = capsys.readouterr().out
    assert "1 slow run" in said
    assert said.endswith("1 of 6 jobs were late, failed or have not ended\n")
    assert run(["explain", "--lost", "--json", str(path)]) == 0
    rows = json.loads(capsys.readouterr().out)
    assert [row["lost"] for row in rows] == [0, 1]
    assert rows[1]["causes"] == {"slow run": 1}


def test_a_window_of_nothing_is_refused(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("")
    assert run(["explain", "--lost", "--window", "0", str(path)]) == 2
    assert "--window" in capsys.readouterr().err
    assert run(["explain", "--lost", str(path)]) != 0
