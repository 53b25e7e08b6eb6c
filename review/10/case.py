"""A queue with advice in a pool of more than 100 minions: jobs that never start.

The queue's policy allows the minions of one rack. The system may name 100 minions in a
call for advice. With TROUBLE=0 the pool has 96 minions, else 120.
"""

from __future__ import annotations

import asyncio
import json
import os
from pathlib import Path

from review.standin_3.http11 import Answer, Request
from review.standin_3.site import Site

HERE = Path(__file__).resolve().parent
MOST_S = 116.0
A_RACK = 12
DECIDE_MS, EACH_MS, VALID_MS = 20, 2, 3_000
MOST_NAMED = 100
TRAFFIC_S = 20.0
FINISH_S = 14.0
STEP = {"count": 4, "cpu": 1800, "memMb": 500, "estRuntimeMs": 800}
WORK = {"cpu": 1800, "mem": 500, "ms": 800}


class Advice:
    """The advice service: it allows the minions of the last rack."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.lock = asyncio.Lock()
        self.allowed = {
            item.minion_id for item in list(site.minions.values())[-A_RACK:]
        }

    async def answer(self, request: Request) -> Answer:
        """Answer one call after its time; one call at a time."""
        body = json.loads(request.body)
        named = body["workers"]
        if len(named) > MOST_NAMED:
            return Answer(400)
        async with self.lock:
            await asyncio.sleep((DECIDE_MS + EACH_MS * len(named)) / 1000)
        good = [[item, self.ticket(body["step"], item)] for item in named]
        good = [row for row in good if row[0] in self.allowed]
        self.site.record("advice", step=body["step"], named=len(named), good=len(good))
        return Answer(200, json.dumps({"good": good, "validMs": VALID_MS}).encode())

    def ticket(self, step: str, minion_id: str) -> str:
        """Return the ticket of a step for a minion."""
        return f"t-{step}-{minion_id}"


async def run(site: Site, trouble: bool) -> int:
    """Play the case and return 1 if a rule was broken, else 0."""
    advice = Advice(site)
    site.advice_policy = advice.answer
    for minion in site.minions.values():
        name = minion.minion_id

        def is_valid(task: str, ticket: str, name: str = name) -> bool:
            step = task.rpartition(".")[0]
            return name in advice.allowed and ticket == advice.ticket(step, name)

        if minion.service == "sanita":
            minion.ticket_of = is_valid
    await site.start()
    policy = {"decideMs": DECIDE_MS, "eachMs": EACH_MS, "validMs": VALID_MS}
    site.routes = [site.route("sanita", advice=policy)]
    site.write_config()
    await asyncio.sleep(3.0)
    jobs = []
    begun = site.now()
    while site.now() - begun < TRAFFIC_S:
        job = await site.submit("sanita", [STEP], [WORK])
        if job is not None:
            jobs.append(job)
        await asyncio.sleep(1.0)
    site.record("traffic_over")
    # The rule asks `finish_s` after the traffic, and then for 3 s.
    await asyncio.sleep(FINISH_S + 3.0)
    ran = {
        event["task"].partition(".")[0]
        for event in site.events
        if event["what"] == "start"
    }
    lost = [job for job in jobs if job not in ran]
    for job in lost:
        state = await site.state("sanita", job)
        site.record("broken", job=job, state=state)
        print(f"LOST: {job} was accepted, is {state!r}, and has never run")
    print(f"{len(jobs)} jobs were accepted, {len(lost)} have never run")
    return 1 if lost else 0


async def main() -> int:
    """Run the case and end all of its processes."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = Site(HERE / "record.txt", {"sanita": 120 if trouble else 96})
    try:
        return await run(site, trouble)
    finally:
        await site.stop()


if __name__ == "__main__":
    try:
        code = asyncio.run(asyncio.wait_for(main(), MOST_S))
    except Exception as exc:
        print(f"the case could not run: {exc!r}")
        code = 2
    raise SystemExit(code)
