"""A client leaves, cancels, is told that there is no such job, and the job runs later.

One entry host is frozen for 4 s. A client hands a job in there, leaves after 0.6 s
without an answer, and cancels the job at another host, which answers 410. With
TROUBLE=0 no host is frozen.
"""

from __future__ import annotations

import asyncio
import json
import os
import secrets
import signal
from pathlib import Path

from review.standin_3.site import Host, Site

HERE = Path(__file__).resolve().parent
MOST_S = 116.0
ROUNDS = 3
CALM_S = 8.0
FREEZE_S = 4.0
LEAVES_S = 0.6
CANCEL_S = 3.0
STEP = {"count": 4, "cpu": 1800, "memMb": 500, "estRuntimeMs": 800}
WORK = {"cpu": 1800, "mem": 500, "ms": 800}


def calling_host(site: Site) -> str:
    """Return the host whose log says last that it owns the schedule.

    The judgement doesn't use it; it only keeps the script from freezing that host.
    """
    return max(site.logs("schedule_owned"), key=lambda line: line["fence"])["on"]


async def one_round(site: Site, trouble: bool) -> list[str]:
    """Play one round and return what broke the rule."""
    owner = calling_host(site)
    frozen, other = [host for host in site.hosts if host.name != owner][:2]
    job = secrets.token_hex(8)
    body = {"spec": json.dumps({"steps": [WORK]}), "steps": [STEP]}
    if trouble:
        site.kill_host(frozen, signal.SIGSTOP)
    begun = site.now()
    await site.request("notai", "POST", job, body, frozen, LEAVES_S)
    cancelled_at = await cancel(site, job, other)
    await asyncio.sleep(FREEZE_S - (site.now() - begun))
    if trouble:
        site.kill_host(frozen, signal.SIGCONT)
    await asyncio.sleep(CALM_S)
    broken = []
    for event in site.events:
        if event["what"] != "start" or not event["task"].startswith(job):
            continue
        late_s = event["t"] - cancelled_at
        if late_s > CANCEL_S:
            task = event["task"]
            broken.append(
                f"UNASKED: {task} starts {late_s:.2f} s after its cancelling was"
                " acknowledged"
            )
    return broken


async def cancel(site: Site, job: str, host: Host) -> float:
    """Cancel a job and return when that was acknowledged."""
    while True:
        status, _ = await site.request("notai", "DELETE", job, None, host)
        if status == 410 or 200 <= status < 300:
            return site.now()
        await asyncio.sleep(0.2)


async def run(site: Site, trouble: bool) -> int:
    """Play the case and return 1 if a rule was broken, else 0."""
    await site.start()
    await site.submit("notai", [STEP], [WORK])
    await asyncio.sleep(4.0)
    broken = []
    for _ in range(ROUNDS):
        broken += await one_round(site, trouble)
    for line in broken:
        site.record("broken", text=line)
        print(line)
    print(f"{ROUNDS} rounds, {len(broken)} starts after the cancelling")
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
