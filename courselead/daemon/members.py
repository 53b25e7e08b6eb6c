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

POLL_S = 1.0
RETRY_S = 2.0


class MembersPoller:
    """Turns each list into an event; the last good one stays in force."""

    def __init__(
        self, client: MembershipClient, dispatch: Callable[[Event], None]
    ) -> None:
        """Keep the client; nothing runs yet.

        Args:
            client: Of the membership list.
            dispatch: Where the events go.
        """
        self._client = client
        self._dispatch = dispatch
        self._failing = False
        self._list: MembershipList | None = None
        self._event: MembersListed | None = None

    async def run(self) -> None:
        """Poll for as long as the daemon runs."""
        while True:
            fetched = await self._client.fetch()
            if isinstance(fetched, Failure):
                self._note_failure(fetched.failure().reason)
                await anyio.sleep(RETRY_S)
                continue
            self._failing = False
            self._dispatch(self._event_of(fetched.unwrap()))
            await anyio.sleep(POLL_S)

    def _event_of(self, listed: MembershipList) -> MembersListed:
        """Return the list as an event; an unchanged one is not made anew."""
        if listed is not self._list:
            self._list = listed
            self._event = _event(listed)
        return replace(self._event, now_ms=now_ms())

    def _note_failure(self, reason: str) -> None:
        """Write one line at the start of an outage."""
        if self._failing:
            return
        self._failing = True
        _LOGGER.warning("membership_unavailable", reason=reason)


def _event(listed: MembershipList) -> MembersListed:
    """Return the list in the core's terms."""
    workers = []
    leaving = []
    entry_hosts = []
    for member in listed.members:
        if member.kind is MemberKind.ENTRY_HOST:
            entry_hosts.append(member.id)
            continue
        workers.append(_worker(member))
        if member.state is MemberState.LEAVING:
            leaving.append(member.id)
    return MembersListed(
        now_ms=now_ms(),
        version=listed.version,
        workers=tuple(workers),
        leaving_workers=tuple(leaving),
        entry_hosts=tuple(entry_hosts),
    )


def _worker(member: Member) -> WorkerInfo:
    """Return what the list says of a worker."""
    return WorkerInfo(
        worker=member.id,
        availability_zone=member.availability_zone,
        rack=member.rack,
        address=member.address,
        cores=member.cores,
        memory_mb=member.memory_mb,
    )
