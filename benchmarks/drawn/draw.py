"""Generates a random day in the TOML format of the users' bench."""

from __future__ import annotations

import random
from collections.abc import Collection

from benchmarks.drawn.troubles import CLOSING_KINDS, EVENT_KINDS, EventKind

MIN_START_S = 1.0
MAX_START_S = 36.0
"""Bounds of the start of an event; traffic of a standard day lasts 34 to 41 s."""

DAY_LENGTH_S = 41.0

FAULT_COUNTS = (3, 8)
PLAN_COUNTS = (1, 4)
"""Bounds of the number of faults and of planned events in a day; a standard day has up
to eight."""

CLOSING_PROBABILITY = 0.4
"""Share of days that end with a closing fault."""


def draw_day(seed: int, contracts: Collection[str] = ()) -> str:
    """Return a day as TOML, determined by the seed and the contracts.

    Args:
        seed: Seed of the random generator.
        contracts: Contracts of the site beyond those that all sites have.
    """
    rng = random.Random(seed)
    available = [item for item in EVENT_KINDS if item.contract in ("", *contracts)]
    faults = [item for item in available if not item.planned]
    plans = [item for item in available if item.planned]
    lines = [
        "[[day]]",
        f'name = "drawn-{seed}"',
        'slot = "trouble"',
        f"seed = {seed}",
        f"length_s = {DAY_LENGTH_S}",
    ]
    if rng.random() < CLOSING_PROBABILITY:
        kind = rng.choice(CLOSING_KINDS)
        down_s = round(rng.uniform(0.5, 4), 1)
        lines.append(f'closing = {{ kind = "{kind}", down_s = {down_s} }}')
    lines.extend(_draw_entries("plan", rng, plans, rng.randint(*PLAN_COUNTS)))
    lines.extend(_draw_entries("faults", rng, faults, rng.randint(*FAULT_COUNTS)))
    return "\n".join(lines) + "\n"


def _draw_entries(
    name: str, rng: random.Random, kinds: list[EventKind], count: int
) -> list[str]:
    entries = [(_draw_start_s(rng), rng.choice(kinds)) for _ in range(count)]
    entries.sort(key=lambda entry: entry[0])
    rows = [f"  {_draw_entry(rng, at_s, item)}," for at_s, item in entries]
    return [f"{name} = [", *rows, "]"]


def _draw_start_s(rng: random.Random) -> float:
    return round(rng.uniform(MIN_START_S, MAX_START_S), 1)


def _draw_entry(rng: random.Random, at_s: float, item: EventKind) -> str:
    fields = [f"at = {at_s}", f'kind = "{item.kind}"']
    for name, bounds in (
        ("for_s", item.duration_s),
        ("share", item.share),
        ("x", item.strength),
        ("gap_s", item.gap_s),
    ):
        if bounds is not None:
            fields.append(f"{name} = {round(rng.uniform(*bounds), 2)}")
    if item.count:
        fields.append(f"count = {rng.randint(1, item.count)}")
    how = rng.choice(item.variants)
    if how:
        fields.append(f'how = "{how}"')
    fields.extend(f'{name} = "{value}"' for name, value in item.fields)
    return "{ " + ", ".join(fields) + " }"
