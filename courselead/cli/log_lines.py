"""Reads the JSON lines of the hosts' logs."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

from returns.result import Failure

from courselead.decoding import PythonJsonDecoder

RUN_FAILURE_EVENTS = frozenset(
    {"run_failed", "run_lost", "start_unknown", "start_refused"}
)
"""Events after which a task has to be started again."""

_HIDDEN_FIELDS = ("event", "level", "timestamp", "job_id")


_LINE_DECODER = PythonJsonDecoder()


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log; `at` is its timestamp in ISO form, from the host's clock."""

    at: str
    host: str
    event: str
    fields: dict[str, object]

    @property
    def job_id(self) -> str:
        """Return the id of the job that the line concerns, "" if there is none."""
        for name in ("job_id", "task", "step"):
            value = self.fields.get(name)
            if isinstance(value, str) and value:
                return value.partition(".")[0]
        return ""

    @property
    def seconds(self) -> float:
        """Return its timestamp as seconds since 1970, 0 if it has none."""
        try:
            return datetime.fromisoformat(self.at).timestamp()
        except ValueError:
            return 0.0

    def text(self) -> str:
        """Return the line as text for the operator."""
        shown = []
        for name, value in self.fields.items():
            if name not in _HIDDEN_FIELDS and value not in ("", None):
                shown.append(f"{name}={value}")
        details = " ".join(shown)
        return f"{self.at[11:23]} {self.host:<24} {self.event:<18} {details}".rstrip()


def read_lines(texts: Iterable[str]) -> tuple[list[Line], int]:
    """Return the lines in order of time, and the number of lines that were skipped.

    A line may have a prefix, such as a collector's time and the host's name. The last
    word of the prefix is taken as the host.
    """
    lines: list[Line] = []
    skipped = 0
    for text in texts:
        prefix, brace, remainder = text.partition("{")
        if not brace:
            skipped += bool(text.strip())
            continue
        decoded = _LINE_DECODER.decode(brace + remainder)
        if isinstance(decoded, Failure):
            skipped += 1
            continue
        fields = decoded.unwrap()
        if "event" not in fields:
            skipped += 1
            continue
        words = prefix.split()
        host = words[-1] if words else str(fields.get("host", ""))
        lines.append(
            Line(str(fields.get("timestamp", "")), host, str(fields["event"]), fields)
        )
    lines.sort(key=lambda line: line.at)
    return lines, skipped


def iter_lines(files: tuple[Path, ...]) -> Iterator[str]:
    """Return the lines of the files, or of standard input if no file is given."""
    if not files:
        yield from sys.stdin
        return
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as stream:
            yield from stream
