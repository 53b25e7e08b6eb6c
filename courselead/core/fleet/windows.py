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
CACHE_SIZE = 1_024
MAX_TEXT = 40

_PATTERN = re.compile(
    r"(?P<first>[A-Z][a-z]{2})(?:-(?P<last>[A-Z][a-z]{2}))? "
    r"(?P<start>[0-9]{2}:[0-9]{2})-(?P<end>[0-9]{2}:[0-9]{2})",
    re.ASCII,
)


@dataclass(frozen=True, slots=True)
class Window:
    """A weekly window.

    Attributes:
        days: Weekdays on which it opens, 0 for Monday.
        start_min: Minute of the day at which it opens.
        length_min: How long it stays open, in minutes.
    """

    days: frozenset[int]
    start_min: int
    length_min: int


@dataclass(frozen=True, slots=True)
class WindowError:
    """A text that is no maintenance window."""

    text: str

    def __str__(self) -> str:
        """Return the message with the remedy."""
        shown = repr(self.text[:40])
        return (
            f"{shown} is no maintenance window; write always, never or days and "
            "times in UTC such as Mon-Fri 22:00-05:00"
        )


def parse_window(text: str) -> Result[Window, WindowError]:
    """Return the window that a text describes.

    A window past midnight belongs to the day on which it opens.
    """
    # A long text is no window, and must not stay in the cache.
    if len(text) > MAX_TEXT:
        return Failure(WindowError(text[:MAX_TEXT]))
    return _parse(text)


@lru_cache(maxsize=CACHE_SIZE)
def _parse(text: str) -> Result[Window, WindowError]:
    """Return the window that a text of ordinary length describes."""
    if text == WINDOW_ALWAYS:
        return Success(Window(frozenset(range(7)), 0, DAY_MINUTES))
    if text == WINDOW_NEVER:
        return Success(Window(frozenset(), 0, 0))
    match = _PATTERN.fullmatch(text)
    if match is None:
        return Failure(WindowError(text))
    days = _days(match["first"], match["last"] or match["first"])
    start = _minutes(match["start"])
    end = _minutes(match["end"])
    if not days or start is None or end is None or start == end:
        return Failure(WindowError(text))
    length = (end - start) % DAY_MINUTES
    return Success(Window(days, start, length))


def is_open(text: str, at_ms: int) -> bool:
    """Return whether a window is open at a time; one that is none is closed.

    Args:
        text: The window as in the table.
        at_ms: Wall time, milliseconds since the epoch.
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
    """Return whether the window that opens on a day covers a minute from it."""
    if (day + EPOCH_WEEKDAY) % 7 not in window.days:
        return False
    return 0 <= minute - window.start_min < window.length_min


def _days(first: str, last: str) -> frozenset[int]:
    """Return the weekdays from one to another, empty for unknown names."""
    if first not in DAYS or last not in DAYS:
        return frozenset()
    start = DAYS.index(first)
    count = (DAYS.index(last) - start) % 7 + 1
    return frozenset((start + step) % 7 for step in range(count))


def _minutes(text: str) -> int | None:
    """Return the minute of the day, None if the time is out of range."""
    hour, minute = int(text[:2]), int(text[3:])
    if hour > 23 or minute > 59:
        return None
    return hour * 60 + minute
