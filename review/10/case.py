"""One job of 40,000 tasks that need nothing: it never starts, and no owner lasts.

Another service gets one small job every 2 s. With TROUBLE=0 each task of the large job
needs a tenth of a core, so that they don't all start at once.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.standin_3.site import Site

HERE = Path(__file__).resolve().parent
MOST_S = 116.0
STEPS, WIDTH = 4, 10_000
WORK_MS = 800
TRAFFIC_S = 40.0
FINISH_S = 14.0
WINDOW_S = 3.0
STEP = {"count": 4, "cpu": 1800, "memMb": 500, "estRuntimeMs": 800}
WORK = {"cpu": 1800, "mem": 500, "ms": 800}


async def hand_in_large(site: Site, cpu: int) -> str | None:
    """Hand in the large job; fields whose value is 0 are left out."""
    step = {"count": WIDTH, "estRuntimeMs": WORK_MS}
    work = {"ms": WORK_MS}
    if cpu:
        step["cpu"] = work["cpu"] = cpu
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
    large = await hand_in_large(site, 0 if trouble else 100)
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
    begun_tasks, done = set(), set()
    for event in site.events:
        if event["what"] == "start":
            begun_tasks.add(event["task"])
        elif event["what"] == "end" and event["how"] == "done":
            done.add(event["task"])
    left = STEPS * WIDTH - sum(task.startswith(large) for task in done)
    if left and await idle_for(site, large, WINDOW_S):
        ran = sum(task.startswith(large) for task in begun_tasks)
        broken.append(
            f"LOST: {large} is {state!r}, {ran} of its tasks have begun, {left} are"
            f" left, and nothing of it runs for {WINDOW_S:.0f} s beside an idle pool"
        )
    states = await asyncio.gather(*(site.state("porto", job) for job in small))
    late = [state for state in states if state != "completed"]
    print(f"of {len(small)} small jobs, {len(late)} are not shown as completed")
    print(f"refused for their size: {len(site.store.refused)}", site.store.refused[:1])
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
        code = asyncio.run(asyncio.wait_for(main(), MOST_S))
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        code = 2
    raise SystemExit(code)
