"""Columns of the operators' table: their types, ranges and error messages.

A column validates one decoded JSON value. Types are strict: `true` is not a
number, `"3"` is not a number, and `3.0` is not an integer.
"""

import math
import re
from dataclasses import dataclass
from typing import Protocol

from returns.result import Failure, Result, Success

from courselead.core.fleet.windows import parse_window
from courselead.core.table import RequestClass

MAX_CREDENTIALS = 8
MAX_SHARE = 1_000_000.0
MIN_SHARE = 0.000_001
MAX_COUNT = 1_000_000_000
MAX_WORKERS = 10_000
MAX_SLOTS = 64
MAX_CONNECTIONS = 10_000
MAX_DEADLINE_MS = 600_000
MAX_QUEUE_LIMIT = 10_000
MAX_SHOWN_CHARS = 40

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
_SHA256_HEX = re.compile(r"[0-9a-f]{64}")


class Column(Protocol):
    """One column of a row."""

    @property
    def name(self) -> str:
        """Return the column's name, the same as the row's attribute."""
        ...

    @property
    def allowed(self) -> str:
        """Describe the values that the column accepts, for messages and docs."""
        ...

    def check(self, value: object) -> Result[object, str]:
        """Validate one decoded JSON value.

        Returns:
            The value as the row stores it, or a message that says how to fix it.
        """
        ...


def format_value(value: object) -> str:
    """Format a value for a message, truncated to a bounded length."""
    try:
        text = repr(value)
    except ValueError:
        # Python does not convert integers of thousands of digits to a string.
        return "the number"
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f"{text[:MAX_SHOWN_CHARS]}..."


def is_valid_name(value: object) -> bool:
    """Return whether a value is a valid name of a client account or service."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


@dataclass(frozen=True, slots=True)
class NameColumn:
    """A name: lower-case letters, digits and hyphens."""

    name: str
    allowed: str = "1 to 32 of a-z, 0-9 and -, not starting with -"

    def check(self, value: object) -> Result[object, str]:
        """Validate a name."""
        if is_valid_name(value):
            return Success(value)
        shown = format_value(value)
        return Failure(f"{shown} is not a name; use {self.allowed}")


@dataclass(frozen=True, slots=True)
class IntColumn:
    """An integer in a closed range."""

    name: str
    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Return the range."""
        return f"whole number, {self.low} to {self.high}"

    def check(self, value: object) -> Result[object, str]:
        """Validate an integer."""
        if isinstance(value, bool) or not isinstance(value, int):
            shown = format_value(value)
            return Failure(f"{shown} is not a whole number; give {self.allowed}")
        if self.low <= value <= self.high:
            return Success(value)
        shown = format_value(value)
        return Failure(f"{shown} is out of range; give {self.allowed}")


@dataclass(frozen=True, slots=True)
class FloatColumn:
    """A finite number in a closed range."""

    name: str
    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Return the range."""
        low = f"{self.low:.6f}".rstrip("0").rstrip(".")
        return f"number, {low} to {self.high:.0f}"

    def check(self, value: object) -> Result[object, str]:
        """Validate a number."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            shown = format_value(value)
            return Failure(f"{shown} is not a number; give {self.allowed}")
        if isinstance(value, float) and not math.isfinite(value):
            return Failure(f"{value} is not finite; give {self.allowed}")
        if self.low <= value <= self.high:
            return Success(float(value))
        shown = format_value(value)
        return Failure(f"{shown} is out of range; give {self.allowed}")


@dataclass(frozen=True, slots=True)
class ClassColumn:
    """A request class."""

    name: str
    allowed: str = "urgent, normal or batch"

    def check(self, value: object) -> Result[object, str]:
        """Validate the name of a request class."""
        if isinstance(value, str) and value in set(RequestClass):
            return Success(RequestClass(value))
        shown = format_value(value)
        return Failure(f"{shown} is no request class; give {self.allowed}")


@dataclass(frozen=True, slots=True)
class WindowColumn:
    """A maintenance window in UTC."""

    name: str
    allowed: str = "always, never or days and times such as Mon-Fri 22:00-05:00"

    def check(self, value: object) -> Result[object, str]:
        """Validate the text of a window."""
        shown = format_value(value)
        if not isinstance(value, str):
            return Failure(f"{shown} is not a text; give {self.allowed}")
        if isinstance(parse_window(value), Failure):
            return Failure(f"{shown} is not a window; give {self.allowed}")
        return Success(value)


@dataclass(frozen=True, slots=True)
class DigestsColumn:
    """Digests of bearer credentials.

    Messages never contain the value, because a credential given in place of its
    digest would appear in logs.
    """

    name: str
    allowed: str = (
        f"list of at most {MAX_CREDENTIALS} SHA-256 digests in lower-case hex"
    )

    def check(self, value: object) -> Result[object, str]:
        """Validate a list of digests."""
        if not isinstance(value, list | tuple):
            return Failure(f"not a list; give a {self.allowed}")
        if len(value) > MAX_CREDENTIALS:
            count = len(value)
            return Failure(f"{count} digests are too many; remove old ones")
        for index, item in enumerate(value):
            if not isinstance(item, str) or _SHA256_HEX.fullmatch(item) is None:
                return Failure(
                    f"entry {index} is not 64 lower-case hex digits; make one "
                    f"with `courselead credential new`"
                )
        if len(set(value)) != len(value):
            return Failure("a digest is given twice; remove one of them")
        return Success(tuple(value))


ACCOUNT_COLUMNS: tuple[Column, ...] = (
    NameColumn("client_account"),
    DigestsColumn("credential_hashes"),
    FloatColumn("weight", MIN_SHARE, MAX_SHARE),
    IntColumn("ceiling", 0, MAX_COUNT),
    IntColumn("jobs_limit", 0, MAX_COUNT),
    IntColumn("workers_limit", 0, MAX_COUNT),
    FloatColumn("move_cost", 0.0, MAX_SHARE),
)

SERVICE_COLUMNS: tuple[Column, ...] = (
    NameColumn("client_account"),
    NameColumn("service"),
    FloatColumn("share", MIN_SHARE, MAX_SHARE),
    IntColumn("workers", 0, MAX_WORKERS),
    IntColumn("ceiling", 0, MAX_COUNT),
    FloatColumn("availability_budget", 0.0, 1.0),
    WindowColumn("window"),
    IntColumn("slots", 1, MAX_SLOTS),
    IntColumn("connections", 1, MAX_CONNECTIONS),
    ClassColumn("default_class"),
    IntColumn("deadline_ms", 1, MAX_DEADLINE_MS),
    IntColumn("queue_limit", 1, MAX_QUEUE_LIMIT),
)
