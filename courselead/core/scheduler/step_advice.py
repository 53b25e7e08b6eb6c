"""What the advice service has said about a step."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from courselead.core.scheduler.state import Minion


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to start tasks of a step on one incarnation of a minion.

    Attributes:
        value: The ticket, which is part of each start.
        born_ms: Start time of the incarnation.
        expires_ms: Time from which it is not used any more.
    """

    value: str
    born_ms: int
    expires_ms: int


@dataclass(slots=True)
class StepAdvice:
    """What is known of the minions that may run a step.

    The decision on a minion does not change during its life, but tickets expire.

    Attributes:
        tickets: The newest ticket of each allowed minion, also if it has expired.
        denied: Minions that may not run the step, with the start times of their
            incarnations.
        asked: Minions named in the open call, with the start times of their
            incarnations; empty if no call is open.
        failures: Calls that were not answered, less those that were answered since.
        retry_ms: Time from which the service may be asked again.
    """

    tickets: dict[str, Ticket] = field(default_factory=dict)
    denied: dict[str, int] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)
    failures: int = 0
    retry_ms: int = 0

    def valid_tickets(self, minions: Iterable[Minion], now_ms: int) -> dict[str, str]:
        """Return the tickets that may be used now, by minion."""
        valid = {}
        for minion in minions:
            ticket = self._ticket_of(minion)
            if ticket is not None and now_ms < ticket.expires_ms:
                valid[minion.minion_id] = ticket.value
        return valid

    def allowed(self, minions: Iterable[Minion]) -> list[Minion]:
        """Return the minions that may run the step, also if their tickets expired."""
        return [item for item in minions if self._ticket_of(item) is not None]

    def unknown(self, minions: Iterable[Minion]) -> list[Minion]:
        """Return the minions about which the service has not said anything."""
        unknown = []
        for minion in minions:
            if self.denied.get(minion.minion_id) == minion.info.born_ms:
                continue
            if self._ticket_of(minion) is None:
                unknown.append(minion)
        return unknown

    def record_answer(self, tickets: Mapping[str, str], expires_ms: int) -> None:
        """Record the answer to the open call.

        Args:
            tickets: Tickets of the allowed minions by id.
            expires_ms: Time from which they are not used any more.
        """
        for minion_id, born_ms in self.asked.items():
            value = tickets.get(minion_id)
            if value is None:
                self.tickets.pop(minion_id, None)
                self.denied[minion_id] = born_ms
            else:
                self.tickets[minion_id] = Ticket(value, born_ms, expires_ms)
        self.asked = {}
        self.failures = max(0, self.failures - 1)

    def forget_missing(self, minions: Mapping[str, Minion]) -> None:
        """Forget what was said about minions that do not exist any more."""
        for known in (self.tickets, self.denied):
            for minion_id in known.keys() - minions.keys():
                del known[minion_id]

    def _ticket_of(self, minion: Minion) -> Ticket | None:
        """Return the ticket of the present incarnation of a minion."""
        ticket = self.tickets.get(minion.minion_id)
        if ticket is None or ticket.born_ms != minion.info.born_ms:
            return None
        return ticket
