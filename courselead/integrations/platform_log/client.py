"""Calls of the log, one at a time."""

from __future__ import annotations

import math
from typing import TypeVar

import anyio
import msgspec
from returns.result import Failure, Result, Success

from courselead.integrations.http import (
    ExchangeError,
    HttpClient,
    HttpLimits,
    HttpRequest,
    NotSent,
    WholeAnswer,
)
from courselead.integrations.http.headers import Headers, header

from .const import (
    APPEND_TARGET,
    DEFAULT_READ_TIMEOUT_MS,
    MAX_PAGE_BYTES,
    MAX_RECORD_BYTES,
    READ_PATH,
    STATUS_GONE,
    STATUS_OK,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
)
from .errors import (
    AppendRefused,
    AppendUnknown,
    LogError,
    LogUnavailable,
    OffsetGone,
    ReadFailure,
)
from .models import AppendAnswer, LogPage

_T = TypeVar("_T")


class LogClient:
    """Appends records and reads pages over kept connections.

    At most one append is in flight; a second one waits for the first.
    """

    def __init__(
        self, address: str, read_timeout_ms: int = DEFAULT_READ_TIMEOUT_MS
    ) -> None:
        """Keep the `ip:port` address; nothing is opened yet.

        Args:
            address: Where the log answers.
            read_timeout_ms: How long a read may take beyond its own `wait_ms`.
        """
        limits = HttpLimits(max_answer_bytes=MAX_PAGE_BYTES)
        self._http = HttpClient(address, limits)
        self._read_timeout_ms = read_timeout_ms
        self._append_lock = anyio.Lock()

    async def append(self, data: bytes, timeout_s: float) -> Result[int, LogError]:
        """Store one record and return its offset.

        The timeout includes the wait for an earlier append of this client.
        """
        if len(data) > MAX_RECORD_BYTES:
            reason = f"record over {MAX_RECORD_BYTES} bytes: split it"
            return Failure(AppendRefused(reason, permanent=True))
        deadline = anyio.current_time() + timeout_s
        with anyio.move_on_at(deadline) as waiting:
            await self._append_lock.acquire()
        if waiting.cancelled_caught:
            return Failure(AppendRefused("an earlier append is still in flight"))
        try:
            left_ms = int((deadline - anyio.current_time()) * 1000)
            req = HttpRequest(b"POST", APPEND_TARGET, body=data)
            fetched = await self._http.fetch(req, left_ms)
        finally:
            self._append_lock.release()
        if isinstance(fetched, Failure):
            return Failure(_append_error(fetched.failure()))
        return _appended(fetched.unwrap())

    async def read(
        self, offset: int, limit: int, wait_ms: int
    ) -> Result[LogPage, ReadFailure]:
        """Read up to `limit` records from an offset, waiting for the first of them."""
        target = f"{READ_PATH}?from={offset}&limit={limit}&wait_ms={wait_ms}"
        req = HttpRequest(b"GET", target.encode("ascii"))
        fetched = await self._http.fetch(req, wait_ms + self._read_timeout_ms)
        if isinstance(fetched, Failure):
            return Failure(LogUnavailable(fetched.failure().reason))
        return read_page(fetched.unwrap(), offset)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _append_error(error: ExchangeError) -> LogError:
    if isinstance(error, NotSent):
        return AppendRefused(error.reason)
    return AppendUnknown(error.reason)


def _appended(answer: WholeAnswer) -> Result[int, LogError]:
    if answer.status == STATUS_UNAVAILABLE:
        retry_ms = _retry_after_ms(answer.headers)
        return Failure(AppendRefused("the log is unavailable", retry_ms))
    if answer.status == STATUS_TOO_LARGE:
        reason = "the log refused the record's size: split it"
        return Failure(AppendRefused(reason, permanent=True))
    if answer.status != STATUS_OK:
        return Failure(AppendUnknown(f"the log answered {answer.status}"))
    decoded = _decode(answer.body, AppendAnswer)
    if decoded is None or decoded.offset < 0:
        return Failure(AppendUnknown("the log's answer is malformed"))
    return Success(decoded.offset)


def read_page(answer: WholeAnswer, offset: int) -> Result[LogPage, ReadFailure]:
    """Return the page of an answer, if it holds what follows the offset."""
    if answer.status == STATUS_UNAVAILABLE:
        retry_ms = _retry_after_ms(answer.headers)
        return Failure(LogUnavailable("the log is unavailable", retry_ms))
    if answer.status == STATUS_GONE:
        gone = _decode(answer.body, OffsetGone)
        if gone is not None:
            return Failure(gone)
    if answer.status != STATUS_OK:
        return Failure(LogUnavailable(f"the log answered {answer.status}"))
    page = _decode(answer.body, LogPage)
    if page is None or not _is_in_order(page, offset):
        return Failure(LogUnavailable("the log's page is malformed"))
    return Success(page)


def _is_in_order(page: LogPage, offset: int) -> bool:
    """Return whether the records follow the offset without a gap or a repeat."""
    expected = offset
    for position, _ in page.records:
        if position != expected:
            return False
        expected += 1
    return page.first <= offset and expected <= page.next


def _decode(body: bytes, kind: type[_T]) -> _T | None:
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return None


def _retry_after_ms(headers: Headers) -> int:
    value = header(headers, b"retry-after") or b""
    try:
        seconds = float(value)
    except ValueError:
        return 0
    if not math.isfinite(seconds) or seconds < 0:
        return 0
    return int(seconds * 1000)
