"""A route gets another name: its accepted jobs are gone for clients, and run on.

The operator replaces a route by one of another name with the same host and the same
path. Clients go on asking for their jobs at the same address. With TROUBLE=0 the new
version changes the route's `sloMs` only.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.standin_3.site import Site

HERE = Path(__file__).resolve().parent
MOST_S = 116.0
JOBS = 5
VISIBLE_S, CANCEL_S, STOP_S = 3.0, 3.0, 0.4
STEP = {"count": 2, "cpu": 1800, "memMb": 500, "longRunning": True}
WORK = {"cpu": 1800, "mem": 500, "ms": 0}


async def run(site: Site, trouble: bool) -> int:
    """Play the case and return 1 if a rule was broken, else 0."""
    await site.start()
    jobs = [await site.submit("notai", [STEP], [WORK]) for _ in range(JOBS)]
    accepted = [job for job in jobs if job is not None]
    if not accepted:
        raise RuntimeError("no job was accepted")
    await asyncio.sleep(5.0)
    before = [await site.state("notai", job) for job in accepted]
    if set(before) != {"running"}:
        raise RuntimeError(f"the jobs are {before} before the change")
    name = "q-notai-b" if trouble else "q-notai"
    site.routes = [site.route("notai", name=name, sloMs=2000)]
    site.write_config()
    await asyncio.sleep(5.0)
    broken = []
    for job in accepted:
        for host in site.hosts:
            status, _ = await site.request("notai", "GET", job, None, host)
            if status == 410:
                broken.append(f"LOST: GET for {job}, which runs, is answered 410")
    cancelled = 0
    for job in accepted:
        status, _ = await site.request("notai", "DELETE", job)
        cancelled += status == 410 or 200 <= status < 300
    await asyncio.sleep(CANCEL_S + STOP_S + 1.0)
    running = {task for minion in site.minions.values() for task in minion.runs}
    for task in sorted(running):
        if cancelled == len(accepted) and task.partition(".")[0] in accepted:
            broken.append(f"UNASKED: {task} runs on after its job was cancelled")
    for line in broken:
        site.record("broken", text=line)
        print(line)
    print(
        f"{len(accepted)} jobs, {cancelled} cancels acknowledged, {len(broken)} broken"
    )
    return 1 if broken else 0


async def main() -> int:
    """Run the case and end all of its processes."""
    site = Site(HERE / "record.txt", {"notai": 8})
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
