"""Orders to minions, and the polls that renew the leases of their runs."""

from __future__ import annotations

import anyio
from returns.result import Success

from courselead.core.scheduler import lives
from courselead.core.scheduler.events import (
    OrderAnswered,
    PaceRun,
    PollAnswered,
    PollFailed,
    StartRun,
    StopRun,
)
from courselead.core.scheduler.models import Incarnation
from courselead.daemon.scheduling.clocks import now_ms
from courselead.daemon.scheduling.ports import (
    HostCounters,
    LinkFactory,
    MinionLink,
    OrderResult,
    ScheduleOwner,
)

POLL_INTERVAL_S = 0.004
"""Pause between two polls of a minion; runs often end together and share a poll."""

POLL_RETRY_S = 0.25
"""Pause after a failed poll; after two failures a minion gets no new work."""

MAX_SAVE_WAIT_S = 0.2
"""Maximum wait for the reported run ends to be stored before the next poll, which would
be answered immediately with the same ends. Limits the wait during outages of the
log."""

ZONE_CLOSED = "nothing may be started in its zone"
"""Reason of a start that is not sent because of an evacuation."""


class MinionTasks:
    """Sends orders and polls to minions for the owner."""

    def __init__(
        self, owner: ScheduleOwner, factory: LinkFactory, counters: HostCounters
    ) -> None:
        """Initialize without connections; they are opened on demand."""
        self._owner = owner
        self._factory = factory
        self._counters = counters
        self._links: dict[str, MinionLink] = {}

    def disconnect(self, minion_id: str) -> None:
        """Close the connections to a minion whose incarnation has ended."""
        link = self._links.pop(minion_id, None)
        if link is not None:
            link.close()

    def close(self) -> None:
        """Close the connections to all minions."""
        for link in self._links.values():
            link.close()

    def _link(self, incarnation: Incarnation) -> MinionLink | None:
        """Return the link to one incarnation of a minion, None if it has ended."""
        scheduler = self._owner.scheduler
        if scheduler is None:
            return None
        minion = lives.current_minion(scheduler.schedule, incarnation)
        if minion is None:
            return None
        link = self._links.get(incarnation.minion_id)
        if link is None:
            link = self._links[incarnation.minion_id] = self._factory(minion.info)
        return link

    async def start(self, order: StartRun) -> None:
        """Start a run."""
        self._counters.add("starts")
        link = self._link(order.incarnation)
        if link is None:
            return
        if not self._may_send(order):
            self._counters.add("starts_refused_evacuation")
            self._owner.handle(order.not_sent(ZONE_CLOSED))
            return
        begun = anyio.current_time()
        answer = await link.start(
            order, self._owner.fence, lambda: self._is_wanted(order)
        )
        self._counters.record_duration("start", str(answer.outcome), begun)
        self._report_answer(order, "start", answer)

    def _may_send(self, order: StartRun) -> bool:
        """Return whether the zone of an order's minion allows the start at this moment.

        The zone may have been evacuated while the start waited to be stored or for the
        answer to an earlier attempt.
        """
        scheduler = self._owner.scheduler
        return scheduler is not None and scheduler.may_send(order, now_ms())

    def _is_wanted(self, order: StartRun) -> bool:
        """Return whether a start that waited for a connection is still to be sent."""
        scheduler = self._owner.scheduler
        if scheduler is None or not scheduler.schedule.is_wanted(order):
            return False
        return self._may_send(order)

    async def stop(self, order: StopRun) -> None:
        """Stop a run."""
        self._counters.add("stops")
        link = self._link(order.incarnation)
        if link is None:
            return
        answer = await link.stop(
            order, self._owner.fence, lambda: not order.is_expired(now_ms())
        )
        self._report_answer(order, "stop", answer)

    async def set_pace(self, order: PaceRun) -> None:
        """Set the pace of a run."""
        self._counters.add("paces")
        link = self._link(order.incarnation)
        if link is None:
            return
        answer = await link.pace(
            order.task, order.number, order.percent, self._owner.fence
        )
        self._report_answer(order, "pace", answer)

    def _report_answer(
        self, order: StartRun | StopRun | PaceRun, verb: str, answer: OrderResult
    ) -> None:
        self._owner.handle(
            OrderAnswered(
                order.minion_id,
                order.task,
                order.number,
                verb,
                answer.outcome,
                answer.clock_ms,
                answer.reason,
                order.born_ms,
                answer.repeated,
            )
        )

    async def follow(self, incarnation: Incarnation) -> None:
        """Poll a minion until that incarnation ends or this host loses the schedule."""
        minion_id, born_ms = incarnation.minion_id, incarnation.born_ms
        while self._owner.scheduler is not None:
            call = self._owner.scheduler.poll_call(minion_id, now_ms(), born_ms)
            link = self._link(incarnation)
            if call is None or link is None:
                return
            sent_ms = now_ms()
            begun = anyio.current_time()
            self._counters.add("holds")
            result = await link.poll(
                self._owner.fence, call.cursor, call.lease_ms, call.wait_ms
            )
            if isinstance(result, Success):
                report = result.unwrap()
                self._counters.record_duration("hold", "ok", begun)
                self._owner.handle(
                    PollAnswered(
                        minion_id,
                        sent_ms,
                        report.clock_ms,
                        report.running,
                        report.ended,
                        report.lists_all_ends,
                        born_ms,
                        Incarnation(minion_id, report.born_ms)
                        if report.born_ms
                        else None,
                    )
                )
                await anyio.sleep(POLL_INTERVAL_S)
                await self._wait_until_saved(minion_id)
                continue
            failed = result.failure()
            self._counters.record_duration("hold", str(failed.outcome), begun)
            self._owner.handle(
                PollFailed(minion_id, failed.outcome, failed.reason, born_ms)
            )
            await anyio.sleep(POLL_RETRY_S)

    async def _wait_until_saved(self, minion_id: str) -> None:
        """Wait until the run ends that the minion has reported are stored."""
        with anyio.move_on_after(MAX_SAVE_WAIT_S):
            while self._owner.scheduler is not None:
                minion = self._owner.scheduler.schedule.minions.get(minion_id)
                if minion is None or not minion.unsaved:
                    return
                await self._owner.saved.wait()
