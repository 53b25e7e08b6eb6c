"""The error of content that cannot be decoded."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

DECODE_ERRORS = (
    # Syntax, encoding, and numbers with more digits than Python converts.
    ValueError,
    # Wrong types, missing fields, and values out of their range.
    msgspec.MsgspecError,
    # Nested more deeply than Python's recursion limit.
    RecursionError,
    # Numbers that do not fit into a float or a time.
    OverflowError,
)
"""What the libraries' decoders raise for some content of their input."""

MAX_REASON_CHARS = 200
"""Maximum length of a reason, which may quote the content."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """Content that could not be decoded, and why."""

    reason: str

    @classmethod
    def from_error(cls, exc: Exception) -> Malformed:
        """Return the error for an exception in `DECODE_ERRORS`."""
        if isinstance(exc, RecursionError):
            return NESTED_TOO_DEEPLY
        return cls(str(exc)[:MAX_REASON_CHARS] or type(exc).__name__)

    def __str__(self) -> str:
        """Return the reason."""
        return self.reason


@dataclass(frozen=True, slots=True)
class RepeatedKey(Malformed):
    """An object that repeats a key, so that the key's value is ambiguous."""

    key: str


NESTED_TOO_DEEPLY = Malformed("nested too deeply")
"""Content that is nested more deeply than the decoders can follow."""
