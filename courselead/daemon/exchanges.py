"""Performs the `Send` and `Abort` effects: exchanges with minions.

Idle connections are kept per address and reused only if they are clean. An
exchange that ends early closes its connection, so that no late data is received.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from courselead.core.effects import Abort, Send
from courselead.core.events import (
    AnswerBroken,
    AnswerEnded,
    AnswerStarted,
    Event,
    NotRunReason,
    SendNotRun,
    SendUnknown,
)
from courselead.daemon.clock import now_ms
from courselead.daemon.handles import RequestHandle, make_answer
from courselead.integrations.minions import (
    IncompleteBody,
    MinionConnection,
    MinionRequest,
    MinionResponse,
    NotRun,
)

MAX_IDLE_PER_ADDRESS = 8
MAX_KEPT_BODY_BYTES = 2_048
BODY_BUFFER_CHUNKS = 4
HEADER_CONTENT_TYPE = b"content-type"


@dataclass(frozen=True, slots=True)
class _AttemptId:
    """Identifies an attempt of a request."""

    request_id: str
    number: int


class Exchanges:
    """Runs this host's exchanges with minions and keeps idle connections."""

    def __init__(self, tasks: TaskGroup, dispatch: Callable[[Event], None]) -> None:
        """Initialize without any exchange.

        Args:
            tasks: Task group that the exchanges run in.
            dispatch: Receives the outcomes as events.
        """
        self._tasks = tasks
        self._dispatch = dispatch
        self._scopes: dict[_AttemptId, anyio.CancelScope] = {}
        self._idle: dict[str, list[MinionConnection]] = {}

    def send(self, effect: Send, handle: RequestHandle) -> None:
        """Start an exchange."""
        attempt = _AttemptId(effect.request_id, effect.attempt)
        scope = anyio.CancelScope()
        self._scopes[attempt] = scope
        self._tasks.start_soon(self._run, attempt, scope, effect, handle)

    def abort(self, effect: Abort) -> None:
        """Cancel an exchange; does nothing if it has ended."""
        attempt = _AttemptId(effect.request_id, effect.attempt)
        scope = self._scopes.get(attempt)
        if scope is not None:
            scope.cancel()

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that no longer serves."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)

    async def _run(
        self,
        attempt: _AttemptId,
        scope: anyio.CancelScope,
        effect: Send,
        handle: RequestHandle,
    ) -> None:
        """Run one exchange until it ends or is aborted."""
        conn = self._acquire(effect)
        try:
            with scope:
                event = await self._exchange(conn, effect, handle)
                self._dispatch(event)
        finally:
            self._scopes.pop(attempt, None)
            self._release(conn)

    async def _exchange(
        self, conn: MinionConnection, effect: Send, handle: RequestHandle
    ) -> Event:
        """Send the request, forward the answer and return the final event."""
        outcome = await conn.send(_request(effect, handle), effect.timeout_ms)
        if isinstance(outcome, NotRun):
            reason = _not_run_reason(outcome)
            return SendNotRun(now_ms(), effect.request_id, effect.attempt, reason)
        if not isinstance(outcome, MinionResponse):
            detail = outcome.reason
            return SendUnknown(now_ms(), effect.request_id, effect.attempt, detail)
        started = AnswerStarted(
            now_ms(), effect.request_id, effect.attempt, outcome.status
        )
        self._dispatch(started)
        return await self._forward_answer(outcome, effect, handle)

    async def _forward_answer(
        self, outcome: MinionResponse, effect: Send, handle: RequestHandle
    ) -> Event:
        """Forward the answer to the caller chunk by chunk."""
        send, receive = anyio.create_memory_object_stream[bytes | None](
            BODY_BUFFER_CHUNKS
        )
        async with send:
            head = make_answer(outcome.status, outcome.headers, receive)
            if not handle.resolve(head):
                outcome.close()
                receive.close()
                return _broken_event(effect, "the caller already has a final answer")
            try:
                kept = await _forward_body(outcome, send)
            except IncompleteBody as exc:
                return _broken_event(effect, exc.reason)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                outcome.close()
                return _broken_event(effect, "the caller disconnected")
            if not outcome.has_known_length:
                return _broken_event(effect, "the end of the body cannot be detected")
            await _send_end(send)
        return _ended_event(outcome, effect, kept)

    def _acquire(self, effect: Send) -> MinionConnection:
        """Return a clean idle connection, or a new one."""
        idle = self._idle.get(effect.address, [])
        while idle and not effect.new_connection:
            conn = idle.pop()
            if conn.is_reusable():
                return conn
            conn.close()
        return MinionConnection(effect.address)

    def _release(self, conn: MinionConnection) -> None:
        """Keep a connection for reuse if it is clean, else close it."""
        idle = self._idle.setdefault(conn.address, [])
        if conn.is_reusable() and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(conn)
            return
        conn.close()


def _request(effect: Send, handle: RequestHandle) -> MinionRequest:
    """Return the request to the minion."""
    req = handle.req
    return MinionRequest(
        request_id=req.request_id,
        method=req.method.encode("ascii"),
        target=req.target,
        headers=req.headers,
        body=req.body,
        fresh=effect.new_connection,
    )


def _not_run_reason(outcome: NotRun) -> NotRunReason:
    """Convert the reason to the core's type."""
    if not outcome.refusal:
        return NotRunReason.REFUSED
    return NotRunReason(outcome.refusal)


async def _forward_body(
    outcome: MinionResponse, send: MemoryObjectSendStream[bytes | None]
) -> bytes:
    """Forward the body; return all of it if it is small, else its beginning.

    Up to one byte more than `MAX_KEPT_BODY_BYTES` is returned, so that the caller
    can tell whether the body is complete.
    """
    kept = b""
    async for chunk in outcome.body:
        if len(kept) <= MAX_KEPT_BODY_BYTES:
            kept += chunk[: MAX_KEPT_BODY_BYTES + 1 - len(kept)]
        await send.send(chunk)
    return kept


async def _send_end(send: MemoryObjectSendStream[bytes | None]) -> None:
    """Mark the body as complete; ignore that the caller may have disconnected."""
    try:
        await send.send(None)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def _broken_event(effect: Send, detail: str) -> AnswerBroken:
    """Return the event of an answer that ended early."""
    return AnswerBroken(now_ms(), effect.request_id, effect.attempt, detail)


def _ended_event(outcome: MinionResponse, effect: Send, kept: bytes) -> AnswerEnded:
    """Return the event of a complete answer."""
    is_complete = len(kept) <= MAX_KEPT_BODY_BYTES
    return AnswerEnded(
        now_ms(),
        effect.request_id,
        effect.attempt,
        outcome.status,
        content_type=_content_type(outcome),
        body=kept if is_complete else b"",
        body_kept=is_complete,
    )


def _content_type(outcome: MinionResponse) -> str:
    """Return the answer's media type, "" if it has none."""
    for name, value in outcome.headers:
        if name.lower() == HEADER_CONTENT_TYPE:
            return value.decode("latin-1")
    return ""
