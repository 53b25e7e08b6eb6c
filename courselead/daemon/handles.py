"""Callers' requests that the daemon has taken in, and what waits for them."""

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
class Handle:
    """One request to a minion: resolved once, by a final answer or a head."""

    req: IncomingRequest
    on_gone: Callable[[str], None]
    _ready: anyio.Event = field(default_factory=anyio.Event)
    _reply: Reply | None = None

    async def reply(self) -> Reply:
        """Wait for the final answer or for the head of the target's answer."""
        await self._ready.wait()
        return self._reply

    def resolve(self, reply: Reply) -> bool:
        """Give the answer; return False if there was one already."""
        if self._reply is not None:
            return False
        self._reply = reply
        self._ready.set()
        return True

    @property
    def resolved(self) -> bool:
        """Whether an answer was given."""
        return self._reply is not None

    def caller_gone(self) -> None:
        """Say that nobody waits any more."""
        self.on_gone(self.req.request_id)


@dataclass(slots=True)
class Waiter:
    """A call of the management interface that waits for its verdict."""

    _ready: anyio.Event = field(default_factory=anyio.Event)
    _reply: ReplyAccepted | Problem | None = None

    async def reply(self) -> ReplyAccepted | Problem:
        """Wait for the verdict."""
        await self._ready.wait()
        return self._reply

    def resolve(self, reply: ReplyAccepted | Problem) -> None:
        """Give the verdict."""
        if self._reply is None:
            self._reply = reply
            self._ready.set()


def replay(status: int, content_type: str, body: bytes) -> Replay:
    """Return the kept answer of an earlier run."""
    return Replay(status=status, content_type=content_type, body=body)


def answer(
    status: int,
    headers: tuple[Header, ...],
    chunks: MemoryObjectReceiveStream[bytes | None],
) -> Answer:
    """Return a target's answer whose body comes through `chunks`.

    The body is whole only once None has come; a stream that ends without it
    is a broken answer.
    """
    return Answer(status=status, headers=headers, body=_body(chunks))


async def _body(chunks: MemoryObjectReceiveStream[bytes | None]):
    """Yield the body, and raise unless its end was seen."""
    async with chunks:
        async for chunk in chunks:
            if chunk is None:
                return
            yield chunk
    raise AnswerBroken("the target or the deadline ended it early")
