"""The platform's store: a log with keyed topics, as the users' pages describe it."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field

from review.standin_3.http11 import Answer, Request

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_S = 0.001
ANSWER_S = 0.004
MAX_ITEMS = 500


@dataclass
class Producer:
    """What the store remembers of one producer."""

    epoch: int = -1
    next_seq: int | None = None
    answers: dict[int, dict] = field(default_factory=dict)


class Topic:
    """One topic with one partition."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.producers: dict[str, Producer] = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def put(self, key: bytes, value: bytes) -> int:
        """Append one record and return its offset."""
        offset = len(self.records)
        self.records.append((key, value))
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store:
    """All topics, and what was refused."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.refused: list[str] = []

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        topic = self.topic(request.query.get("topic", ""))
        await asyncio.sleep(ANSWER_S)
        if request.path == "/-/log-append":
            async with topic.lock:
                await asyncio.sleep(APPEND_S)
                return self.append(topic, request)
        if request.path == "/-/log-read":
            return await self.read(topic, request)
        if request.path == "/-/log-newest":
            return self.read_newest(topic, request.query.get("after", "").encode())
        return Answer(404)

    def append(self, topic: Topic, request: Request) -> Answer:
        """Append the records of one call, or none."""
        query = request.query
        records = []
        at = 0
        while at < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, at)
            content = request.body[at + 4 : at + 4 + size]
            at += 4 + size
            if size > RECORD_BYTES or len(request.body) > CALL_BYTES:
                self.refused.append(f"{query.get('topic')}: a record of {size} bytes")
                return _json(413, {"reason": "size"})
            end = 1 + content[0]
            records.append((content[1:end], content[end:]))
        if "expectedEnd" in query and int(query["expectedEnd"]) != len(topic.records):
            return _json(412, {"end": len(topic.records)})
        producer = None
        if "producer" in query:
            producer = topic.producers.setdefault(query["producer"], Producer())
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < producer.epoch:
                return _json(409, {"reason": "fenced"})
            if epoch > producer.epoch:
                producer.epoch, producer.next_seq = epoch, None
                producer.answers.clear()
            if seq in producer.answers:
                return _json(200, producer.answers[seq])
            if producer.next_seq is not None and seq != producer.next_seq:
                return _json(409, {"reason": "seq", "seq": producer.next_seq})
        offset = len(topic.records)
        for key, value in records:
            topic.put(key, value)
        answer = {"offset": offset, "end": len(topic.records)}
        if producer is not None:
            producer.next_seq = seq + 1
            producer.answers[seq] = answer
            producer.answers.pop(seq - 5, None)
        return _json(200, answer)

    async def read(self, topic: Topic, request: Request) -> Answer:
        """Return the records from an offset on, when there are some."""
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        limit = int(request.query.get("maxKb", "1024")) * 1024
        try:
            async with asyncio.timeout(wait_s or None):
                while wait_s and start >= len(topic.records):
                    await topic.changed.wait()
        except TimeoutError:
            pass
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for key, value in topic.records[start:]:
            content = bytes((len(key),)) + key + value
            size += 4 + len(content)
            if size > limit and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(content)) + content)
        return Answer(200, b"".join(parts), "application/octet-stream")

    def read_newest(self, topic: Topic, after: bytes) -> Answer:
        """Return one page of the newest record of each key."""
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:MAX_ITEMS]:
            offset, value = topic.newest[key]
            size += len(value)
            if items and size > 1_000_000:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        more = len(items) < len(keys)
        end = len(topic.records)
        return _json(200, {"items": items, "morePages": more, "end": end})


def _json(status: int, document: object) -> Answer:
    return Answer(status, json.dumps(document).encode())
