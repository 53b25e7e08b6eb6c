"""Keyed requests while the log is down: immediate refusal against key shards.

This is a separate model that does not run the core. Before the outage,
rendezvous hashing assigns each key to an owning entry host. During the outage,
a host admits only the keys that it owns. The load balancer sends each try of a
caller to a randomly chosen host.
"""

from dataclasses import dataclass
from random import Random

from benchmarks.figures import table
from courselead.core.ranking import rendezvous_order

REQUESTS = 20_000
TRIES = (1, 2, 3, 5)
HOSTS = (3, 6, 12)


@dataclass(frozen=True, slots=True)
class Outcome:
    """Fractions of the keyed requests that arrive during an outage.

    Attributes:
        refused: Refused with shards when hosts do not forward requests to the
            owner.
        unknown: Admitted by a host that died during the outage, so it is
            unknown whether they ran.
        unserved: Not served with shards when hosts forward requests to the
            owner, because the owner has died.
    """

    hosts: int
    tries: int
    refused: float
    unknown: float
    unserved: float


def simulate(hosts: int, tries: int, seed: int) -> Outcome:
    """Return the outcome of keyed requests; one host dies halfway through."""
    rng = Random(f"{seed}:{hosts}:{tries}")
    names = [f"entry-{number:02}" for number in range(hosts)]
    dying_host = names[-1]
    refused = unknown = unserved = 0
    for number in range(REQUESTS):
        owner = rendezvous_order(f"key-{number}", names)[0]
        after_death = number >= REQUESTS // 2
        tried_hosts = [rng.choice(names) for _ in range(tries)]
        owner_dead = after_death and owner == dying_host
        if owner_dead:
            unserved += 1
        if owner_dead or owner not in tried_hosts:
            refused += 1
        elif owner == dying_host:
            unknown += 1
    total = REQUESTS
    return Outcome(hosts, tries, refused / total, unknown / total, unserved / total)


def outage_table(seed: int) -> str:
    """Return a table of the fractions by number of hosts and tries."""
    rows = []
    for hosts in HOSTS:
        for tries in TRIES:
            outcome = simulate(hosts, tries, seed)
            rows.append(
                (
                    hosts,
                    tries,
                    "100 %",
                    f"{outcome.refused:.1%}",
                    f"{outcome.unknown:.1%}",
                    f"{outcome.unserved:.1%}",
                )
            )
    columns = (
        "entry hosts",
        "tries of a caller",
        "refused at once, all (chosen)",
        "refused with shards",
        "with shards: unknown after the owner died",
        "with shards passed on to the owner: refused",
    )
    return table(columns, rows)
