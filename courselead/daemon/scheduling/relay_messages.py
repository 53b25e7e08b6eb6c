"""Messages between entry hosts for relayed store calls and copies of logs."""

from __future__ import annotations

import zlib

import msgspec
from returns.result import Failure, Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import Newest, NewestRecord
from courselead.decoding import MsgpackDecoder

PATH_APPEND = "/relay/append"
PATH_READ = "/relay/read"
PATH_NEWEST = "/relay/newest"
PATH_COPY = "/relay/copy"
PATH_STORE = "/relay/store"
PATH_ALIVE = "/relay/alive"

COMPRESS_MIN_BYTES = 16_384
"""Size from which a reply is compressed. A smaller one takes less than 0.01 s on the
slowest links in use (10 Mbit/s)."""

MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
"""Maximum size of a decompressed reply: eight times the maximum response that is read
from the store."""

COMPRESSION_LEVEL = 1
"""The fastest level: routes resemble each other, so every level reduces a configuration
of 0.8 MB to a small part of its size."""


class AppendRequest(msgspec.Struct, array_like=True):
    """Request to another host to append records."""

    log: str
    records: list[KeyedRecord]
    timeout_ms: int
    mark: tuple[str, int, int] | None = None


class ReadRequest(msgspec.Struct, array_like=True):
    """Request to another host to read a log; `wait_ms` is the wait of the read."""

    log: str
    start: int
    wait_ms: int


class NewestRequest(msgspec.Struct, array_like=True):
    """Request to another host to read the newest record of each key."""

    log: str


class CopyRequest(msgspec.Struct, array_like=True):
    """Request for another host's copy of the newest record of each key.

    Attributes:
        log: The log's name between hosts.
        at_least: Minimum end offset of the copy.
        confirmed: Whether the other host reads the log before it replies.
    """

    log: str
    at_least: int
    confirmed: bool


class RelayReply(msgspec.Struct, array_like=True):
    """Reply of another host: `kind` names the result, the other fields its content.

    A reply of kind "packed" contains another, compressed reply in `packed`.
    """

    kind: str
    start: int = 0
    end: int = 0
    reason: str = ""
    records: list[KeyedRecord] = []
    offsets: list[int] = []
    packed: bytes = b""


_REPLY_DECODER = MsgpackDecoder(RelayReply)


def encode_reply(reply: RelayReply) -> bytes:
    """Return the bytes to send; large replies are compressed."""
    body = msgspec.msgpack.encode(reply)
    if len(body) < COMPRESS_MIN_BYTES:
        return body
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    return msgspec.msgpack.encode(RelayReply("packed", packed=packed))


def decode_reply(body: bytes) -> RelayReply:
    """Return the decoded reply, or one of kind "unknown" if it is malformed."""
    decoded = _REPLY_DECODER.decode(body)
    if isinstance(decoded, Success) and decoded.unwrap().kind == "packed":
        try:
            unpacked = _unpack(decoded.unwrap().packed)
        except zlib.error as exc:
            return RelayReply("unknown", reason=f"malformed reply: {exc}")
        decoded = _REPLY_DECODER.decode(unpacked)
    if isinstance(decoded, Failure):
        return RelayReply("unknown", reason=f"malformed reply: {decoded.failure()}")
    reply = decoded.unwrap()
    if reply.kind == "newest" and len(reply.offsets) != len(reply.records):
        return RelayReply("unknown", reason="malformed reply: offsets do not fit")
    return reply


def _unpack(packed: bytes) -> bytes:
    return zlib.decompressobj().decompress(packed, MAX_DECOMPRESSED_BYTES)


def newest_reply(newest: Newest) -> RelayReply:
    """Return a reply with the newest record of each key."""
    records = [item.record for item in newest.records]
    offsets = [item.offset for item in newest.records]
    return RelayReply("newest", 0, newest.end, "", records, offsets)


def newest_from_reply(reply: RelayReply) -> Newest:
    """Return the newest record of each key from a reply."""
    pairs = zip(reply.offsets, reply.records, strict=True)
    return Newest(reply.end, tuple(NewestRecord(*pair) for pair in pairs))
