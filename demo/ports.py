"""Loopback ports for processes that are told where to listen before they start."""

import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass

LOOPBACK = "127.0.0.1"

FIRST_PORT = 12_000
END_PORT = 32_000
"""Range below that from which the kernel serves clients and listeners without a port
of their own (from 32768 by default): none of these takes a port that was handed out
before its process listens there."""

PORTS_PER_BLOCK = 400
"""Ports that a run claims at once: more than any one asks for."""

BLOCKS = (END_PORT - FIRST_PORT) // PORTS_PER_BLOCK


@dataclass(frozen=True, slots=True)
class _Block:
    """A block of ports that this process has to itself.

    Attributes:
        number: Its place in the range, from 0.
        guard: Bound to the block's first port for as long as the process lives: the
            kernel gives that port to one run only, and takes it back from a run that
            was killed. A port alone is held by nobody before its process listens, or
            while that is down.
    """

    number: int
    guard: socket.socket

    def ports(self) -> range:
        """Return the block's ports but the guard's."""
        first = FIRST_PORT + self.number * PORTS_PER_BLOCK
        return range(first + 1, first + PORTS_PER_BLOCK)


_BLOCKS: list[_Block] = []
"""What this process has claimed, in that order."""


def run_number() -> int:
    """Return a number from 0 to `BLOCKS` - 1 that no other run has at this time.

    Raises:
        OSError: All are taken.
    """
    return _first_block().number


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now; no port is returned twice.

    Raises:
        OSError: The range has too few free ports left.
    """
    found: list[int] = []
    for port in _NUMBERS:
        if not _is_free(port):
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"no free port left between {FIRST_PORT} and {END_PORT}")


def _numbers() -> Iterator[int]:
    """Yield the ports of this process's blocks once each; claim blocks on need.

    Raises:
        OSError: No block is left.
    """
    yield from _first_block().ports()
    while True:
        yield from _claim().ports()


def _first_block() -> _Block:
    return _BLOCKS[0] if _BLOCKS else _claim()


def _claim() -> _Block:
    """Claim and return a block that no run has.

    Raises:
        OSError: All are taken.
    """
    # Runs that begin side by side mostly begin at different blocks.
    first = os.getpid()
    for step in range(BLOCKS):
        number = (first + step) % BLOCKS
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, FIRST_PORT + number * PORTS_PER_BLOCK))
        except OSError:
            guard.close()
            continue
        block = _Block(number, guard)
        _BLOCKS.append(block)
        return block
    raise OSError(f"no block of ports left between {FIRST_PORT} and {END_PORT}")


_NUMBERS = _numbers()


def _is_free(port: int) -> bool:
    """Return whether a process could listen on a port."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
