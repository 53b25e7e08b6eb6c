"""An entry host on a platform: serves callers, and owns the schedule if it must."""

from __future__ import annotations

import random

import anyio
import structlog
from returns.result import Failure

from courselead.core.scheduler.models import Bounds
from courselead.daemon.scheduling.claims import Claimant
from courselead.daemon.scheduling.directions import DirectionsView
from courselead.daemon.scheduling.follower import JobFollower, KeyedFollower
from courselead.daemon.scheduling.intake import Intake
from courselead.daemon.scheduling.owner import Owner
from courselead.daemon.scheduling.ports import HostCounters, Platform
from courselead.daemon.scheduling.writer import JobWriter

_LOGGER = structlog.get_logger(__name__)

TAKEOVER_S = 1.6
"""Silence of the owner in a log that answers until another host claims the schedule:
four missed beats."""

LOOK_S = 0.1
"""Period of the look at the owner's silence."""

REPORT_S = 10.0
"""Period of the line with this host's counts: a few a minute, whatever the load."""

CLAIM_SPREAD_S = 0.15
"""Claims are spread over this time, so that mostly one host tries."""


class SchedulingHost:
    """All tasks of one process but the servers."""

    def __init__(self, host: str, platform: Platform, bounds: Bounds) -> None:
        """Wire the parts."""
        self.counters = HostCounters()
        self._host = host
        self._platform = platform
        self._bounds = bounds
        self.directions = DirectionsView(platform.decode)
        self.follower = JobFollower(platform.jobs, self.counters)
        self._writer = JobWriter(platform.jobs, self.counters)
        self._claimant = Claimant(platform.claims, host)
        self._owner: Owner | None = None
        self.leaving = False
        self.intake = Intake(
            self.directions, self.follower, self._writer, self, self.counters
        )

    @property
    def owns(self) -> bool:
        """Return whether this host owns the schedule."""
        return self._owner is not None

    @property
    def ready(self) -> bool:
        """Return whether new callers may come."""
        known = self.directions.current is not None and self.follower.started
        return known and not self.leaving

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._writer.run)
            tasks.start_soon(
                KeyedFollower(
                    "directions",
                    self._platform.directions,
                    self.directions.apply,
                    counters=self.counters,
                ).run
            )
            tasks.start_soon(self._elect)
            tasks.start_soon(self._report)

    async def leave(self) -> None:
        """Take no new callers and give the schedule to another host."""
        self.leaving = True
        owner = self._owner
        if owner is not None:
            await owner.hand_over()

    async def _report(self) -> None:
        while True:
            await anyio.sleep(REPORT_S)
            _LOGGER.info("counters", owns=self.owns, **self.counters.counts)

    async def _elect(self) -> None:
        while True:
            await anyio.sleep(LOOK_S)
            if self.leaving or not self.ready:
                continue
            if not await self._may_claim():
                continue
            await anyio.sleep(random.uniform(0, CLAIM_SPREAD_S))
            if not await self._may_claim() or self.leaving:
                continue
            await self._claim()

    async def _may_claim(self) -> bool:
        """Return whether the owner is gone, as far as the log tells."""
        owner = self.follower.book.owner
        if owner is None or owner.released or owner.host == self._host:
            # A process of this host's name that owned it is this one's predecessor.
            return await self.follower.catch_up() and (
                self.follower.book.owner == owner
            )
        if anyio.current_time() - self.follower.beat_at < TAKEOVER_S:
            return False
        beat_at = self.follower.beat_at
        return await self.follower.catch_up() and self.follower.beat_at == beat_at

    async def _claim(self) -> None:
        before = self.follower.book.owner
        fence = 0 if before is None else before.fence
        quiet_ms = int((anyio.current_time() - self.follower.beat_at) * 1000)
        result = await self._claimant.claim(fence)
        if isinstance(result, Failure):
            _LOGGER.info("claim_lost", reason=result.failure())
            return
        claim = result.unwrap()
        _LOGGER.info(
            "schedule_claimed",
            fence=claim.fence,
            before=None if before is None else before.host,
        )
        self._owner = Owner(
            claim,
            self._host,
            self._platform,
            self.follower,
            self.directions,
            self._bounds,
            self.counters,
            quiet_ms,
        )
        try:
            await self._owner.run()
        finally:
            self._owner = None
            self.follower.beat_at = anyio.current_time()
