"""JSON bodies, query limits and daemon calls of the management endpoints."""

from __future__ import annotations

from collections.abc import Awaitable

import anyio
import msgspec
from returns.result import Failure

from courselead.core.effects import Problem, ProblemKind, ReplyAccepted, RunState
from courselead.decoding import JsonDocumentDecoder
from courselead.integrations.http_api import const
from courselead.integrations.http_api.errors import Refusal
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import Host
from courselead.integrations.http_api.problems import bad_request

_DOCUMENT_DECODER = JsonDocumentDecoder()


async def respond_json(exchange: Exchange, value: object, status: int = 200) -> None:
    """Respond with a value as JSON; data classes become objects."""
    await exchange.respond(status, msgspec.json.encode(value))


def decode_strict(body: bytes) -> object:
    """Decode a JSON body.

    Raises:
        Refusal: It is not valid JSON, or an object has a duplicate key.
    """
    document = _DOCUMENT_DECODER.decode(body)
    if isinstance(document, Failure):
        raise Refusal(bad_request("the body is not strict JSON; mend it"))
    return document.unwrap()


def read_limit(exchange: Exchange, default: int, maximum: int) -> int:
    """Return the query parameter `limit`, or the default if there is no query.

    Raises:
        Refusal: The query is not a single valid `limit`.
    """
    if not exchange.query:
        return default
    name, _, value = exchange.query.partition(b"=")
    if name != b"limit" or not value.isdigit() or len(value) > len(str(maximum)):
        raise Refusal(bad_request(f"the query may hold limit=1 to limit={maximum}"))
    limit = int(value)
    if not 1 <= limit <= maximum:
        raise Refusal(bad_request(f"give a limit from 1 to {maximum}"))
    return limit


class ManagementCalls:
    """Sets the deadline of calls to the daemon and waits for their replies."""

    def __init__(self, host: Host) -> None:
        """Keep the daemon, whose clock deadlines refer to."""
        self._host = host

    def deadline_ms(self) -> int:
        """Return the deadline of a call that starts now."""
        return self._host.now_ms() + const.MANAGEMENT_DEADLINE_MS

    async def wait(
        self, reply: Awaitable[ReplyAccepted | Problem]
    ) -> ReplyAccepted | Problem:
        """Return the reply, or after a timeout a problem with an unknown outcome."""
        left_ms = const.MANAGEMENT_DEADLINE_MS + const.DEADLINE_GRACE_MS
        with anyio.move_on_after(left_ms / 1000):
            return await reply
        detail = "no verdict came in time; look whether it took effect"
        return Problem(ProblemKind.DEADLINE, RunState.UNKNOWN, detail)
