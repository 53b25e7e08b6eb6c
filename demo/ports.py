"""Loopback ports for processes that are told where to listen before they start."""

import os
import socket
from collections.abc import Iterator

LOOPBACK = "127.0.0.1"

FIRST_PORT = 12_000
END_PORT = 32_000
"""Range below that from which the kernel serves clients and listeners without a port
of their own (from 32768 by default): none of these takes a port that was handed out
before its process listens there."""

PORTS_PER_RUN = 400
"""Distance of two runs that begin side by side: more than any of them asks for."""


def _numbers() -> Iterator[int]:
    """Yield the range's ports once each, beginning at a place of this process's own."""
    size = END_PORT - FIRST_PORT
    first = os.getpid() * PORTS_PER_RUN
    for step in range(size):
        yield FIRST_PORT + (first + step) % size


_NUMBERS = _numbers()


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


def _is_free(port: int) -> bool:
    """Return whether a process could listen on a port."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
