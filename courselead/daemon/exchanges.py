"""Performs `Send` and `Abort`: one exchange with a minion each.

Idle connections are kept per address and reused only when clean. Whatever
ends an exchange early closes its connection, so nothing late is ever heard.
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
from courselead.daemon.handles import Handle, answer
from courselead.integrations.minions import (
    Answer,
    Broken,
    MinionConnection,
    MinionRequest,
    NotRun,
)

MAX_IDLE_PER_ADDRESS = 8
MAX_KEPT_BODY_BYTES = 2_048
BODY_BUFFER_CHUNKS = 4
ATTR_CONTENT_TYPE = b"content-type"


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Which attempt of which request."""

    request_id: str
    number: int


class Exchanges:
    """All exchanges with minions that are under way on this host."""

    def __init__(self, tasks: TaskGroup, dispatch: Callable[[Event], None]) -> None:
        """Keep the task group that the exchanges run in.

        Args:
            tasks: Of the daemon.
            dispatch: Where outcomes go as events.
        """
        self._tasks = tasks
        self._dispatch = dispatch
        self._scopes: dict[_Attempt, anyio.CancelScope] = {}
        self._idle: dict[str, list[MinionConnection]] = {}

    def send(self, effect: Send, handle: Handle) -> None:
        """Start an exchange."""
        attempt = _Attempt(effect.request_id, effect.attempt)
        scope = anyio.CancelScope()
        self._scopes[attempt] = scope
        self._tasks.start_soon(self._run, attempt, scope, effect, handle)

    def abort(self, effect: Abort) -> None:
        """Close an exchange; harmless if it has ended."""
        attempt = _Attempt(effect.request_id, effect.attempt)
        scope = self._scopes.get(attempt)
        if scope is not None:
            scope.cancel()

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that serves no more."""
        for conn in self._idle.pop(address, ()):
            conn.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.forget(address)

    async def _run(
        self, attempt: _Attempt, scope: anyio.CancelScope, effect: Send, handle: Handle
    ) -> None:
        """Run one exchange to its end or its abort."""
        conn = self._take(effect)
        try:
            with scope:
                event = await self._exchange(conn, effect, handle)
                self._dispatch(event)
        finally:
            self._scopes.pop(attempt, None)
            self._keep(conn)

    async def _exchange(
        self, conn: MinionConnection, effect: Send, handle: Handle
    ) -> Event:
        """Send, pass the answer on, and return how it ended."""
        outcome = await conn.send(_request(effect, handle), effect.timeout_ms)
        if isinstance(outcome, NotRun):
            reason = _not_run_reason(outcome)
            return SendNotRun(now_ms(), effect.request_id, effect.attempt, reason)
        if not isinstance(outcome, Answer):
            detail = outcome.reason
            return SendUnknown(now_ms(), effect.request_id, effect.attempt, detail)
        started = AnswerStarted(
            now_ms(), effect.request_id, effect.attempt, outcome.status
        )
        self._dispatch(started)
        return await self._pass_on(outcome, effect, handle)

    async def _pass_on(self, outcome: Answer, effect: Send, handle: Handle) -> Event:
        """Hand the answer to the caller chunk by chunk."""
        send, receive = anyio.create_memory_object_stream[bytes | None](
            BODY_BUFFER_CHUNKS
        )
        async with send:
            head = answer(outcome.status, outcome.headers, receive)
            if not handle.resolve(head):
                outcome.close()
                receive.close()
                return _broken(effect, "the caller had its final answer already")
            try:
                kept = await _copy(outcome, send)
            except Broken as exc:
                return _broken(effect, exc.reason)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                outcome.close()
                return _broken(effect, "the caller went away")
            if not outcome.framed:
                return _broken(effect, "the end of the body cannot be told")
            await _finish(send)
        return _ended(outcome, effect, kept)

    def _take(self, effect: Send) -> MinionConnection:
        """Return a connection: a clean idle one, or a new one."""
        idle = self._idle.get(effect.address, [])
        while idle and not effect.fresh:
            conn = idle.pop()
            if conn.is_clean():
                return conn
            conn.close()
        return MinionConnection(effect.address)

    def _keep(self, conn: MinionConnection) -> None:
        """Keep a connection for reuse if it is clean, else close it."""
        idle = self._idle.setdefault(conn.address, [])
        if conn.is_clean() and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(conn)
            return
        conn.close()


def _request(effect: Send, handle: Handle) -> MinionRequest:
    """Return what goes to the minion."""
    req = handle.req
    return MinionRequest(
        request_id=req.request_id,
        method=req.method.encode("ascii"),
        target=req.target,
        headers=req.headers,
        body=req.body,
        fresh=effect.fresh,
    )


def _not_run_reason(outcome: NotRun) -> NotRunReason:
    """Return the reason in the core's terms."""
    if not outcome.refusal:
        return NotRunReason.REFUSED
    return NotRunReason(outcome.refusal)


async def _copy(outcome: Answer, send: MemoryObjectSendStream[bytes | None]) -> bytes:
    """Pass the body on; return it whole if it is small, else its beginning.

    One byte over the bound is kept too, so that the caller can tell.
    """
    kept = b""
    async for chunk in outcome.body:
        if len(kept) <= MAX_KEPT_BODY_BYTES:
            kept += chunk[: MAX_KEPT_BODY_BYTES + 1 - len(kept)]
        await send.send(chunk)
    return kept


async def _finish(send: MemoryObjectSendStream[bytes | None]) -> None:
    """Mark the body as whole; a caller that left in the meantime is no matter."""
    try:
        await send.send(None)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


def _broken(effect: Send, detail: str) -> AnswerBroken:
    """Return the event of an answer that stopped early."""
    return AnswerBroken(now_ms(), effect.request_id, effect.attempt, detail)


def _ended(outcome: Answer, effect: Send, kept: bytes) -> AnswerEnded:
    """Return the event of a whole answer."""
    whole = len(kept) <= MAX_KEPT_BODY_BYTES
    return AnswerEnded(
        now_ms(),
        effect.request_id,
        effect.attempt,
        outcome.status,
        content_type=_content_type(outcome),
        body=kept if whole else b"",
        body_kept=whole,
    )


def _content_type(outcome: Answer) -> str:
    """Return the answer's media type, "" if it names none."""
    for name, value in outcome.headers:
        if name.lower() == ATTR_CONTENT_TYPE:
            return value.decode("latin-1")
    return ""
