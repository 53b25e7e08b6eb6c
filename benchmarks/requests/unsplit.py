"""Switches the quota split of the core on and off, to compare routing policies.

The core splits a minion's slots among the entry hosts under every routing
policy. A usual implementation of a routing policy lets each host use every slot
that it believes to be free, and the minion refuses excess requests. To measure
that, two functions of the core are replaced in this process: each host's share
of a minion is all of its slots, and no host borrows slots.
"""

from courselead.core.requests import shares, wants
from courselead.core.requests.shares import UNLIMITED
from courselead.core.requests.state import ShareBasis, Target
from courselead.core.requests.turn import Turn

_CORE_MINION_SHARE = shares.minion_share
_CORE_WANTED = wants.compute_wanted_units


def set_quota_split(split: bool) -> None:
    """Enable or disable the quota split in this process."""
    shares.minion_share = _CORE_MINION_SHARE if split else _all_slots
    wants.compute_wanted_units = _CORE_WANTED if split else _no_loans


def _all_slots(
    basis: ShareBasis, target: Target, entry_host: str, incarnation: int
) -> int:
    """Return all slots of a minion."""
    row = basis.table.services.get(target.pool)
    return UNLIMITED if row is None else row.slots


def _no_loans(turn: Turn) -> dict[str, int]:
    """Return no loans to request."""
    return {}
