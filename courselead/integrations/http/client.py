"""An HTTP client for one address with a pool of idle connections."""

from __future__ import annotations

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from .connection import HttpRequest, SingleConnection
from .const import DEFAULT_MAX_IDLE, HttpLimits
from .errors import ExchangeError, IncompleteBody, MaybeSent
from .headers import Headers


@dataclass(frozen=True, slots=True)
class FullResponse:
    """A response with its complete body."""

    status: int
    headers: Headers
    body: bytes


class HttpClient:
    """Uses one connection per concurrent exchange and keeps a few idle ones open."""

    def __init__(
        self,
        address: str,
        limits: HttpLimits | None = None,
        max_idle: int = DEFAULT_MAX_IDLE,
    ) -> None:
        """Store the `ip:port` address; no connection is opened yet."""
        self.address = address
        self._limits = limits or HttpLimits()
        self._max_idle = max_idle
        self._idle: list[SingleConnection] = []

    async def fetch(
        self, req: HttpRequest, timeout_ms: int
    ) -> Result[FullResponse, ExchangeError]:
        """Send a request and read the complete response within the timeout."""
        conn = self._acquire()
        try:
            exchanged = await conn.exchange(req, timeout_ms)
            if isinstance(exchanged, Failure):
                return Failure(exchanged.failure())
            answer = exchanged.unwrap()
            body = await answer.read_all()
        except IncompleteBody as exc:
            return Failure(MaybeSent(exc.reason))
        except BaseException:
            conn.close()
            raise
        self._release(conn)
        return Success(FullResponse(answer.status, answer.headers, body))

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _acquire(self) -> SingleConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_clean():
                return conn
            conn.close()
        return SingleConnection(self.address, self._limits)

    def _release(self, conn: SingleConnection) -> None:
        if len(self._idle) < self._max_idle and conn.is_clean():
            self._idle.append(conn)
            return
        conn.close()
