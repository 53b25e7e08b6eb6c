"""Malformed content for every message that other writers send, drawn from a seed.

A malformed message is a sound message with one part replaced, missing or repeated, or
it is no such message at all: truncated, not UTF-8, or JSON of another type. All content
is raw bytes, as no JSON encoder writes most of it.
"""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

Path = tuple[str | int, ...]
"""Keys and indexes that lead to a part of a message."""

DEPTHS = (1_000, 5_000, 100_000)
"""Depths of nested values: Python's default limit, and far above it."""

DIGITS = (310, 10_000)
"""Lengths of numbers: just past a float's range, and past Python's limit for `int`."""

LONG_STRING_CHARS = 100_000

ADDRESSES = (
    "127.0.0.1:80800",
    "127.0.0.1:99999999999999999999",
    "127.0.0.\x00:8080",
    "127.0.0.1",
    ":8080",
    "nowhere",
)
"""Addresses that cannot be connected to."""

WRONG_TYPES = (b"true", b'{"malformed": 1}', b"[[17.5]]")
WHOLE_VALUES = (b"null", b"[]", b"17", b'"text"', b" ", b"\x00\xff\xfe")

EXTRA_PART: Path = ("more",)
"""A field that no message has. Receivers may ignore it, unless it is nested."""

PART_SHARE = 0.7
"""Share of malformed messages that have one malformed part."""

MISSING_SHARE = 0.1
"""Share of malformed parts that are missing, where the message has required ones."""

EXTRA_SHARE = 0.25
"""Share of malformed parts that are a further field: typed decoders refuse the others
before they descend, but skip this one through its whole depth."""

REPEATED_SHARE = 0.25
"""Share of malformed parts that follow a sound part of the same name."""

KIND_ADDRESS = "address"
KIND_WRONG_TYPE = "wrong type"

_MARKER = "PART-TO-REPLACE"

ValueFunction = Callable[[Random], bytes]


def _nested_lists(rng: Random) -> bytes:
    depth = rng.choice(DEPTHS)
    return b"[" * depth + b"]" * depth


def _nested_objects(rng: Random) -> bytes:
    depth = rng.choice(DEPTHS[:2])
    return b'{"a":' * depth + b"1" + b"}" * depth


def _huge_number(rng: Random) -> bytes:
    return b"9" * rng.choice(DIGITS)


def _huge_negative_number(rng: Random) -> bytes:
    return b"-" + _huge_number(rng)


def _infinite_float(rng: Random) -> bytes:
    return rng.choice((b"1e999", b"-1e999"))


def _address(rng: Random) -> bytes:
    return json.dumps(rng.choice(ADDRESSES)).encode()


NESTED_VALUES: dict[str, ValueFunction] = {
    "nested lists": _nested_lists,
    "nested objects": _nested_objects,
}

VALUES: dict[str, ValueFunction] = {
    **NESTED_VALUES,
    "huge number": _huge_number,
    "huge negative number": _huge_negative_number,
    "infinite float": _infinite_float,
    "not UTF-8": lambda rng: b'"\xff\xfe"',
    "lone surrogate": lambda rng: b'"\\ud800"',
    KIND_WRONG_TYPE: lambda rng: rng.choice(WRONG_TYPES),
    "null": lambda rng: b"null",
    "long string": lambda rng: b'"' + b"a" * LONG_STRING_CHARS + b'"',
    KIND_ADDRESS: _address,
}
"""Malformed values by kind."""


@dataclass(frozen=True, slots=True)
class MessageShape:
    """The parts of a type of message that may be malformed.

    Attributes:
        parts: Parts for which every malformed value is invalid or without effect.
        required: Parts without which the message is invalid.
        strings: Parts that may be any short string.
        objects: Parts that may be any object, as all their fields may be omitted.
    """

    parts: tuple[Path, ...]
    required: tuple[Path, ...] = ()
    strings: tuple[Path, ...] = ()
    objects: tuple[Path, ...] = ()


@dataclass(frozen=True, slots=True)
class MalformedPart:
    """A malformed value for one part of a message; an empty value drops the part."""

    kind: str
    path: Path
    value: bytes

    def describe(self) -> str:
        """Return the kind and the part."""
        return f"{self.kind} in {'.'.join(str(key) for key in self.path)}"


@dataclass(frozen=True, slots=True)
class MalformedMessage:
    """The bytes of a malformed message, and what is malformed about it."""

    kind: str
    content: bytes


@dataclass(frozen=True, slots=True)
class MalformedAnswer:
    """A malformed answer of a server, or such a value for one field of its true answer.

    Attributes:
        field: Name of the field, "" for the whole answer.
        content: The malformed bytes; if empty, the field is dropped.
    """

    kind: str
    field: str
    content: bytes


def draw_malformed_part(rng: Random, shape: MessageShape) -> MalformedPart:
    """Return a malformed value for one part of a message, or drop a required part."""
    if shape.required and rng.random() < MISSING_SHARE:
        return MalformedPart("missing", rng.choice(shape.required), b"")
    is_extra = rng.random() < EXTRA_SHARE
    path = EXTRA_PART if is_extra else rng.choice(shape.parts)
    kind = rng.choice(_possible_kinds(path, shape))
    return MalformedPart(kind, path, VALUES[kind](rng))


def _possible_kinds(path: Path, shape: MessageShape) -> list[str]:
    if path == EXTRA_PART:
        return sorted(NESTED_VALUES)
    if path in shape.strings:
        return sorted(set(VALUES) - {KIND_ADDRESS})
    if path in shape.objects:
        return sorted(set(VALUES) - {KIND_WRONG_TYPE})
    return sorted(VALUES)


def draw_malformed_message(
    rng: Random, sound: Any, shape: MessageShape
) -> MalformedMessage:
    """Return a malformed variant of a sound message."""
    if rng.random() < PART_SHARE:
        return _with_malformed_part(rng, sound, draw_malformed_part(rng, shape))
    return _draw_no_message(rng, sound)


def draw_malformed_answer(
    rng: Random, example: Any, shape: MessageShape
) -> MalformedAnswer:
    """Return a malformed answer; the parts of the shape are fields of it."""
    if rng.random() < PART_SHARE:
        part = draw_malformed_part(rng, shape)
        return MalformedAnswer(part.describe(), str(part.path[0]), part.value)
    message = _draw_no_message(rng, example)
    return MalformedAnswer(message.kind, "", message.content)


def _draw_no_message(rng: Random, sound: Any) -> MalformedMessage:
    """Return content that is no message of the type at all."""
    encoded = json.dumps(sound).encode()
    if rng.random() < 1 / 2:
        return MalformedMessage("truncated", encoded[: rng.randrange(1, len(encoded))])
    contents = (*WHOLE_VALUES, _nested_lists(rng), _huge_number(rng))
    return MalformedMessage("no such message", rng.choice(contents))


def _with_malformed_part(
    rng: Random, sound: Any, part: MalformedPart
) -> MalformedMessage:
    """Return a message with a malformed part, maybe after a sound one of that name."""
    message = copy.deepcopy(sound)
    parent = message
    for key in part.path[:-1]:
        parent = parent[key]
    name = part.path[-1]
    if not part.value:
        del parent[name]
        return MalformedMessage(part.describe(), json.dumps(message).encode())
    value = part.value
    kind = part.describe()
    is_repeatable = isinstance(name, str) and name in parent
    if is_repeatable and rng.random() < REPEATED_SHARE:
        kind = f"repeated {kind}"
        sound_value = json.dumps(parent[name]).encode()
        value = sound_value + b"," + json.dumps(name).encode() + b":" + value
    parent[name] = _MARKER
    encoded = json.dumps(message).encode()
    return MalformedMessage(kind, encoded.replace(json.dumps(_MARKER).encode(), value))
