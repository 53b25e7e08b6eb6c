"""The platform's store: keyed topics with one partition each (given PROTOCOL.md)."""

from __future__ import annotations

import asyncio
import base64
import struct
import time
from dataclasses import dataclass, field

from standin.http import HttpServer, Request, Response, json_response

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
REMEMBERED_APPENDS = 5

ANSWER_S = 0.004
"""Time of an answer on the sheets of the small deployments."""

_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")


@dataclass(slots=True)
class _Producer:
    epoch: int = -1
    next_seq: int | None = None
    answers: dict[int, Response] = field(default_factory=dict)


class Topic:
    """One topic: the kept records in order, and the newest record of each key."""

    def __init__(self, keep_s: float) -> None:
        """Start empty."""
        self.first = 0
        self._keep_s = keep_s
        self._records: list[tuple[bytes, float]] = []
        self._newest: dict[bytes, tuple[int, bytes]] = {}
        self._producers: dict[str, _Producer] = {}
        self._changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self._records)

    def put(self, contents: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        offset = self.end
        now = time.monotonic()
        for position, content in enumerate(contents):
            key_end = 1 + content[0]
            key, value = content[1:key_end], content[key_end:]
            if value:
                self._newest[key] = (offset + position, value)
            else:
                self._newest.pop(key, None)
            self._records.append((content, now))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return offset

    async def wait(self) -> None:
        """Wait until records are appended."""
        await self._changed.wait()

    def expire(self) -> None:
        """Drop the records that are older than the history is kept."""
        limit = time.monotonic() - self._keep_s
        count = 0
        while count < len(self._records) and self._records[count][1] < limit:
            count += 1
        del self._records[:count]
        self.first += count

    def append(self, body: bytes, query: dict[str, str]) -> Response:
        """Append all records of a call, or none."""
        contents = _split(body)
        if len(body) > CALL_BYTES or any(len(one) > RECORD_BYTES for one in contents):
            return json_response(413, {"error": "a record or the call is too large"})
        if "expectedEnd" in query and int(query["expectedEnd"]) != self.end:
            return json_response(412, {"end": self.end})
        if "producer" not in query:
            offset = self.put(contents)
            return json_response(200, {"offset": offset, "end": self.end})
        return self._append_as_producer(contents, query)

    def _append_as_producer(
        self, contents: list[bytes], query: dict[str, str]
    ) -> Response:
        producer = self._producers.setdefault(query["producer"], _Producer())
        epoch, seq = int(query["epoch"]), int(query["seq"])
        if epoch < producer.epoch:
            return json_response(409, {"reason": "fenced"})
        if epoch > producer.epoch:
            producer.epoch, producer.next_seq = epoch, None
            producer.answers.clear()
        if seq in producer.answers:
            return producer.answers[seq]
        if producer.next_seq is not None and seq != producer.next_seq:
            return json_response(409, {"reason": "seq", "seq": producer.next_seq})
        offset = self.put(contents)
        response = json_response(200, {"offset": offset, "end": self.end})
        producer.next_seq = seq + 1
        producer.answers[seq] = response
        producer.answers.pop(seq - REMEMBERED_APPENDS, None)
        return response

    def read(self, start: int, max_bytes: int) -> Response:
        """Return the records from an offset on, at least one if there is any."""
        if start < self.first:
            return json_response(410, {"first": self.first})
        parts = [_HEADER.pack(self.end, self.first)]
        size = 0
        for content, _ in self._records[start - self.first :]:
            if size and size + len(content) > max_bytes:
                break
            size += _LENGTH.size + len(content)
            parts += [_LENGTH.pack(len(content)), content]
        return Response(200, b"".join(parts))

    def newest(self, after: bytes) -> Response:
        """Return a page of the newest record of each key."""
        items: list[dict[str, object]] = []
        size = 0
        more = False
        for key in sorted(item for item in self._newest if item > after):
            offset, value = self._newest[key]
            text = base64.b64encode(value).decode()
            if len(items) == MAX_PAGE_ITEMS or (
                items and size + len(text) > MAX_PAGE_BYTES
            ):
                more = True
                break
            size += len(text)
            items.append({"key": key.decode(), "value": text, "offset": offset})
        return json_response(200, {"items": items, "morePages": more, "end": self.end})


class Store:
    """Serves the topics.

    Attributes:
        slowness: How many times as long as usual the answers take.
        refused: The appends that were refused because of their size.
    """

    def __init__(self, keep_s: float = 20.0) -> None:
        """Start without topics."""
        self._keep_s = keep_s
        self._topics: dict[str, Topic] = {}
        self.slowness = 1.0
        self.refused: list[str] = []
        self.server = HttpServer(self._handle)

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        if name not in self._topics:
            self._topics[name] = Topic(self._keep_s)
        return self._topics[name]

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write one record as the operator or a minion."""
        name = key.encode()
        self.topic(topic).put([bytes([len(name)]) + name + value])

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(ANSWER_S * self.slowness)
        topic = self.topic(request.query.get("topic", ""))
        topic.expire()
        if request.path == "/-/log-append":
            response = topic.append(request.body, request.query)
            if response.status not in (200, 409, 412):
                text = response.body.decode()
                self.refused.append(f"append of {len(request.body)} bytes: {text}")
            return response
        if request.path == "/-/log-newest":
            return topic.newest(request.query.get("after", "").encode())
        if request.path == "/-/log-read":
            return await self._read(topic, request.query)
        return json_response(404, {})

    async def _read(self, topic: Topic, query: dict[str, str]) -> Response:
        start = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        max_bytes = int(query.get("maxKb", "1024")) * 1024
        try:
            async with asyncio.timeout(wait_s):
                while wait_s and start >= topic.end:
                    await topic.wait()
        except TimeoutError:
            pass
        return topic.read(start, max_bytes)


def _split(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        contents.append(body[position : position + size])
        position += size
    return contents
