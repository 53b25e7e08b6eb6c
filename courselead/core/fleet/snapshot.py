"""Snapshots of the shared state, stored in the log as a set of parts."""

import zlib
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
import xxhash
from immutables import Map
from returns.result import Failure, Result, Success

from courselead.core.fleet import verdicts
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.records import SnapshotPart
from courselead.core.fleet.state import FleetState, Verdict
from courselead.decoding import MsgpackDecoder, decode_map

PART_BYTES = 256 * 1024
MAX_PARTS = 4_096
MAX_STATE_BYTES = 1 << 30
ZLIB_LEVEL = 1
MAX_ERROR_CHARS = 200


@dataclass(frozen=True, slots=True)
class SnapshotError:
    """The bytes are not a snapshot that this version can read."""

    reason: str

    def __str__(self) -> str:
        """Return the error message with a suggested action."""
        return (
            f"not a valid snapshot of this version: {self.reason}; load another "
            "snapshot or read the log from its beginning"
        )


def encode_state(fleet: FleetState) -> bytes:
    """Return the compressed encoding of a state, identical on every host."""
    return zlib.compress(_ENCODER.encode(fleet), ZLIB_LEVEL)


def decode_state(data: bytes) -> Result[FleetState, SnapshotError]:
    """Decode a state from its compressed encoding."""
    try:
        decompressor = zlib.decompressobj()
        encoded = decompressor.decompress(data, MAX_STATE_BYTES)
        if not decompressor.eof:
            return Failure(SnapshotError("the data is truncated or too large"))
    except zlib.error as exc:
        return Failure(SnapshotError(str(exc)[:MAX_ERROR_CHARS]))
    decoded = _STATE_DECODER.decode(encoded)
    if isinstance(decoded, Failure):
        return Failure(SnapshotError(decoded.failure().reason))
    return Success(decoded.unwrap())


def split_state(fleet: FleetState, writer: str) -> tuple[SnapshotPart, ...]:
    """Split an encoded state into snapshot part records.

    Args:
        fleet: The state. Its parts must be appended to the log after its offset.
        writer: The entry host that writes the parts.
    """
    data = encode_state(fleet)
    digest = xxhash.xxh3_128_hexdigest(data)
    starts = range(0, len(data), PART_BYTES)
    parts = []
    for index, start in enumerate(starts):
        chunk = data[start : start + PART_BYTES]
        part = SnapshotPart(fleet.offset, index, len(starts), digest, writer, chunk)
        parts.append(part)
    return tuple(parts)


def snapshot_part(
    fleet: FleetState, origin: Origin, record: SnapshotPart
) -> tuple[FleetState, Verdict]:
    """Register a part; the snapshot can be used once all its parts are present."""
    if record.writer != origin.entry_host:
        return fleet, verdicts.rejected(verdicts.NOT_AUTHOR)
    if record.at <= fleet.snapshot_of:
        return fleet, verdicts.rejected(verdicts.SNAPSHOT_OLD)
    if not _is_valid_part(record) or record.at >= origin.offset:
        return fleet, verdicts.rejected(verdicts.SNAPSHOT_BAD_PART)
    key = _part_set_key(record)
    first, seen = fleet.snapshot_parts.get(key, (origin.offset, frozenset()))
    seen = seen | {record.index}
    if len(seen) < record.total:
        parts = fleet.snapshot_parts.set(key, (first, seen))
        return replace(fleet, snapshot_parts=parts), verdicts.ACCEPTED
    parts = fleet.snapshot_parts
    for other_key in fleet.snapshot_parts:
        if _offset_from_key(other_key) <= record.at:
            parts = parts.delete(other_key)
    fleet = replace(
        fleet, snapshot_at=first, snapshot_of=record.at, snapshot_parts=parts
    )
    return fleet, verdicts.ACCEPTED


@dataclass(slots=True)
class SnapshotLoader:
    """Assembles snapshots from the parts read from the log.

    Accepts all parts in the log, including those rejected when they were applied:
    the digest verifies the assembled data.

    Attributes:
        faults: Errors of complete sets of parts that could not be loaded.
    """

    faults: list[SnapshotError] = field(default_factory=list)
    _parts: dict[str, dict[int, bytes]] = field(default_factory=dict)

    def add(self, offset: int, part: SnapshotPart) -> FleetState | None:
        """Add a part; return the state as of `part.at` once all parts are present.

        Args:
            offset: Offset of the part in the log.
            part: The part.
        """
        if not _is_valid_part(part) or part.at >= offset:
            return None
        chunks = self._parts.setdefault(_part_set_key(part), {})
        chunks[part.index] = part.data
        if len(chunks) < part.total:
            return None
        del self._parts[_part_set_key(part)]
        data = b"".join(chunks[index] for index in range(part.total))
        if xxhash.xxh3_128_hexdigest(data) != part.digest:
            self.faults.append(SnapshotError("the digest does not match"))
            return None
        result = decode_state(data)
        if isinstance(result, Failure):
            self.faults.append(result.failure())
            return None
        fleet = result.unwrap()
        if fleet.offset != part.at:
            self.faults.append(SnapshotError("the state is of another offset"))
            return None
        return fleet


def _is_valid_part(part: SnapshotPart) -> bool:
    """Return whether the index and the number of parts are consistent."""
    return 0 <= part.index < part.total <= MAX_PARTS


def _part_set_key(part: SnapshotPart) -> str:
    """Return the key of the set of parts that a part belongs to."""
    return f"{part.at}:{part.total}:{part.digest}:{part.writer}"


def _offset_from_key(key: str) -> int:
    """Return the offset contained in a key made by `_part_set_key`."""
    return int(key.partition(":")[0])


def _encode_map(value: Any) -> list[tuple[Any, Any]]:
    """Encode a map as sorted pairs, so that the encoding is identical on every host."""
    if not isinstance(value, Map):
        raise NotImplementedError(type(value).__name__)
    return sorted(value.items())


_ENCODER = msgspec.msgpack.Encoder(enc_hook=_encode_map, order="deterministic")
_STATE_DECODER = MsgpackDecoder(FleetState, dec_hook=decode_map)
