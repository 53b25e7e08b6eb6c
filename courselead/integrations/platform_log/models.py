"""Models of the log's responses."""

from __future__ import annotations

from dataclasses import dataclass

Record = tuple[int, bytes]


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records in order of offset, with the first and next offset of the log."""

    first: int
    next: int
    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Response to an append, with the offset of the record."""

    offset: int
