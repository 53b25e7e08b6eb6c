"""How a pool that has no room for all is divided among accounts: by weight."""

from __future__ import annotations

import math
from collections.abc import Mapping

from courselead.core.scheduler.schedule import Schedule


def left_of_shares(
    schedule: Schedule, pool: str, free_milli: int, waiting: Mapping[str, int]
) -> dict[str, int]:
    """Return what accounts may start before others' waiting work comes first.

    The load: one account sends many times its usual, its pool is full, and its line is
    longer than all others together. The pool is divided by weight, and what an account
    does not want goes to the others. Nothing is kept of it, so a new owner goes on
    alike. Amounts are thousandths of a core; accounts that are not named have no limit.

    Args:
        schedule: With what each account has at work.
        pool: That is divided.
        free_milli: Its free room.
        waiting: What waits of each account.
    """
    if len(waiting) < 2:
        return {}
    use = schedule.pool_use.get(pool, {})
    weights: dict[str, float] = {}
    for account in {*waiting, *use}:
        found = schedule.config.accounts.get(account)
        if found is not None and found.weight > 0:
            weights[account] = found.weight
    wanted = {
        account: (use.get(account, 0) + waiting.get(account, 0)) / weight
        for account, weight in weights.items()
    }
    room = free_milli + sum(use.get(account, 0) for account in weights)
    level = _level(room, weights, wanted)
    if math.isinf(level):
        return {}
    return {
        account: int(level * weight) - use.get(account, 0)
        for account, weight in weights.items()
    }


def _level(
    room: float, weights: Mapping[str, float], wanted: Mapping[str, float]
) -> float:
    """Return what each account gets for each unit of its weight, at most.

    Args:
        room: That is divided.
        weights: Of the accounts.
        wanted: What each wants for each unit of its weight.
    """
    weight = sum(weights.values())
    for account in sorted(wanted, key=wanted.__getitem__):
        level = room / weight
        if wanted[account] >= level:
            return level
        room -= wanted[account] * weights[account]
        weight -= weights[account]
    return math.inf
