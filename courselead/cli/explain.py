"""The command `courselead explain`: shows from logs what happened to a job and why."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from courselead.cli.errors import ExitCode
from courselead.cli.evacuations import (
    ZONE_EVENTS,
    Restriction,
    describe,
    find_restrictions,
    lines_in_force,
)
from courselead.cli.log_lines import RUN_FAILURE_EVENTS, Line, iter_lines, read_lines
from courselead.cli.lost import WINDOW_S, LostRow, lost_rows
from courselead.cli.output import emit, emit_json, warn
from courselead.core.scheduler.const import ZONE_EVACUATED_REASON

HOST_EVENTS = (
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
    *sorted(ZONE_EVENTS),
)
"""Events that change the state of a host or its view of others, for any job."""

LONG_WAIT_REFERENCE_MS = 4_000
"""A wait of more than a quarter of this for free capacity counts as a delay."""


def explain(
    job_id: Annotated[str, Parameter(help="The job's id.")] = "",
    *files: Annotated[Path, Parameter(help="Logs; standard input if there is none.")],
    node: Annotated[str, Parameter(help="Show what this host knew and did last.")] = "",
    at: Annotated[str, Parameter(help="Until this time of day, hh:mm:ss.")] = "",
    lost: Annotated[bool, Parameter(help="Show why jobs were late or failed.")] = False,
    window: Annotated[
        float, Parameter(help="Seconds of each row of --lost.")
    ] = WINDOW_S,
    as_json: Annotated[
        bool, Parameter(name="--json", help="Print the rows of --lost as JSON.")
    ] = False,
) -> int:
    """Show a job's history from the logs of all hosts, or the last state of a host."""
    if lost:
        # There is no job id with --lost, so the first argument is a log file as well.
        names = (Path(job_id), *files) if job_id else files
        return _print_lost_rows(names, window, as_json)
    if not node and not job_id:
        warn("give a job's id, or --node")
        return ExitCode.USAGE
    lines = _read(files)
    shown = newest_host_events(lines, node, at) if node else job_history(lines, job_id)
    for line in shown:
        emit(line.text())
    if not shown:
        warn("no matching line: give the logs of all hosts, and of that time")
        return ExitCode.REFUSED
    if not node:
        emit(f"cause: {describe_cause(shown, job_id)}")
    return ExitCode.OK


def _print_lost_rows(files: tuple[Path, ...], window_s: float, as_json: bool) -> int:
    if window_s <= 0:
        warn("--window must be greater than 0")
        return ExitCode.USAGE
    rows = lost_rows(_read(files), window_s)
    if not rows:
        warn("no line of a job: give the logs of all hosts")
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
    lines, skipped = read_lines(iter_lines(files))
    if skipped:
        warn(f"{skipped} lines are cut or no log lines; they were skipped")
    return lines


def job_history(lines: list[Line], job_id: str) -> list[Line]:
    """Return the lines of a job, and the host events between them that may concern it.

    An event of a minion is included if a line of the job names that minion; an event
    without a minion is always included. So are the evacuations in force before.
    """
    job_lines = [line for line in lines if line.job_id == job_id]
    if not job_lines:
        return []
    minions = {line.fields.get("minion") for line in job_lines}
    first, last = job_lines[0].at, job_lines[-1].at
    in_force = lines_in_force(lines, first)
    shown = []
    for line in lines:
        if line.job_id == job_id or line in in_force:
            shown.append(line)
            continue
        if line.event not in HOST_EVENTS or not first <= line.at <= last:
            continue
        minion = line.fields.get("minion")
        if minion is None or minion in minions:
            shown.append(line)
    return shown


def newest_host_events(lines: list[Line], node: str, at: str) -> list[Line]:
    """Return the newest line of each event that shows a host's state, up to a time."""
    newest: dict[tuple[str, object], Line] = {}
    for line in lines:
        if line.host != node or line.event not in (
            *HOST_EVENTS,
            "counters",
            "pool_state",
        ):
            continue
        if at and line.at[11 : 11 + len(at)] > at:
            continue
        key = (line.event, line.fields.get("pool") or line.fields.get("minion"))
        newest[key] = line
    return sorted(newest.values(), key=lambda line: line.at)


def describe_cause(shown: list[Line], job_id: str) -> str:
    """Return in one sentence the outcome of a job and its cause."""
    job_lines = [line for line in shown if line.job_id == job_id]
    newest = {line.event: line for line in job_lines}
    submitted = newest.get("job_submitted")
    # A refused caller submits the job again, possibly to another host, so a refusal is
    # the cause only if the job was never scheduled.
    if submitted is not None and "job_scheduled" not in newest:
        if submitted.fields.get("verdict") == "not_run":
            reason = submitted.fields.get("reason")
            return f"not accepted at {submitted.host}: {reason}"
        if submitted.fields.get("verdict") == "in_doubt":
            return f"its storing was not answered at {submitted.host}; a repeat tells"
    ended = newest.get("job_ended")
    if ended is not None and ended.fields.get("state") != "completed":
        state, reason = ended.fields.get("state"), ended.fields.get("reason")
        return f"{state}: {reason}{_crashes(job_lines, ended)}{_still_running(newest)}"
    delays = _delays(job_lines, shown)
    outcome = "completed" if ended is not None else "not ended in these logs"
    if not delays:
        return f"{outcome}, without trouble on its way"
    listed = "; ".join(delays)
    return f"{outcome}, held up by: {listed}"


def _crashes(job_lines: list[Line], ended: Line) -> str:
    """Return which minions crashed under a job that was given up, "" if none did."""
    crashes = []
    for line in job_lines:
        if line.event != "task_crashed":
            continue
        fields = line.fields
        crashes.append(
            f"{fields.get('minion')} at {line.at[11:19]} after {fields.get('age_ms')}"
            f" ms beside {fields.get('other_jobs')} other jobs"
        )
    if not crashes:
        return ""
    return f" ({'; '.join(crashes)}; decided by {ended.host})"


def _still_running(newest: dict[str, Line]) -> str:
    """Return what of a failed service still runs, "" if nothing does."""
    line = newest.get("tasks_left_running")
    if line is None:
        return ""
    return f"; {line.fields.get('runs')} other tasks run on until it is cancelled"


def _capped_ms(line: Line) -> int:
    """Return how long a task waited for its account's cap, 0 if it did not."""
    capped = line.fields.get("capped_ms", 0)
    return capped if isinstance(capped, int) else 0


def _wait_text(line: Line, waited_ms: int, restrictions: list[Restriction]) -> str:
    """Return what a task waited for until it was started."""
    begin = line.seconds - waited_ms / 1000
    causes = [item for item in restrictions if item.covers_most_of(begin, line.seconds)]
    return f"tasks that waited over a second {describe(causes) or 'for room'}"


def _delays(job_lines: list[Line], shown: list[Line]) -> list[str]:
    counts: dict[str, int] = {}
    restrictions = find_restrictions(shown)
    for line in job_lines:
        if line.fields.get("verdict") in ("not_run", "in_doubt"):
            why = line.fields.get("reason")
            key = f"refused at {line.host} ({why})"
            counts[key] = counts.get(key, 0) + 1
        if line.event in RUN_FAILURE_EVENTS:
            why = line.fields.get("reason") or line.fields.get("minion")
            key = f"{line.event} ({why})"
            counts[key] = counts.get(key, 0) + 1
        waited = line.fields.get("waited_ms", 0)
        if isinstance(waited, int) and waited > LONG_WAIT_REFERENCE_MS // 4:
            key = _wait_text(line, waited, restrictions)
            counts[key] = counts.get(key, 0) + 1
        if (
            line.event == "run_ended"
            and line.fields.get("reason") == ZONE_EVACUATED_REASON
        ):
            key = "run moved out of an evacuated zone"
            counts[key] = counts.get(key, 0) + 1
    capped_ms = max((_capped_ms(line) for line in job_lines), default=0)
    if capped_ms:
        key = f"a task that waited {capped_ms / 1000:.1f} s for its account's cap"
        counts[key] = 1
    for line in shown:
        if line.event in ("schedule_claimed", "schedule_lost", "own_way_lost"):
            key = f"{line.event} at {line.host}"
            counts[key] = counts.get(key, 0) + 1
    delays = [f"{count} x {text}" for text, count in counts.items()]
    events = {line.event for line in job_lines}
    open_restrictions = [item for item in restrictions if item.end == math.inf]
    if open_restrictions and not events & {"unit_started", "job_ended"}:
        delays.append(f"no start so far {describe(open_restrictions)}")
    return delays
