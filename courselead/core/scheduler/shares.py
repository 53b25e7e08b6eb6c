"""Fair shares: a pool too small for all work is divided by account weight."""

from __future__ import annotations

import math
from collections.abc import Mapping

from courselead.core.scheduler.schedule import Schedule


def remaining_shares(
    schedule: Schedule, pool: str, free_milli: int, waiting: Mapping[str, int]
) -> dict[str, int]:
    """Return how much each account may start before other accounts' work goes first.

    This keeps an account that suddenly submits many times its usual work from taking
    over a full pool. The pool is divided by weight (max-min fairness): what an account
    does not need goes to the others. The result is computed from the current state
    alone, so a new owner continues in the same way. Amounts are thousandths of a core;
    accounts that are missing from the result have no limit.

    Args:
        schedule: The owner's state, with each account's current use.
        pool: The pool to divide.
        free_milli: Free CPU of the pool.
        waiting: Waiting work by account.
    """
    if len(waiting) < 2:
        return {}
    use = schedule.pool_use.get(pool, {})
    weights: dict[str, float] = {}
    for account in {*waiting, *use}:
        settings = schedule.config.accounts.get(account)
        if settings is not None and settings.weight > 0:
            weights[account] = settings.weight
    wanted = {
        account: (use.get(account, 0) + waiting.get(account, 0)) / weight
        for account, weight in weights.items()
    }
    capacity = free_milli + sum(use.get(account, 0) for account in weights)
    level = _fair_level(capacity, weights, wanted)
    if math.isinf(level):
        return {}
    return {
        account: int(level * weight) - use.get(account, 0)
        for account, weight in weights.items()
    }


def _fair_level(
    capacity: float, weights: Mapping[str, float], wanted: Mapping[str, float]
) -> float:
    """Return the maximum amount per unit of weight that an account gets.

    Args:
        capacity: The amount to divide.
        weights: Weight of each account.
        wanted: Amount per unit of weight that each account wants.
    """
    weight = sum(weights.values())
    for account in sorted(wanted, key=wanted.__getitem__):
        level = capacity / weight
        if wanted[account] >= level:
            return level
        capacity -= wanted[account] * weights[account]
        weight -= weights[account]
    return math.inf
