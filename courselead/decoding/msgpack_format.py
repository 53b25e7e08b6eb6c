"""MessagePack of other processes, and of records that other versions wrote."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from courselead.decoding.errors import DECODE_ERRORS, Malformed

T = TypeVar("T")


class MsgpackDecoder(Generic[T]):
    """Decodes MessagePack into one type and checks it against its constraints."""

    def __init__(
        self, kind: type[T], dec_hook: Callable[[Any, Any], Any] | None = None
    ) -> None:
        """Prepare decoding into a type.

        Args:
            kind: A type that msgspec supports.
            dec_hook: Converts values to those types within it that msgspec does not
                support.
        """
        self.kind = kind
        self._decode = msgspec.msgpack.Decoder(kind, dec_hook=dec_hook).decode

    def decode(self, data: bytes | msgspec.Raw) -> Result[T, Malformed]:
        """Return the decoded value, or why the content is malformed."""
        value = self.decode_one(data)
        if isinstance(value, Malformed):
            return Failure(value)
        return Success(value)

    def decode_one(self, data: bytes | msgspec.Raw) -> T | Malformed:
        """Return the same without a `Result`, which takes longer than a small record.

        For lists of thousands of records that are decoded one by one.
        """
        try:
            return self._decode(data)
        except DECODE_ERRORS as exc:
            return Malformed.from_error(exc)
