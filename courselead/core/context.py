"""What every part of the reducer may see besides its own state."""

from dataclasses import dataclass, field

from immutables import Map

from courselead.core.fleet.state import Applied, FleetState
from courselead.core.identity import Identity


@dataclass(frozen=True, slots=True)
class Context:
    """The view of one reduction.

    Attributes:
        fleet: Shared state, with the event's batches already applied.
        applied: Verdicts of the records just applied; empty unless the event
            is `BatchesRead`.
        log_up: Whether the log can be read and appended to, as far as known.
        member: Whether the fleet state holds this incarnation as live.
        leaving: Whether this host has been asked to leave.
        now_ms: Monotonic, milliseconds.
        wall_ms: Wall time as of the newest tick, milliseconds.
        heard_ms: Monotonic time of the newest report of each peer.
        leaving_workers: Workers that the platform's list has as leaving.
    """

    me: Identity
    fleet: FleetState
    applied: tuple[Applied, ...]
    log_up: bool
    member: bool
    leaving: bool
    now_ms: int
    wall_ms: int
    heard_ms: Map[str, int] = field(default_factory=Map)
    leaving_workers: frozenset[str] = frozenset()
