"""Rendezvous hashing: who goes first, with no election.

Every host computes the same order for a key. The first acts at once; the
others step in after a delay that grows with their rank. Two that act at once
are harmless, since records are judged when they are applied and calls to
agents are idempotent.
"""

from collections.abc import Iterable

import xxhash

STEP_IN_MS = 1_500
JITTER_MS = 500


def score(key: str, name: str, seed: int = 0) -> int:
    """Return the rendezvous weight of a name for a key."""
    data = f"{key}\x00{name}".encode()
    return xxhash.xxh64_intdigest(data, seed=seed)


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in rendezvous order for a key, the preferred first."""
    return sorted(names, key=lambda name: (-score(key, name), name))


def step_in_ms(key: str, name: str, names: Iterable[str], seed: int) -> int:
    """Return how long a host waits before it acts on a key, in milliseconds.

    Args:
        key: What is to be acted on.
        name: The host that asks.
        names: All hosts that may act; `name` need not be among them.
        seed: The host's seed, for the jitter.
    """
    order = rank(key, names)
    position = order.index(name) if name in order else len(order)
    if position == 0:
        return 0
    return position * STEP_IN_MS + score(key, name, seed) % JITTER_MS
