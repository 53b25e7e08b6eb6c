"""All streams of one entry host to and from its peers."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import SocketAttribute, TaskStatus

from courselead.core.events import PeerReport
from courselead.integrations.peers.client import PeerClient
from courselead.integrations.peers.codec import Hello
from courselead.integrations.peers.const import PROTOCOL_VERSION
from courselead.integrations.peers.members import PeerRegistry
from courselead.integrations.peers.server import PeerServer
from courselead.settings import Address, Settings


class PeerCoordinator:
    """Sends reports to the peers and passes on reports of the peers."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        on_report: Callable[[PeerReport], None],
        on_reachable: Callable[[str, bool], None],
    ) -> None:
        """Create the server and the clients; no connection is opened yet.

        Args:
            settings: Name and availability zone of this host and of its peers.
            incarnation: Incarnation of this process.
            on_report: Called with each newer report of a peer.
            on_reachable: Called with a peer's name when the stream to it was opened
                (True) or closed (False).
        """
        hello = Hello(
            version=PROTOCOL_VERSION,
            entry_host=settings.entry_host,
            incarnation=incarnation,
            availability_zone=settings.availability_zone,
        )
        registry = PeerRegistry(settings.peers)
        self._server = PeerServer(settings.peer_listen, hello, registry, on_report)
        self._clients: dict[str, PeerClient] = {}
        for peer in settings.peers:
            client = PeerClient(peer, hello, registry, on_reachable)
            self._clients[peer.entry_host] = client

    async def run(
        self, *, task_status: TaskStatus[Address] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen and connect until cancelled.

        Args:
            task_status: Receives the address of the listening socket.

        Raises:
            PeerListenFailed: The socket could not be opened.
        """
        # Opened outside the task group, which would wrap the exception.
        listener = await self._server.open()
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(self._server.serve, listener)
            for client in self._clients.values():
                tasks.start_soon(client.run)
            ip = listener.extra(SocketAttribute.local_address)[0]
            port = listener.extra(SocketAttribute.local_port)
            task_status.started(Address(ip, port))

    def send(self, entry_host: str, report: PeerReport) -> None:
        """Send a report without waiting; it replaces one that was not sent yet.

        Dropped if the peer is unknown or the stream to it is not open.
        """
        client = self._clients.get(entry_host)
        if client is not None:
            client.send(report)
