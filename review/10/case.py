"""One job that can never be done: a record over the store's limit stops every owner.

A client hands in one job of 40,000 short tasks, each of which fails whenever it runs.
Another service gets one small job every 2 s. With TROUBLE=0 the tasks don't fail.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.standin_3.site import Site

HERE = Path(__file__).resolve().parent
STEPS, WIDTH = 4, 10_000
WORK_MS = 20
TRAFFIC_S = 84.0
FINISH_S = 14.0
WINDOW_S = 3.0
STEP = {"count": 4, "cpu": 1800, "memMb": 500, "estRuntimeMs": 800}
WORK = {"cpu": 1800, "mem": 500, "ms": 800}


async def hand_in_large(site: Site, fails: bool) -> str | None:
    """Hand in the large job."""
    step = {"count": WIDTH, "cpu": 100, "memMb": 10, "estRuntimeMs": WORK_MS}
    work = {"cpu": 100, "mem": 10, "ms": WORK_MS, "fails": fails}
    return await site.submit("notai", [step] * STEPS, [work] * STEPS)


async def idle_for(site: Site, job: str, seconds: float) -> bool:
    """Return whether no task of a job runs for some time and its pool is half free."""
    pool = [minion for minion in site.minions.values() if minion.service == "notai"]
    half = sum(minion.cpu for minion in pool) / 2
    begun = site.now()
    while site.now() - begun < seconds:
        if any(task.startswith(job) for minion in pool for task in minion.runs):
            return False
        if sum(minion.used()[0] for minion in pool) >= half:
            return False
        await asyncio.sleep(0.02)
    return True


async def run(site: Site, trouble: bool) -> int:
    """Play the case and return 1 if a rule was broken, else 0."""
    await site.start()
    large = await hand_in_large(site, trouble)
    if large is None:
        raise RuntimeError("the large job was not accepted")
    small: list[str] = []
    begun = site.now()
    while site.now() - begun < TRAFFIC_S:
        job = await site.submit("porto", [STEP], [WORK])
        if job is not None:
            small.append(job)
        await asyncio.sleep(2.0)
    site.record("traffic_over")
    await asyncio.sleep(FINISH_S)
    broken = []
    state = await site.state("notai", large)
    ended = state in ("completed", "failed")
    done = {
        event["task"]
        for event in site.events
        if event["what"] == "end" and event["how"] == "done"
    }
    left = STEPS * WIDTH - sum(task.startswith(large) for task in done)
    if not ended and left and await idle_for(site, large, WINDOW_S):
        broken.append(
            f"LOST: {large} is {state!r}, has {left} tasks left, and nothing of it runs"
            f" for {WINDOW_S:.0f} s beside an idle pool"
        )
    late = []
    for job in small:
        tasks = sum(task.startswith(job) for task in done)
        if await site.state("porto", job) != "completed":
            late.append(job)
            site.record("not_completed", job=job, tasks_done=tasks)
    print(f"of {len(small)} small jobs, {len(late)} are not shown as completed")
    print(f"records refused by the store for their size: {len(site.store.refused)}")
    for line in broken:
        site.record("broken", text=line)
        print(line)
    return 1 if broken else 0


async def main() -> int:
    """Run the case and end all of its processes."""
    site = Site(HERE / "record.txt", {"notai": 8, "porto": 8})
    try:
        return await run(site, os.environ.get("TROUBLE", "1") != "0")
    finally:
        await site.stop()


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        code = 2
    raise SystemExit(code)
