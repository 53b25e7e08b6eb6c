"""The connection of one slot of a minion."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
from returns.result import Failure

from courselead.integrations.http import (
    Broken,
    HttpLimits,
    HttpRequest,
    NotSent,
    SingleConnection,
    StreamedAnswer,
)
from courselead.integrations.http.headers import Headers, header

from .const import (
    ATTR_REFUSED,
    ATTR_REQUEST_ID,
    REFUSAL_BODY_WAIT_MS,
    REFUSALS,
    STATUS_UNAVAILABLE,
)
from .errors import NotRun, Unknown
from .models import MinionRequest


class Answer:
    """A minion's answer, whose body is still to be read.

    Read `body` to its end or call `close`; the connection is busy until then.
    """

    def __init__(self, streamed: StreamedAnswer) -> None:
        """Wrap the answer of a connection."""
        self.status: int = streamed.status
        self.headers: Headers = streamed.headers
        # False: the body ends with the connection, so a cut cannot be noticed.
        self.framed: bool = streamed.framed
        self._streamed = streamed

    @property
    def body(self) -> AsyncIterator[bytes]:
        """Return the chunks of the body; `Broken` is raised if it stops early."""
        return self._streamed

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            Broken: The body stopped early, was too long or took too long.
        """
        return await self._streamed.read_all()

    def close(self) -> None:
        """Give up what was not read; the connection is closed unless all was."""
        self._streamed.close()


MinionOutcome = Answer | NotRun | Unknown


class MinionConnection:
    """One connection to a minion, for one exchange at a time.

    It is opened on need, and reused only when it is known to hold nothing left over.
    """

    def __init__(self, address: str, limits: HttpLimits | None = None) -> None:
        """Keep the minion's `ip:port` address; nothing is opened yet."""
        self.address = address
        self._conn = SingleConnection(address, limits)

    def is_clean(self) -> bool:
        """Return whether the next request may go over the open connection."""
        return self._conn.is_clean()

    async def send(self, req: MinionRequest, timeout_ms: int) -> MinionOutcome:
        """Send a request and return its outcome, the answer's body still unread.

        The timeout covers the body as well. A request that is not idempotent must ask
        for a `fresh` connection: once written to a kept one that the minion had just
        closed, it could not be told whether it was run.
        """
        exchanged = await self._conn.exchange(_http_request(req), timeout_ms)
        if isinstance(exchanged, Failure):
            error = exchanged.failure()
            if isinstance(error, NotSent):
                return NotRun(error.reason)
            return Unknown(error.reason)
        streamed = exchanged.unwrap()
        # The id is checked before anything else of the answer is believed: a refusal
        # that belongs to another request says nothing about this one.
        if header(streamed.headers, ATTR_REQUEST_ID) != _wire_id(req):
            streamed.close()
            return Unknown("the answer repeats another request id")
        refusal = _refusal(streamed)
        if refusal:
            await self._drop(streamed)
            return NotRun("the minion refused the request", refusal)
        return Answer(streamed)

    def close(self) -> None:
        """Close the connection, whatever it is doing."""
        self._conn.close()

    async def _drop(self, streamed: StreamedAnswer) -> None:
        """Read a refusal's body, so that the connection can be kept, but not for long.

        The refusal is known already; a body that is slow only costs the connection.
        """
        with anyio.move_on_after(REFUSAL_BODY_WAIT_MS / 1000):
            try:
                await streamed.read_all()
            except Broken:
                self._conn.close()


def _wire_id(req: MinionRequest) -> bytes:
    return req.request_id.encode("ascii")


def _http_request(req: MinionRequest) -> HttpRequest:
    headers = []
    for name, value in req.headers:
        if name.lower() != ATTR_REQUEST_ID:
            headers.append((name, value))
    headers.append((ATTR_REQUEST_ID, _wire_id(req)))
    return HttpRequest(req.method, req.target, tuple(headers), req.body, req.fresh)


def _refusal(streamed: StreamedAnswer) -> str:
    if streamed.status != STATUS_UNAVAILABLE:
        return ""
    value = header(streamed.headers, ATTR_REFUSED) or b""
    refusal = value.decode("latin-1").strip().lower()
    return refusal if refusal in REFUSALS else ""
