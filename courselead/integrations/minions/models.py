"""What is sent to a minion and what can come of it."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.integrations.http.headers import Header


@dataclass(frozen=True, slots=True)
class MinionRequest:
    """A request for a minion.

    Args:
        request_id: ASCII, different for every request; the answer must repeat it.
        method: Any method but CONNECT.
        target: The path with its query.
        headers: Those of the caller; hop-by-hop ones are dropped on the way.
        body: The whole body.
        fresh: Use a new connection; always so for a request that is not idempotent.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    fresh: bool = False
