"""Client of the agent of one worker."""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from courselead.decoding import JsonDecoder
from courselead.integrations.http import (
    ExchangeError,
    FullResponse,
    HttpClient,
    HttpLimits,
    HttpRequest,
    NotSent,
)

from .const import (
    DEFAULT_TIMEOUT_MS,
    ERROR_NOT_FOUND,
    MAX_ANSWER_BYTES,
    REBOOT_TARGET,
    START_TARGET,
    STATE_TARGET,
    STATUS_ACCEPTED,
    STATUS_NOT_FOUND,
    STATUS_OK,
    STATUS_UNAVAILABLE,
    STOP_TARGET,
    TASKS_TARGET,
)
from .errors import AgentError, AgentRefused, AgentUnknown, AgentUnreachable
from .models import (
    Accepted,
    AgentState,
    MinionOrder,
    MinionStarted,
    Refusal,
    TaskOrder,
    TaskState,
)

_T = TypeVar("_T")
_STATE_DECODER = JsonDecoder(AgentState)
_MINION_DECODER = JsonDecoder(MinionStarted)
_ACCEPTED_DECODER = JsonDecoder(Accepted)
_TASK_DECODER = JsonDecoder(TaskState)
_REFUSAL_DECODER = JsonDecoder(Refusal)
_CLIENT_ERROR_STATUSES = range(400, 500)
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class WorkerAgentClient:
    """Client of one agent; each call that changes the worker states its epoch."""

    def __init__(self, address: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Store the `ip:port` address; no connection is opened yet."""
        self.address = address
        self._timeout_ms = timeout_ms
        limits = HttpLimits(max_answer_bytes=MAX_ANSWER_BYTES)
        self._http = HttpClient(address, limits)

    async def state(self) -> Result[AgentState, AgentError]:
        """Return the worker's state."""
        req = HttpRequest(b"GET", STATE_TARGET.encode("ascii"))
        return await self._request(req, _STATE_DECODER)

    async def start_minion(
        self, epoch: int, order: MinionOrder
    ) -> Result[MinionStarted, AgentError]:
        """Start a minion for the service, or return the one that already serves it."""
        body = {
            "epoch": epoch,
            "service": order.service,
            "slots": order.slots,
            "connections": order.connections,
        }
        return await self._request(_make_post(START_TARGET, body), _MINION_DECODER)

    async def stop_minion(self, epoch: int) -> Result[Accepted, AgentError]:
        """Stop the minion after it has finished its requests in flight."""
        req = _make_post(STOP_TARGET, {"epoch": epoch})
        return await self._request(req, _ACCEPTED_DECODER)

    async def reboot(self, epoch: int, boots: int) -> Result[Accepted, AgentError]:
        """Reboot the worker if it is idle.

        Args:
            epoch: Epoch of the caller.
            boots: Boot count of the last state that was read. A retry after the reboot
                still has the old count, so it does not reboot the worker again.
        """
        body = {"epoch": epoch, "boots": boots}
        return await self._request(_make_post(REBOOT_TARGET, body), _ACCEPTED_DECODER)

    async def start_task(
        self, epoch: int, order: TaskOrder
    ) -> Result[TaskState, AgentError]:
        """Start an attempt, or return it if it has already been started."""
        body = {
            "epoch": epoch,
            "job_id": order.job_id,
            "attempt": order.attempt,
            "service": order.service,
            "payload": order.payload,
            "lease_ms": order.lease_ms,
            "cores": order.cores,
            "memory_mb": order.memory_mb,
            "checkpoint": order.checkpoint,
        }
        return await self._request(_make_post(TASKS_TARGET, body), _TASK_DECODER)

    async def renew_task(
        self, epoch: int, job_id: str, attempt: int, lease_ms: int
    ) -> Result[TaskState, AgentError]:
        """Renew the attempt's lease so that it ends `lease_ms` from now."""
        body = {"epoch": epoch, "attempt": attempt, "lease_ms": lease_ms}
        return await self._request(
            _make_post(_task_target(job_id, "renew"), body), _TASK_DECODER
        )

    async def checkpoint_task(
        self, epoch: int, job_id: str, attempt: int
    ) -> Result[TaskState, AgentError]:
        """Stop the attempt and keep its checkpoint."""
        return await self._post_task_action(epoch, job_id, attempt, "checkpoint")

    async def throttle_task(
        self, epoch: int, job_id: str, attempt: int
    ) -> Result[TaskState, AgentError]:
        """Slow the attempt down so that it uses fewer resources of the worker."""
        return await self._post_task_action(epoch, job_id, attempt, "throttle")

    async def stop_task(
        self, epoch: int, job_id: str, attempt: int
    ) -> Result[TaskState, AgentError]:
        """Stop the attempt; its work since the last checkpoint is lost."""
        return await self._post_task_action(epoch, job_id, attempt, "stop")

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    async def _post_task_action(
        self, epoch: int, job_id: str, attempt: int, action: str
    ) -> Result[TaskState, AgentError]:
        body = {"epoch": epoch, "attempt": attempt}
        return await self._request(
            _make_post(_task_target(job_id, action), body), _TASK_DECODER
        )

    async def _request(
        self, req: HttpRequest, decoder: JsonDecoder[_T]
    ) -> Result[_T, AgentError]:
        result = await self._http.fetch(req, self._timeout_ms)
        if isinstance(result, Failure):
            return Failure(_to_agent_error(result.failure()))
        return _decode_response(result.unwrap(), decoder)


def _task_target(job_id: str, action: str) -> str:
    # Slashes are quoted, so that a job id cannot change the path.
    quoted = quote(job_id, safe="")
    return f"{TASKS_TARGET}/{quoted}/{action}"


def _make_post(target: str, body: dict[str, Any]) -> HttpRequest:
    encoded = msgspec.json.encode(body)
    return HttpRequest(b"POST", target.encode("ascii"), _JSON_HEADERS, encoded)


def _to_agent_error(error: ExchangeError) -> AgentError:
    if isinstance(error, NotSent):
        return AgentUnreachable(error.reason)
    return AgentUnknown(error.reason)


def _decode_response(
    answer: FullResponse, decoder: JsonDecoder[_T]
) -> Result[_T, AgentError]:
    if answer.status == STATUS_UNAVAILABLE:
        return Failure(AgentUnreachable("the agent is unavailable"))
    if answer.status in _CLIENT_ERROR_STATUSES:
        return Failure(_decode_refusal(answer))
    if answer.status not in (STATUS_OK, STATUS_ACCEPTED):
        return Failure(AgentUnknown(f"the agent responded with status {answer.status}"))
    result = decoder.decode(answer.body)
    if isinstance(result, Failure):
        reason = result.failure().reason
        return Failure(AgentUnknown(f"malformed response of the agent: {reason}"))
    return Success(result.unwrap())


def _decode_refusal(answer: FullResponse) -> AgentRefused:
    result = _REFUSAL_DECODER.decode(answer.body)
    if isinstance(result, Failure):
        if answer.status == STATUS_NOT_FOUND:
            return AgentRefused(ERROR_NOT_FOUND)
        return AgentRefused(f"http_{answer.status}")
    refusal = result.unwrap()
    return AgentRefused(refusal.error, refusal.epoch)
