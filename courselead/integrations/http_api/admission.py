"""Limits on concurrent exchanges, in total and per client account."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from courselead.integrations.http_api.errors import Refusal
from courselead.integrations.http_api.problems import overloaded

# With a factor of 2, a single busy account gets two thirds of the capacity and two get
# two fifths each, so there is always capacity left for another account.
_MAX_HELD_PER_FREE = 2


class Admission:
    """Limits concurrent exchanges with a dynamic threshold per client account.

    An account may hold at most twice the free capacity, so that no account can
    take all of it. While any capacity is free, each account can hold at least one
    exchange.
    """

    def __init__(self, limit: int) -> None:
        """Set the limit on the exchanges of all accounts together."""
        self._limit = limit
        self._held: dict[str, int] = {}
        self.total = 0

    @contextmanager
    def hold(self, client_account: str) -> Iterator[None]:
        """Reserve capacity for one exchange of an account.

        Raises:
            Refusal: The entry host or the account is at its limit.
        """
        self._acquire(client_account)
        try:
            yield
        finally:
            self._release(client_account)

    def _acquire(self, client_account: str) -> None:
        free = self._limit - self.total
        held = self._held.get(client_account, 0)
        if free <= 0:
            raise Refusal(overloaded("the entry host is full; try another or wait"))
        if held >= _MAX_HELD_PER_FREE * free:
            raise Refusal(overloaded("the account holds its share; send fewer at once"))
        self._held[client_account] = held + 1
        self.total += 1

    def _release(self, client_account: str) -> None:
        self.total -= 1
        held = self._held.pop(client_account) - 1
        if held:
            self._held[client_account] = held
