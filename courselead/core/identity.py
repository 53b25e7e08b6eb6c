"""Who this entry host is."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and place of an entry host.

    Attributes:
        incarnation: Drawn once at start, never used twice (wall time in
            milliseconds at start is enough: a host starts once at a time).
        seed: For jitter and tie breaks, so that the core needs no randomness.
    """

    entry_host: str
    incarnation: int
    availability_zone: str
    peer_address: str
    seed: int
