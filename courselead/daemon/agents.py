"""Performs the `CallAgent` effect: calls to the agents of workers."""

from collections.abc import Callable

import anyio
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
from courselead.decoding import JsonDecoder
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

MAX_CONCURRENT_CALLS = 64

_PAYLOAD_DECODER = JsonDecoder(dict)


class AgentClients:
    """Calls worker agents and keeps one client per agent address."""

    def __init__(self, tasks: TaskGroup, dispatch: Callable[[Event], None]) -> None:
        """Initialize without any client.

        Args:
            tasks: Task group that the calls run in.
            dispatch: Receives the outcome of each call as an event.
        """
        self._tasks = tasks
        self._dispatch = dispatch
        self._clients: dict[str, WorkerAgentClient] = {}
        self._limit = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    def call(self, effect: CallAgent) -> None:
        """Start a call."""
        self._tasks.start_soon(self._run, effect)

    def close_client(self, address: str) -> None:
        """Close the client of an agent that has been removed."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close all clients."""
        for address in tuple(self._clients):
            self.close_client(address)

    async def _run(self, effect: CallAgent) -> None:
        """Make one call and dispatch its outcome."""
        async with self._limit:
            client = self._client(effect.address)
            result = await _call_agent(client, effect)
        self._dispatch(_outcome_event(effect, result))

    def _client(self, address: str) -> WorkerAgentClient:
        """Return the client for an address; create it if there is none."""
        client = self._clients.get(address)
        if client is None:
            client = WorkerAgentClient(address)
            self._clients[address] = client
        return client


async def _call_agent(client: WorkerAgentClient, effect: CallAgent) -> Result:
    """Make the call that the effect describes."""
    task = (effect.job_id, effect.attempt)
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
            return await client.start_task(effect.epoch, task_order(effect))
        case AgentOp.RENEW_TASK:
            return await client.renew_task(effect.epoch, *task, effect.lease_ms)
        case AgentOp.CHECKPOINT_TASK:
            return await client.checkpoint_task(effect.epoch, *task)
        case AgentOp.STOP_TASK:
            return await client.stop_task(effect.epoch, *task)


def task_order(effect: CallAgent) -> TaskOrder:
    """Return the agent's order for the task attempt to start."""
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
    """Decode a job's payload; wrap it as `text` if it is not a JSON object."""
    return _PAYLOAD_DECODER.decode(text or "{}").value_or({"text": text})


def _outcome_event(effect: CallAgent, result: Result) -> Event:
    """Return the outcome of a call as an event."""
    if isinstance(result, Success):
        return _answered_event(effect, result.unwrap())
    failure = result.failure()
    if isinstance(failure, AgentRefused):
        return _new_answered_event(effect, refused=failure.error)
    _LOGGER.debug(
        "agent_call_failed", worker=effect.worker, op=effect.op, reason=failure.reason
    )
    unknown = isinstance(failure, AgentUnknown)
    return AgentFailed(
        now_ms(), effect.worker, effect.op, effect.epoch, unknown, effect.job_id
    )


def _answered_event(effect: CallAgent, answer: object) -> AgentAnswered:
    """Return the event of a successful call."""
    if isinstance(answer, AgentState):
        return _new_answered_event(effect, report=_agent_report(answer))
    if isinstance(answer, MinionStarted):
        return _new_answered_event(effect, address=answer.address)
    if isinstance(answer, TaskState):
        return _new_answered_event(effect, task=_task_report(answer))
    return _new_answered_event(effect)


def _new_answered_event(effect: CallAgent, **fields: object) -> AgentAnswered:
    """Return the event of an answered call with the given additional fields."""
    return AgentAnswered(
        now_ms=now_ms(),
        wall_ms=wall_ms(),
        worker=effect.worker,
        op=effect.op,
        epoch=effect.epoch,
        job_id=effect.job_id,
        **fields,
    )


def _agent_report(state: AgentState) -> AgentReport:
    """Convert a worker's state to the core's type."""
    minion = state.minion
    return AgentReport(
        epoch=state.epoch,
        minion_state="" if minion is None else minion.state.value,
        minion_service="" if minion is None else minion.service,
        minion_address="" if minion is None else minion.address,
        minion_in_flight=0 if minion is None else minion.in_flight,
        rebooting=state.rebooting,
        boots=state.boots,
        tasks=tuple(_task_report(task) for task in state.tasks),
    )


def _task_report(task: TaskState) -> TaskReport:
    """Convert a task's state to the core's type."""
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
