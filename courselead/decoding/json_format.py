"""JSON (RFC 8259) of other processes."""

from __future__ import annotations

import json
from typing import Any, Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from courselead.decoding.depth import is_too_deep
from courselead.decoding.errors import (
    DECODE_ERRORS,
    MAX_REASON_CHARS,
    NESTED_TOO_DEEPLY,
    Malformed,
    RepeatedKey,
)

T = TypeVar("T")

UNTYPED = (Any, dict, list)
"""Types whose parts may be anything, nested to any depth."""


class JsonDecoder(Generic[T]):
    """Decodes JSON into one type and checks it against the type's constraints."""

    def __init__(self, kind: type[T]) -> None:
        """Prepare decoding into a type that msgspec supports."""
        self.kind = kind
        self._is_untyped = kind in UNTYPED
        self._decode = msgspec.json.Decoder(kind).decode

    def decode(self, data: bytes | str | msgspec.Raw) -> Result[T, Malformed]:
        """Return the decoded value, or why the content is malformed."""
        value = self.decode_one(data)
        if isinstance(value, Malformed):
            return Failure(value)
        return Success(value)

    def decode_one(self, data: bytes | str | msgspec.Raw) -> T | Malformed:
        """Return the same without a `Result`, which takes longer than a small record.

        For lists of thousands of records that are decoded one by one.
        """
        try:
            value = self._decode(data)
        except DECODE_ERRORS as exc:
            return Malformed.from_error(exc)
        if self._is_untyped and is_too_deep(value):
            return NESTED_TOO_DEEPLY
        return value


class PythonJsonDecoder:
    """Decodes JSON as Python's `json` writes it, with NaN and infinities.

    Of a repeated key the last value counts.
    """

    def decode(self, data: bytes | str) -> Result[Any, Malformed]:
        """Return objects as dictionaries, or why the content is malformed."""
        try:
            return _check_depth(json.loads(data))
        except DECODE_ERRORS as exc:
            return Failure(Malformed.from_error(exc))


class JsonDocumentDecoder:
    """Decodes JSON of any shape strictly: an object must not repeat a key."""

    def decode(self, data: bytes | str) -> Result[Any, Malformed]:
        """Return objects as dictionaries, or why the content is malformed."""
        try:
            document = json.loads(
                data,
                object_pairs_hook=_reject_duplicate_keys,
                parse_constant=_reject_constant,
            )
            return _check_depth(document)
        except _RepeatedKeyError as exc:
            reason = str(exc)[:MAX_REASON_CHARS]
            return Failure(RepeatedKey(reason, exc.key))
        except DECODE_ERRORS as exc:
            return Failure(Malformed.from_error(exc))


def _check_depth(value: T) -> Result[T, Malformed]:
    if is_too_deep(value):
        return Failure(NESTED_TOO_DEEPLY)
    return Success(value)


class _RepeatedKeyError(ValueError):
    def __init__(self, key: str) -> None:
        super().__init__(f"the key {key!r} occurs more than once")
        self.key = key


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document: dict[str, Any] = {}
    for name, value in pairs:
        if name in document:
            raise _RepeatedKeyError(name)
        document[name] = value
    return document


def _reject_constant(text: str) -> Any:
    raise ValueError(f"{text} is not valid JSON")
