"""Stand-in for the platform's store: keyed single-partition topics, fenced appends."""

from __future__ import annotations

import base64
import struct
from dataclasses import dataclass, field

import anyio

from standins.asgi import Call, Reply, error_reply, json_reply

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")

REMEMBERED_APPENDS = 5
"""Last appends of a producer whose repeats are recognised, set by the protocol."""

MAX_PAGE_ITEMS = 500
"""Most keys in one page of the newest records, set by the protocol."""

Record = tuple[bytes, bytes]


@dataclass(slots=True)
class _Producer:
    """The epoch of one producer and the answers to its last appends."""

    epoch: int = -1
    next_sequence: int | None = None
    answers: dict[int, tuple[int, int]] = field(default_factory=dict)


class _AppendRefused(Exception):
    """An append was refused and stored nothing; `reply` is the answer."""

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.reply = reply


class Topic:
    """One topic: its records in order, and the newest record of each key."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[Record] = []
        self.first = 0
        self._newest: dict[bytes, tuple[int, bytes]] = {}
        self._producers: dict[str, _Producer] = {}
        self._appended = anyio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def put(self, records: list[Record]) -> int:
        """Append records and return the offset of the first one."""
        offset = self.end
        for position, (key, value) in enumerate(records):
            if value:
                self._newest[key] = (offset + position, value)
            else:
                self._newest.pop(key, None)
        self.records.extend(records)
        appended, self._appended = self._appended, anyio.Event()
        appended.set()
        return offset

    def append(self, records: list[Record], query: dict[str, str]) -> tuple[int, int]:
        """Append records for a producer and return the first offset and the end.

        An append that repeats an earlier one gets the earlier answer.

        Raises:
            _AppendRefused: The expected end, the epoch or the sequence does not match.
        """
        if "expectedEnd" in query and int(query["expectedEnd"]) != self.end:
            raise _AppendRefused(json_reply(412, {"end": self.end}))
        producer = self._check_producer(query)
        if producer is None:
            return self.put(records), self.end
        sequence = int(query["seq"])
        if sequence in producer.answers:
            return producer.answers[sequence]
        expected = producer.next_sequence
        if expected is not None and sequence != expected:
            raise _AppendRefused(json_reply(409, {"reason": "seq", "seq": expected}))
        answer = (self.put(records), self.end)
        producer.next_sequence = sequence + 1
        producer.answers[sequence] = answer
        producer.answers.pop(sequence - REMEMBERED_APPENDS, None)
        return answer

    def drop_history(self) -> None:
        """Drop all records; the newest record of each key stays available."""
        self.first = self.end
        self.records.clear()

    async def read(self, start: int, wait_ms: int) -> Reply:
        """Return the records from an offset on; wait up to `wait_ms` for the first."""
        with anyio.move_on_after(wait_ms / 1000):
            while start >= self.end:
                await self._appended.wait()
        if start < self.first:
            return json_reply(410, {"first": self.first})
        parts = [_HEADER.pack(self.end, self.first)]
        parts.extend(_frame(item) for item in self.records[start - self.first :])
        return Reply(200, b"".join(parts))

    def newest(self, after: bytes) -> Reply:
        """Return a page of the newest record of each key."""
        keys = sorted(key for key in self._newest if key > after)
        items = []
        for key in keys[:MAX_PAGE_ITEMS]:
            offset, value = self._newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        more = len(keys) > MAX_PAGE_ITEMS
        return json_reply(200, {"items": items, "morePages": more, "end": self.end})

    def _check_producer(self, query: dict[str, str]) -> _Producer | None:
        if "producer" not in query:
            return None
        producer = self._producers.setdefault(query["producer"], _Producer())
        epoch = int(query["epoch"])
        if epoch < producer.epoch:
            raise _AppendRefused(json_reply(409, {"reason": "fenced"}))
        if epoch > producer.epoch:
            producer.epoch = epoch
            producer.next_sequence = None
            producer.answers.clear()
        return producer


class StoreStandin:
    """Serves all topics through the store's HTTP interface."""

    def __init__(self) -> None:
        """Start without topics."""
        self._topics: dict[str, Topic] = {}

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, Topic())

    async def handle(self, call: Call) -> Reply:
        """Answer one call."""
        topic = self.topic(call.query.get("topic", ""))
        match call.path:
            case "/-/log-append":
                try:
                    offset, end = topic.append(_parse_records(call.body), call.query)
                except _AppendRefused as exc:
                    return exc.reply
                return json_reply(200, {"offset": offset, "end": end})
            case "/-/log-read":
                wait_ms = int(call.query.get("waitMs", "0"))
                return await topic.read(int(call.query["from"]), wait_ms)
            case "/-/log-newest":
                return topic.newest(call.query.get("after", "").encode())
        return error_reply(404, "no_such_call")


def _frame(record: Record) -> bytes:
    key, value = record
    content = bytes((len(key),)) + key + value
    return _LENGTH.pack(len(content)) + content


def _parse_records(body: bytes) -> list[Record]:
    records: list[Record] = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        position += size
        key_end = 1 + content[0]
        records.append((content[1:key_end], content[key_end:]))
    return records
