"""Bounds of the log: lines a second of each kind, and a writer that never waits."""

from __future__ import annotations

import threading
import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict

ATTR_JOB = "job_id"

LINES_A_SECOND = 200
"""Lines of one kind in a second: starts at the turn of one service of today's sites."""

SAMPLED_JOBS = 16
"""Beyond that one job in so many is told of, with all its lines of the kind."""

BUFFERED_LINES = 4_000
"""Lines that wait for a slow reader: about a megabyte."""

FLUSH_S = 0.05
"""Pause between two writes: lines of that time share a system call."""


class LineBudget:
    """A structlog processor that drops lines beyond the budget of their kind."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with full budgets."""
        self._clock = clock
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped = 0

    def __call__(self, _logger: Any, _method: str, event: EventDict) -> EventDict:
        """Pass a line on, or drop it."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        kind = str(event.get("event", ""))
        count = self._counts[kind] = self._counts.get(kind, 0) + 1
        if count <= LINES_A_SECOND:
            return event
        if count <= 2 * LINES_A_SECOND and _is_sampled(event.get(ATTR_JOB)):
            return event
        self.dropped += 1
        raise structlog.DropEvent


def _is_sampled(job_id: object) -> bool:
    if job_id is None:
        return False
    return zlib.crc32(str(job_id).encode()) % SAMPLED_JOBS == 0


class BoundedWriter:
    """A text stream whose writes never wait: a thread hands them on in bunches."""

    def __init__(self, stream: TextIO, most_lines: int = BUFFERED_LINES) -> None:
        """Start the thread; `most_lines` may wait, what comes beyond is dropped."""
        self._stream = stream
        self._lines: deque[str] = deque()
        self._most = most_lines
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self.dropped = 0
        self._told = 0
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Take a line, or drop it if too many wait."""
        if len(self._lines) >= self._most:
            self.dropped += 1
            return len(text)
        self._idle.clear()
        self._lines.append(text)
        self._wake.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes when it can."""

    def drain(self, timeout_s: float) -> None:
        """Wait until all is written, for the end of the process."""
        self._idle.wait(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            time.sleep(FLUSH_S)
            self._write_all()

    def _write_all(self) -> None:
        bunch: list[str] = []
        while self._lines:
            bunch.append(self._lines.popleft())
        if self.dropped > self._told:
            lost = self.dropped - self._told
            self._told = self.dropped
            bunch.append(f'{{"event": "lines_lost", "count": {lost}}}\n')
        try:
            self._stream.write("".join(bunch))
            self._stream.flush()
        except (OSError, ValueError):
            # Nobody reads any more: there is no place left to say so.
            self.dropped += len(bunch)
        if not self._lines:
            self._idle.set()
