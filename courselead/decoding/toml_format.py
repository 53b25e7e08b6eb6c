"""TOML of settings files."""

from __future__ import annotations

import tomllib
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from courselead.decoding.errors import DECODE_ERRORS, Malformed

T = TypeVar("T")


def decode_toml(data: bytes, kind: type[T]) -> Result[T, Malformed]:
    """Return the content as a type that msgspec supports, or why it is malformed."""
    try:
        return Success(msgspec.convert(tomllib.loads(data.decode()), kind))
    except DECODE_ERRORS as exc:
        return Failure(Malformed.from_error(exc))
