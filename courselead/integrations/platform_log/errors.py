"""Failures of the log, told apart by what the caller may conclude."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """Nothing was stored: append again later.

    A `permanent` refusal is the same for every repeat (the record is too large).
    """

    reason: str
    retry_after_ms: int = 0
    permanent: bool = False


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The record may have been stored: read on to see whether it appears."""

    reason: str


@dataclass(frozen=True, slots=True)
class OffsetGone:
    """The offset asked for is not kept: start again from a snapshot at `first`.

    An offset after `next` is gone too; then the log is not the one read before.
    """

    first: int
    next: int


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log gave no usable answer: read again later."""

    reason: str
    retry_after_ms: int = 0


LogError = AppendRefused | AppendUnknown
ReadFailure = OffsetGone | LogUnavailable
