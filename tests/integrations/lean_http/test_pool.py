"""Tests of a pool whose idle connections become unresponsive while new ones work."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from returns.result import Failure, Success

from courselead.integrations.http.errors import NotSent
from courselead.integrations.lean_http import Call, LeanPool

pytestmark = pytest.mark.anyio

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SHORT_MS = 50
LONG_MS = 5_000
KEPT = 4


class Server:
    """Answers requests; can stop answering on all connections that are open."""

    def __init__(self) -> None:
        self.opened = 0
        self.silent = 0
        self.arrived = 0
        self.gate = anyio.Event()

    def silence(self) -> None:
        """Stop answering on the connections that are open now."""
        self.silent = self.opened

    async def serve(self, stream) -> None:
        number, self.opened = self.opened, self.opened + 1
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if number < self.silent:
                    continue
                self.arrived += 1
                await self.gate.wait()
                await stream.send(ANSWER)


@asynccontextmanager
async def _served() -> AsyncIterator[tuple[Server, LeanPool]]:
    """Yield a server and a pool with several idle connections to it."""
    server = Server()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, server.serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        pool = LeanPool(f"127.0.0.1:{port}", KEPT)
        async with anyio.create_task_group() as calls:
            for _ in range(KEPT):
                calls.start_soon(pool.call, Call("GET", "/"), LONG_MS)
            while server.arrived < KEPT:
                await anyio.sleep(0)
            server.gate.set()
        yield server, pool
        pool.close()
        tasks.cancel_scope.cancel()


async def test_one_unresponsive_connection_costs_one_timeout() -> None:
    async with _served() as (server, pool):
        server.silence()
        assert isinstance(await pool.call(Call("GET", "/"), SHORT_MS), Failure)
        results = []

        async def call() -> None:
            results.append(await pool.call(Call("GET", "/"), LONG_MS))

        async with anyio.create_task_group() as calls:
            for _ in range(KEPT):
                calls.start_soon(call)
        assert [type(result) for result in results] == [Success] * KEPT


async def test_idle_connections_are_reused_while_they_respond() -> None:
    async with _served() as (server, pool):
        for _ in range(3):
            assert isinstance(await pool.call(Call("GET", "/"), LONG_MS), Success)
        assert server.opened == KEPT


async def test_a_call_in_progress_continues_when_another_one_fails() -> None:
    async with _served() as (server, pool):
        server.gate = anyio.Event()
        results = []

        async def call(timeout_ms: int) -> None:
            results.append(await pool.call(Call("GET", "/"), timeout_ms))

        async with anyio.create_task_group() as calls:
            calls.start_soon(call, LONG_MS)
            while server.arrived == KEPT:
                await anyio.sleep(0)
            await call(SHORT_MS)
            server.gate.set()
        assert isinstance(results[0], Failure)
        assert isinstance(results[1], Success)


async def test_a_call_that_waited_for_a_connection_is_not_sent_if_it_may_not_be():
    # Guards against orders that leave seconds after they were decided, as all
    # connections were waiting for answers.
    async with _served() as (server, pool):
        server.gate = anyio.Event()
        results = []
        allowed = True

        async def call_late() -> None:
            results.append(
                await pool.call(Call("GET", "/"), LONG_MS, may_send=lambda: allowed)
            )

        async with anyio.create_task_group() as calls:
            for _ in range(KEPT):
                calls.start_soon(pool.call, Call("GET", "/"), LONG_MS)
            while server.arrived < 2 * KEPT:
                await anyio.sleep(0)
            calls.start_soon(call_late)
            await anyio.wait_all_tasks_blocked()
            allowed = False
            server.gate.set()
        assert isinstance(results[0].failure(), NotSent)
        assert server.arrived == 2 * KEPT
