"""Performs `CallAgent`: calls to the agents of workers."""

from collections.abc import Callable

import anyio
import msgspec
import structlog
from anyio.abc import TaskGroup
from returns.result import Result, Success

from courselead.core.effects import CallAgent
from courselead.core.events import (
    AgentAnswered,
    AgentFailed,
    AgentOp,
    AgentReport,
    Event,
    TaskReport,
)
from courselead.daemon.clock import now_ms, wall_ms
from courselead.integrations.workers import (
    AgentRefused,
    AgentState,
    AgentUnknown,
    MinionOrder,
    MinionStarted,
    TaskOrder,
    TaskState,
    WorkerAgentClient,
)

_LOGGER = structlog.get_logger(__name__)

MAX_CALLS = 64


class Agents:
    """Clients of all agents that this host has called."""

    def __init__(self, tasks: TaskGroup, dispatch: Callable[[Event], None]) -> None:
        """Keep the task group that the calls run in.

        Args:
            tasks: Of the daemon.
            dispatch: Where answers go as events.
        """
        self._tasks = tasks
        self._dispatch = dispatch
        self._clients: dict[str, WorkerAgentClient] = {}
        self._limit = anyio.CapacityLimiter(MAX_CALLS)

    def call(self, effect: CallAgent) -> None:
        """Start a call."""
        self._tasks.start_soon(self._run, effect)

    def forget(self, address: str) -> None:
        """Close the client of an agent that is gone."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all clients."""
        for address in tuple(self._clients):
            self.forget(address)

    async def _run(self, effect: CallAgent) -> None:
        """Make one call and report how it ended."""
        async with self._limit:
            client = self._client(effect.address)
            result = await _ask(client, effect)
        self._dispatch(_event(effect, result))

    def _client(self, address: str) -> WorkerAgentClient:
        """Return the client of an address."""
        client = self._clients.get(address)
        if client is None:
            client = WorkerAgentClient(address)
            self._clients[address] = client
        return client


async def _ask(client: WorkerAgentClient, effect: CallAgent) -> Result:
    """Make the call that the effect names."""
    job = (effect.job_id, effect.attempt)
    match effect.op:
        case AgentOp.STATE:
            return await client.state()
        case AgentOp.START_MINION:
            order = MinionOrder(effect.service, effect.slots, effect.connections)
            return await client.start_minion(effect.epoch, order)
        case AgentOp.STOP_MINION:
            return await client.stop_minion(effect.epoch)
        case AgentOp.REBOOT:
            return await client.reboot(effect.epoch, effect.boots)
        case AgentOp.START_TASK:
            return await client.start_task(effect.epoch, _order(effect))
        case AgentOp.RENEW_TASK:
            return await client.renew_task(effect.epoch, *job, effect.lease_ms)
        case AgentOp.CHECKPOINT_TASK:
            return await client.checkpoint_task(effect.epoch, *job)
        case AgentOp.STOP_TASK:
            return await client.stop_task(effect.epoch, *job)


def _order(effect: CallAgent) -> TaskOrder:
    """Return the attempt to start."""
    return TaskOrder(
        job_id=effect.job_id,
        attempt=effect.attempt,
        service=effect.service,
        lease_ms=effect.lease_ms,
        cores=effect.cores,
        memory_mb=effect.memory_mb,
        payload=_payload(effect.payload),
        checkpoint=effect.checkpoint,
    )


def _payload(text: str) -> dict:
    """Return a job's payload; one that is no JSON object goes as `text`."""
    try:
        return msgspec.json.decode(text or "{}", type=dict)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return {"text": text}


def _event(effect: CallAgent, result: Result) -> Event:
    """Return the outcome of a call as an event."""
    if isinstance(result, Success):
        return _answered(effect, result.unwrap())
    failure = result.failure()
    if isinstance(failure, AgentRefused):
        return _base(effect, refused=failure.error)
    _LOGGER.debug(
        "agent_call_failed", worker=effect.worker, op=effect.op, reason=failure.reason
    )
    unknown = isinstance(failure, AgentUnknown)
    return AgentFailed(
        now_ms(), effect.worker, effect.op, effect.epoch, unknown, effect.job_id
    )


def _answered(effect: CallAgent, answer: object) -> AgentAnswered:
    """Return the event of a call that was done."""
    if isinstance(answer, AgentState):
        return _base(effect, report=_report(answer))
    if isinstance(answer, MinionStarted):
        return _base(effect, address=answer.address)
    if isinstance(answer, TaskState):
        return _base(effect, task=_task(answer))
    return _base(effect)


def _base(effect: CallAgent, **parts: object) -> AgentAnswered:
    """Return an answer to a call with the parts that it has."""
    return AgentAnswered(
        now_ms=now_ms(),
        wall_ms=wall_ms(),
        worker=effect.worker,
        op=effect.op,
        epoch=effect.epoch,
        job_id=effect.job_id,
        **parts,
    )


def _report(state: AgentState) -> AgentReport:
    """Return a worker's state in the core's terms."""
    minion = state.minion
    return AgentReport(
        epoch=state.epoch,
        minion_state="" if minion is None else minion.state.value,
        minion_service="" if minion is None else minion.service,
        minion_address="" if minion is None else minion.address,
        minion_in_flight=0 if minion is None else minion.in_flight,
        rebooting=state.rebooting,
        boots=state.boots,
        tasks=tuple(_task(task) for task in state.tasks),
    )


def _task(task: TaskState) -> TaskReport:
    """Return a task in the core's terms."""
    return TaskReport(
        job_id=task.job_id,
        attempt=task.attempt,
        state=task.state.value,
        progress=task.progress,
        checkpoint=task.checkpoint,
        error=task.error,
        cores_used=task.cores_used,
        memory_mb_used=task.memory_mb_used,
        ran_ms=task.ran_ms,
    )
