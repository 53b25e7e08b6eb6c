"""Clients of the cloud API and of the advice service."""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import urlencode

import msgspec
from returns.result import Failure, Result, Success

from courselead.core.scheduler.events import Outcome
from courselead.core.scheduler.models import Worker, WorkerPhase
from courselead.daemon.scheduling.ports import OrderResult, Tickets
from courselead.decoding import JsonDecoder
from courselead.integrations.lean_http import Call, LeanPool
from courselead.platform import const, ranges
from courselead.platform.decode import WireCapacity
from courselead.platform.order_results import result_if_overloaded, result_of_error

_PHASES = {
    "up": WorkerPhase.UP,
    "moving": WorkerPhase.MOVING,
    "upkeep": WorkerPhase.MAINTENANCE,
    "down": WorkerPhase.DOWN,
}
_CLOUD_CONNECTIONS = 4
_ADVICE_CONNECTIONS = 2


class _WireMachine(msgspec.Struct):
    machine: str
    pool: str = ""
    state: str = ""
    zone: str = ""
    labels: list[str] = []
    capacity: WireCapacity = msgspec.field(default_factory=WireCapacity)
    # Id of the minion incarnation that runs on the machine, not of the machine.
    id: str | None = None


class _WireMachines(msgspec.Struct, rename="camel"):
    machines: list[_WireMachine] = []
    next_token: str | ranges.PageToken | None = None


class _WireRefusal(msgspec.Struct):
    reason: str = ""


class _WireAdviceResponse(msgspec.Struct, rename="camel"):
    # Pairs of minion id and ticket.
    good: list[tuple[str, str]] = []
    valid_ms: ranges.DurationMs | None = None


_ADVICE_DECODER = JsonDecoder(_WireAdviceResponse)
_PAGE_DECODER = JsonDecoder(_WireMachines)
_REFUSAL_DECODER = JsonDecoder(_WireRefusal)


class HttpCloud:
    """Client of the cloud API that sends its orders as one lease holder."""

    def __init__(self, address: str, holder: str) -> None:
        """Store the address and the lease holder; no connection is opened yet."""
        self._pool = LeanPool(address, _CLOUD_CONNECTIONS)
        self._holder = holder

    async def list_workers(self) -> Result[tuple[Worker, ...], str]:
        """Return all workers; reads every page of the list."""
        workers: list[Worker] = []
        token: str | int | None = None
        read_tokens: set[str | int] = set()
        while True:
            target = const.PATH_MACHINES
            if token is not None:
                query = urlencode({"pageToken": token})
                target = f"{target}?{query}"
            call = Call("GET", target, max_pause_ms=const.READ_IDLE_TIMEOUT_MS)
            result = await self._pool.call(call, const.CLOUD_TIMEOUT_MS)
            if isinstance(result, Failure):
                return Failure(result.failure().reason)
            answer = result.unwrap()
            if answer.status != 200:
                return Failure(f"status {answer.status}")
            decoded = _PAGE_DECODER.decode(answer.body)
            if isinstance(decoded, Failure):
                return Failure(f"malformed page: {decoded.failure()}")
            page = decoded.unwrap()
            workers.extend(_to_worker(item) for item in page.machines)
            if not page.next_token:
                return Success(tuple(workers))
            token = page.next_token
            if token in read_tokens:
                return Failure("the list repeats a page")
            read_tokens.add(token)

    async def move(self, worker_id: str, pool: str, fence: int) -> OrderResult:
        """Move a worker to another pool."""
        return await self._send_order(
            const.PATH_MOVE, {"machine": worker_id, "pool": pool}, fence
        )

    async def maintain(self, worker_id: str, wave: int, fence: int) -> OrderResult:
        """Start the maintenance of a worker, which takes it out of service."""
        return await self._send_order(
            const.PATH_UPKEEP, {"machine": worker_id, "wave": wave}, fence
        )

    async def _send_order(self, path: str, body: object, fence: int) -> OrderResult:
        headers = (
            ("Content-Type", "application/json"),
            (const.HEADER_HOLDER, self._holder),
            (const.HEADER_FENCE, str(fence)),
        )
        call = Call("POST", path, msgspec.json.encode(body), headers)
        result = await self._pool.call(call, const.CLOUD_TIMEOUT_MS)
        if isinstance(result, Failure):
            return result_of_error(result.failure())
        answer = result.unwrap()
        if answer.status == 200:
            return OrderResult(Outcome.OK)
        overload_result = result_if_overloaded(answer)
        if overload_result is not None:
            return overload_result
        if answer.status == 400:
            return OrderResult(Outcome.REFUSED, 0, "unknown worker or pool")
        if answer.status == 409:
            return _decode_refusal(answer.body)
        return OrderResult(Outcome.UNKNOWN, 0, f"status {answer.status}")


class HttpAdvice:
    """Client of the advice service, which accepts one call at a time per host."""

    def __init__(self, address: str) -> None:
        """Store the address; no connection is opened yet."""
        self._pool = LeanPool(address, _ADVICE_CONNECTIONS) if address else None

    async def request_tickets(
        self, step: str, minion_ids: Sequence[str], timeout_ms: int
    ) -> Result[Tickets, str]:
        """Return tickets of the minions that may run a step, or why it failed."""
        if self._pool is None:
            return Failure("no advice service is configured")
        body = msgspec.json.encode({"step": step, "workers": list(minion_ids)})
        headers = (("Content-Type", "application/json"),)
        call = Call("POST", const.PATH_ADVISE, body, headers)
        result = await self._pool.call(call, timeout_ms)
        if isinstance(result, Failure):
            return Failure(result.failure().reason)
        answer = result.unwrap()
        if answer.status != 200:
            return Failure(f"status {answer.status}")
        decoded = _ADVICE_DECODER.decode(answer.body)
        if isinstance(decoded, Failure):
            return Failure(f"malformed response: {decoded.failure()}")
        response = decoded.unwrap()
        return Success(Tickets(dict(response.good), response.valid_ms))


def _decode_refusal(body: bytes) -> OrderResult:
    decoded = _REFUSAL_DECODER.decode(body or b"{}")
    if isinstance(decoded, Failure):
        return OrderResult(
            Outcome.UNKNOWN, 0, f"malformed response: {decoded.failure()}"
        )
    reason = decoded.unwrap().reason
    if reason == "fence":
        return OrderResult(Outcome.FENCED, 0, reason)
    if reason == "wave":
        return OrderResult(Outcome.REFUSED, 0, reason)
    return OrderResult(Outcome.NO_CAPACITY, 0, reason)


def _to_worker(wire: _WireMachine) -> Worker:
    return Worker(
        wire.machine,
        wire.pool,
        _PHASES.get(wire.state, WorkerPhase.UNKNOWN),
        wire.zone,
        wire.capacity.resources(),
        tuple(wire.labels),
        wire.id or "",
    )
