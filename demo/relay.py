"""Loopback TCP relays that stand for network paths and can be cut at will.

A cut path loses nothing for good: what is under way, and what is sent while it
is cut, arrives when it is mended, as over a network that drops packets for a
while. Nobody gets a reset. Connections that are silenced stay so for good.
"""

from __future__ import annotations

import anyio
from anyio.abc import SocketStream, TaskGroup, TaskStatus

from demo.ports import LOOPBACK

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
        self._silence = 0

    def silence(self) -> None:
        """Let nothing more through on the connections that are open now."""
        self._silence += 1

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
        age = self._silence
        ip, _, port = self._target.rpartition(":")
        try:
            far = await anyio.connect_tcp(ip, int(port))
        except OSError:
            await near.aclose()
            return
        async with near, far, anyio.create_task_group() as tasks:
            tasks.start_soon(self._pump, near, far, tasks, age)
            tasks.start_soon(self._pump, far, near, tasks, age)

    async def _pump(
        self, source: SocketStream, sink: SocketStream, tasks: TaskGroup, age: int
    ) -> None:
        """Forward one direction; a broken connection ends both."""
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await self._open.wait()
                if age == self._silence:
                    await sink.send(data)
        except anyio.EndOfStream:
            await self._open.wait()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self._open.wait()
        tasks.cancel_scope.cancel()
