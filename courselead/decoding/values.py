"""Types of values that another decoder has returned as lists and dictionaries."""

from __future__ import annotations

from typing import Any, Generic, TypeVar, get_args, get_origin

import msgspec
from immutables import Map
from returns.result import Failure, Result, Success

from courselead.decoding.errors import DECODE_ERRORS, Malformed

T = TypeVar("T")


class ValueDecoder(Generic[T]):
    """Converts values into one type and checks them against its constraints."""

    def __init__(self, kind: type[T]) -> None:
        """Store a type that msgspec supports."""
        self._kind = kind

    def decode(self, value: object) -> Result[T, Malformed]:
        """Return the converted value, or why it is malformed."""
        try:
            return Success(msgspec.convert(value, self._kind))
        except DECODE_ERRORS as exc:
            return Failure(Malformed.from_error(exc))


def decode_map(kind: Any, value: Any) -> Any:
    """Return a map from its pairs, as the `dec_hook` of a decoder.

    Raises:
        msgspec.ValidationError: The value is not a list of pairs of the map's types;
            the decoder that calls the hook returns it as a failure.
    """
    if get_origin(kind) is not Map:
        raise NotImplementedError(str(kind))
    key, item = get_args(kind)
    pairs = msgspec.convert(value, list[tuple[key, item]], dec_hook=decode_map)
    return Map(pairs)
