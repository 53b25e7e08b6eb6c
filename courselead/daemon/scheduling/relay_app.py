"""The server side of the relay: executes store calls for other hosts."""

from __future__ import annotations

import structlog
from returns.result import Failure, Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.log_copies import LogCopy
from courselead.daemon.scheduling.ports import (
    AppendFenced,
    HistoryGone,
    KeyedLog,
    NotAppended,
    ProducerMark,
)
from courselead.daemon.scheduling.relay import StoreAccess
from courselead.daemon.scheduling.relay_messages import (
    PATH_ALIVE,
    PATH_APPEND,
    PATH_COPY,
    PATH_NEWEST,
    PATH_READ,
    PATH_STORE,
    AppendRequest,
    CopyRequest,
    NewestRequest,
    ReadRequest,
    RelayReply,
    encode_reply,
    newest_reply,
)
from courselead.daemon.scheduling.writer import JobWriter
from courselead.decoding import MsgpackDecoder
from courselead.integrations.http_api.asgi import Receive, Scope, Send, connection_of
from courselead.integrations.http_api.asgi_helpers import read_body, send_response
from courselead.integrations.http_api.errors import (
    BodyTimeout,
    BodyTooLarge,
    CallerLeft,
)

_LOGGER = structlog.get_logger(__name__)

MAX_RELAYED_BODY_BYTES = 4 * 1024 * 1024
"""Maximum body of a call: twice the largest append of the store."""

DECODED_BYTES_PER_BODY_BYTE = 4
"""Memory of the decoded records, which are held until the store has answered."""

_COPY_DECODER = MsgpackDecoder(CopyRequest)
_REQUEST_DECODERS = {
    PATH_STORE: MsgpackDecoder(KeyedRecord),
    PATH_APPEND: MsgpackDecoder(AppendRequest),
    PATH_READ: MsgpackDecoder(ReadRequest),
    PATH_NEWEST: MsgpackDecoder(NewestRequest),
}
_NOT_UNDERSTOOD = RelayReply("not_done", reason="the request is not understood")
_CLOSE = [(b"connection", b"close")]
_NO_SUCH_COPY = encode_reply(RelayReply("not_done", reason="no such copy"))


def _refused(reason: str) -> bytes:
    """Return the reply to a request of which nothing was done."""
    return encode_reply(RelayReply("not_done", reason=reason))


class RelayApp:
    """ASGI application that executes store calls for other hosts."""

    def __init__(
        self,
        logs: dict[str, KeyedLog],
        access: StoreAccess,
        writer: JobWriter | None = None,
        copies: dict[str, LogCopy] | None = None,
    ) -> None:
        """Initialize with the logs that other hosts may reach through this one.

        Args:
            logs: Logs on this host's direct path, by their names between hosts.
            access: Tells whether the direct path works.
            writer: Stores callers' records that other hosts forward.
            copies: Copies of logs by name, for hosts on slower links.
        """
        self._logs = logs
        self._access = access
        self._writer = writer
        self._copies = copies or {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        try:
            body = await read_body(receive, MAX_RELAYED_BODY_BYTES)
        except CallerLeft:
            return
        except (BodyTooLarge, BodyTimeout) as exc:
            _LOGGER.warning("relay_refused", reason=str(exc))
            await send_response(send, 200, _refused(str(exc)), _CLOSE)
            return
        conn = connection_of(scope)
        decoded_bytes = DECODED_BYTES_PER_BODY_BYTE * len(body)
        if conn is not None and not conn.reserve(decoded_bytes):
            await send_response(send, 200, _refused("no memory for the request"))
            return
        if scope["path"] == PATH_COPY:
            encoded = await self._serve_copy(body)
        else:
            encoded = encode_reply(await self._serve(scope["path"], body))
        await send_response(send, 200, encoded)

    async def _serve(self, path: str, body: bytes) -> RelayReply:
        if path == PATH_ALIVE:
            return RelayReply("alive")
        decoder = _REQUEST_DECODERS.get(path)
        if decoder is None:
            return _NOT_UNDERSTOOD
        decoded = decoder.decode(body)
        if isinstance(decoded, Failure):
            _LOGGER.warning("relay_malformed", reason=decoded.failure().reason)
            return _NOT_UNDERSTOOD
        request = decoded.unwrap()
        if isinstance(request, KeyedRecord):
            return await self._store(request)
        if not self._access.reachable:
            reason = "this host does not reach it either"
            return RelayReply("not_done", reason=reason)
        if request.log not in self._logs:
            _LOGGER.warning("relay_malformed", reason=f"no such log: {request.log}")
            return _NOT_UNDERSTOOD
        match request:
            case AppendRequest():
                return await self._append(request)
            case ReadRequest():
                return await self._read(request)
            case _:
                return await self._newest(request)

    async def _serve_copy(self, body: bytes) -> bytes:
        decoded = _COPY_DECODER.decode(body)
        if isinstance(decoded, Failure):
            _LOGGER.warning("relay_malformed", reason=decoded.failure().reason)
            return _NO_SUCH_COPY
        request = decoded.unwrap()
        log_copy = self._copies.get(request.log)
        if log_copy is None:
            _LOGGER.warning("relay_malformed", reason=f"no copy of: {request.log}")
            return _NO_SUCH_COPY
        return await log_copy.serve(request.at_least, request.confirmed)

    async def _store(self, record: KeyedRecord) -> RelayReply:
        if self._writer is None:
            return RelayReply("not_done", reason="this host stores no callers' records")
        stored = await self._writer.store_here(record)
        if stored.ok:
            return RelayReply("stored")
        kind = "unknown" if stored.in_doubt else "not_done"
        return RelayReply(kind, reason=stored.reason)

    async def _append(self, request: AppendRequest) -> RelayReply:
        mark = None if request.mark is None else ProducerMark(*request.mark)
        result = await self._logs[request.log].append(
            request.records, request.timeout_ms, mark=mark
        )
        if isinstance(result, Success):
            appended = result.unwrap()
            return RelayReply("appended", appended.offset, appended.end)
        error = result.failure()
        if isinstance(error, AppendFenced):
            return RelayReply("fenced")
        if isinstance(error, NotAppended):
            return RelayReply("not_done", reason=error.reason)
        return RelayReply("unknown", reason=str(error))

    async def _read(self, request: ReadRequest) -> RelayReply:
        result = await self._logs[request.log].read(request.start, request.wait_ms)
        if isinstance(result, Success):
            batch = result.unwrap()
            return RelayReply(
                "batch", request.start, batch.end, "", list(batch.records)
            )
        if isinstance(result.failure(), HistoryGone):
            return RelayReply("history_gone")
        return RelayReply("not_done", reason="the read failed")

    async def _newest(self, request: NewestRequest) -> RelayReply:
        result = await self._logs[request.log].newest()
        if isinstance(result, Failure):
            return RelayReply("not_done", reason="the read failed")
        return newest_reply(result.unwrap())
