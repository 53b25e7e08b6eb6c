"""Log encoding: versioned msgpack batches with a kind and a body for each record."""

from dataclasses import dataclass
from typing import Annotated, get_args

import msgspec
from returns.result import Failure, Result, Success

from courselead.core.fleet.records import Batch, Record
from courselead.decoding import MsgpackDecoder

WIRE_VERSION = 1
MAX_ERROR_CHARS = 200
# Largest integer that every msgpack and JSON reader represents exactly.
MAX_SAFE_INTEGER = 2**53

_SafeUnsignedInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]

RECORD_TYPES: dict[str, type] = {
    record_type.__name__: record_type for record_type in get_args(Record)
}


class _WireRecord(msgspec.Struct):
    """Encoded record: its kind and the raw body."""

    kind: str
    body: msgspec.Raw


class _WireBatch(msgspec.Struct):
    """Encoded batch."""

    v: int
    entry_host: str
    incarnation: _SafeUnsignedInt
    seq: _SafeUnsignedInt
    at_ms: _SafeUnsignedInt
    snapshot: int
    records: tuple[_WireRecord, ...]


@dataclass(frozen=True, slots=True)
class DecodeError:
    """The bytes are not a batch that this version can read.

    Attributes:
        reason: Why decoding failed.
    """

    reason: str

    def __str__(self) -> str:
        """Return the error message with a suggested action."""
        return (
            f"not a valid batch of version {WIRE_VERSION}: {self.reason}; "
            "update this host if a newer version wrote the batch"
        )


_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = MsgpackDecoder(_WireBatch)
_BODY_DECODERS = {
    name: MsgpackDecoder(record_type) for name, record_type in RECORD_TYPES.items()
}


def encode_batch(batch: Batch) -> bytes:
    """Return a batch encoded for the log."""
    wire = _WireBatch(
        v=WIRE_VERSION,
        entry_host=batch.entry_host,
        incarnation=batch.incarnation,
        seq=batch.seq,
        at_ms=batch.at_ms,
        snapshot=batch.snapshot,
        records=tuple(_to_wire_record(record) for record in batch.records),
    )
    return _ENCODER.encode(wire)


def decode_batch(data: bytes) -> Result[Batch, DecodeError]:
    """Decode a batch; invalid bytes return a failure and never raise."""
    decoded = _BATCH_DECODER.decode(data)
    if isinstance(decoded, Failure):
        return Failure(DecodeError(decoded.failure().reason))
    wire = decoded.unwrap()
    if wire.v != WIRE_VERSION:
        return Failure(DecodeError(f"the batch has version {wire.v}"))
    records: list[Record] = []
    for wire_record in wire.records:
        record = _decode_record(wire_record)
        if isinstance(record, Failure):
            return record
        records.append(record.unwrap())
    batch = Batch(
        entry_host=wire.entry_host,
        incarnation=wire.incarnation,
        seq=wire.seq,
        at_ms=wire.at_ms,
        snapshot=wire.snapshot,
        records=tuple(records),
    )
    return Success(batch)


def _to_wire_record(record: Record) -> _WireRecord:
    """Return the encoded form of a record."""
    body = msgspec.Raw(_ENCODER.encode(record))
    return _WireRecord(type(record).__name__, body)


def _decode_record(record: _WireRecord) -> Result[Record, DecodeError]:
    """Decode a record from its encoded form."""
    decoder = _BODY_DECODERS.get(record.kind)
    if decoder is None:
        kind = record.kind[:MAX_ERROR_CHARS]
        return Failure(DecodeError(f"unknown record kind {kind}"))
    body = decoder.decode(record.body)
    if isinstance(body, Failure):
        return Failure(DecodeError(body.failure().reason))
    return Success(body.unwrap())
