"""Registry of the peers and of the newest incarnation of each."""

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
class _ReportVersion:
    """Version of the newest report that was accepted from a peer."""

    incarnation: int
    serial: int


class PeerRegistry:
    """Validates hellos and reports against the settings and the earlier ones."""

    def __init__(self, peers: tuple[PeerSettings, ...]) -> None:
        """Store the list of peers."""
        self._peers = {peer.entry_host: peer for peer in peers}
        self._incarnations: dict[str, int] = {}
        self._newest_reports: dict[str, _ReportVersion] = {}

    def register_hello(self, hello: Hello) -> None:
        """Validate a peer's hello and store its incarnation.

        Raises:
            WrongVersion: The peer uses another version of the protocol.
            UnknownPeer: The settings have no such peer.
            OldIncarnation: A newer incarnation has already sent a hello.
        """
        if hello.version != const.PROTOCOL_VERSION:
            raise WrongVersion(f"{hello.entry_host} uses version {hello.version}")
        peer = self._peers.get(hello.entry_host)
        if peer is None:
            raise UnknownPeer(f"{hello.entry_host} is not in the settings' peers")
        if peer.availability_zone != hello.availability_zone:
            zone = hello.availability_zone
            raise UnknownPeer(f"{hello.entry_host} reports availability zone {zone}")
        newest_incarnation = self._incarnations.get(hello.entry_host, hello.incarnation)
        if hello.incarnation < newest_incarnation:
            raise OldIncarnation(f"{hello.entry_host} {hello.incarnation}")
        self._incarnations[hello.entry_host] = hello.incarnation

    def register_report(self, hello: Hello, report: PeerReport) -> bool:
        """Return whether a report is newer than all earlier ones, and if so record it.

        A process that its peers had declared dead joins again with a higher incarnation
        than that of its hello, over the same streams; a lower one is an error.

        Raises:
            MalformedFrame: The report is not from the sender of the hello.
            OldIncarnation: A newer incarnation has sent a hello since then.
        """
        expected_origin = (hello.entry_host, hello.availability_zone)
        if expected_origin != (report.entry_host, report.availability_zone):
            raise MalformedFrame(f"{hello.entry_host} sent a report of another host")
        if report.incarnation < hello.incarnation:
            raise MalformedFrame(
                f"{hello.entry_host} sent a report of an older incarnation"
            )
        if hello.incarnation < self._incarnations[hello.entry_host]:
            raise OldIncarnation(f"{hello.entry_host} {hello.incarnation}")
        newest = self._newest_reports.get(hello.entry_host)
        # Two streams of one incarnation may overlap for a short time.
        if newest is not None and not _is_newer(newest, report):
            return False
        self._newest_reports[hello.entry_host] = _ReportVersion(
            report.incarnation, report.serial
        )
        return True


def _is_newer(newest: _ReportVersion, report: PeerReport) -> bool:
    """Return whether a report is newer than the newest one accepted so far."""
    current = (newest.incarnation, newest.serial)
    return (report.incarnation, report.serial) > current
