"""Rendezvous hashing, which decides without an election which host acts on a key.

Every host computes the same order for a key. The first host acts at once; the
others take over after a delay that grows with their rank. Two hosts that act on
the same key do no harm, because records are validated when they are applied and
calls to agents are idempotent.
"""

from collections.abc import Iterable

import xxhash

TAKEOVER_DELAY_MS = 1_500
TAKEOVER_JITTER_MS = 500


def rendezvous_score(key: str, name: str, seed: int = 0) -> int:
    """Return the rendezvous hash of a name for a key."""
    data = f"{key}\x00{name}".encode()
    return xxhash.xxh64_intdigest(data, seed=seed)


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in rendezvous order for a key, the preferred one first."""
    return sorted(names, key=lambda name: (-rendezvous_score(key, name), name))


def takeover_delay_ms(key: str, name: str, names: Iterable[str], seed: int) -> int:
    """Return how long a host waits before it acts on a key, in milliseconds.

    Args:
        key: Identifies the action.
        name: The host whose delay is returned.
        names: All hosts that may act; `name` need not be among them.
        seed: The host's seed, for the jitter.
    """
    order = rendezvous_order(key, names)
    position = order.index(name) if name in order else len(order)
    if position == 0:
        return 0
    return (
        position * TAKEOVER_DELAY_MS
        + rendezvous_score(key, name, seed) % TAKEOVER_JITTER_MS
    )
