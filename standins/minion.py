"""Stand-in for a minion: an echo service with limits on requests and connections.

Headers or query fields of a request control the answer:

| header (or query field) | effect |
|---|---|
| `X-Standin-Work-Ms` (`work_ms`) | duration of the execution |
| `X-Standin-Status` (`status`) | status of the answer |
| `X-Standin-Answer-Bytes` (`answer_bytes`) | bytes of padding in the answer |
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
import anyio.abc
import msgspec

from standins.asgi import Call, Reply, error_reply, json_reply
from standins.faults import Endpoint
from standins.runs import Runs
from standins.serving import Listener

DEFAULT_SLOTS = 8
DEFAULT_CONNECTIONS = 64

SERVING = "serving"
STOPPING = "stopping"
STOPPED = "stopped"

HEADER_REQUEST_ID = "courselead-request-id"
HEADER_IDEMPOTENCY_KEY = "idempotency-key"
HEADER_REFUSED = b"courselead-refused"


@dataclass(frozen=True, slots=True)
class MinionSpec:
    """The service and the worker of a minion, and its limits."""

    service: str
    worker: str
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


def _never_failing() -> bool:
    return False


class Minion:
    """One instance of a service, with its own port."""

    def __init__(
        self,
        spec: MinionSpec,
        parent_runs: Runs | None = None,
        is_failing: Callable[[], bool] = _never_failing,
    ) -> None:
        """Bind the port; `is_failing` reports the worker's fault `fail_all`."""
        self.spec = spec
        self.state = SERVING
        self.in_flight = 0
        self.runs = Runs(parent_runs)
        self.endpoint = Endpoint(self.handle)
        self.listener = Listener(self.endpoint)
        self.address = self.listener.address
        self._is_failing = is_failing

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until stopped or killed."""
        try:
            await self.listener.run(task_status=task_status)
        finally:
            self.state = STOPPED

    def stop(self) -> None:
        """Refuse new connections and finish the requests in flight."""
        if self.state == SERVING:
            self.state = STOPPING
            self.listener.shut_down()

    def kill(self) -> None:
        """Abort all connections and count the requests in flight as cut off."""
        self.runs.add_cut_off(self.in_flight)
        self.state = STOPPED
        self.listener.abort()

    def to_dict(self) -> dict[str, Any]:
        """Return the state as the worker agent reports it."""
        return {
            "service": self.spec.service,
            "address": self.address,
            "state": self.state,
            "in_flight": self.in_flight,
        }

    async def handle(self, call: Call) -> Reply | None:
        """Answer one request; the answer carries the request id."""
        if call.path == "/-/state":
            return json_reply(200, self.to_dict())
        if call.path == "/-/runs":
            return json_reply(200, self.runs.summary("brief" in call.query))
        request_id = call.headers.get(HEADER_REQUEST_ID, "")
        request_id_header = (
            HEADER_REQUEST_ID.encode("ascii"),
            request_id.encode("latin-1"),
        )
        reply = await self._admit(call, request_id)
        return replace(reply, headers=(*reply.headers, request_id_header))

    async def _admit(self, call: Call, request_id: str) -> Reply:
        if self.state != SERVING:
            return self._refuse(b"leaving", close=True)
        if call.connections > self.spec.connections:
            return self._refuse(b"full", close=True)
        if self.in_flight >= self.spec.slots:
            return self._refuse(b"full", close=False)
        if self._is_failing() or self.endpoint.faults.fail_all:
            self.runs.add_failed()
            return error_reply(500, "fault")
        self.runs.add_execution(request_id, _read_ticket(call))
        self.in_flight += 1
        try:
            await anyio.sleep(_requested_number(call, "work-ms") / 1000)
        finally:
            self.in_flight -= 1
        return self._echo(call, request_id)

    def _refuse(self, reason: bytes, close: bool) -> Reply:
        self.runs.add_refused()
        reply = error_reply(503, "refused")
        return replace(
            reply, headers=(*reply.headers, (HEADER_REFUSED, reason)), close=close
        )

    def _echo(self, call: Call, request_id: str) -> Reply:
        echo = {
            "service": self.spec.service,
            "worker": self.spec.worker,
            "request_id": request_id,
            "method": call.method,
            "path": call.path,
            "query": call.query,
            "sha256": hashlib.sha256(call.body).hexdigest(),
            "body": call.body.decode("utf-8", errors="replace"),
            "padding": "." * _requested_number(call, "answer-bytes"),
        }
        return json_reply(_requested_number(call, "status") or 200, echo)


def _requested_number(call: Call, name: str) -> int:
    """Return a number from the request's headers or query, or 0."""
    query_name = name.replace("-", "_")
    text = call.headers.get(f"x-standin-{name}") or call.query.get(query_name, "")
    return int(text) if text.isdecimal() else 0


def _read_ticket(call: Call) -> str:
    """Return the idempotency key of a request, else the ticket in its body, else ""."""
    key = call.headers.get(HEADER_IDEMPOTENCY_KEY)
    if key:
        return key
    try:
        ticket = call.json().get("ticket", "")
    except (msgspec.ValidationError, msgspec.DecodeError):
        return ""
    return ticket if isinstance(ticket, str) else ""
