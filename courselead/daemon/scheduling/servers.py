"""The HTTP servers of an entry host on a platform, and what each of them may use."""

from __future__ import annotations

from dataclasses import dataclass, replace

from courselead.daemon.scheduling.relay_app import MAX_RELAYED_BODY_BYTES
from courselead.integrations.http_api.capacity import (
    RECEIVE_BUFFER_BYTES,
    ServerCapacity,
    SharedCapacity,
)
from courselead.integrations.http_api.protocol import surplus_connections
from courselead.settings import LimitSettings
from courselead.settings.const import BYTES_PER_MIB, DEFAULT_MAX_CONNECTIONS

PROGRAM_MEMORY_MB = 56
"""Memory of a host without requests and jobs."""

MIN_SHARED_DIVISOR = 4
"""One part in so many of a machine's memory is shared out in any case."""

REQUEST_MEMORY_DIVISOR = 3
"""One part in so many of the rest is for requests."""

CONNECTION_MEMORY_DIVISOR = 6
"""One part in so many is for the connections of each of the two larger servers."""

CONNECTION_BYTES = 16 * 1024
"""Memory of a connection without a request: its objects, and data of one read."""

RELAY_RECEIVE_BUFFER_BYTES = 2 * RECEIVE_BUFFER_BYTES
"""Other hosts send appends of up to 2 MB, on links with round trips of milliseconds."""

JOB_MEMORY_DIVISOR = 3
"""One part in so many is for the jobs of the log, on the schedule's owner."""

SOCKET_SHARES = 3
"""Callers and other hosts may each use one part in so many of the sockets. The rest is
for this host's own connections."""

SMALL_SERVER_CONNECTIONS = 16
"""Connections to the servers that only the platform calls, once a second."""


@dataclass(frozen=True, slots=True)
class Machine:
    """The limits of a process.

    Attributes:
        memory_mb: Memory in MiB. Unread bytes in the kernel count as well.
        max_sockets: Sockets that may be open.
    """

    memory_mb: int
    max_sockets: int

    @property
    def shared_bytes(self) -> int:
        """Return the memory beside that of the program."""
        least_mb = self.memory_mb // MIN_SHARED_DIVISOR
        return max(self.memory_mb - PROGRAM_MEMORY_MB, least_mb) * BYTES_PER_MIB

    @property
    def request_memory_bytes(self) -> int:
        """Return the memory for requests."""
        return self.shared_bytes // REQUEST_MEMORY_DIVISOR

    @property
    def job_memory_bytes(self) -> int:
        """Return the memory for the jobs of the log."""
        return self.shared_bytes // JOB_MEMORY_DIVISOR

    def max_connections(self, receive_buffer_bytes: int) -> int:
        """Return how many connections one of the larger servers may accept."""
        memory = self.shared_bytes // CONNECTION_MEMORY_DIVISOR
        by_memory = memory // (CONNECTION_BYTES + receive_buffer_bytes)
        by_sockets = self.max_sockets // SOCKET_SHARES
        most = min(DEFAULT_MAX_CONNECTIONS, by_memory, by_sockets)
        while most > 1 and most + surplus_connections(most) > by_sockets:
            most -= 1
        return max(most, 1)


@dataclass(frozen=True, slots=True)
class ServerCapacities:
    """What each server of a host may use.

    Attributes:
        shared: Memory and parser time that all servers share.
        front: For callers. The operators' configuration has the limit of a body, so
            the server's own one is the largest body that fits into the memory.
        relay: For other hosts.
        small: For each server whose requests have no bodies.
    """

    shared: SharedCapacity
    front: ServerCapacity
    relay: ServerCapacity
    small: ServerCapacity

    @classmethod
    def from_machine(cls, machine: Machine) -> ServerCapacities:
        """Divide the limits of a process among its servers."""
        shared = SharedCapacity.from_bytes(machine.request_memory_bytes)
        front = LimitSettings(
            body_bytes=shared.max_body_bytes,
            max_connections=machine.max_connections(RECEIVE_BUFFER_BYTES),
        )
        relay = LimitSettings(
            body_bytes=min(MAX_RELAYED_BODY_BYTES, shared.max_body_bytes),
            max_connections=machine.max_connections(RELAY_RECEIVE_BUFFER_BYTES),
        )
        small = replace(front, body_bytes=0, max_connections=SMALL_SERVER_CONNECTIONS)
        return cls(
            shared,
            ServerCapacity(shared, front),
            # A host that callers keep busy still stores what others forward.
            ServerCapacity(
                shared,
                relay,
                may_use_reserve=True,
                receive_buffer_bytes=RELAY_RECEIVE_BUFFER_BYTES,
            ),
            ServerCapacity(shared, small),
        )
