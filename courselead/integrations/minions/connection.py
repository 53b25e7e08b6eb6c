"""Connection to one slot of a minion."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
from returns.result import Failure

from courselead.integrations.http import (
    HttpLimits,
    HttpRequest,
    IncompleteBody,
    NotSent,
    SingleConnection,
    StreamedResponse,
)
from courselead.integrations.http.headers import Headers, first_header_value

from .const import (
    ATTR_REFUSED,
    ATTR_REQUEST_ID,
    REFUSAL_BODY_WAIT_MS,
    REFUSALS,
    STATUS_UNAVAILABLE,
)
from .errors import NotRun, OutcomeUnknown
from .models import MinionRequest


class MinionResponse:
    """A minion's response; its body has not been read yet.

    Read `body` to its end or call `close`; the connection is busy until then.
    """

    def __init__(self, streamed: StreamedResponse) -> None:
        """Wrap the streamed response of a connection."""
        self.status: int = streamed.status
        self.headers: Headers = streamed.headers
        # False if the body ends when the connection does; a truncated body cannot be
        # detected then.
        self.has_known_length: bool = streamed.framed
        self._streamed = streamed

    @property
    def body(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks of the body; `IncompleteBody` if it ends early."""
        return self._streamed

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            IncompleteBody: The body ended early, was too long or took too long.
        """
        return await self._streamed.read_all()

    def close(self) -> None:
        """Discard the rest of the body; closes the connection if there is any."""
        self._streamed.close()


MinionOutcome = MinionResponse | NotRun | OutcomeUnknown


class MinionConnection:
    """A connection to a minion that carries one exchange at a time.

    It is opened on demand, and reused only if no data of an earlier exchange is left.
    """

    def __init__(self, address: str, limits: HttpLimits | None = None) -> None:
        """Store the minion's `ip:port` address; no connection is opened yet."""
        self.address = address
        self._conn = SingleConnection(address, limits)

    def is_reusable(self) -> bool:
        """Return whether the open connection can be used for the next request."""
        return self._conn.is_clean()

    async def send(self, req: MinionRequest, timeout_ms: int) -> MinionOutcome:
        """Send a request and return its outcome; the response's body is not read yet.

        The timeout includes the body. A request that is not idempotent must set `fresh`
        to use a new connection: if it is written to a persistent connection that the
        minion has just closed, it is unknown whether it was run.
        """
        result = await self._conn.exchange(_to_http_request(req), timeout_ms)
        if isinstance(result, Failure):
            error = result.failure()
            if isinstance(error, NotSent):
                return NotRun(error.reason)
            return OutcomeUnknown(error.reason)
        streamed = result.unwrap()
        # The request id is checked first: a refusal of another request does not apply
        # to this one.
        if first_header_value(streamed.headers, ATTR_REQUEST_ID) != _encode_request_id(
            req
        ):
            streamed.close()
            return OutcomeUnknown("the answer repeats another request id")
        refusal = _refusal_reason(streamed)
        if refusal:
            await self._drain_refusal(streamed)
            return NotRun("the minion refused the request", refusal)
        return MinionResponse(streamed)

    def close(self) -> None:
        """Close the connection, also during an exchange."""
        self._conn.close()

    async def _drain_refusal(self, streamed: StreamedResponse) -> None:
        """Read the body of a refusal, with a timeout, so the connection can be reused.

        The outcome is already known; a slow body only prevents the reuse.
        """
        with anyio.move_on_after(REFUSAL_BODY_WAIT_MS / 1000):
            try:
                await streamed.read_all()
            except IncompleteBody:
                self._conn.close()


def _encode_request_id(req: MinionRequest) -> bytes:
    return req.request_id.encode("ascii")


def _to_http_request(req: MinionRequest) -> HttpRequest:
    headers = []
    for name, value in req.headers:
        if name.lower() != ATTR_REQUEST_ID:
            headers.append((name, value))
    headers.append((ATTR_REQUEST_ID, _encode_request_id(req)))
    return HttpRequest(req.method, req.target, tuple(headers), req.body, req.fresh)


def _refusal_reason(streamed: StreamedResponse) -> str:
    if streamed.status != STATUS_UNAVAILABLE:
        return ""
    value = first_header_value(streamed.headers, ATTR_REFUSED) or b""
    refusal = value.decode("latin-1").strip().lower()
    return refusal if refusal in REFUSALS else ""
