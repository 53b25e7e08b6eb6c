"""What entry hosts ask each other for, when one of them cannot reach the store."""

from __future__ import annotations

import msgspec

from courselead.core.scheduler.records import KeyedRecord

PATH_APPEND = "/relay/append"
PATH_READ = "/relay/read"
PATH_NEWEST = "/relay/newest"
PATH_STORE = "/relay/store"
PATH_ALIVE = "/relay/alive"


class AppendAsked(msgspec.Struct, array_like=True):
    """An append that another host is asked to make."""

    log: str
    records: list[KeyedRecord]
    timeout_ms: int
    mark: tuple[str, int, int] | None = None


class ReadAsked(msgspec.Struct, array_like=True):
    """A read that another host is asked to make; `wait_ms` is that of the read."""

    log: str
    start: int
    wait_ms: int


class NewestAsked(msgspec.Struct, array_like=True):
    """The newest record of each key, asked of another host."""

    log: str


class RelayReply(msgspec.Struct, array_like=True):
    """What the other host says: `kind` names the result, the rest is what it holds."""

    kind: str
    start: int = 0
    end: int = 0
    reason: str = ""
    records: list[KeyedRecord] = []
    offsets: list[int] = []


_DECODE_REPLY = msgspec.msgpack.Decoder(RelayReply)


def decode_reply(body: bytes) -> RelayReply:
    """Return what another host said; what is malformed leaves all open."""
    try:
        return _DECODE_REPLY.decode(body)
    except msgspec.MsgspecError as exc:
        return RelayReply("unknown", reason=f"malformed reply: {exc}")
