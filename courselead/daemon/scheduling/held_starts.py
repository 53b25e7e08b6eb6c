"""Run starts that are held back until the records they depend on are stored."""

from __future__ import annotations

from collections.abc import Callable

from courselead.core.scheduler.events import OrderAnswered, StartRun
from courselead.core.scheduler.schedule import Schedule


class HeldStarts:
    """Holds starts back until the batch of records that they refer to is stored."""

    def __init__(
        self,
        send: Callable[[StartRun], None],
        on_not_sent: Callable[[OrderAnswered], None],
    ) -> None:
        """Initialize without held starts.

        Args:
            send: Sends a start.
            on_not_sent: Called with the outcome of a start that will not be sent.
        """
        self._send = send
        self._on_not_sent = on_not_sent
        self._orders: list[StartRun] = []

    def start(self, schedule: Schedule, order: StartRun) -> None:
        """Send a start now, or as soon as its batch is stored."""
        if order.batch > schedule.saved_batch:
            self._orders.append(order)
        else:
            self._send(order)

    def stored(self, schedule: Schedule) -> None:
        """Send the starts whose batch is now stored.

        Starts of runs that were stopped meanwhile are dropped, since they could arrive
        after the stop.
        """
        orders, self._orders = self._orders, []
        for order in orders:
            if order.batch > schedule.saved_batch:
                self._orders.append(order)
            elif schedule.is_wanted(order):
                self._send(order)
            else:
                self._on_not_sent(order.not_sent("it was stopped before it was sent"))

    def drop_all(self, schedule: Schedule) -> None:
        """Drop all held starts while the log is silent, as another owner may exist.

        Their tasks are placed again.
        """
        if not self._orders or not schedule.log_is_silent:
            return
        orders, self._orders = self._orders, []
        for order in orders:
            self._on_not_sent(order.not_sent("the log is silent"))
