"""What the log answers."""

from __future__ import annotations

from dataclasses import dataclass

Record = tuple[int, bytes]


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records in order of offset, with the bounds of the log when it was read."""

    first: int
    next: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Where a record was stored."""

    offset: int
