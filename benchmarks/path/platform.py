"""Runs the platform of a benchmark in one process.

The platform consists of the log, the membership list, the agents and the minions.

`full` runs the stand-ins. Their sockets are created without a protocol number,
so asyncio leaves Nagle's algorithm on, and an answer on a persistent connection
waits 40 ms for a delayed acknowledgement. It is turned off here, as is usual in
servers.

`light` is for many workers. The agents of the stand-ins are complete HTTP
servers, and a thousand of them would overload one process. The agents here only
answer the two calls of an idle fleet, and their minions accept no connections.

Run as `python -m benchmarks.path.platform full|light WORKERS ZONES REBOOT_MS`.
Prints one JSON line with the addresses when it is ready, and serves until SIGINT
or SIGTERM.
"""

import json
import signal
import socket
import sys
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from standins.faults import Endpoint
from standins.fleet import Fleet, FleetSpec
from standins.log import LogStandin
from standins.membership import MembershipStandin
from standins.serving import Listener

HEAD_END = b"\r\n\r\n"
READ_BYTES = 64 * 1024
RACKS = 8
FIRST_MINION_PORT = 20_000


# Calls and bytes of all agents together, including HTTP heads.
TRAFFIC = {"calls": 0, "received_bytes": 0, "sent_bytes": 0}


@dataclass(slots=True)
class Agent:
    """Lightweight agent of one worker."""

    worker: str
    number: int
    epoch: int = 0
    service: str = ""
    starts: int = 0
    port: int = 0

    @property
    def minion_address(self) -> str:
        """Return the address of the current minion, which no earlier one had."""
        port = FIRST_MINION_PORT + self.starts
        low = self.number % 250 + 1
        high = self.number // 250
        return f"127.9.{high}.{low}:{port}"

    async def serve(self, stream: SocketStream) -> None:
        """Answer the calls on a connection until it closes."""
        data = b""
        async with stream:
            while True:
                try:
                    while HEAD_END not in data:
                        data += await stream.receive(READ_BYTES)
                    head, _, rest = data.partition(HEAD_END)
                    length = _content_length(head)
                    while len(rest) < length:
                        rest += await stream.receive(READ_BYTES)
                    body, data = rest[:length], rest[length:]
                    answer = self._answer(head, body)
                    TRAFFIC["calls"] += 1
                    TRAFFIC["received_bytes"] += len(head) + len(HEAD_END) + length
                    TRAFFIC["sent_bytes"] += len(answer)
                    await stream.send(answer)
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return

    def _answer(self, head: bytes, body: bytes) -> bytes:
        """Return the HTTP response to one call."""
        if head.startswith(b"GET /-/counts"):
            return _response(TRAFFIC)
        if head.startswith(b"POST /v1/minion/start"):
            call = json.loads(body)
            if call["epoch"] > self.epoch:
                self.epoch = call["epoch"]
                self.service = call["service"]
                self.starts += 1
            return _response({"address": self.minion_address})
        return _response(self._state())

    def _state(self) -> dict[str, object]:
        """Return the worker's state."""
        minion = None
        if self.service:
            minion = {
                "service": self.service,
                "address": self.minion_address,
                "state": "serving",
                "in_flight": 0,
            }
        return {
            "worker": self.worker,
            "epoch": self.epoch,
            "minion": minion,
            "rebooting": False,
            "boots": 1,
            "tasks": [],
            "usage_lag_ms": 0,
        }


def _content_length(head: bytes) -> int:
    """Return the length of the body from the head of a call."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def _response(data: dict[str, object]) -> bytes:
    """Return a complete HTTP response with a JSON body."""
    body = json.dumps(data).encode()
    length = len(body)
    lines = (
        "HTTP/1.1 200 OK",
        "content-type: application/json",
        f"content-length: {length}",
        "",
        "",
    )
    return "\r\n".join(lines).encode() + body


def _member(agent: Agent, zones: int) -> dict[str, object]:
    """Return the entry of a worker in the membership list."""
    zone = agent.number % zones
    rack = agent.number // zones % RACKS
    return {
        "id": agent.worker,
        "kind": "worker",
        "state": "live",
        "availability_zone": f"zone-{zone}",
        "rack": f"zone-{zone}-rack-{rack}",
        "address": f"127.0.0.1:{agent.port}",
        "client_account": "shared",
        "cores": 16.0,
        "memory_mb": 65_536,
    }


async def serve_light(workers: int, zones: int) -> None:
    """Serve lightweight agents until a signal arrives."""
    log = Listener(Endpoint(LogStandin().handle))
    membership = MembershipStandin()
    lister = Listener(membership.endpoint)
    agents = [Agent(f"worker-{number:04}", number) for number in range(workers)]
    async with anyio.create_task_group() as tasks:
        for agent in agents:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            agent.port = listener.extra(anyio.abc.SocketAttribute.local_port)
            tasks.start_soon(listener.serve, agent.serve)
        membership.put([_member(agent, zones) for agent in agents])
        await tasks.start(log.run)
        await tasks.start(lister.run)
        await _announce_and_wait({"log": log.address, "membership": lister.address})
        tasks.cancel_scope.cancel()


async def serve_full(workers: int, zones: int, reboot_ms: int) -> None:
    """Serve the stand-ins until a signal arrives."""
    fleet = Fleet(FleetSpec(workers=workers, zones=zones, reboot_ms=reboot_ms))
    async with anyio.create_task_group() as tasks:
        await tasks.start(fleet.run)
        await _announce_and_wait(fleet.addresses())
        tasks.cancel_scope.cancel()


async def _announce_and_wait(addresses: dict[str, object]) -> None:
    """Print the addresses and wait for a signal."""
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        print(json.dumps(addresses), flush=True)
        async for _ in signals:
            return


def _disable_nagle() -> None:
    """Turn off Nagle's algorithm on all listeners; connections inherit the option."""
    original_init = Listener.__init__

    def init_with_nodelay(self: Listener, *args: object, **kwargs: object) -> None:
        original_init(self, *args, **kwargs)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    Listener.__init__ = init_with_nodelay


def main(kind: str, workers: int, zones: int, reboot_ms: int) -> None:
    """Serve the given kind of platform."""
    _disable_nagle()
    if kind == "light":
        anyio.run(serve_light, workers, zones)
        return
    anyio.run(serve_full, workers, zones, reboot_ms)


if __name__ == "__main__":
    main(sys.argv[1], *[int(text) for text in sys.argv[2:5]])
