"""Allocates loopback ports for processes that are configured before they start."""

import os
import socket
from collections.abc import Iterator
from dataclasses import dataclass

LOOPBACK = "127.0.0.1"

FIRST_PORT = 12_000
END_PORT = 32_000
"""End of the range, below the kernel's ephemeral ports (from 32768 by default), so that
no client connection, and no listener without a fixed port, takes an allocated port
before its process listens on it."""

PORTS_PER_BLOCK = 400
"""Ports that a run claims at once; more than any run needs."""

BLOCK_COUNT = (END_PORT - FIRST_PORT) // PORTS_PER_BLOCK


@dataclass(frozen=True, slots=True)
class _Block:
    """A block of ports that belongs to this process.

    Attributes:
        number: Index of the block in the range, from 0.
        guard: Socket bound to the block's first port while this process lives. Only one
            run can bind it, so it reserves the whole block, also the ports on which no
            process listens yet or whose process is down. The kernel releases it when
            the run is killed.
    """

    number: int
    guard: socket.socket

    def ports(self) -> range:
        """Return the block's ports without that of the guard."""
        first = FIRST_PORT + self.number * PORTS_PER_BLOCK
        return range(first + 1, first + PORTS_PER_BLOCK)


_CLAIMED_BLOCKS: list[_Block] = []
"""The blocks of this process, in the order in which they were claimed."""


def run_number() -> int:
    """Return a number from 0 to `BLOCK_COUNT` - 1, unique among the current runs.

    Raises:
        OSError: All blocks are taken.
    """
    return _first_block().number


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are free now; a process gets each port only once.

    Raises:
        OSError: Too few free ports are left in the range.
    """
    ports: list[int] = []
    for port in _PORTS:
        if not _is_free(port):
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError(f"no free port left between {FIRST_PORT} and {END_PORT}")


def _iter_ports() -> Iterator[int]:
    """Yield each port of this process's blocks once; claim more blocks as needed.

    Raises:
        OSError: No block is left.
    """
    yield from _first_block().ports()
    while True:
        yield from _claim_block().ports()


def _first_block() -> _Block:
    return _CLAIMED_BLOCKS[0] if _CLAIMED_BLOCKS else _claim_block()


def _claim_block() -> _Block:
    """Claim and return a free block.

    Raises:
        OSError: All blocks are taken.
    """
    # With the process id as offset, concurrent runs mostly start at different blocks.
    offset = os.getpid()
    for step in range(BLOCK_COUNT):
        number = (offset + step) % BLOCK_COUNT
        guard = socket.socket()
        try:
            guard.bind((LOOPBACK, FIRST_PORT + number * PORTS_PER_BLOCK))
        except OSError:
            guard.close()
            continue
        block = _Block(number, guard)
        _CLAIMED_BLOCKS.append(block)
        return block
    raise OSError(f"no block of ports left between {FIRST_PORT} and {END_PORT}")


_PORTS = _iter_ports()


def _is_free(port: int) -> bool:
    """Return whether a process can listen on a port now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
