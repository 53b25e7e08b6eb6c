"""`courselead explain`: from logs, what became of a job and why."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from courselead.cli.errors import ExitCode
from courselead.cli.output import emit, warn

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

_SKIPPED = ("event", "level", "timestamp", "job_id")


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log; `at` is the host's time of day in ISO form."""

    at: str
    host: str
    event: str
    fields: dict[str, object]

    def touches(self, job_id: str) -> bool:
        """Return whether the line is about a job."""
        for name in ("job_id", "task", "step"):
            value = self.fields.get(name)
            if isinstance(value, str) and value.partition(".")[0] == job_id:
                return True
        return False

    def text(self) -> str:
        """Return the line to read."""
        shown = []
        for name, value in self.fields.items():
            if name not in _SKIPPED and value not in ("", None):
                shown.append(f"{name}={value}")
        details = " ".join(shown)
        return f"{self.at[11:23]} {self.host:<24} {self.event:<18} {details}".rstrip()


def explain(
    job_id: Annotated[str, Parameter(help="The job's id.")] = "",
    *files: Annotated[Path, Parameter(help="Logs; standard input if there is none.")],
    node: Annotated[str, Parameter(help="Show what this host believed.")] = "",
    at: Annotated[str, Parameter(help="Until this time of day, hh:mm:ss.")] = "",
) -> int:
    """Show a job's life from the logs of all hosts, or what a host believed."""
    if not node and not job_id:
        warn("give a job's id, or --node")
        return ExitCode.USAGE
    lines, bad = read_lines(_texts(files))
    if bad:
        warn(f"{bad} lines are cut or no log lines; they were skipped")
    shown = beliefs(lines, node, at) if node else life(lines, job_id)
    for line in shown:
        emit(line.text())
    if not shown:
        warn("no line is about it: look at the logs of all hosts, and of that time")
        return ExitCode.REFUSED
    if not node:
        emit(f"cause: {cause(shown, job_id)}")
    return ExitCode.OK


def read_lines(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Return the lines in the order of time, and how many were no log lines.

    A line may have a prefix, such as a collector's time and the host's name.
    """
    lines: list[Line] = []
    bad = 0
    for text in texts:
        prefix, brace, rest = text.partition("{")
        if not brace:
            bad += bool(text.strip())
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            bad += 1
            continue
        if "event" not in fields:
            bad += 1
            continue
        words = prefix.split()
        host = words[-1] if words else str(fields.get("host", ""))
        lines.append(
            Line(str(fields.get("timestamp", "")), host, str(fields["event"]), fields)
        )
    lines.sort(key=lambda line: line.at)
    return lines, bad


def life(lines: list[Line], job_id: str) -> list[Line]:
    """Return what is about a job, with the changes of belief that may bear on it."""
    about = [line for line in lines if line.touches(job_id)]
    if not about:
        return []
    minions = {line.fields.get("minion") for line in about}
    first, last = about[0].at, about[-1].at
    shown = []
    for line in lines:
        if line.touches(job_id):
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
    about = [line for line in shown if line.touches(job_id)]
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
        return f"{state}: {reason}"
    troubles = _troubles(about, shown)
    told = "completed" if ended is not None else "not ended in these logs"
    if not troubles:
        return f"{told}, without trouble on its way"
    listed = "; ".join(troubles)
    return f"{told}, held up by: {listed}"


def _troubles(about: list[Line], shown: list[Line]) -> list[str]:
    counts: dict[str, int] = {}
    for line in about:
        if line.fields.get("verdict") in ("not_run", "in_doubt"):
            why = line.fields.get("reason")
            key = f"refused at {line.host} ({why})"
            counts[key] = counts.get(key, 0) + 1
        if line.event in ("run_lost", "run_failed", "start_unknown", "start_refused"):
            why = line.fields.get("reason") or line.fields.get("minion")
            key = f"{line.event} ({why})"
            counts[key] = counts.get(key, 0) + 1
        waited = line.fields.get("waited_ms", 0)
        if isinstance(waited, int) and waited > BEARING_MS // 4:
            key = "tasks that waited over a second for room"
            counts[key] = counts.get(key, 0) + 1
    for line in shown:
        if line.event in ("schedule_claimed", "schedule_lost", "own_way_lost"):
            key = f"{line.event} at {line.host}"
            counts[key] = counts.get(key, 0) + 1
    return [f"{count} x {text}" for text, count in counts.items()]


def _texts(files: tuple[Path, ...]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from stream
