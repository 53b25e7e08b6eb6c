"""Streams between entry hosts, over loopback."""

import contextlib
import socket
from dataclasses import replace

import anyio
import pytest
from anyio.abc import SocketAttribute

from courselead.core.events import PeerReport
from courselead.integrations.peers import const
from courselead.integrations.peers.codec import FrameDecoder, Hello, encode
from courselead.integrations.peers.coordinator import PeerCoordinator
from courselead.integrations.peers.errors import OldIncarnation, PeerListenFailed
from courselead.integrations.peers.members import Members
from courselead.settings import Address, PeerSettings, Settings
from tests.integrations.scarce_files import no_free_files

pytestmark = pytest.mark.anyio
BOUND_S = 10
FREE = Address("127.0.0.1", 0)
HELLO_2 = Hello(const.PROTOCOL_VERSION, "eh-2", 5, "az-2")


def settings(listen=FREE, name="eh-1", zone="az-1", peers=()):
    """Return settings of one entry host."""
    return Settings(name, zone, FREE, listen, "http://x", "http://x", tuple(peers))


def eh_2(address=FREE):
    """Return the settings of the one peer."""
    return PeerSettings("eh-2", address, "az-2")


def report(serial, name="eh-2", incarnation=5, zone="az-2", **fields):
    """Return a report of the peer."""
    return PeerReport(name, incarnation, zone, serial, 0, **fields)


@contextlib.asynccontextmanager
async def running(chosen, incarnation=1):
    """Run a coordinator; gives it, its address, reports and reachability."""
    reports, reached = [], []
    coordinator = PeerCoordinator(
        chosen, incarnation, reports.append, lambda *pair: reached.append(pair)
    )
    with anyio.fail_after(BOUND_S):
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(coordinator.run)
            yield coordinator, address, reports, reached
            tasks.cancel_scope.cancel()


async def until(condition):
    """Wait for a condition; the running coordinator's bound ends it."""
    while not condition():
        await anyio.sleep(0.005)


async def closed_by_peer(stream):
    """Read until the other side closes."""
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            await stream.receive()


async def test_two_hosts_exchange_reports_and_see_a_loss():
    async with running(settings(name="eh-2", zone="az-2")) as (_, at_2, got_2, _):
        # eh-2 must know eh-1 to take its stream.
        pass
    two = settings(at_2, "eh-2", "az-2", [PeerSettings("eh-1", FREE, "az-1")])
    async with running(settings(peers=[eh_2(at_2)])) as (one, _, _, reached):
        async with running(two, 5) as (_, _, got_2, _):
            await until(lambda: reached == [("eh-2", True)])
            one.send("eh-2", report(1, "eh-1", 1, "az-1", in_flight=(("w", 3),)))
            await until(lambda: got_2)
            assert got_2[0].in_flight == (("w", 3),)
            one.send("eh-9", got_2[0])
        await until(lambda: reached == [("eh-2", True), ("eh-2", False)])
        async with running(two, 6):
            await until(lambda: reached[2:] == [("eh-2", True)])


async def test_an_older_incarnation_at_the_peers_address_is_refused():
    async with running(settings(name="eh-2", zone="az-2")) as (_, at_2, _, _):
        pass
    two = settings(at_2, "eh-2", "az-2", [PeerSettings("eh-1", FREE, "az-1")])
    async with running(settings(peers=[eh_2(at_2)])) as (_, at_1, got_1, reached):
        async with running(two, 6):
            await until(lambda: reached == [("eh-2", True)])
        async with await anyio.connect_tcp(at_1.ip, at_1.port) as raw:
            await raw.send(encode(HELLO_2) + encode(report(1)))
            await closed_by_peer(raw)
        assert got_1 == []


async def test_streams_go_on_while_no_file_is_free():
    """A host with as many open files as it may have keeps its streams.

    The accept that failed ended the listener, and with it the host: its task group
    fell with "OSError: [Errno 24] Too many open files", and callers were cut off.
    """
    async with running(settings(name="eh-2", zone="az-2")) as (_, at_2, _, _):
        pass
    one = settings(peers=[eh_2(at_2)])
    async with running(one) as (_, at_1, got_1, _), connected(at_1) as raw:
        await raw.send(encode(HELLO_2) + encode(report(1)))
        await until(lambda: len(got_1) == 1)
        with socket.socket() as waiting:
            with no_free_files():
                waiting.connect((at_1.ip, at_1.port))
                waiting.sendall(encode(HELLO_2))
                await raw.send(encode(report(2)))
                await until(lambda: len(got_1) == 2)
                await anyio.sleep(0.3)
            # Its stream is taken in now, in place of the one of before.
            await anyio.wait_readable(waiting)
            waiting.sendall(encode(report(3)))
            await until(lambda: len(got_1) == 3)


@contextlib.asynccontextmanager
async def connected(address):
    """Give a raw stream to a host."""
    async with await anyio.connect_tcp(address.ip, address.port) as raw:
        yield raw


def test_an_older_incarnation_is_old_on_either_stream():
    members = Members((eh_2(),))
    members.greet(replace(HELLO_2, incarnation=6))
    with pytest.raises(OldIncarnation):
        members.greet(HELLO_2)
    with pytest.raises(OldIncarnation):
        members.is_new(HELLO_2, report(1))


def test_reports_of_a_host_that_joined_again_are_taken_over_its_old_stream():
    members = Members((eh_2(),))
    members.greet(HELLO_2)
    assert members.is_new(HELLO_2, report(7))
    assert members.is_new(HELLO_2, report(1, incarnation=6))
    assert not members.is_new(HELLO_2, report(8))
    members.greet(HELLO_2)


@pytest.mark.parametrize(
    "data",
    [
        encode(replace(HELLO_2, version=9)),
        encode(replace(HELLO_2, entry_host="eh-3")),
        encode(replace(HELLO_2, entry_host="eh-1")),
        encode(replace(HELLO_2, availability_zone="az-9")),
        encode(report(1)),
        b"GET / HTTP/1.1\r\n\r\n",
        encode(HELLO_2) + encode(HELLO_2),
        encode(HELLO_2) + encode(report(1, "eh-3")),
        encode(HELLO_2) + encode(report(1, incarnation=4)),
        encode(HELLO_2) + encode(report(1)) + b"\xc1",
    ],
)
async def test_a_stream_that_breaks_the_protocol_is_closed(data):
    async with running(settings(peers=[eh_2()])) as (_, address, reports, _):
        async with await anyio.connect_tcp(address.ip, address.port) as stream:
            await stream.send(data)
            await closed_by_peer(stream)
        assert reports == []
        async with await anyio.connect_tcp(address.ip, address.port) as stream:
            await stream.send(encode(HELLO_2) + encode(report(2)))
            await until(lambda: reports == [report(2)])


async def test_a_stream_that_says_nothing_is_closed(monkeypatch):
    monkeypatch.setattr(const, "HELLO_TIMEOUT_MS", 20)
    monkeypatch.setattr(const, "SILENCE_MS", 20)
    async with running(settings(peers=[eh_2()])) as (_, address, _, _):
        for data in (b"", encode(HELLO_2)):
            async with await anyio.connect_tcp(address.ip, address.port) as stream:
                await stream.send(data)
                await closed_by_peer(stream)


async def test_strangers_are_bounded(monkeypatch):
    monkeypatch.setattr(const, "MAX_STRANGERS", 1)
    async with running(settings(peers=[eh_2()])) as (_, address, _, _):
        first = await anyio.connect_tcp(address.ip, address.port)
        async with (
            first,
            await anyio.connect_tcp(address.ip, address.port) as second,
        ):
            await closed_by_peer(second)


async def test_old_and_repeated_reports_are_dropped_also_on_a_second_stream():
    async with running(settings(peers=[eh_2()])) as (_, address, reports, _):
        first = await anyio.connect_tcp(address.ip, address.port)
        second = await anyio.connect_tcp(address.ip, address.port)
        async with first, second:
            await first.send(encode(HELLO_2) + encode(report(3)))
            await until(lambda: reports)
            await second.send(encode(HELLO_2) + encode(report(2)) + encode(report(3)))
            await closed_by_peer(first)
            await second.send(encode(report(4)) + encode(report(5)))
            await until(lambda: reports == [report(3), report(5)])
            newer = replace(HELLO_2, incarnation=6)
            third = await anyio.connect_tcp(address.ip, address.port)
            async with third:
                await third.send(encode(newer) + encode(report(1, incarnation=6)))
                await until(lambda: reports[2:] == [report(1, incarnation=6)])


@contextlib.asynccontextmanager
async def accepting(hello, slow, greeted=None):
    """Be the peer: answer with a hello, then do not read until `slow` is set."""
    greeted = [] if greeted is None else greeted
    taken = []
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def serve(stream):
        decoder = FrameDecoder()
        async with stream:
            greeted.extend(decoder.feed(await stream.receive()))
            await stream.send(encode(hello))
            await slow.wait()
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    taken.extend(decoder.feed(await stream.receive()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(SocketAttribute.local_port)
        yield Address("127.0.0.1", port), taken
        tasks.cancel_scope.cancel()


async def test_a_slow_peer_gets_the_newest_report_and_no_queue():
    slow = anyio.Event()
    big = tuple((f"worker-{n}", n) for n in range(5_000))
    count = 1_000
    async with accepting(HELLO_2, slow) as (address, taken):
        chosen = settings(peers=[eh_2(address)])
        async with running(chosen) as (one, _, _, reached):
            await until(lambda: reached)
            for serial in range(count):
                one.send("eh-2", report(serial, "eh-1", 1, "az-1", in_flight=big))
                await anyio.sleep(0)
            slow.set()
            await until(lambda: taken and taken[-1].serial == count - 1)
            serials = [frame.serial for frame in taken]
            assert serials == sorted(set(serials))
            # 1,000 reports of some 75 kB would not fit the kernel's buffers.
            assert len(serials) < count / 2


@pytest.mark.parametrize(
    "hello",
    [
        replace(HELLO_2, entry_host="eh-3"),
        replace(HELLO_2, availability_zone="az-9"),
        replace(HELLO_2, version=2),
    ],
)
async def test_a_peer_that_answers_as_another_is_never_reachable(hello):
    slow = anyio.Event()
    slow.set()
    greeted = []
    async with accepting(hello, slow, greeted) as (address, taken):
        third = PeerSettings("eh-3", FREE, "az-3")
        chosen = settings(peers=[eh_2(address), third])
        async with running(chosen) as (one, _, _, reached):
            # It has come back, so it has judged the answer by then.
            await until(lambda: len(greeted) >= 2)
            one.send("eh-2", report(1, "eh-1", 1, "az-1"))
            assert reached == [] == taken


async def test_a_taken_port_is_a_typed_error():
    async with running(settings()) as (_, address, _, _):
        other = PeerCoordinator(settings(address), 1, print, print)
        with pytest.raises(PeerListenFailed, match="set another 'peer_listen'"):
            await other.run()
