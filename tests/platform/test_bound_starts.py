"""Starts in flight while a minion restarts at the same address.

Regression tests: 2 of about 3,000 starts of a test run were carried out by an
incarnation that had not been polled yet, although the task was running elsewhere or was
done. Orders name the minion's id, which the next incarnation shares, and that one knows
no fence and no stop yet. Only the connection distinguishes them, because it ends with
the process; but starts, their retries and those of an owner that had been frozen were
sent on any free connection, or on a new one.
"""

import json
from dataclasses import dataclass, field

import anyio
import pytest

from courselead.core.scheduler.events import Outcome, StartRun, StopRun
from courselead.core.scheduler.models import MinionInfo, Resources
from courselead.platform.minions import HttpMinionLink
from tests.platform.serving import always

pytestmark = pytest.mark.anyio

BORN_MS = 1_700_000_000_000
ORDER = StartRun("i-1", "t.0.0.0", 2, "text", 9_000, "", "")
STOP = StopRun("i-1", "t.0.0.0", 1, "")
FENCE = 7
RETRY_S = 0.01


@dataclass
class Incarnation:
    """An incarnation of a minion at the address of the previous one.

    Attributes:
        born_ms: Start time that it reports; 0 if it reports none.
        silent: Whether it does not respond to starts.
    """

    born_ms: int
    silent: bool = False
    polls: int = 0
    starts: list[dict] = field(default_factory=list)
    connections: int = 0
    got_start: anyio.Event = field(default_factory=anyio.Event)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connections += 1
        async with stream:
            while True:
                try:
                    path, body = await _request(stream)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if path == "/-/hold":
                    self.polls += 1
                    report = {"clockMs": 1, "running": [], "finished": []}
                    if self.born_ms:
                        report["born"] = self.born_ms
                    await _respond(stream, report)
                    continue
                if path == "/-/run-stop":
                    await _respond(stream, {"clockMs": 1})
                    continue
                self.starts.append(body)
                self.got_start.set()
                if not self.silent:
                    await _respond(stream, {"clockMs": 1})


async def _request(stream: anyio.abc.SocketStream) -> tuple[str, dict]:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    size = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    while len(body) < size:
        body += await stream.receive()
    return head.split()[1].decode(), json.loads(body)


async def _respond(stream: anyio.abc.SocketStream, document: dict) -> None:
    body = json.dumps(document).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    await stream.send(head.encode() + body)


class Address:
    """An address at which one incarnation follows the other."""

    def __init__(self) -> None:
        self.port = 0

    async def run(
        self, incarnation: Incarnation, until: anyio.Event, *, task_status
    ) -> None:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port, reuse_port=True
        )
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, incarnation.serve)
            task_status.started()
            await until.wait()
            # Closes all connections, as the kernel does at the end of a process.
            tasks.cancel_scope.cancel()
        await listener.aclose()

    def link(self, born_ms: int = BORN_MS) -> HttpMinionLink:
        info = MinionInfo(
            "i-1", f"127.0.0.1:{self.port}", "p", "z", Resources(), born_ms=born_ms
        )
        return HttpMinionLink(info)


async def start_across_restart(before: Incarnation, after: Incarnation) -> Outcome:
    """Send a start to an incarnation while the next one begins at its address.

    Args:
        before: Incarnation that the start is meant for. If it is silent, it ends after
            it has received the start; otherwise it ends first, and the start is sent by
            a link that had connections to it.
        after: The next incarnation.
    """
    address, ended, finished = Address(), anyio.Event(), anyio.Event()
    outcomes = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, before, ended)
        link = address.link()

        async def send() -> None:
            outcomes.append((await link.start(ORDER, FENCE, always)).outcome)
            finished.set()

        if before.silent:
            tasks.start_soon(send)
            await before.got_start.wait()
        else:
            await link.start(ORDER, FENCE, always)
        ended.set()
        await tasks.start(address.run, after, finished)
        if not before.silent:
            # A stop may be sent to any incarnation; it opens a connection to the next.
            while (await link.stop(STOP, FENCE, always)).outcome is not Outcome.OK:
                await anyio.sleep(RETRY_S)
            await send()
        await finished.wait()
        link.close()
    return outcomes[0]


async def test_a_retried_start_does_not_reach_the_next_incarnation():
    before, after = Incarnation(BORN_MS, silent=True), Incarnation(BORN_MS + 5_000)
    outcome = await start_across_restart(before, after)
    assert len(before.starts) == 1
    assert after.starts == []
    # The previous incarnation may have started the run.
    assert outcome is Outcome.UNKNOWN


async def test_a_start_after_a_restart_does_not_reach_the_next_incarnation():
    before, after = Incarnation(BORN_MS), Incarnation(BORN_MS + 5_000)
    outcome = await start_across_restart(before, after)
    assert after.starts == []
    assert outcome is Outcome.NOT_SENT


async def test_a_connection_is_polled_once_before_its_first_start():
    incarnation, finished, address = Incarnation(BORN_MS), anyio.Event(), Address()
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, incarnation, finished)
        link = address.link()
        for _ in range(3):
            assert (await link.start(ORDER, FENCE, always)).outcome is Outcome.OK
        finished.set()
        link.close()
    assert len(incarnation.starts) == 3
    assert (incarnation.polls, incarnation.connections) == (1, 1)


async def test_a_minion_without_a_start_time_is_identified_by_its_id():
    incarnation, finished, address = Incarnation(0), anyio.Event(), Address()
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, incarnation, finished)
        link = address.link(born_ms=0)
        assert (await link.start(ORDER, FENCE, always)).outcome is Outcome.OK
        finished.set()
        link.close()
    assert incarnation.polls == 0


async def test_the_start_time_is_taken_from_a_poll():
    """The list entry has no start time; the first poll reports it."""
    incarnation, finished, address = Incarnation(BORN_MS), anyio.Event(), Address()
    async with anyio.create_task_group() as tasks:
        await tasks.start(address.run, incarnation, finished)
        link = address.link(born_ms=0)
        await link.poll(FENCE, 0, 0, 0)
        assert (await link.start(ORDER, FENCE, always)).outcome is Outcome.OK
        finished.set()
        link.close()
    assert incarnation.polls == 2
