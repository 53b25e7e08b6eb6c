"""Identity of an entry host."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and location of an entry host.

    Attributes:
        incarnation: Chosen at start and never reused. The wall time of the start
            in milliseconds is sufficient, because a host runs one process at a
            time.
        seed: For jitter and tie-breaking, so that the core needs no randomness.
    """

    entry_host: str
    incarnation: int
    availability_zone: str
    peer_address: str
    seed: int
