"""Polls the platform's membership list."""

from collections.abc import Callable
from dataclasses import replace

import anyio
import structlog
from returns.result import Failure

from courselead.core.events import Event, MembersListed
from courselead.core.fleet.records import WorkerInfo
from courselead.daemon.clock import now_ms
from courselead.integrations.membership import (
    Member,
    MemberKind,
    MembershipClient,
    MembershipList,
    MemberState,
)

_LOGGER = structlog.get_logger(__name__)

POLL_INTERVAL_S = 1.0
RETRY_DELAY_S = 2.0


class MembersPoller:
    """Dispatches each membership list as an event.

    While polls fail no event is dispatched, so the last list stays in effect.
    """

    def __init__(
        self, client: MembershipClient, dispatch: Callable[[Event], None]
    ) -> None:
        """Initialize; nothing is polled before `run`.

        Args:
            client: Client of the membership list.
            dispatch: Receives the events.
        """
        self._client = client
        self._dispatch = dispatch
        self._failing = False
        self._last_list: MembershipList | None = None
        self._last_event: MembersListed | None = None

    async def run(self) -> None:
        """Poll for as long as the daemon runs."""
        while True:
            fetched = await self._client.fetch()
            if isinstance(fetched, Failure):
                self._log_failure(fetched.failure().reason)
                await anyio.sleep(RETRY_DELAY_S)
                continue
            self._failing = False
            self._dispatch(self._to_event(fetched.unwrap()))
            await anyio.sleep(POLL_INTERVAL_S)

    def _to_event(self, listed: MembershipList) -> MembersListed:
        """Return the list as an event; reuse the last event if it is unchanged."""
        if listed is not self._last_list:
            self._last_list = listed
            self._last_event = _new_event(listed)
        return replace(self._last_event, now_ms=now_ms())

    def _log_failure(self, reason: str) -> None:
        """Log the first failure of an outage."""
        if self._failing:
            return
        self._failing = True
        _LOGGER.warning("membership_unavailable", reason=reason)


def _new_event(listed: MembershipList) -> MembersListed:
    """Convert a membership list to an event."""
    workers = []
    leaving = []
    entry_hosts = []
    for member in listed.members:
        if member.kind is MemberKind.ENTRY_HOST:
            entry_hosts.append(member.id)
            continue
        workers.append(_worker_info(member))
        if member.state is MemberState.LEAVING:
            leaving.append(member.id)
    return MembersListed(
        now_ms=now_ms(),
        version=listed.version,
        workers=tuple(workers),
        leaving_workers=tuple(leaving),
        entry_hosts=tuple(entry_hosts),
    )


def _worker_info(member: Member) -> WorkerInfo:
    """Convert a member of the list to the core's type for a worker."""
    return WorkerInfo(
        worker=member.id,
        availability_zone=member.availability_zone,
        rack=member.rack,
        address=member.address,
        cores=member.cores,
        memory_mb=member.memory_mb,
    )
