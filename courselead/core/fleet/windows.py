"""Maintenance windows: `always`, `never` or `Mon-Fri 22:00-05:00` in UTC."""

import re
from dataclasses import dataclass
from functools import lru_cache

from returns.result import Failure, Result, Success

from courselead.core.table import WINDOW_ALWAYS, WINDOW_NEVER

DAYS = ("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
DAY_MS = 86_400_000
MINUTE_MS = 60_000
DAY_MINUTES = 1_440
# 1970-01-01 was a Thursday, the fourth day from Monday.
EPOCH_WEEKDAY = 3
PARSE_CACHE_ENTRIES = 1_024
MAX_WINDOW_CHARS = 40

_PATTERN = re.compile(
    r"(?P<first>[A-Z][a-z]{2})(?:-(?P<last>[A-Z][a-z]{2}))? "
    r"(?P<start>[0-9]{2}:[0-9]{2})-(?P<end>[0-9]{2}:[0-9]{2})",
    re.ASCII,
)


@dataclass(frozen=True, slots=True)
class Window:
    """A weekly maintenance window.

    Attributes:
        days: Weekdays on which the window opens, 0 for Monday.
        start_min: Minute of the day at which the window opens.
        length_min: Duration in minutes.
    """

    days: frozenset[int]
    start_min: int
    length_min: int


@dataclass(frozen=True, slots=True)
class WindowError:
    """The text is not a valid maintenance window."""

    text: str

    def __str__(self) -> str:
        """Return the error message with the valid formats."""
        shown = repr(self.text[:40])
        return (
            f"{shown} is no maintenance window; write always, never or days and "
            "times in UTC such as Mon-Fri 22:00-05:00"
        )


def parse_window(text: str) -> Result[Window, WindowError]:
    """Parse a maintenance window.

    A window that extends past midnight belongs to the day on which it opens.
    """
    # Longer texts are never valid and must not be stored in the cache.
    if len(text) > MAX_WINDOW_CHARS:
        return Failure(WindowError(text[:MAX_WINDOW_CHARS]))
    return _parse_cached(text)


@lru_cache(maxsize=PARSE_CACHE_ENTRIES)
def _parse_cached(text: str) -> Result[Window, WindowError]:
    """Parse a maintenance window whose length has been checked."""
    if text == WINDOW_ALWAYS:
        return Success(Window(frozenset(range(7)), 0, DAY_MINUTES))
    if text == WINDOW_NEVER:
        return Success(Window(frozenset(), 0, 0))
    match = _PATTERN.fullmatch(text)
    if match is None:
        return Failure(WindowError(text))
    days = _parse_days(match["first"], match["last"] or match["first"])
    start = _parse_time_of_day(match["start"])
    end = _parse_time_of_day(match["end"])
    if not days or start is None or end is None or start == end:
        return Failure(WindowError(text))
    length = (end - start) % DAY_MINUTES
    return Success(Window(days, start, length))


def is_window_open(text: str, at_ms: int) -> bool:
    """Return whether a window is open at a time; an invalid window is closed.

    Args:
        text: The window as written in the table.
        at_ms: Wall clock time, in milliseconds since the epoch.
    """
    parsed = parse_window(text)
    if isinstance(parsed, Failure):
        return False
    window = parsed.unwrap()
    day = at_ms // DAY_MS
    minute = at_ms % DAY_MS // MINUTE_MS
    return _covers(window, day, minute) or _covers(
        window, day - 1, minute + DAY_MINUTES
    )


def _covers(window: Window, day: int, minute: int) -> bool:
    """Return whether the window of a day covers a minute, counted from that day."""
    if (day + EPOCH_WEEKDAY) % 7 not in window.days:
        return False
    return 0 <= minute - window.start_min < window.length_min


def _parse_days(first: str, last: str) -> frozenset[int]:
    """Return the weekdays in a range, or an empty set if a name is unknown."""
    if first not in DAYS or last not in DAYS:
        return frozenset()
    start = DAYS.index(first)
    count = (DAYS.index(last) - start) % 7 + 1
    return frozenset((start + offset) % 7 for offset in range(count))


def _parse_time_of_day(text: str) -> int | None:
    """Return the minute of the day, or None if the time is out of range."""
    hour, minute = int(text[:2]), int(text[3:])
    if hour > 23 or minute > 59:
        return None
    return hour * 60 + minute
