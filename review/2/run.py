"""Plays the case: the owner restarts while over 500 ends wait on each minion."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.http import STATUS_OK  # noqa: E402
from standin.minion import Needs  # noqa: E402
from standin.site import BROKEN, HELD, NOT_RUN, CannotRun, Site  # noqa: E402

MINIONS = 3
CPU = 32_000
TASKS = 2_400
NEEDS = Needs(cpu=40, run_s=6.0)
JOB_ID = "5c0e7a21d94b36f8"

SLOWNESS = 50.0
SLOW_S = 4.5
"""The store's answers take 50 times as long for 4.5 s (`platform_slow`)."""

SLOW_BEFORE_END_S = 0.5
TERM_BEFORE_END_S = 0.3
"""Times before the first task is done."""

START_TIMEOUT_S = 20.0
END_TIMEOUT_S = 60.0


async def play(site: Site, trouble: bool) -> None:
    """Run one job of many short tasks, and restart the owner as they end."""
    ledger = site.ledger
    step = {"count": TASKS, "cpu": NEEDS.cpu, "memMb": 32, "estRuntimeMs": 6000}
    job = {"spec": NEEDS.to_spec(), "steps": [step]}
    status, _ = await site.client_call(site.hosts[0], "POST", JOB_ID, job)
    if status != STATUS_OK:
        raise CannotRun(f"the job was not accepted: {status}")
    limit_s = ledger.now_s + START_TIMEOUT_S
    while len(ledger.starts) < TASKS:
        await asyncio.sleep(0.02)
        if ledger.now_s > limit_s:
            raise CannotRun(f"{len(ledger.starts)} of {TASKS} tasks began")
    begun = sorted(item[0] for item in ledger.starts.values())
    ledger.say(f"{TASKS} tasks began within {begun[-1] - begun[0]:.2f} s")
    first_end_s = begun[0] + NEEDS.run_s
    await asyncio.sleep(first_end_s - SLOW_BEFORE_END_S - ledger.now_s)
    slow = asyncio.create_task(slow_store(site)) if trouble else None
    await asyncio.sleep(first_end_s - TERM_BEFORE_END_S - ledger.now_s)
    if ledger.ends:
        raise CannotRun("tasks ended before the owner was told to stop")
    await site.restart(site.owner())
    if slow is not None:
        await slow
    limit_s = ledger.now_s + END_TIMEOUT_S
    state = ""
    while state != "completed" and ledger.now_s < limit_s:
        await asyncio.sleep(1.0)
        _, answer = await site.client_call(site.hosts[1], "GET", JOB_ID)
        state = answer.get("state", "")
    await asyncio.sleep(2.0)


async def slow_store(site: Site) -> None:
    """Make the store slow for a while."""
    site.store.slowness = SLOWNESS
    site.ledger.say(f"the store's answers take {SLOWNESS:.0f} times as long")
    await asyncio.sleep(SLOW_S)
    site.store.slowness = 1.0
    site.ledger.say("the store's answers take as long as usual again")


async def main(trouble: bool) -> int:
    """Play the case and write the record; return the exit code."""
    site = Site(MINIONS, CPU)
    ledger = site.ledger
    failure = await site.run(lambda: play(site, trouble))
    found = ledger.started_twice()
    done = sum(1 for end in ledger.ends.values() if end[3] == "done")
    ledger.say(f"{len(ledger.starts)} starts, {done} ends `done`, {TASKS} tasks")
    for line in found:
        ledger.say(f"TWICE: {line}")
    result = NOT_RUN if failure else BROKEN if found else HELD
    ledger.finish(FOLDER, f"TWICE is broken for {len(found)} tasks", failure, result)
    return result


if __name__ == "__main__":
    sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
