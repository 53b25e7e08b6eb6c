"""Model of a request to a minion."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.integrations.http.headers import Header


@dataclass(frozen=True, slots=True)
class MinionRequest:
    """A request for a minion.

    Args:
        request_id: Unique ASCII string; the response must contain the same id.
        method: Any method but CONNECT.
        target: Path and query.
        headers: Headers of the caller; hop-by-hop headers are not forwarded.
        body: The complete body.
        fresh: Use a new connection; required for requests that are not idempotent.
    """

    request_id: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...] = ()
    body: bytes = b""
    fresh: bool = False
