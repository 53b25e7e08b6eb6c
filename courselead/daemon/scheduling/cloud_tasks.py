"""Calls to the cloud and the advice service, and status records for the operator."""

from __future__ import annotations

import anyio
import structlog
from returns.result import Failure, Success

from courselead.core.scheduler.events import (
    AdviceAnswered,
    AdviceFailed,
    AskAdvice,
    CloudOrderAnswered,
    MaintainWorker,
    MoveWorker,
    SaveWaveStatus,
    WorkersListed,
)
from courselead.daemon.scheduling.clocks import now_ms
from courselead.daemon.scheduling.ports import HostCounters, Platform, ScheduleOwner

_LOGGER = structlog.get_logger(__name__)

STATUS_TIMEOUT_MS = 500
STATUS_RETRY_S = 0.2
"""Timeout and retry pause of a status record's append."""


class CloudTasks:
    """Calls the platform's cloud, advice and status services for the owner."""

    def __init__(
        self, owner: ScheduleOwner, platform: Platform, counters: HostCounters
    ) -> None:
        """Initialize without calling a service."""
        self._owner = owner
        self._platform = platform
        self._counters = counters
        self._advice_lock = anyio.Lock()
        self._status_lock = anyio.Lock()

    async def ask_advice(self, ask: AskAdvice) -> None:
        """Ask the advice service which minions may run a step, one call at a time."""
        async with self._advice_lock:
            self._counters.add("advice_calls")
            result = await self._platform.advice.request_tickets(
                ask.step, ask.minion_ids, ask.timeout_ms
            )
        if isinstance(result, Failure):
            _LOGGER.info("advice_failed", step=ask.step, reason=result.failure())
            self._owner.handle(AdviceFailed(ask.step, result.failure()))
            return
        given = result.unwrap()
        self._owner.handle(AdviceAnswered(ask.step, given.tickets, given.valid_ms))

    async def list_workers(self) -> None:
        """Request the list of workers from the cloud."""
        asked_ms = now_ms()
        self._counters.add("cloud_lists")
        result = await self._platform.cloud.list_workers()
        if isinstance(result, Failure):
            _LOGGER.warning("cloud_list_failed", reason=result.failure())
            return
        self._owner.handle(WorkersListed(asked_ms, result.unwrap()))

    async def order(self, order: MoveWorker | MaintainWorker) -> None:
        """Send an order that is stored in the log, if it still holds.

        Storing it may have taken seconds.
        """
        scheduler = self._owner.scheduler
        if scheduler is None:
            return
        if scheduler.schedule.may_have_unknown_service(order.worker_id):
            self._owner.handle(order.not_sent("an unknown minion may serve there"))
        elif isinstance(order, MoveWorker):
            await self.move(order)
        else:
            await self.maintain(order)

    async def maintain(self, order: MaintainWorker) -> None:
        """Take a worker down for its maintenance."""
        answer = await self._platform.cloud.maintain(
            order.worker_id, order.wave, self._owner.fence
        )
        self._owner.handle(
            CloudOrderAnswered(
                order.worker_id, answer.outcome, answer.reason, wave=order.wave
            )
        )

    async def move(self, order: MoveWorker) -> None:
        """Move a worker to another pool."""
        answer = await self._platform.cloud.move(
            order.worker_id, order.pool, self._owner.fence
        )
        self._owner.handle(
            CloudOrderAnswered(
                order.worker_id, answer.outcome, answer.reason, pool=order.pool
            )
        )

    async def save_wave(self, order: SaveWaveStatus) -> None:
        """Publish the status of a maintenance wave to the operator."""
        record = self._platform.decode.encode_wave_status(order.wave, order.completed)
        # Serialized, so that `running` is never stored after `completed`.
        async with self._status_lock:
            while True:
                result = await self._platform.status.append([record], STATUS_TIMEOUT_MS)
                if isinstance(result, Success):
                    return
                _LOGGER.warning(
                    "wave_status_failed", wave=order.wave, reason=str(result.failure())
                )
                await anyio.sleep(STATUS_RETRY_S)
