"""Loopback TCP relays that stand for network paths and can be cut at will.

A cut path loses nothing for good: what is under way, and what is sent while it
is cut, arrives when it is mended, as over a network that drops packets for a
while. Nobody gets a reset, unless `reset` is called. A path may be cut one way only,
or be slow. Connections that are silenced stay so for good.
"""

from __future__ import annotations

from enum import Enum

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus

from demo.ports import LOOPBACK

CHUNK_BYTES = 65_536


class Way(Enum):
    """A direction of a path."""

    OUT = "out"
    BACK = "back"


class Relay:
    """One path to one address."""

    def __init__(self, port: int, target: str) -> None:
        """Keep where to listen and where to forward to; nothing is opened."""
        self.address = f"{LOOPBACK}:{port}"
        self.delay_s = 0.0
        self._port = port
        self._target = target
        self._open = {way: anyio.Event() for way in Way}
        self._silence = 0
        self._scopes: set[anyio.CancelScope] = set()
        self.mend()

    def silence(self) -> None:
        """Let nothing more through on the connections that are open now."""
        self._silence += 1

    def cut(self, *ways: Way) -> None:
        """Hold back everything from now on, both ways unless some are named."""
        for way in ways or Way:
            self._open[way] = anyio.Event()

    def mend(self) -> None:
        """Let everything through again."""
        for opened in self._open.values():
            opened.set()

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
        """Forward one connection, in both directions, until both have ended."""
        # A connection needs both ways to open.
        for way in Way:
            await self._open[way].wait()
        age = self._silence
        ip, _, port = self._target.rpartition(":")
        try:
            far = await anyio.connect_tcp(ip, int(port))
        except OSError:
            await near.aclose()
            return
        async with near, far, anyio.create_task_group() as tasks:
            self._scopes.add(tasks.cancel_scope)
            tasks.start_soon(self._pump, Way.OUT, near, far, tasks, age)
            tasks.start_soon(self._pump, Way.BACK, far, near, tasks, age)
        self._scopes.discard(tasks.cancel_scope)

    async def _pump(
        self,
        way: Way,
        source: SocketStream,
        sink: SocketStream,
        tasks: TaskGroup,
        age: int,
    ) -> None:
        """Forward one direction; a broken connection ends both."""
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                await self._open[way].wait()
                if age == self._silence:
                    await sink.send(data)
        except anyio.EndOfStream:
            await self._open[way].wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._open[way].wait()
        tasks.cancel_scope.cancel()
