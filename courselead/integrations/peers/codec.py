"""Frames of the streams between entry hosts: msgpack maps with one key."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

import msgpack
import msgspec

from courselead.core.events import Loan, PeerReport
from courselead.integrations.peers import const
from courselead.integrations.peers.errors import MalformedFrame


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame in each direction."""

    version: int
    entry_host: str
    incarnation: int
    availability_zone: str


Frame = Hello | PeerReport

_KINDS: dict[str, type] = {const.ATTR_HELLO: Hello, const.ATTR_REPORT: PeerReport}


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    key = const.ATTR_HELLO if isinstance(frame, Hello) else const.ATTR_REPORT
    return msgpack.packb({key: msgspec.to_builtins(frame)})


class FrameDecoder:
    """Turns the bytes of one stream into frames."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._unpacker = msgpack.Unpacker(
            raw=False, strict_map_key=True, max_buffer_size=const.MAX_BUFFER_BYTES
        )

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that these bytes complete.

        Raises:
            MalformedFrame: The stream is broken and cannot be read on.
        """
        # The unpacker's errors are of these three kinds; a full buffer, a bad
        # format and deep nesting are among the first.
        try:
            self._unpacker.feed(data)
            raw_frames = list(self._unpacker)
        except (msgpack.UnpackException, ValueError, TypeError) as exc:
            kind = type(exc).__name__
            raise MalformedFrame(f"not msgpack, or over 1 MiB ({kind})") from exc
        return [decode(raw) for raw in raw_frames]


def decode(raw: object) -> Frame:
    """Return a checked frame.

    Raises:
        MalformedFrame: It is not exactly what `encode` makes.
    """
    if not isinstance(raw, dict) or len(raw) != 1:
        raise MalformedFrame("a frame is a map with one key")
    key, fields = next(iter(raw.items()))
    kind = _KINDS.get(key)
    if kind is None:
        raise MalformedFrame("a frame is a hello or a report")
    _check_fields(kind, fields)
    try:
        frame = msgspec.convert(fields, kind)
    except (msgspec.ValidationError, RecursionError) as exc:
        raise MalformedFrame(str(exc)) from exc
    if isinstance(frame, PeerReport):
        _check_loans(fields)
        _check_values(frame)
    return frame


def _check_fields(kind: type, fields: object) -> None:
    expected = {field.name for field in dataclasses.fields(kind)}
    # msgspec takes data classes with unknown and missing fields.
    if not isinstance(fields, dict) or set(fields) != expected:
        name = kind.__name__
        raise MalformedFrame(f"the fields of {name} are not the expected ones")


def _check_loans(fields: dict[str, list[object]]) -> None:
    for loan in fields["loans"]:
        _check_fields(Loan, loan)


def _check_values(report: PeerReport) -> None:
    numbers = [report.incarnation, report.serial]
    for name in ("in_flight", "wants", "holding"):
        pairs: tuple[tuple[str, int], ...] = getattr(report, name)
        _check_once([key for key, _ in pairs], name)
        numbers.extend(value for _, value in pairs)
    _check_once([loan.quota for loan in report.loans], "loans")
    for loan in report.loans:
        numbers.extend((loan.units, loan.serial))
    if min(numbers) < 0:
        raise MalformedFrame("a count is below zero")


def _check_once(keys: list[str], name: str) -> None:
    if len(set(keys)) != len(keys):
        raise MalformedFrame(f"a name stands twice in {name}")
