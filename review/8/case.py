"""A queue is taken out of the configuration and put back while a job waits."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "4"))

from small_site import BOUNDS, Minion, Site, main  # noqa: E402

MAX_ATTEMPTS = 4


def route(name: str) -> dict:
    """Return a queue."""
    return {
        "name": name,
        "host": "pool.example",
        "pathPrefix": f"/{name}/",
        "service": "minors-desk",
        "sloMs": 1000,
        "maxAttempts": MAX_ATTEMPTS,
        "stretch": 2.0,
        "timeoutMs": 3000,
    }


JOB = "00000000000000aa"
STEPS = [{"count": 1, "cpu": 4000, "memMb": 1024, "estRuntimeMs": 4000}]


def plan(minion: Minion, task: str, number: int) -> tuple[float | None, str]:
    """Return how a run ends: the first one fails, the others are done."""
    first = len(minion.site.starts[task]) == 1
    return 4.0, "failed" if first else "done"


async def case(site: Site) -> None:
    """Bring the disruption about and judge."""
    await site.start([route("settle"), route("stats")])
    assert await site.submit("/settle/", JOB, STEPS) == 200
    task = f"{JOB}.0.0.0"

    async def runs() -> bool:
        return bool(site.running(task))

    await site.wait_for(runs, 5, "the task runs")
    if site.trouble:
        site.write_config([route("stats")])
    await asyncio.sleep(6)
    if site.trouble:
        site.write_config([route("settle"), route("stats")])
    await asyncio.sleep(BOUNDS["configApplyMs"] / 1000 + 6)
    status, document = await site.ask("GET", "/settle/" + JOB)
    state = document.get("state")
    ends = site.ends.get(task, [])
    failed = sum(how == "failed" for _, _, _, how in ends)
    site.record("result", status=status, state=state, ends=ends)
    print("state", state, "ends", [how for *_, how in ends])
    if state == "failed" and failed < MAX_ATTEMPTS:
        site.breaks(f"shown as failed after {failed} of {MAX_ATTEMPTS} attempts")


if __name__ == "__main__":
    folder = Path(__file__).parent
    main(Site(folder, {"minors-desk": 6}, plan), case, 60)
