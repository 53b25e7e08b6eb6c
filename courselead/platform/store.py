"""Client of the platform's metadata store, a log with keyed topics."""

from __future__ import annotations

import base64
import struct
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

import msgspec
import structlog
from returns.result import Failure, Result, Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import (
    Appended,
    AppendError,
    AppendFenced,
    AppendUnknown,
    HistoryGone,
    LogBatch,
    Newest,
    NewestRecord,
    NotAppended,
    ProducerMark,
    ReadError,
    ReadFailed,
    UnexpectedEnd,
)
from courselead.decoding import JsonDecoder, Malformed
from courselead.integrations.http.errors import NotSent
from courselead.integrations.lean_http import Answer, Call, LeanPool
from courselead.platform import const, ranges

_LOGGER = structlog.get_logger(__name__)

_RECORD_LENGTH = struct.Struct(">I")
_BATCH_HEADER = struct.Struct(">QQ")


class _AppendResponse(msgspec.Struct):
    offset: ranges.LogOffset = 0
    end: ranges.LogOffset = 0
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: ranges.LogOffset

    def to_record(self) -> NewestRecord:
        """Return the decoded record.

        Raises:
            ValueError: The value is not valid base64.
        """
        value = base64.b64decode(self.value, validate=True)
        return NewestRecord(self.offset, KeyedRecord(self.key.encode(), value))


class _Page(msgspec.Struct, rename="camel"):
    # Decoded one by one: an invalid item of another writer must not hide the others.
    items: list[msgspec.Raw]
    end: ranges.LogOffset
    more_pages: bool = False


class _ItemKey(msgspec.Struct):
    key: str


_APPEND_DECODER = JsonDecoder(_AppendResponse)
_ITEM_DECODER = JsonDecoder(_Item)
_ITEM_KEY_DECODER = JsonDecoder(_ItemKey)
_PAGE_DECODER = JsonDecoder(_Page)


class StoreTopic:
    """A topic with a single partition and keyed records."""

    def __init__(self, pool: LeanPool, topic: str) -> None:
        """Store the topic's name; the store creates the topic on first use."""
        self._pool = pool
        self._topic = topic

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
        expected_end: int | None = None,
        mark: ProducerMark | None = None,
    ) -> Result[Appended, AppendError]:
        """Append all records or none of them."""
        query: dict[str, str | int] = {"topic": self._topic, "part": 0}
        if expected_end is not None:
            query["expectedEnd"] = expected_end
        if mark is not None:
            query["producer"] = mark.name
            query["epoch"] = mark.epoch
            query["seq"] = mark.sequence
        for record in records:
            if len(record.key) > ranges.MAX_KEY_BYTES:
                size = len(record.key)
                return Failure(NotAppended(f"key of {size} bytes; shorten the name"))
        body = b"".join(_encode_record(record) for record in records)
        target = f"{const.PATH_APPEND}?{urlencode(query)}"
        result = await self._pool.call(Call("POST", target, body), timeout_ms)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, NotSent):
                return Failure(NotAppended(error.reason))
            return Failure(AppendUnknown(error.reason))
        return _to_append_result(result.unwrap())

    async def read(
        self,
        start: int,
        wait_ms: int,
        on_arrival: Callable[[int], None] | None = None,
    ) -> Result[LogBatch, ReadError]:
        """Return records from an offset on; waits for the first of them."""
        query = {
            "topic": self._topic,
            "part": 0,
            "from": start,
            "maxKb": const.READ_MAX_KB,
            "waitMs": wait_ms,
        }
        target = f"{const.PATH_READ}?{urlencode(query)}"
        timeout_ms = max(
            const.READ_MIN_TIMEOUT_MS, wait_ms + const.READ_IDLE_TIMEOUT_MS
        )
        on_body = None if on_arrival is None else _EndObserver(start, on_arrival)
        result = await self._pool.call(_make_read_call(target, on_body), timeout_ms)
        if isinstance(result, Failure):
            return Failure(ReadFailed(result.failure().reason))
        answer = result.unwrap()
        if answer.status == 410:
            return Failure(HistoryGone())
        if answer.status != 200:
            return Failure(ReadFailed(_describe_response(answer)))
        return _decode_batch(start, answer.body)

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key; reads every page."""
        records: list[NewestRecord] = []
        end: int | None = None
        after = ""
        while True:
            query = {"topic": self._topic, "part": 0}
            if after:
                query["after"] = after
            target = f"{const.PATH_NEWEST}?{urlencode(query)}"
            result = await self._pool.call(
                _make_read_call(target), const.READ_MIN_TIMEOUT_MS
            )
            if isinstance(result, Failure):
                return Failure(ReadFailed(result.failure().reason))
            answer = result.unwrap()
            if answer.status != 200:
                return Failure(ReadFailed(_describe_response(answer)))
            decoded = _PAGE_DECODER.decode(_replace_invalid_utf8(answer.body))
            if isinstance(decoded, Failure):
                return Failure(ReadFailed(f"malformed page: {decoded.failure()}"))
            page = decoded.unwrap()
            # The pages are not a snapshot, so reading has to continue at the end that
            # the first page reports.
            end = page.end if end is None else end
            records.extend(_decode_page_items(page, self._topic))
            if not page.more_pages or not page.items:
                return Success(Newest(end, tuple(records)))
            last_key = _last_key(page)
            if last_key is None:
                return Failure(ReadFailed("malformed page: no key to continue after"))
            if last_key == after:
                # Bytes of the key that are not UTF-8 were replaced, so that it sorts
                # before itself: the pages after it cannot be requested.
                _LOGGER.warning("pages_unreachable", topic=self._topic, after=after)
                return Success(Newest(end, tuple(records)))
            after = last_key


def store_pool(address: str) -> LeanPool:
    """Return the store's connection pool; each long read occupies one connection."""
    return LeanPool(address, const.STORE_CONNECTIONS)


def _replace_invalid_utf8(body: bytes) -> bytes:
    """Return the page with bytes replaced that are not valid UTF-8 (in keys)."""
    try:
        body.decode()
    except UnicodeDecodeError:
        return body.decode("utf-8", "replace").encode()
    return body


def _last_key(page: _Page) -> str | None:
    """Return the key after which the next page begins, None if none is readable."""
    for item in reversed(page.items):
        decoded = _ITEM_KEY_DECODER.decode(item)
        if isinstance(decoded, Success):
            return decoded.unwrap().key
    return None


def _decode_page_items(page: _Page, topic: str) -> list[NewestRecord]:
    """Return the valid records of a page; invalid ones are logged and skipped."""
    records = []
    for item in page.items:
        decoded = _ITEM_DECODER.decode_one(item)
        if isinstance(decoded, Malformed):
            _LOGGER.warning("record_unreadable", topic=topic, reason=decoded.reason)
            continue
        try:
            records.append(decoded.to_record())
        except ValueError as exc:
            _LOGGER.warning("record_unreadable", topic=topic, reason=str(exc))
    return records


class _EndObserver:
    """Reports the end of a topic once records beyond an offset begin to arrive."""

    def __init__(self, start: int, on_arrival: Callable[[int], None]) -> None:
        self._start = start
        self._on_arrival = on_arrival
        self._header = b""

    def __call__(self, part: bytes) -> None:
        """Process the next part of the response's body."""
        if len(self._header) >= _BATCH_HEADER.size:
            return
        self._header += part[: _BATCH_HEADER.size]
        if len(self._header) < _BATCH_HEADER.size:
            return
        end, _ = _BATCH_HEADER.unpack_from(self._header)
        # Other values are not an end: the text of an error, for instance, decodes as a
        # number far beyond the limit.
        if self._start < end < self._start + const.MAX_READER_LAG_RECORDS:
            self._on_arrival(end)


def _make_read_call(
    target: str, on_body: Callable[[bytes], None] | None = None
) -> Call:
    return Call("GET", target, max_pause_ms=const.READ_IDLE_TIMEOUT_MS, on_body=on_body)


def _encode_record(record: KeyedRecord) -> bytes:
    content = bytes((len(record.key),)) + record.key + record.value
    return _RECORD_LENGTH.pack(len(content)) + content


def _to_append_result(answer: Answer) -> Result[Appended, AppendError]:
    if answer.status in (429, 503):
        return Failure(NotAppended(_describe_response(answer)))
    decoded = _APPEND_DECODER.decode(answer.body or b"{}")
    if isinstance(decoded, Failure):
        return Failure(AppendUnknown(f"malformed answer: {decoded.failure()}"))
    response = decoded.unwrap()
    if answer.status == 200:
        return Success(Appended(response.offset, response.end))
    if answer.status == 412:
        return Failure(UnexpectedEnd(response.end))
    if answer.status == 409 and response.reason == "fenced":
        return Failure(AppendFenced())
    if answer.status == 409:
        return Failure(AppendUnknown(f"sequence refused: {response.reason}"))
    return Failure(NotAppended(_describe_response(answer)))


def _decode_batch(start: int, body: bytes) -> Result[LogBatch, ReadError]:
    if len(body) < _BATCH_HEADER.size:
        return Failure(ReadFailed("response shorter than its header"))
    end, first = _BATCH_HEADER.unpack_from(body)
    if start < first:
        return Failure(HistoryGone())
    if end > ranges.MAX_LOG_OFFSET:
        return Failure(ReadFailed("end out of range"))
    records: list[KeyedRecord] = []
    position = _BATCH_HEADER.size
    while position + _RECORD_LENGTH.size <= len(body):
        (size,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            return Failure(ReadFailed("truncated record"))
        position += size
        records.append(_decode_record(content))
    return Success(LogBatch(start, end, tuple(records)))


def _decode_record(content: bytes) -> KeyedRecord:
    """Return the record, or an empty record if its key is incomplete.

    The empty record keeps the offsets of the records behind it correct.
    """
    key_end = 1 + content[0] if content else 1
    if len(content) < key_end:
        _LOGGER.warning(
            "record_unreadable", reason="incomplete key", bytes=len(content)
        )
        return KeyedRecord(b"", b"")
    return KeyedRecord(content[1:key_end], content[key_end:])


def _describe_response(answer: Answer) -> str:
    text = answer.body[:200].decode("utf-8", "replace")
    return f"status {answer.status} {text}".strip()
