"""The calls of one worker's agent."""

from __future__ import annotations

from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from returns.result import Failure, Result, Success

from courselead.integrations.http import (
    ExchangeError,
    HttpClient,
    HttpLimits,
    HttpRequest,
    NotSent,
    WholeAnswer,
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
_CLIENT_ERRORS = range(400, 500)
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class WorkerAgentClient:
    """Asks one agent; every acting call names the epoch it acts under."""

    def __init__(self, address: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Keep the `ip:port` address; nothing is opened yet."""
        self.address = address
        self._timeout_ms = timeout_ms
        limits = HttpLimits(max_answer_bytes=MAX_ANSWER_BYTES)
        self._http = HttpClient(address, limits)

    async def state(self) -> Result[AgentState, AgentError]:
        """Read the worker's state."""
        req = HttpRequest(b"GET", STATE_TARGET.encode("ascii"))
        return await self._ask(req, AgentState)

    async def start_minion(
        self, epoch: int, order: MinionOrder
    ) -> Result[MinionStarted, AgentError]:
        """Start the service's minion, or find the one that already serves it."""
        body = {
            "epoch": epoch,
            "service": order.service,
            "slots": order.slots,
            "connections": order.connections,
        }
        return await self._ask(_post(START_TARGET, body), MinionStarted)

    async def stop_minion(self, epoch: int) -> Result[Accepted, AgentError]:
        """Let the minion finish what is in flight and stop."""
        return await self._ask(_post(STOP_TARGET, {"epoch": epoch}), Accepted)

    async def reboot(self, epoch: int, boots: int) -> Result[Accepted, AgentError]:
        """Reboot the worker if it is idle.

        Args:
            epoch: The epoch to act under.
            boots: The boots in the state last read. A repeat after the reboot names
                the old count and so does not reboot a second time.
        """
        body = {"epoch": epoch, "boots": boots}
        return await self._ask(_post(REBOOT_TARGET, body), Accepted)

    async def start_task(
        self, epoch: int, order: TaskOrder
    ) -> Result[TaskState, AgentError]:
        """Start an attempt, or find the one that is already there."""
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
        return await self._ask(_post(TASKS_TARGET, body), TaskState)

    async def renew_task(
        self, epoch: int, job_id: str, attempt: int, lease_ms: int
    ) -> Result[TaskState, AgentError]:
        """Extend the attempt's lease to `lease_ms` from now."""
        body = {"epoch": epoch, "attempt": attempt, "lease_ms": lease_ms}
        return await self._ask(_post(_task_target(job_id, "renew"), body), TaskState)

    async def checkpoint_task(
        self, epoch: int, job_id: str, attempt: int
    ) -> Result[TaskState, AgentError]:
        """Stop the attempt and keep its mark."""
        return await self._act(epoch, job_id, attempt, "checkpoint")

    async def throttle_task(
        self, epoch: int, job_id: str, attempt: int
    ) -> Result[TaskState, AgentError]:
        """Slow the attempt down so that it uses less of the worker."""
        return await self._act(epoch, job_id, attempt, "throttle")

    async def stop_task(
        self, epoch: int, job_id: str, attempt: int
    ) -> Result[TaskState, AgentError]:
        """Stop the attempt; its work since the last mark is lost."""
        return await self._act(epoch, job_id, attempt, "stop")

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    async def _act(
        self, epoch: int, job_id: str, attempt: int, action: str
    ) -> Result[TaskState, AgentError]:
        body = {"epoch": epoch, "attempt": attempt}
        return await self._ask(_post(_task_target(job_id, action), body), TaskState)

    async def _ask(self, req: HttpRequest, kind: type[_T]) -> Result[_T, AgentError]:
        fetched = await self._http.fetch(req, self._timeout_ms)
        if isinstance(fetched, Failure):
            return Failure(_error(fetched.failure()))
        return _read(fetched.unwrap(), kind)


def _task_target(job_id: str, action: str) -> str:
    # A slash in a job id must not reach another path.
    quoted = quote(job_id, safe="")
    return f"{TASKS_TARGET}/{quoted}/{action}"


def _post(target: str, body: dict[str, Any]) -> HttpRequest:
    encoded = msgspec.json.encode(body)
    return HttpRequest(b"POST", target.encode("ascii"), _JSON_HEADERS, encoded)


def _error(error: ExchangeError) -> AgentError:
    if isinstance(error, NotSent):
        return AgentUnreachable(error.reason)
    return AgentUnknown(error.reason)


def _read(answer: WholeAnswer, kind: type[_T]) -> Result[_T, AgentError]:
    if answer.status == STATUS_UNAVAILABLE:
        return Failure(AgentUnreachable("the agent is unavailable"))
    if answer.status in _CLIENT_ERRORS:
        return Failure(_refusal(answer))
    if answer.status not in (STATUS_OK, STATUS_ACCEPTED):
        return Failure(AgentUnknown(f"the agent answered {answer.status}"))
    try:
        return Success(msgspec.json.decode(answer.body, type=kind))
    except (msgspec.ValidationError, msgspec.DecodeError) as exc:
        return Failure(AgentUnknown(f"the agent's answer is malformed: {exc}"))


def _refusal(answer: WholeAnswer) -> AgentRefused:
    try:
        refusal = msgspec.json.decode(answer.body, type=Refusal)
    except (msgspec.ValidationError, msgspec.DecodeError):
        if answer.status == STATUS_NOT_FOUND:
            return AgentRefused(ERROR_NOT_FOUND)
        return AgentRefused(f"http_{answer.status}")
    return AgentRefused(refusal.error, refusal.epoch)
