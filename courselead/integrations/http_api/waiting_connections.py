"""The connections of a server that wait for their callers."""

from __future__ import annotations

from typing import Protocol

from courselead.integrations.http_api.body_budget import SLOW_REQUEST_S


class WaitingConnection(Protocol):
    """A connection whose caller has not sent a whole request."""

    def give_way(self) -> None:
        """Close the connection for another caller."""
        ...


class WaitingConnections:
    """Connections that wait for a request or the rest of one, longest first."""

    def __init__(self) -> None:
        """Initialize without connections."""
        self._waiting_since: dict[WaitingConnection, float] = {}

    def add(self, conn: WaitingConnection, now: float) -> None:
        """Note that a connection waits from now on, in seconds."""
        self._waiting_since.pop(conn, None)
        self._waiting_since[conn] = now

    def discard(self, conn: WaitingConnection) -> None:
        """Note that a connection does not wait."""
        self._waiting_since.pop(conn, None)

    def close_longest_waiting(self, now: float) -> bool:
        """Close the connection that waits longest; return whether one waits long."""
        for conn, since in self._waiting_since.items():
            if now - since < SLOW_REQUEST_S:
                return False
            del self._waiting_since[conn]
            conn.give_way()
            return True
        return False
