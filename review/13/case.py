"""Large jobs that are cancelled at once: the owner keeps their tasks in its memory.

Clients hand in large jobs one after the other, and cancel each as soon as it is
accepted. With TROUBLE=0 they hand in the first one only.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.standin_3.site import MEMORY_MB, Site

HERE = Path(__file__).resolve().parent
MOST_S = 116.0
STEPS, WIDTH = 4, 10_000
JOBS = 110
BETWEEN_S = 0.4
RESTART_S = 2.0
ENDS_ALLOWED = 2
STEP = {"count": WIDTH, "cpu": 1800, "memMb": 500, "estRuntimeMs": 800}
WORK = {"cpu": 1800, "mem": 500, "ms": 800}


async def run(site: Site, trouble: bool) -> int:
    """Play the case and return 1 if a rule was broken, else 0."""
    await site.start()
    begun = site.now()
    for _ in range(JOBS if trouble else 1):
        over = [host for host in site.hosts if host.over_memory > ENDS_ALLOWED]
        if len(over) >= 2 or site.now() - begun > 95.0:
            break
        job = await site.submit("notai", [STEP] * STEPS, [WORK] * STEPS)
        if job is None:
            continue
        for _ in range(10):
            status, _ = await site.request("notai", "DELETE", job)
            if 200 <= status < 300 or status == 410:
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(BETWEEN_S)
    site.record("traffic_over")
    await asyncio.sleep(5.0)
    over = [host for host in site.hosts if host.over_memory > ENDS_ALLOWED]
    ends = {host.name: host.over_memory for host in site.hosts}
    print(f"ends over {MEMORY_MB} MB: {ends}; most: {[h.peak_mb for h in site.hosts]}")
    if len(over) < 2:
        return 0
    site.record("broken", text=f"Fault: ends over the memory: {ends}")
    return 1


async def main() -> int:
    """Run the case and end all of its processes."""
    site = Site(HERE / "record.txt", {"notai": 8}, restart_s=RESTART_S)
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
