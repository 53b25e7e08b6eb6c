"""uvicorn's HTTP/1.1 protocol with limits on what callers may hold and send."""

from __future__ import annotations

import asyncio
import secrets
import select
from typing import Any, ClassVar

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol, RequestResponseCycle

from courselead.integrations.http_api import const
from courselead.integrations.http_api.asgi import connection_state
from courselead.integrations.http_api.body_budget import RequestAccount
from courselead.integrations.http_api.capacity import ServerCapacity
from courselead.integrations.http_api.lingering import LingeringTransport
from courselead.integrations.http_api.parse_turns import TURN_BYTES
from courselead.integrations.http_api.problems import (
    ApiProblem,
    HttpProblemKind,
    bad_request,
    body_timeout,
    body_too_large,
    overloaded_and_closed,
)
from courselead.integrations.http_api.waiting_connections import WaitingConnections
from courselead.settings import LimitSettings
from courselead.settings.const import BYTES_HELD_PER_BODY_BYTE

# How long an idle connection stays open for one more request when the server stops. It
# covers the pause of a caller that repeats requests, and a busy event loop.
_FINAL_REQUEST_WAIT_S = 1.0
# Interval between checks whether the event loop has read a pending request.
_UNREAD_POLL_S = 0.02
# Connections over `max_connections` by up to a quarter of it, but at least 16, get a
# problem response. Beyond that they are dropped without one.
_SURPLUS_DIVISOR = 4
_MIN_SURPLUS = 16
# Most bytes that are read from a connection in an iteration of the event loop.
_READ_BYTES = 16 * 1024
# The data is copied before anything else is read, so all connections share the buffer.
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))
# A head with more lines is parsed in turns, as a chunked body is.
_MAX_HEAD_LINES = 128
_CHUNKED_FRAMING = b"transfer-encoding"

_NO_MEMORY = "the entry host has no memory for the request; try another or wait"
_NO_CONNECTION = "the entry host has too many connections; reuse yours or try another"


def surplus_connections(max_connections: int) -> int:
    """Return how many connections over the limit are accepted to refuse them."""
    return max(max_connections // _SURPLUS_DIVISOR, _MIN_SURPLUS)


class LimitedProtocol(H11Protocol, asyncio.BufferedProtocol):
    """One connection of a caller.

    uvicorn limits the idle time between requests. This class also limits the time to
    receive a request, the time to flush a closing connection, the bytes of a request,
    and, with all other connections of the process, the memory that requests hold and
    the time that is spent on parsing them.
    """

    capacity: ClassVar[ServerCapacity] = ServerCapacity.from_limits(LimitSettings())
    waiting: ClassVar[WaitingConnections] = WaitingConnections()
    stopping: ClassVar[bool] = False

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        """Make this connection available to the application in the ASGI state."""
        super().__init__(*args, **kwargs)
        self.app_state = {**self.app_state, **connection_state(self)}
        self.over_limit = False
        self._account: RequestAccount | None = None
        self._wire_bytes = 0
        self._app_runs = False
        # Received data that waits for its turn to be parsed.
        self._unparsed = bytearray()
        self._head_wait_started_at: float | None = None
        self._head_wait_cycle: RequestResponseCycle | None = None
        self._closing_started_at: float | None = None

    # Connections

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Accept the connection, or drop it if there are far too many."""
        super().connection_made(LingeringTransport(transport))
        now = self.loop.time()
        max_connections = self.capacity.limits.max_connections
        if len(self.connections) > max_connections:
            self.over_limit = not self.waiting.close_longest_waiting(now)
        if len(self.connections) > max_connections + surplus_connections(
            max_connections
        ):
            self.abort()
            return
        self.waiting.add(self, now)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection holds; a running application keeps its part."""
        self.waiting.discard(self)
        self._unparsed.clear()
        if not self._app_runs:
            self._close_account()
        super().connection_lost(exc)

    def shutdown(self) -> None:
        """Close the connection once no exchange is in progress on it."""
        if self.cycle is not None and not self.cycle.response_complete:
            super().shutdown()
            return
        # A request may have arrived unread or be on its way. Closing a socket with
        # unread data resets the connection, so the request would be lost.
        self.loop.call_later(_FINAL_REQUEST_WAIT_S, self._close_if_idle)

    def give_way(self) -> None:
        """Close the connection for another caller, as it waits for its own."""
        if self._account is not None:
            self._refuse(overloaded_and_closed(_NO_CONNECTION))
            return
        # An idle connection, on which a request may have arrived just now.
        self._close_if_idle()

    def abort(self) -> None:
        """Close the connection at once and discard unsent data."""
        self.transport.abort()

    # Received data

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle data that was read into the buffer."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data, or discard it if the connection is closing.

        Data that takes long to parse waits for its turn, and nothing more is read.
        """
        if self.transport.is_closing():
            return
        if not self._unparsed and self._may_parse_now(data):
            self._parse(data)
            return
        waits = bool(self._unparsed)
        self._unparsed += data
        self.transport.hold_reading()
        if not waits:
            self.capacity.shared.turns.add(self)

    def take_turn(self) -> bool:
        """Parse some of the data that waits and return whether more is left."""
        if not self.transport.is_closing():
            data = bytes(self._unparsed[:TURN_BYTES])
            del self._unparsed[:TURN_BYTES]
            self._parse(data)
        if self.transport.is_closing():
            self._unparsed.clear()
        if not self._unparsed:
            self.transport.release_reading()
        return bool(self._unparsed)

    def _may_parse_now(self, data: bytes) -> bool:
        if not self._in_body:
            return data.count(b"\n") <= _MAX_HEAD_LINES
        if not any(name == _CHUNKED_FRAMING for name, _ in self.headers):
            return True
        return self.capacity.shared.turns.admit(data.count(b"\n"))

    @property
    def _in_body(self) -> bool:
        """Return whether the next bytes belong to the body of a request."""
        return self.conn.their_state is h11.SEND_BODY

    def _parse(self, data: bytes) -> None:
        if not self._take(len(data)):
            return
        in_body = self._in_body
        body_bytes = self._buffered_body_bytes
        super().data_received(data)
        if in_body:
            # Framing, and a body that nobody reads any more, are not held.
            held = self._buffered_body_bytes - body_bytes
            unheld = len(data) - max(held, 0)
            self._account_or_new().give_back(unheld * BYTES_HELD_PER_BODY_BYTE)
        self._note_completion()

    def _note_completion(self) -> None:
        """Note if the whole request has arrived, so that it does not give way."""
        cycle = self.cycle
        if self._account is None or cycle is None or cycle.more_body:
            return
        if cycle.response_complete:
            # That was the previous request; the head of the next one is incomplete.
            return
        self._account.mark_complete()
        self.waiting.discard(self)

    @property
    def _buffered_body_bytes(self) -> int:
        """Return how much of a body waits for the application."""
        if self.cycle is None or self.cycle.response_complete:
            return 0
        return len(self.cycle.body)

    # Memory

    def reserve(self, count: int) -> bool:
        """Take bytes of the process's memory for the current request."""
        return self._account_or_new().take(count, self.loop.time())

    def can_ever_reserve(self, count: int) -> bool:
        """Return whether there are as many bytes when no other request holds any."""
        held = self._account_or_new().held_bytes
        return held + count <= self.capacity.shared.budget.largest_request_bytes

    def app_started(self) -> None:
        """Note that the application serves a request, and holds what it has sent."""
        self._app_runs = True
        # A request that was sent before the previous one had ended has none yet.
        self._account_or_new()
        self._note_completion()

    def app_ended(self) -> None:
        """Give back what the request held, as the application has ended."""
        self._app_runs = False
        self._close_account()
        self.waiting.discard(self)
        if not self.transport.is_closing():
            self.waiting.add(self, self.loop.time())

    def _take(self, count: int) -> bool:
        """Take memory for received data, or refuse the request."""
        account = self._account_or_new()
        self._wire_bytes += count
        if self._wire_bytes > self.capacity.max_wire_bytes:
            self._refuse(body_too_large(self.capacity.max_body_bytes))
            return False
        if not account.take(count * BYTES_HELD_PER_BODY_BYTE, self.loop.time()):
            self._refuse(overloaded_and_closed(_NO_MEMORY))
            return False
        return True

    def _account_or_new(self) -> RequestAccount:
        """Return the account of the current request, which may begin now."""
        if self._account is None:
            now = self.loop.time()
            self._account = self.capacity.shared.budget.open(
                now, self._evict, self.capacity.may_use_reserve
            )
            self._wire_bytes = 0
            self.waiting.add(self, now)
        return self._account

    def _close_account(self) -> None:
        account, self._account = self._account, None
        if account is not None:
            account.close()

    def _evict(self) -> None:
        """End an incomplete request, whose memory another one needs."""
        self._refuse(overloaded_and_closed(_NO_MEMORY))

    # Timeouts

    def timeout_keep_alive_handler(self) -> None:
        """Close the connection if it has been idle for too long.

        A request that a busy event loop has not read yet counts as in time.
        """
        if not self._has_unread():
            super().timeout_keep_alive_handler()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it has been slow for too long.

        Args:
            now: Seconds on the event loop's clock.
        """
        if self.transport.is_closing():
            self._check_closing(now)
            return
        self._check_body(now)
        if not self._is_waiting_for_head():
            self._head_wait_started_at = None
            return
        if (
            self._head_wait_started_at is None
            or self._head_wait_cycle is not self.cycle
        ):
            self._head_wait_started_at = now
            self._head_wait_cycle = self.cycle
            return
        timeout_s = self.capacity.limits.head_timeout_ms / 1000
        if now - self._head_wait_started_at >= timeout_s:
            self._refuse_late_head()

    def _check_body(self, now: float) -> None:
        """Refuse a request whose body the application waits for or ignores."""
        if self._account is None or self.cycle is None or not self.cycle.more_body:
            return
        timeout_ms = self.capacity.limits.body_timeout_ms
        if now - self._account.started_at >= timeout_ms / 1000:
            self._refuse(body_timeout(timeout_ms))

    def _close_if_idle(self) -> None:
        """Close the connection, after serving a request that has already arrived."""
        if self.transport.is_closing():
            return
        if self._has_unread():
            self.loop.call_later(_UNREAD_POLL_S, self._close_if_idle)
            return
        super().shutdown()

    def _has_unread(self) -> bool:
        """Return whether the kernel holds unread data or an end of stream."""
        if self._unparsed:
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return bool(poll.poll(0))

    def _check_closing(self, now: float) -> None:
        if self._closing_started_at is None:
            self._closing_started_at = now
            return
        if now - self._closing_started_at >= self.capacity.limits.idle_ms / 1000:
            self.abort()

    def _is_waiting_for_head(self) -> bool:
        if self.timeout_keep_alive_task is not None:
            return False
        return self.cycle is None or self.cycle.response_complete

    # Refusals

    def refuse_over_limit(self) -> None:
        """Refuse the current request, as there are too many connections."""
        self._refuse(overloaded_and_closed(_NO_CONNECTION))

    def send_400_response(self, msg: str) -> None:
        """Respond with a problem to data that is not a valid HTTP request."""
        self._send_problem(bad_request("the request is not valid HTTP/1.1; mend it"))

    def _refuse_late_head(self) -> None:
        timeout_ms = self.capacity.limits.head_timeout_ms
        detail = f"the head did not arrive within {timeout_ms} ms; send it faster"
        self._send_problem(ApiProblem(HttpProblemKind.HEAD_TIMEOUT, detail))

    def _refuse(self, problem: ApiProblem) -> None:
        """End the current request with a problem, whether the application runs or not.

        The application reads that its caller has disconnected.
        """
        if self.transport.is_closing():
            return
        self._send_problem(problem)
        self.waiting.discard(self)
        if not self._app_runs:
            self._close_account()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.message_event.set()

    def _send_problem(self, problem: ApiProblem) -> None:
        # h11 can start a response only in these states; IDLE is an unused connection.
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.close()
            return
        request_id = secrets.token_hex(16)
        body = problem.body(request_id)
        headers = [
            (const.ATTR_REQUEST_ID, request_id.encode("ascii")),
            (const.ATTR_CONTENT_TYPE, const.TYPE_PROBLEM),
            (const.ATTR_CONTENT_LENGTH, str(len(body)).encode("ascii")),
            (const.ATTR_CONNECTION, b"close"),
        ]
        if problem.retry_after_ms:
            headers.append(problem.retry_after())
        response = h11.Response(status_code=problem.status, headers=headers)
        for event in (response, h11.Data(data=body), h11.EndOfMessage()):
            self.transport.write(self.conn.send(event) or b"")
        self.transport.close()
