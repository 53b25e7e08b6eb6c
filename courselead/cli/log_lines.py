"""Lines of the hosts' logs, as the command line reads them."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

RUN_TROUBLES = frozenset({"run_failed", "run_lost", "start_unknown", "start_refused"})
"""Events of a task that has to be started again."""

_SKIPPED = ("event", "level", "timestamp", "job_id")


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log; `at` is the host's time of day in ISO form."""

    at: str
    host: str
    event: str
    fields: dict[str, object]

    @property
    def about_job(self) -> str:
        """Return the job that the line is about, "" if it is about none."""
        for name in ("job_id", "task", "step"):
            value = self.fields.get(name)
            if isinstance(value, str) and value:
                return value.partition(".")[0]
        return ""

    def text(self) -> str:
        """Return the line to read."""
        shown = []
        for name, value in self.fields.items():
            if name not in _SKIPPED and value not in ("", None):
                shown.append(f"{name}={value}")
        details = " ".join(shown)
        return f"{self.at[11:23]} {self.host:<24} {self.event:<18} {details}".rstrip()


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


def texts_of(files: tuple[Path, ...]) -> Iterator[str]:
    """Return the lines of some files, or of standard input if there is none."""
    if not files:
        yield from sys.stdin
        return
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from stream
