"""Codec for frames of the streams between entry hosts: msgpack maps with one key."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass

import msgpack
import msgspec
from returns.result import Failure

from courselead.core.events import Loan, PeerReport
from courselead.decoding import MsgpackStreamDecoder, ValueDecoder
from courselead.integrations.peers import const
from courselead.integrations.peers.errors import MalformedFrame


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame in each direction; identifies its sender."""

    version: int
    entry_host: str
    incarnation: int
    availability_zone: str


Frame = Hello | PeerReport

_FRAME_TYPES: dict[str, type] = {const.ATTR_HELLO: Hello, const.ATTR_REPORT: PeerReport}
_FRAME_DECODERS = {key: ValueDecoder(kind) for key, kind in _FRAME_TYPES.items()}


def encode(frame: Frame) -> bytes:
    """Return the encoded frame."""
    key = const.ATTR_HELLO if isinstance(frame, Hello) else const.ATTR_REPORT
    return msgpack.packb({key: msgspec.to_builtins(frame)})


class FrameDecoder:
    """Decodes the bytes of one stream into frames."""

    def __init__(self) -> None:
        """Initialize the decoder at the beginning of a stream."""
        self._values = MsgpackStreamDecoder(const.MAX_BUFFER_BYTES)

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that these bytes complete.

        Raises:
            MalformedFrame: The stream is invalid and cannot be read any further.
        """
        values = self._values.feed(data)
        if isinstance(values, Failure):
            reason = values.failure().reason
            raise MalformedFrame(f"not msgpack, or larger than 1 MiB ({reason})")
        return [decode(raw) for raw in values.unwrap()]


def decode(raw: object) -> Frame:
    """Return a validated frame.

    Raises:
        MalformedFrame: The object differs from what `encode` produces.
    """
    if not isinstance(raw, dict) or len(raw) != 1:
        raise MalformedFrame("a frame has to be a map with one key")
    key, fields = next(iter(raw.items()))
    kind = _FRAME_TYPES.get(key)
    if kind is None:
        raise MalformedFrame("a frame has to be a hello or a report")
    _check_fields(kind, fields)
    decoded = _FRAME_DECODERS[key].decode(fields)
    if isinstance(decoded, Failure):
        raise MalformedFrame(decoded.failure().reason)
    frame = decoded.unwrap()
    if isinstance(frame, PeerReport):
        _check_loans(fields)
        _check_values(frame)
    return frame


def _check_fields(kind: type, fields: object) -> None:
    expected = {field.name for field in dataclasses.fields(kind)}
    # msgspec accepts unknown and missing fields of dataclasses.
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
        _check_unique([key for key, _ in pairs], name)
        numbers.extend(value for _, value in pairs)
    _check_unique([loan.quota for loan in report.loans], "loans")
    for loan in report.loans:
        numbers.extend((loan.units, loan.serial))
    if min(numbers) < 0:
        raise MalformedFrame("a count is negative")


def _check_unique(keys: list[str], name: str) -> None:
    if len(set(keys)) != len(keys):
        raise MalformedFrame(f"duplicate name in {name}")
