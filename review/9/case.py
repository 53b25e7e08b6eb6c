"""Scheduled jobs whose occurrences overlap: the memory of every entry host.

Clients hand in 12 scheduled jobs, each as large as the largest of `deed-align` on the
sheet of aloisi-sched, whose occurrences are due faster than the pool can run them.
Another service gets one small job every 2 s all the while.
"""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

from review.standin_3.site import MEMORY_MB, Site

HERE = Path(__file__).resolve().parent
MOST_S = 116.0
JOBS = 12
WIDTH, STEPS = 24, 4
OCCURRENCES = 400
INTERVAL_MS = 100
LENGTH_S = 60.0
FINISH_S = 14.0
ENDS_ALLOWED = 2
FAULT_HOSTS = 2
STEP = {"cpu": 1800, "memMb": 500, "estRuntimeMs": 800}
WORK = {"cpu": 1800, "mem": 500, "ms": 800}


async def scheduled(site: Site, occurrences: int) -> str | None:
    """Hand in one scheduled job, whose first occurrence is due in 2 s."""
    steps = [{**STEP, "count": WIDTH}]
    for number in range(STEPS - 1):
        steps.append({**STEP, "count": WIDTH, "after": [number]})
    due_ms = int(time.time() * 1000) + 2_000
    return await site.submit(
        "notai",
        steps,
        [WORK] * STEPS,
        startAtMs=due_ms,
        intervalMs=INTERVAL_MS,
        repeats=occurrences,
    )


async def lost_jobs(site: Site, accepted: dict[str, tuple[str, int]]) -> list[str]:
    """Return the accepted jobs that have nothing running for 3 s beside an idle pool.

    A job counts only if not all of its tasks are done, if none of them runs in these
    3 s, and if under half of its service's capacity is in use all the while.
    """
    half = dict.fromkeys(site.services, 0.0)
    for minion in site.minions.values():
        half[minion.service] += minion.cpu / 2
    running: set[str] = set()
    busy: set[str] = set()
    for _ in range(30):
        use = dict.fromkeys(site.services, 0)
        for minion in site.minions.values():
            use[minion.service] += minion.used()[0]
            running |= {task.partition(".")[0] for task in minion.runs}
        busy |= {name for name, cpu in use.items() if cpu >= half[name]}
        await asyncio.sleep(0.1)
    done: dict[str, set[str]] = {}
    for event in site.events:
        if event["what"] == "end" and event["how"] == "done":
            done.setdefault(event["task"].partition(".")[0], set()).add(event["task"])
    lost = []
    for job, (service, tasks) in accepted.items():
        left = tasks - len(done.get(job, ()))
        if left and job not in running and service not in busy:
            lost.append(
                f"LOST: {job} of {service}: nothing runs, {left} tasks are left"
            )
    return lost


async def run(site: Site, trouble: bool) -> int:
    """Play the case and return 1 if a rule was broken, else 0."""
    await site.start()
    occurrences = OCCURRENCES if trouble else 1
    accepted: dict[str, tuple[str, int]] = {}
    for _ in range(JOBS):
        job = await scheduled(site, occurrences)
        if job is not None:
            accepted[job] = ("notai", WIDTH * STEPS * occurrences)
    begun = site.now()
    while site.now() - begun < LENGTH_S:
        job = await site.submit("porto", [{**STEP, "count": 4}], [WORK])
        if job is not None:
            accepted[job] = ("porto", 4)
        await asyncio.sleep(2.0)
    site.record("traffic_over")
    await asyncio.sleep(FINISH_S)
    broken = await lost_jobs(site, accepted)
    over = [host for host in site.hosts if host.over_memory > ENDS_ALLOWED]
    if len(over) >= FAULT_HOSTS:
        ends = {host.name: host.over_memory for host in site.hosts}
        broken.append(f"Fault: ends of each host over {MEMORY_MB} MB: {ends}")
    for line in broken:
        site.record("broken", text=line)
        print(line)
    print(f"peak memory in MB: {[host.peak_mb for host in site.hosts]}")
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
