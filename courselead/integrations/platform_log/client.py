"""Client for single calls of the log."""

from __future__ import annotations

import math

import anyio
from returns.result import Failure, Result, Success

from courselead.decoding import MsgpackDecoder
from courselead.integrations.http import (
    ExchangeError,
    FullResponse,
    HttpClient,
    HttpLimits,
    HttpRequest,
    NotSent,
)
from courselead.integrations.http.headers import Headers, first_header_value

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

_APPEND_DECODER = MsgpackDecoder(AppendAnswer)
_PAGE_DECODER = MsgpackDecoder(LogPage)
_GONE_DECODER = MsgpackDecoder(OffsetGone)


class LogClient:
    """Appends records and reads pages over persistent connections.

    At most one append is in flight; further appends wait for it.
    """

    def __init__(
        self, address: str, read_timeout_ms: int = DEFAULT_READ_TIMEOUT_MS
    ) -> None:
        """Store the `ip:port` address; no connection is opened yet.

        Args:
            address: Address of the log.
            read_timeout_ms: Timeout of a read, in addition to its `wait_ms`.
        """
        limits = HttpLimits(max_answer_bytes=MAX_PAGE_BYTES)
        self._http = HttpClient(address, limits)
        self._read_timeout_ms = read_timeout_ms
        self._append_lock = anyio.Lock()

    async def append(self, data: bytes, timeout_s: float) -> Result[int, LogError]:
        """Append one record and return its offset.

        The timeout includes the wait for an earlier append of this client.
        """
        if len(data) > MAX_RECORD_BYTES:
            reason = f"record larger than {MAX_RECORD_BYTES} bytes: split it"
            return Failure(AppendRefused(reason, permanent=True))
        deadline = anyio.current_time() + timeout_s
        with anyio.move_on_at(deadline) as lock_scope:
            await self._append_lock.acquire()
        if lock_scope.cancelled_caught:
            return Failure(AppendRefused("an earlier append is still in flight"))
        try:
            remaining_ms = int((deadline - anyio.current_time()) * 1000)
            req = HttpRequest(b"POST", APPEND_TARGET, body=data)
            result = await self._http.fetch(req, remaining_ms)
        finally:
            self._append_lock.release()
        if isinstance(result, Failure):
            return Failure(_to_append_error(result.failure()))
        return _decode_append_response(result.unwrap())

    async def read(
        self, offset: int, limit: int, wait_ms: int
    ) -> Result[LogPage, ReadFailure]:
        """Read up to `limit` records from an offset on; waits for the first of them."""
        target = f"{READ_PATH}?from={offset}&limit={limit}&wait_ms={wait_ms}"
        req = HttpRequest(b"GET", target.encode("ascii"))
        result = await self._http.fetch(req, wait_ms + self._read_timeout_ms)
        if isinstance(result, Failure):
            return Failure(LogUnavailable(result.failure().reason))
        return decode_page(result.unwrap(), offset)

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()


def _to_append_error(error: ExchangeError) -> LogError:
    if isinstance(error, NotSent):
        return AppendRefused(error.reason)
    return AppendUnknown(error.reason)


def _decode_append_response(answer: FullResponse) -> Result[int, LogError]:
    if answer.status == STATUS_UNAVAILABLE:
        retry_ms = _retry_after_ms(answer.headers)
        return Failure(AppendRefused("the log is unavailable", retry_ms))
    if answer.status == STATUS_TOO_LARGE:
        reason = "the log refused the record as too large: split it"
        return Failure(AppendRefused(reason, permanent=True))
    if answer.status != STATUS_OK:
        return Failure(AppendUnknown(f"the log responded with status {answer.status}"))
    decoded = _APPEND_DECODER.decode(answer.body)
    if isinstance(decoded, Failure) or decoded.unwrap().offset < 0:
        return Failure(AppendUnknown("malformed response of the log"))
    return Success(decoded.unwrap().offset)


def decode_page(answer: FullResponse, offset: int) -> Result[LogPage, ReadFailure]:
    """Decode a page and check that its records follow the offset."""
    if answer.status == STATUS_UNAVAILABLE:
        retry_ms = _retry_after_ms(answer.headers)
        return Failure(LogUnavailable("the log is unavailable", retry_ms))
    if answer.status == STATUS_GONE:
        gone = _GONE_DECODER.decode(answer.body)
        if isinstance(gone, Success):
            return Failure(gone.unwrap())
    if answer.status != STATUS_OK:
        return Failure(LogUnavailable(f"the log responded with status {answer.status}"))
    page = _PAGE_DECODER.decode(answer.body)
    if isinstance(page, Failure) or not _is_in_order(page.unwrap(), offset):
        return Failure(LogUnavailable("malformed page of the log"))
    return Success(page.unwrap())


def _is_in_order(page: LogPage, offset: int) -> bool:
    """Return whether the records follow the offset without gaps or duplicates."""
    expected = offset
    for record_offset, _ in page.records:
        if record_offset != expected:
            return False
        expected += 1
    return page.first <= offset and expected <= page.next


def _retry_after_ms(headers: Headers) -> int:
    value = first_header_value(headers, b"retry-after") or b""
    try:
        milliseconds = float(value) * 1000
    except ValueError:
        return 0
    if not math.isfinite(milliseconds) or milliseconds < 0:
        return 0
    return int(milliseconds)
