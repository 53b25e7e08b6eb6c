"""`courselead explain`: from logs, what became of a job and why."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from courselead.cli.errors import ExitCode
from courselead.cli.log_lines import RUN_TROUBLES, Line, read_lines, texts_of
from courselead.cli.lost import WINDOW_S, LostRow, lost_rows
from courselead.cli.output import emit, emit_json, warn

BELIEFS = (
    "started",
    "leaving",
    "stopped",
    "config_applied",
    "copy_taken",
    "schedule_claimed",
    "schedule_owned",
    "schedule_lost",
    "schedule_left",
    "own_way_lost",
    "own_way_regained",
    "log_unreachable",
    "log_reached",
    "log_not_writable",
    "log_writable",
    "pause_noticed",
    "pause_over",
    "minion_unreachable",
    "minion_reached",
    "minion_dead",
    "lease_over",
)
"""Events that change what a host believes, whatever job they touch."""

BEARING_MS = 4_000
"""Time before a job's events within which such a change may bear on it."""


def explain(
    job_id: Annotated[str, Parameter(help="The job's id.")] = "",
    *files: Annotated[Path, Parameter(help="Logs; standard input if there is none.")],
    node: Annotated[str, Parameter(help="Show what this host believed.")] = "",
    at: Annotated[str, Parameter(help="Until this time of day, hh:mm:ss.")] = "",
    lost: Annotated[
        bool, Parameter(help="Show where late and failed jobs lost their time.")
    ] = False,
    window: Annotated[
        float, Parameter(help="Seconds of each row of --lost.")
    ] = WINDOW_S,
    as_json: Annotated[
        bool, Parameter(name="--json", help="Print the rows of --lost as JSON.")
    ] = False,
) -> int:
    """Show a job's life from the logs of all hosts, or what a host believed."""
    if lost:
        # No job is asked for, so the first word is a log, too.
        names = (Path(job_id), *files) if job_id else files
        return _explain_lost(names, window, as_json)
    if not node and not job_id:
        warn("give a job's id, or --node")
        return ExitCode.USAGE
    lines = _read(files)
    shown = beliefs(lines, node, at) if node else life(lines, job_id)
    for line in shown:
        emit(line.text())
    if not shown:
        warn("no line is about it: look at the logs of all hosts, and of that time")
        return ExitCode.REFUSED
    if not node:
        emit(f"cause: {cause(shown, job_id)}")
    return ExitCode.OK


def _explain_lost(files: tuple[Path, ...], window_s: float, as_json: bool) -> int:
    if window_s <= 0:
        warn("--window must be over 0")
        return ExitCode.USAGE
    rows = lost_rows(_read(files), window_s)
    if not rows:
        warn("no line is about a job: give the logs of all hosts")
        return ExitCode.REFUSED
    if as_json:
        emit_json([row.document() for row in rows])
        return ExitCode.OK
    for row in rows:
        if row.causes:
            emit(_row_text(row))
    lost = sum(sum(row.causes.values()) for row in rows)
    jobs = sum(row.jobs for row in rows)
    emit(f"{lost} of {jobs} jobs were late, failed or have not ended")
    return ExitCode.OK


def _row_text(row: LostRow) -> str:
    lost = sum(row.causes.values())
    causes = "; ".join(f"{count} {name}" for name, count in row.causes.most_common())
    return f"{row.begin_s:8.1f} s  {row.queue:<20} {lost:>4} of {row.jobs:<4} {causes}"


def _read(files: tuple[Path, ...]) -> list[Line]:
    lines, bad = read_lines(texts_of(files))
    if bad:
        warn(f"{bad} lines are cut or no log lines; they were skipped")
    return lines


def life(lines: list[Line], job_id: str) -> list[Line]:
    """Return what is about a job, with the changes of belief that may bear on it."""
    about = [line for line in lines if line.about_job == job_id]
    if not about:
        return []
    minions = {line.fields.get("minion") for line in about}
    first, last = about[0].at, about[-1].at
    shown = []
    for line in lines:
        if line.about_job == job_id:
            shown.append(line)
            continue
        if line.event not in BELIEFS or not first <= line.at <= last:
            continue
        minion = line.fields.get("minion")
        if minion is None or minion in minions:
            shown.append(line)
    return shown


def beliefs(lines: list[Line], node: str, at: str) -> list[Line]:
    """Return the newest line of each kind of belief of a host until a time."""
    newest: dict[tuple[str, object], Line] = {}
    for line in lines:
        if line.host != node or line.event not in (*BELIEFS, "counters", "pool_state"):
            continue
        if at and line.at[11 : 11 + len(at)] > at:
            continue
        key = (line.event, line.fields.get("pool") or line.fields.get("minion"))
        newest[key] = line
    return sorted(newest.values(), key=lambda line: line.at)


def cause(shown: list[Line], job_id: str) -> str:
    """Return in a sentence what decided the job's fate."""
    about = [line for line in shown if line.about_job == job_id]
    last = {line.event: line for line in about}
    submitted = last.get("job_submitted")
    # A caller that was refused comes back, also to another host.
    if submitted is not None and "job_scheduled" not in last:
        if submitted.fields.get("verdict") == "not_run":
            reason = submitted.fields.get("reason")
            return f"not accepted at {submitted.host}: {reason}"
        if submitted.fields.get("verdict") == "in_doubt":
            return f"its storing was not answered at {submitted.host}; a repeat tells"
    ended = last.get("job_ended")
    if ended is not None and ended.fields.get("state") != "completed":
        state, reason = ended.fields.get("state"), ended.fields.get("reason")
        return f"{state}: {reason}{_crashes(about, ended)}{_left_running(last)}"
    troubles = _troubles(about, shown)
    told = "completed" if ended is not None else "not ended in these logs"
    if not troubles:
        return f"{told}, without trouble on its way"
    listed = "; ".join(troubles)
    return f"{told}, held up by: {listed}"


def _crashes(about: list[Line], ended: Line) -> str:
    """Return which lives crashed under a job that was given up, "" without any."""
    told = []
    for line in about:
        if line.event != "task_crashed":
            continue
        fields = line.fields
        told.append(
            f"{fields.get('minion')} at {line.at[11:19]} after {fields.get('age_ms')}"
            f" ms beside {fields.get('other_jobs')} other jobs"
        )
    if not told:
        return ""
    return f" ({'; '.join(told)}; decided by {ended.host})"


def _left_running(last: dict[str, Line]) -> str:
    """Return what of a failed service runs on, "" if nothing does."""
    line = last.get("tasks_left_running")
    if line is None:
        return ""
    return f"; {line.fields.get('runs')} other tasks run on until it is cancelled"


def _capped_ms(line: Line) -> int:
    """Return for how long its account's cap held a task up, 0 if it did not."""
    capped = line.fields.get("capped_ms", 0)
    return capped if isinstance(capped, int) else 0


def _troubles(about: list[Line], shown: list[Line]) -> list[str]:
    counts: dict[str, int] = {}
    for line in about:
        if line.fields.get("verdict") in ("not_run", "in_doubt"):
            why = line.fields.get("reason")
            key = f"refused at {line.host} ({why})"
            counts[key] = counts.get(key, 0) + 1
        if line.event in RUN_TROUBLES:
            why = line.fields.get("reason") or line.fields.get("minion")
            key = f"{line.event} ({why})"
            counts[key] = counts.get(key, 0) + 1
        waited = line.fields.get("waited_ms", 0)
        if isinstance(waited, int) and waited > BEARING_MS // 4:
            key = "tasks that waited over a second for room"
            counts[key] = counts.get(key, 0) + 1
    capped_ms = max((_capped_ms(line) for line in about), default=0)
    if capped_ms:
        key = f"a task that waited {capped_ms / 1000:.1f} s for its account's cap"
        counts[key] = 1
    for line in shown:
        if line.event in ("schedule_claimed", "schedule_lost", "own_way_lost"):
            key = f"{line.event} at {line.host}"
            counts[key] = counts.get(key, 0) + 1
    return [f"{count} x {text}" for text, count in counts.items()]
