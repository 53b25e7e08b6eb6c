"""What all servers of a process share, and what one server may use of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from courselead.integrations.http_api.body_budget import BodyBudget
from courselead.integrations.http_api.parse_turns import ParseTurns
from courselead.settings import LimitSettings
from courselead.settings.const import BYTES_HELD_PER_BODY_BYTE

MAX_WIRE_BYTES_PER_BODY_BYTE = 6
"""A chunk of one byte has five bytes of framing."""

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Size of the kernel's receive buffer of a caller's connection. Linux allocates twice
as much. Unread bytes count as memory of the process on some platforms."""


@dataclass(frozen=True, slots=True)
class SharedCapacity:
    """Memory and parser time that all servers of a process share."""

    budget: BodyBudget
    turns: ParseTurns = field(default_factory=ParseTurns)

    @classmethod
    def from_bytes(cls, budget_bytes: int) -> SharedCapacity:
        """Return the capacity of a process with some memory for requests."""
        return cls(BodyBudget(budget_bytes))

    @property
    def max_body_bytes(self) -> int:
        """Return the largest body that fits into the memory for requests."""
        return self.budget.largest_request_bytes // BYTES_HELD_PER_BODY_BYTE


@dataclass(frozen=True, slots=True)
class ServerCapacity:
    """What the connections of one server may use.

    Attributes:
        shared: Capacity that the server shares with the others of its process.
        limits: Limits on its connections and their requests.
        body_bytes: Returns the largest body where it changes while the server runs. It
            counts up to the one in `limits`.
        may_use_reserve: Whether large requests may use the reserve of the budget.
        receive_buffer_bytes: Size of the kernel's receive buffer of a connection.
    """

    shared: SharedCapacity
    limits: LimitSettings
    body_bytes: Callable[[], int] | None = None
    may_use_reserve: bool = False
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES

    @classmethod
    def from_limits(cls, limits: LimitSettings) -> ServerCapacity:
        """Return the capacity of the only server of a process."""
        return cls(SharedCapacity.from_bytes(limits.request_memory_bytes), limits)

    @property
    def max_body_bytes(self) -> int:
        """Return the largest body that is served now."""
        if self.body_bytes is None:
            return self.limits.body_bytes
        return min(self.limits.body_bytes, self.body_bytes())

    @property
    def max_wire_bytes(self) -> int:
        """Return the maximum length of a request with its head and its framing."""
        framed_bytes = self.max_body_bytes * MAX_WIRE_BYTES_PER_BODY_BYTE
        return framed_bytes + self.limits.header_bytes
