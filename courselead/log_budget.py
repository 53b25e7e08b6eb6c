"""Bounds of the log: a rate limit for each event name, and a non-blocking writer."""

from __future__ import annotations

import threading
import time
import zlib
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import structlog
from structlog.typing import EventDict

ATTR_JOB_ID = "job_id"

MAX_LINES_PER_SECOND = 200
"""Limit for each event name: the task starts at the beginning of a burst of one service
on current sites."""

JOB_SAMPLING_INTERVAL = 16
"""Beyond the limit, up to twice its number, one job in this many is still logged, with
all its lines of the event name."""

MAX_BUFFERED_LINES = 4_000
"""Lines kept for a slow reader: about 1 MB."""

FLUSH_DELAY_S = 0.05
"""Pause before a write, so that the lines of that time share one system call."""


class LineBudget:
    """A structlog processor that drops lines beyond the budget of their event name."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Start with full budgets."""
        self._clock = clock
        self._second = 0
        self._counts: dict[str, int] = {}
        self.dropped = 0

    def __call__(self, _logger: Any, _method: str, event: EventDict) -> EventDict:
        """Return the line, or drop it if the budget of its event name is spent."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
        event_name = str(event.get("event", ""))
        count = self._counts[event_name] = self._counts.get(event_name, 0) + 1
        if count <= MAX_LINES_PER_SECOND:
            return event
        if count <= 2 * MAX_LINES_PER_SECOND and _is_sampled(event.get(ATTR_JOB_ID)):
            return event
        self.dropped += 1
        raise structlog.DropEvent


def _is_sampled(job_id: object) -> bool:
    if job_id is None:
        return False
    return zlib.crc32(str(job_id).encode()) % JOB_SAMPLING_INTERVAL == 0


class BoundedWriter:
    """A text stream whose writes never block: a thread writes the lines in batches."""

    def __init__(self, stream: TextIO, max_lines: int = MAX_BUFFERED_LINES) -> None:
        """Start the thread; lines beyond `max_lines` waiting are dropped."""
        self._stream = stream
        self._lines: deque[str] = deque()
        self._max_lines = max_lines
        self._wake = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self.dropped = 0
        self._reported = 0
        thread = threading.Thread(target=self._run, name="log", daemon=True)
        thread.start()

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            return len(text)
        self._idle.clear()
        self._lines.append(text)
        self._wake.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing, as the thread writes on its own."""

    def drain(self, timeout_s: float) -> None:
        """Wait until all lines are written; called before the process exits."""
        self._idle.wait(timeout_s)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            time.sleep(FLUSH_DELAY_S)
            self._write_all()

    def _write_all(self) -> None:
        batch: list[str] = []
        while self._lines:
            batch.append(self._lines.popleft())
        if self.dropped > self._reported:
            unreported = self.dropped - self._reported
            self._reported = self.dropped
            batch.append(f'{{"event": "lines_lost", "count": {unreported}}}\n')
        try:
            self._stream.write("".join(batch))
            self._stream.flush()
        except (OSError, ValueError):
            # The reader is gone, so the loss cannot be logged; it is only counted.
            self.dropped += len(batch)
        if not self._lines:
            self._idle.set()
