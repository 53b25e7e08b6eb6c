"""Who the peers are, and which incarnation of each is the newest."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.core.events import PeerReport
from courselead.integrations.peers import const
from courselead.integrations.peers.codec import Hello
from courselead.integrations.peers.errors import (
    MalformedFrame,
    OldIncarnation,
    UnknownPeer,
    WrongVersion,
)
from courselead.settings import PeerSettings


@dataclass(frozen=True, slots=True)
class _Newest:
    """The newest report taken of a peer."""

    incarnation: int
    serial: int


class Members:
    """Checks hellos and reports against the settings and against the past."""

    def __init__(self, peers: tuple[PeerSettings, ...]) -> None:
        """Keep the list of peers."""
        self._peers = {peer.entry_host: peer for peer in peers}
        self._incarnations: dict[str, int] = {}
        self._newest: dict[str, _Newest] = {}

    def greet(self, hello: Hello) -> None:
        """Take a peer's hello.

        Raises:
            WrongVersion: It speaks another version.
            UnknownPeer: The settings know no such peer.
            OldIncarnation: A newer one has been heard of.
        """
        if hello.version != const.PROTOCOL_VERSION:
            raise WrongVersion(f"{hello.entry_host} speaks version {hello.version}")
        peer = self._peers.get(hello.entry_host)
        if peer is None:
            raise UnknownPeer(f"{hello.entry_host} is not in the settings' peers")
        if peer.availability_zone != hello.availability_zone:
            zone = hello.availability_zone
            raise UnknownPeer(f"{hello.entry_host} says it is in {zone}")
        known = self._incarnations.get(hello.entry_host, hello.incarnation)
        if hello.incarnation < known:
            raise OldIncarnation(f"{hello.entry_host} {hello.incarnation}")
        self._incarnations[hello.entry_host] = hello.incarnation

    def is_new(self, hello: Hello, report: PeerReport) -> bool:
        """Return whether a report is newer than all before; notes it if so.

        A process that was written off joins again under a higher incarnation
        than its hello's, over the same streams; a lower one is an error.

        Raises:
            MalformedFrame: It is not from the one who said hello.
            OldIncarnation: A newer incarnation said hello meanwhile.
        """
        said = (hello.entry_host, hello.availability_zone)
        if said != (report.entry_host, report.availability_zone):
            raise MalformedFrame(f"{hello.entry_host} sent a report of another host")
        if report.incarnation < hello.incarnation:
            raise MalformedFrame(f"{hello.entry_host} sent a report of an older start")
        if hello.incarnation < self._incarnations[hello.entry_host]:
            raise OldIncarnation(f"{hello.entry_host} {hello.incarnation}")
        newest = self._newest.get(hello.entry_host)
        # Two streams of one incarnation may overlap for a moment.
        if newest is not None and not _follows(newest, report):
            return False
        self._newest[hello.entry_host] = _Newest(report.incarnation, report.serial)
        return True


def _follows(newest: _Newest, report: PeerReport) -> bool:
    """Return whether a report is newer than the newest one taken."""
    here = (newest.incarnation, newest.serial)
    return (report.incarnation, report.serial) > here
