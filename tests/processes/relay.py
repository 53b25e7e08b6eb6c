"""Loopback TCP relays that stand for network paths and can be cut at will.

A cut path loses nothing for good: what is under way, and what is sent while it
is cut, arrives when it is mended, as over a network that drops packets for a
while. Nobody gets a reset.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus

from demo.plan import HostPlan
from demo.ports import free_ports
from tests.processes.system import Routes

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536


class Relay:
    """One path to one address."""

    def __init__(self, port: int, target: str) -> None:
        """Keep where to listen and where to forward to; nothing is opened."""
        self.address = f"{LOOPBACK}:{port}"
        self._port = port
        self._target = target
        self._open = anyio.Event()
        self._open.set()

    def cut(self) -> None:
        """Hold back everything from now on."""
        self._open = anyio.Event()

    def mend(self) -> None:
        """Let everything through again."""
        self._open.set()

    async def serve(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Forward until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=LOOPBACK, local_port=self._port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._forward)

    async def _forward(self, near: SocketStream) -> None:
        """Forward one connection, in both directions, until both have ended."""
        await self._open.wait()
        ip, _, port = self._target.rpartition(":")
        try:
            far = await anyio.connect_tcp(ip, int(port))
        except OSError:
            await near.aclose()
            return
        async with near, far, anyio.create_task_group() as tasks:
            tasks.start_soon(self._pump, near, far, tasks)
            tasks.start_soon(self._pump, far, near, tasks)

    async def _pump(
        self, source: SocketStream, sink: SocketStream, tasks: TaskGroup
    ) -> None:
        """Forward one direction; a broken connection ends both."""
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._open.wait()
                await sink.send(data)
        except anyio.EndOfStream:
            await self._open.wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._open.wait()
        tasks.cancel_scope.cancel()


@dataclass(slots=True)
class RelayRoutes(Routes):
    """Relays on the paths that `is_relayed` names by host and destination.

    Destinations are "log", "membership" and the names of peers.
    """

    tasks: TaskGroup
    is_relayed: Callable[[HostPlan, str], bool]
    relays: dict[tuple[str, str], Relay] = field(default_factory=dict)
    _waiting: list[Relay] = field(default_factory=list)

    def platform(self, host: HostPlan, name: str, address: str) -> str:
        """Return the address at which a host reaches the log or the list."""
        return self._route(host, name, address)

    def peer(self, host: HostPlan, peer: HostPlan) -> str:
        """Return the address at which a host reaches a peer."""
        return self._route(host, peer.name, f"{LOOPBACK}:{peer.peer_port}")

    async def open(self) -> None:
        """Start the relays that are new."""
        while self._waiting:
            await self.tasks.start(self._waiting.pop().serve)

    def cut(self) -> None:
        """Cut all relayed paths."""
        for relay in self.relays.values():
            relay.cut()

    def mend(self) -> None:
        """Mend all relayed paths."""
        for relay in self.relays.values():
            relay.mend()

    def _route(self, host: HostPlan, name: str, address: str) -> str:
        if not self.is_relayed(host, name):
            return address
        key = (host.name, name)
        if key not in self.relays:
            [port] = free_ports(1)
            self.relays[key] = Relay(port, address)
            self._waiting.append(self.relays[key])
        return self.relays[key].address
