"""Errors of the log, by what is known about the call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AppendRefused:
    """The record was not stored: retry later.

    A `permanent` refusal applies to each retry as well (the record is too large).
    """

    reason: str
    retry_after_ms: int = 0
    permanent: bool = False


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The record may have been stored: continue reading to find out."""

    reason: str


@dataclass(frozen=True, slots=True)
class OffsetGone:
    """The requested offset is not retained: restart from a snapshot at `first`.

    An offset after `next` is reported in the same way; it means that the log was
    replaced by another one.
    """

    first: int
    next: int


@dataclass(frozen=True, slots=True)
class LogUnavailable:
    """The log returned no valid response: retry later."""

    reason: str
    retry_after_ms: int = 0


LogError = AppendRefused | AppendUnknown
ReadFailure = OffsetGone | LogUnavailable
