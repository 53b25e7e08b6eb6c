"""Servers on loopback for the tests of the platform's protocol."""

from typing import Protocol

import anyio
from anyio.abc import SocketStream


def always() -> bool:
    """Allow every attempt of an order."""
    return True


class ConnectionHandler(Protocol):
    """Handles connections of a server."""

    async def serve(self, stream: SocketStream) -> None: ...


class RunningServer:
    """Runs a server on loopback for the duration of a test."""

    def __init__(self, server: ConnectionHandler) -> None:
        self.server = server

    async def __aenter__(self) -> str:
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = self.listener.extra(anyio.abc.SocketAttribute.local_port)
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        self.tasks.start_soon(self.listener.serve, self.server.serve)
        return f"127.0.0.1:{port}"

    async def __aexit__(self, *exc) -> None:
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)
        await self.listener.aclose()
