"""Loopback TCP relays that simulate network paths with faults.

A cut path holds data back and delivers it when the path is restored, like a network
that drops packets for a while; connections are reset only by `reset`. A path can be cut
in one direction only, or delayed. Connections that are silenced never recover.
"""

from __future__ import annotations

from enum import Enum

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus

from demo.ports import LOOPBACK

CHUNK_BYTES = 65_536


class Direction(Enum):
    """A direction of a path: `OUT` to the target, `BACK` from it."""

    OUT = "out"
    BACK = "back"


class Relay:
    """A relay to one address.

    Attributes:
        address: Where the relay listens.
        delay_s: Delay of each chunk that is forwarded.
    """

    def __init__(self, port: int, target: str) -> None:
        """Set the port to listen on and the target address; opens no connection."""
        self.address = f"{LOOPBACK}:{port}"
        self.delay_s = 0.0
        self._port = port
        self._target = target
        self._passable = {way: anyio.Event() for way in Direction}
        self._generation = 0
        self._scopes: set[anyio.CancelScope] = set()
        self.restore()

    def silence(self) -> None:
        """Drop all further data on the connections that are open now."""
        self._generation += 1

    def cut(self, *ways: Direction) -> None:
        """Hold back data in the directions given, or in both if none is given."""
        for way in ways or Direction:
            self._passable[way] = anyio.Event()

    def restore(self) -> None:
        """Restore both directions and deliver the data that was held back."""
        for passable in self._passable.values():
            passable.set()

    def reset(self) -> None:
        """Break all connections that are open now."""
        for scope in list(self._scopes):
            scope.cancel()

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
        """Forward one connection in both directions until it ends."""
        # Opening a connection takes packets in both directions.
        for way in Direction:
            await self._passable[way].wait()
        generation = self._generation
        ip, _, port = self._target.rpartition(":")
        try:
            far = await anyio.connect_tcp(ip, int(port))
        except OSError:
            await near.aclose()
            return
        async with near, far, anyio.create_task_group() as tasks:
            self._scopes.add(tasks.cancel_scope)
            tasks.start_soon(
                self._forward_direction, Direction.OUT, near, far, tasks, generation
            )
            tasks.start_soon(
                self._forward_direction, Direction.BACK, far, near, tasks, generation
            )
        self._scopes.discard(tasks.cancel_scope)

    async def _forward_direction(
        self,
        way: Direction,
        source: SocketStream,
        sink: SocketStream,
        tasks: TaskGroup,
        generation: int,
    ) -> None:
        """Forward one direction; when it ends or breaks, close the connection."""
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                await self._passable[way].wait()
                if generation == self._generation:
                    await sink.send(data)
        except anyio.EndOfStream:
            await self._passable[way].wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._passable[way].wait()
        tasks.cancel_scope.cancel()
