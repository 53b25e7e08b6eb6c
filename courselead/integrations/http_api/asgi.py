"""Types of ASGI applications, and the connection that the server gives to them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

_STATE = "state"
_STATE_CONNECTION = "connection"


class Connection(Protocol):
    """The part of the caller's connection that an application may use."""

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        ...

    def reserve(self, count: int) -> bool:
        """Take bytes of the process's memory for the current request.

        They are given back when the application has ended. Returns whether there were
        as many.
        """
        ...

    def can_ever_reserve(self, count: int) -> bool:
        """Return whether there are as many bytes when no other request holds any."""
        ...


def connection_state(conn: Connection) -> dict[str, Connection]:
    """Return the ASGI state of a connection's requests."""
    return {_STATE_CONNECTION: conn}


def connection_of(scope: Scope) -> Connection | None:
    """Return the connection of a request, None without a server."""
    state = scope.get(_STATE) or {}
    return state.get(_STATE_CONNECTION)
