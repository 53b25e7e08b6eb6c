"""Columns of the operators' table: their kinds, ranges and messages.

A column judges one decoded JSON value. Types are strict: `true` is not a
number, `"3"` is not a number, and `3.0` is not a whole number.
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
MAX_QUEUE = 10_000
MAX_SHOWN = 40

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,31}")
_HASH = re.compile(r"[0-9a-f]{64}")


class Column(Protocol):
    """One column of a row."""

    @property
    def name(self) -> str:
        """Return the column's name, the same as the row's attribute."""
        ...

    @property
    def allowed(self) -> str:
        """Return what the column takes, for messages and pages."""
        ...

    def check(self, value: object) -> Result[object, str]:
        """Judge one decoded JSON value.

        Returns:
            The value as the row keeps it, or a message that names the remedy.
        """
        ...


def shown(value: object) -> str:
    """Return a value as a message shows it, cut to a bounded length."""
    try:
        text = repr(value)
    except ValueError:
        # Python refuses to write out whole numbers of thousands of digits.
        return "the number"
    if len(text) <= MAX_SHOWN:
        return text
    return f"{text[:MAX_SHOWN]}..."


def is_name(value: object) -> bool:
    """Return whether a value is a client account's or service's name."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


@dataclass(frozen=True, slots=True)
class NameColumn:
    """A name: lower-case letters, digits and hyphens."""

    name: str
    allowed: str = "1 to 32 of a-z, 0-9 and -, not starting with -"

    def check(self, value: object) -> Result[object, str]:
        """Judge a name."""
        if is_name(value):
            return Success(value)
        got = shown(value)
        return Failure(f"{got} is not a name; use {self.allowed}")


@dataclass(frozen=True, slots=True)
class IntColumn:
    """A whole number in a closed range."""

    name: str
    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Return the range."""
        return f"whole number, {self.low} to {self.high}"

    def check(self, value: object) -> Result[object, str]:
        """Judge a whole number."""
        if isinstance(value, bool) or not isinstance(value, int):
            got = shown(value)
            return Failure(f"{got} is not a whole number; give {self.allowed}")
        if self.low <= value <= self.high:
            return Success(value)
        got = shown(value)
        return Failure(f"{got} is out of range; give {self.allowed}")


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
        """Judge a number."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            got = shown(value)
            return Failure(f"{got} is not a number; give {self.allowed}")
        if isinstance(value, float) and not math.isfinite(value):
            return Failure(f"{value} is not finite; give {self.allowed}")
        if self.low <= value <= self.high:
            return Success(float(value))
        got = shown(value)
        return Failure(f"{got} is out of range; give {self.allowed}")


@dataclass(frozen=True, slots=True)
class ClassColumn:
    """A request class."""

    name: str
    allowed: str = "urgent, normal or batch"

    def check(self, value: object) -> Result[object, str]:
        """Judge the name of a request class."""
        if isinstance(value, str) and value in set(RequestClass):
            return Success(RequestClass(value))
        got = shown(value)
        return Failure(f"{got} is no request class; give {self.allowed}")


@dataclass(frozen=True, slots=True)
class WindowColumn:
    """A maintenance window in UTC."""

    name: str
    allowed: str = "always, never or days and times such as Mon-Fri 22:00-05:00"

    def check(self, value: object) -> Result[object, str]:
        """Judge the text of a window."""
        got = shown(value)
        if not isinstance(value, str):
            return Failure(f"{got} is not a text; give {self.allowed}")
        if isinstance(parse_window(value), Failure):
            return Failure(f"{got} is not a window; give {self.allowed}")
        return Success(value)


@dataclass(frozen=True, slots=True)
class HashesColumn:
    """Digests of bearer credentials.

    Messages never repeat the value: a credential given in place of its hash
    would come out in logs.
    """

    name: str
    allowed: str = (
        f"list of at most {MAX_CREDENTIALS} SHA-256 digests in lower-case hex"
    )

    def check(self, value: object) -> Result[object, str]:
        """Judge a list of digests."""
        if not isinstance(value, list | tuple):
            return Failure(f"not a list; give a {self.allowed}")
        if len(value) > MAX_CREDENTIALS:
            count = len(value)
            return Failure(f"{count} digests are too many; remove old ones")
        for index, item in enumerate(value):
            if not isinstance(item, str) or _HASH.fullmatch(item) is None:
                return Failure(
                    f"entry {index} is not 64 lower-case hex digits; make one "
                    f"with `courselead credential new`"
                )
        if len(set(value)) != len(value):
            return Failure("a digest is given twice; remove one of them")
        return Success(tuple(value))


ACCOUNT_COLUMNS: tuple[Column, ...] = (
    NameColumn("client_account"),
    HashesColumn("credential_hashes"),
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
    IntColumn("queue_limit", 1, MAX_QUEUE),
)
