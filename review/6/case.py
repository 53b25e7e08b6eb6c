"""A task that lasts ends by itself as `done`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "4"))

from small_site import Minion, Site, main  # noqa: E402

ROUTE = {
    "name": "rebuild",
    "host": "pool.example",
    "pathPrefix": "/rebuild/",
    "service": "prep-desk",
    "sloMs": 1000,
    "maxAttempts": 4,
    "stretch": 2.0,
    "timeoutMs": 3000,
}
JOB = "00000000000000aa"
STEPS = [
    {
        "count": 5,
        "cpu": 4000,
        "memMb": 8192,
        "estRuntimeMs": 900,
        "longRunning": True,
        "antiAffinity": 1,
        "mayMiss": 1,
    }
]
END_S = 4.0
BOUND_S = 6.0 + 3.0
"""A task that lasts has to run again within 6 s of its last run, and 3 s more count."""


def plan(minion: Minion, task: str, number: int) -> tuple[float | None, str]:
    """Return how a run ends: the first run of task 0 ends by itself."""
    site = minion.site
    if task.endswith(".0.0") and len(site.starts[task]) == 1:
        return END_S, "done" if site.trouble else "failed"
    return None, ""


async def case(site: Site) -> None:
    """Bring the disruption about and judge."""
    await site.start([ROUTE])
    assert await site.submit("/rebuild/", JOB, STEPS) == 200
    tasks = [f"{JOB}.0.0.{index}" for index in range(STEPS[0]["count"])]

    async def all_run() -> bool:
        return all(site.running(task) for task in tasks)

    await site.wait_for(all_run, 5, "all tasks run")
    await asyncio.sleep(END_S + BOUND_S + 3)
    _, document = await site.ask("GET", "/rebuild/" + JOB)
    task = tasks[0]
    [ended, *_] = site.ends[task]
    starts = site.starts[task]
    site.record("result", ended=ended, starts=starts, state=document.get("state"))
    print("ended", ended, "starts", starts, "state", document.get("state"))
    again = [at for at, _, _ in starts if at > ended[0]]
    if not again or again[0] - ended[0] > BOUND_S:
        site.breaks(f"{task} ended after {END_S} s and does not run again")


if __name__ == "__main__":
    folder = Path(__file__).parent
    main(Site(folder, {"prep-desk": 6}, plan), case, 60)
