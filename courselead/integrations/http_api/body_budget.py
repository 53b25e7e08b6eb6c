"""The memory that the requests of all callers of a process may hold together."""

from __future__ import annotations

from collections.abc import Callable

from courselead.settings.const import RESERVE_DIVISOR

SMALL_REQUEST_BYTES = 32 * 1024
"""A request that holds no more may use the reserve, which large ones leave free."""

SLOW_REQUEST_S = 2.0
"""Age from which an incomplete request gives way to another one. A caller that sends
without pauses completes the largest body sooner, on the slowest links in use."""


class BodyBudget:
    """A limit on the bytes that the requests in a process hold.

    A request takes bytes before it holds them and gives all of them back when it ends.
    If too few are left, the oldest incomplete request that is slow is ended for it; if
    there is none, the request is refused. So callers that stop in the middle of their
    bodies keep out nobody for longer than `SLOW_REQUEST_S`.

    Attributes:
        total_bytes: Maximum of bytes held.
        refused: Number of requests refused for lack of bytes.
        evicted: Number of incomplete requests that were ended for others.
    """

    def __init__(self, total_bytes: int) -> None:
        """Set the limit; nothing is held yet."""
        self.total_bytes = total_bytes
        self.refused = 0
        self.evicted = 0
        self._held = 0
        self._reserve_bytes = total_bytes // RESERVE_DIVISOR
        # Incomplete requests in the order of their start.
        self._incomplete: dict[RequestAccount, None] = {}

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all requests hold."""
        return self._held

    @property
    def largest_request_bytes(self) -> int:
        """Return how many bytes a single request can take of an unused budget."""
        return self.total_bytes - self._reserve_bytes

    def open(
        self, now: float, on_evict: Callable[[], None], may_use_reserve: bool = False
    ) -> RequestAccount:
        """Return the account of a request that begins.

        Args:
            now: Seconds on the same monotonic clock in each call.
            on_evict: Ends the request, whose bytes have been given back.
            may_use_reserve: Whether the request may use the reserve at any size.
        """
        account = RequestAccount(self, now, on_evict, may_use_reserve)
        self._incomplete[account] = None
        return account

    def _take(self, account: RequestAccount, count: int, now: float) -> bool:
        small = account.held_bytes + count <= SMALL_REQUEST_BYTES
        limit = self.total_bytes
        if not (small or account.may_use_reserve):
            limit = self.largest_request_bytes
        while self._held + count > limit:
            if not self._evict_oldest(account, now):
                self.refused += 1
                return False
        self._held += count
        return True

    def _evict_oldest(self, taker: RequestAccount, now: float) -> bool:
        """End the oldest incomplete request; return whether there was a slow one."""
        for account in self._incomplete:
            if account is taker or now - account.started_at < SLOW_REQUEST_S:
                return False
            if not account.held_bytes:
                continue
            account.close()
            self.evicted += 1
            account.on_evict()
            return True
        return False


class RequestAccount:
    """The bytes that one request holds.

    Attributes:
        started_at: When the request began, in seconds.
        on_evict: Ends the request.
        may_use_reserve: Whether it may use the reserve at any size.
        held_bytes: Bytes taken and not given back.
    """

    __slots__ = ("_budget", "held_bytes", "may_use_reserve", "on_evict", "started_at")

    def __init__(
        self,
        budget: BodyBudget,
        started_at: float,
        on_evict: Callable[[], None],
        may_use_reserve: bool,
    ) -> None:
        """Open the account; it holds nothing."""
        self._budget = budget
        self.started_at = started_at
        self.on_evict = on_evict
        self.may_use_reserve = may_use_reserve
        self.held_bytes = 0

    def take(self, count: int, now: float) -> bool:
        """Take bytes; return whether they may be held."""
        if not self._budget._take(self, count, now):
            return False
        self.held_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Give back some of the bytes."""
        count = min(count, self.held_bytes)
        self.held_bytes -= count
        self._budget._held -= count

    def mark_complete(self) -> None:
        """Note that the whole request has arrived, so that it is not ended."""
        self._budget._incomplete.pop(self, None)

    def close(self) -> None:
        """Give back all bytes; closing again has no effect."""
        self.mark_complete()
        self.give_back(self.held_bytes)
