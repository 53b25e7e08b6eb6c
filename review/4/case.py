"""A queue moves to another service; a worker is cut off; the owner is restarted."""

from __future__ import annotations

import asyncio
from pathlib import Path

from small_site import Minion, Site, main

JOB = "00000000000000aa"
STEPS = [{"count": 12, "cpu": 8000, "memMb": 1024, "estRuntimeMs": 20_000}]
RUN_S = 20.0
CUT_S = 5.5
"""Length of a cut, as the site files name it for `node_cut`."""


def route(service: str) -> dict:
    """Return the queue, which sends its tasks to a service."""
    return {
        "name": "live",
        "host": "pool.example",
        "pathPrefix": "/live/",
        "service": service,
        "sloMs": 1000,
        "maxAttempts": 4,
        "stretch": 2.0,
        "timeoutMs": 3000,
    }


def plan(minion: Minion, task: str, number: int) -> tuple[float | None, str]:
    """Return how a run ends."""
    return RUN_S, "done"


async def case(site: Site) -> None:
    """Bring the disruption about and judge."""
    await site.start([route("rink-desk")])
    assert await site.submit("/live/", JOB, STEPS) == 200
    tasks = [f"{JOB}.0.0.{index}" for index in range(STEPS[0]["count"])]

    async def all_run() -> bool:
        return all(site.running(task) for task in tasks)

    await site.wait_for(all_run, 5, "all tasks run")
    await asyncio.sleep(2)
    site.write_config([route("wire-desk")])
    await asyncio.sleep(3)
    owner = site.owner()
    # A worker outside of the owner's zone, with tasks.
    worker = next(
        item for item in site.minions if item.runs and item.zone != owner.zone
    )
    if site.trouble:
        site.record("worker is cut off", minion=worker.minion_id, zone=worker.zone)
        worker.server.cut()
    await asyncio.sleep(0.5)
    restart = asyncio.create_task(site.restart_host(owner))
    seen: set[str] = set()
    for _ in range(int(CUT_S / 0.05)):
        await asyncio.sleep(0.05)
        for task in tasks:
            on = site.running(task)
            if len(on) > 1 and task not in seen:
                seen.add(task)
                site.breaks(f"{task} runs on {' and '.join(on)} at the same time")
    if site.trouble:
        site.record("worker is reached again", minion=worker.minion_id)
        worker.server.heal()
    await restart
    await asyncio.sleep(RUN_S)
    starts = {task: len(site.starts[task]) for task in tasks}
    site.record("result", starts=starts)
    print("starts", sorted(starts.values()))


if __name__ == "__main__":
    folder = Path(__file__).parent
    main(Site(folder, {"rink-desk": 6, "wire-desk": 6}, plan), case, 90)
