"""Paths on loopback that are cut one way, slow or broken."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest

from demo.ports import free_ports
from demo.relay import Relay, Way

pytestmark = pytest.mark.anyio


@asynccontextmanager
async def echo_through_a_relay():
    """Serve an echo behind a relay; it counts what has reached it."""
    reached: list[bytes] = []

    async def echo(stream) -> None:
        async with stream:
            try:
                while True:
                    data = await stream.receive()
                    reached.append(data)
                    await stream.send(data)
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    relay = Relay(free_ports(1)[0], f"127.0.0.1:{port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, echo)
        await tasks.start(relay.serve)
        ip, _, relay_port = relay.address.rpartition(":")
        stream = await anyio.connect_tcp(ip, int(relay_port))
        async with stream:
            yield relay, stream, reached
        tasks.cancel_scope.cancel()


async def test_a_way_that_is_cut_back_delivers_but_answers_late():
    with anyio.fail_after(60):
        async with echo_through_a_relay() as (relay, stream, reached):
            await stream.send(b"a")
            assert await stream.receive() == b"a"
            relay.cut(Way.BACK)
            await stream.send(b"b")
            while reached != [b"a", b"b"]:
                await anyio.sleep(0.005)
            relay.mend()
            assert await stream.receive() == b"b"


async def test_a_way_that_is_cut_out_delivers_nothing_until_it_is_mended():
    with anyio.fail_after(60):
        async with echo_through_a_relay() as (relay, stream, reached):
            async with echo_through_a_relay() as (_, other, _):
                relay.cut(Way.OUT)
                await stream.send(b"a")
                # Many exchanges on another path: time enough for what is not held.
                for _ in range(20):
                    await other.send(b"b")
                    await other.receive()
            assert reached == []
            relay.mend()
            assert await stream.receive() == b"a"


async def test_a_reset_breaks_open_connections_and_new_ones_work():
    with anyio.fail_after(60):
        async with echo_through_a_relay() as (relay, stream, _):
            await stream.send(b"a")
            assert await stream.receive() == b"a"
            relay.reset()
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stream.receive()
            ip, _, port = relay.address.rpartition(":")
            async with await anyio.connect_tcp(ip, int(port)) as again:
                await again.send(b"b")
                assert await again.receive() == b"b"
