"""`script/bench accounts`: credentials, caps and long queues, one figure per row."""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from courselead.core.credentials import CredentialHolders, credential_digest
from courselead.core.scheduler import caps, demand, placement
from courselead.core.scheduler.models import ClientAccount, FleetConfig, Resources
from tests.core.scheduler.world import POOL, World, config, job, step

ACCOUNTS = 1_000
KEYS = 10
REPEATS = 20_000
QUEUE_REPEATS = 20

MINIONS = 40
MINION_CAPACITY = Resources(32_000, 64_000)
JOBS = 400
"""Jobs of eight tasks, which fill the pool and leave 2,800 units queued."""


def main() -> None:
    """Print all figures."""
    _measure_credentials()
    config_of = {
        "no account": config(),
        f"{ACCOUNTS} accounts": _config_with_accounts(),
    }
    for name, cfg in config_of.items():
        _measure_queue(name, cfg)


def _measure_credentials() -> None:
    keys = {
        f"account-{number}": [f"key-{number}-{key}".encode() for key in range(KEYS)]
        for number in range(ACCOUNTS)
    }
    rows = [
        (name, [credential_digest(key) for key in account_keys])
        for name, account_keys in keys.items()
    ]
    tracemalloc.start()
    holders = CredentialHolders(rows)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    digests = sum(sys.getsizeof(digest) for _, row in rows for digest in row)
    _print_figure("credentials held", (size + digests) / 1e6, "MB")
    known = keys["account-500"][3]
    _time("credential checked", lambda: holders.holder(credential_digest(known)))


def _config_with_accounts() -> FleetConfig:
    accounts = {}
    for number in range(ACCOUNTS):
        name = f"account-{number}"
        accounts[name] = ClientAccount(name, 1 + number % 50, Resources(10**7))
    return replace(config(), accounts=accounts)


def _measure_queue(name: str, cfg: FleetConfig) -> None:
    world = World(minions=MINIONS, cfg=cfg, capacity=MINION_CAPACITY)
    owner = world.claim()
    world.run(400)
    for number in range(JOBS):
        account = f"account-{number % ACCOUNTS}" if cfg.accounts else ""
        world.submit(job(step(8, cpu=3_000)), f"{number:016x}", 60_000, account)
    schedule = owner.schedule
    queue = schedule.ready[POOL]
    if cfg.accounts:
        unit = next(iter(queue))
        _time("cap checked", lambda: caps.has_capacity(schedule, unit))

    def place_all() -> None:
        schedule.dirty_pools.add(POOL)
        schedule.place_after_ms.clear()
        placement.place_all(schedule)

    length = f"{len(queue)} units, {name}"
    _time(f"round over a line of {length}", place_all, QUEUE_REPEATS)
    _time(f"demand of {length}", lambda: demand.demands_of(schedule), QUEUE_REPEATS)


def _time(name: str, call: Callable[[], object], repeats: int = REPEATS) -> None:
    start = time.perf_counter()
    for _ in range(repeats):
        call()
    took_us = (time.perf_counter() - start) / repeats * 1e6
    _print_figure(name, took_us, "us")


def _print_figure(name: str, amount: float, unit: str) -> None:
    sys.stdout.write(f"{name:60} {amount:12.2f} {unit}\n")


if __name__ == "__main__":
    main()
