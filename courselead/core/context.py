"""Context that every part of the reducer reads besides its own state."""

from dataclasses import dataclass, field

from immutables import Map

from courselead.core.fleet.state import AppliedRecord, FleetState
from courselead.core.identity import Identity


@dataclass(frozen=True, slots=True)
class Context:
    """Read-only input of one reduction.

    Attributes:
        me: Identity of this host.
        fleet: Shared state, with the event's batches already applied.
        applied: Records just applied, with their verdicts; empty unless the
            event is `BatchesRead`.
        log_up: Whether the log can be read and appended to, as far as known.
        member: Whether this incarnation is live in the fleet state.
        leaving: Whether this host has been asked to leave.
        now_ms: Monotonic time in milliseconds.
        wall_ms: Wall time of the newest tick in milliseconds.
        last_report_ms: Monotonic time of the newest report of each peer.
        leaving_workers: Workers that the platform lists as leaving.
    """

    me: Identity
    fleet: FleetState
    applied: tuple[AppliedRecord, ...]
    log_up: bool
    member: bool
    leaving: bool
    now_ms: int
    wall_ms: int
    last_report_ms: Map[str, int] = field(default_factory=Map)
    leaving_workers: frozenset[str] = frozenset()
