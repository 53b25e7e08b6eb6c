"""Pools of connections; a call waits only when all connections of a pool are busy."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from returns.result import Failure, Result

from courselead.integrations.http.errors import ExchangeError
from courselead.integrations.lean_http.connection import (
    Answer,
    Call,
    LeanConnection,
    MaySend,
)

VerifyPeer = Callable[[LeanConnection], Awaitable[ExchangeError | None]]
"""Verifies the identity of a connection's peer; returns an error if that fails."""


class LeanPool:
    """Up to `size` connections to one address.

    The most recently used one is reused first, so that few stay open.
    """

    def __init__(self, address: str, size: int) -> None:
        """Store the address; no connection is opened yet."""
        self.address = address
        self._idle: list[LeanConnection] = []
        self._all: list[LeanConnection] = []
        self._size = size
        self._slots = anyio.Semaphore(size)

    async def call(
        self,
        call: Call,
        timeout_ms: int,
        verify_peer: VerifyPeer | None = None,
        may_send: MaySend | None = None,
    ) -> Result[Answer, ExchangeError]:
        """Send a request on a free connection and return the complete response.

        Args:
            call: The request.
            timeout_ms: Timeout of the exchange.
            verify_peer: Verifies the peer of a connection before the first request on
                it. None if the request may go to any peer.
            may_send: Asked at the moment of sending, after the wait for a free
                connection; the request is not sent if it returns False.
        """
        try:
            # acquire() yields to the event loop even if a slot is free, which would
            # cost as much as the rest of this method.
            self._slots.acquire_nowait()
        except anyio.WouldBlock:
            await self._slots.acquire()
        conn = self._acquire()
        try:
            result = await _call_on(conn, call, timeout_ms, verify_peer, may_send)
        finally:
            self._idle.append(conn)
            self._slots.release()
        if isinstance(result, Failure):
            self.close_idle()
        return result

    def close_idle(self) -> None:
        """Close the idle connections; they are reopened on demand.

        If one connection timed out or was reset, others opened at the same time have
        probably failed too, and each would cost another timeout.
        """
        for conn in self._idle:
            conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in self._all:
            conn.close()

    def _acquire(self) -> LeanConnection:
        if self._idle:
            return self._idle.pop()
        conn = LeanConnection(self.address)
        self._all.append(conn)
        return conn


async def _call_on(
    conn: LeanConnection,
    call: Call,
    timeout_ms: int,
    verify_peer: VerifyPeer | None,
    may_send: MaySend | None,
) -> Result[Answer, ExchangeError]:
    if verify_peer is None:
        return await conn.call(call, timeout_ms, may_send=may_send)
    if not conn.is_verified:
        error = await verify_peer(conn)
        if error is not None:
            return Failure(error)
        conn.mark_verified()
    return await conn.call(call, timeout_ms, verified_only=True, may_send=may_send)


class LeanPools:
    """One connection pool per address, created on demand."""

    def __init__(self, size: int) -> None:
        """Set the largest number of connections to one address."""
        self._size = size
        self._pools: dict[str, LeanPool] = {}

    def pool_for(self, address: str) -> LeanPool:
        """Return the pool of an address."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = LeanPool(address, self._size)
        return pool
