"""Requests and management calls that the daemon has accepted and not yet answered."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from courselead.core.effects import Problem, ReplyAccepted
from courselead.integrations.http_api.errors import AnswerBroken
from courselead.integrations.http_api.host import (
    Answer,
    Header,
    IncomingRequest,
    Replay,
    Reply,
)


@dataclass(slots=True)
class RequestHandle:
    """A caller's request to a minion, resolved once.

    It is resolved by a final answer of courselead, or by the head of the target's
    answer.
    """

    req: IncomingRequest
    on_disconnect: Callable[[str], None]
    _ready: anyio.Event = field(default_factory=anyio.Event)
    _reply: Reply | None = None

    async def reply(self) -> Reply:
        """Wait for the final answer or for the head of the target's answer."""
        await self._ready.wait()
        return self._reply

    def resolve(self, reply: Reply) -> bool:
        """Set the answer; return False if there already is one."""
        if self._reply is not None:
            return False
        self._reply = reply
        self._ready.set()
        return True

    @property
    def resolved(self) -> bool:
        """Whether an answer has been set."""
        return self._reply is not None

    def caller_gone(self) -> None:
        """Report that the caller has disconnected."""
        self.on_disconnect(self.req.request_id)


@dataclass(slots=True)
class PendingCall:
    """A call to the management interface that waits for its verdict."""

    _ready: anyio.Event = field(default_factory=anyio.Event)
    _reply: ReplyAccepted | Problem | None = None

    async def reply(self) -> ReplyAccepted | Problem:
        """Wait for the verdict."""
        await self._ready.wait()
        return self._reply

    def resolve(self, reply: ReplyAccepted | Problem) -> None:
        """Set the verdict; only the first one counts."""
        if self._reply is None:
            self._reply = reply
            self._ready.set()


def make_replay(status: int, content_type: str, body: bytes) -> Replay:
    """Return the stored answer of an earlier run."""
    return Replay(status=status, content_type=content_type, body=body)


def make_answer(
    status: int,
    headers: tuple[Header, ...],
    chunks: MemoryObjectReceiveStream[bytes | None],
) -> Answer:
    """Return a target's answer whose body is received from `chunks`.

    None marks the end of the body; a stream that ends without it is a broken
    answer.
    """
    return Answer(status=status, headers=headers, body=_body(chunks))


async def _body(chunks: MemoryObjectReceiveStream[bytes | None]):
    """Yield the body; raise `AnswerBroken` if its end is missing."""
    async with chunks:
        async for chunk in chunks:
            if chunk is None:
                return
            yield chunk
    raise AnswerBroken("the answer was ended early by the target or the deadline")
