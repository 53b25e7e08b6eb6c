"""Plays the case: workers of a zone that was cut off get no work any more."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.lost import Waiting, lost_jobs  # noqa: E402
from standin.minion import Needs  # noqa: E402
from standin.site import BROKEN, HELD, NOT_RUN, CannotRun, Site  # noqa: E402

MINIONS = 6
CPU = 32_000
NEEDS = Needs(cpu=1800, run_s=0.8)
TASKS = 6

CUT_S = 5.5
"""A zone is cut off for 5.5 s (`zone_cut`): here its workers, not its entry host."""

IDLE_S = 3.0
"""Pause before the cut, in which nothing runs, and after it."""

JOBS = 10
GAP_S = 0.5
FINISH_S = 14.0
"""`finish_s`: so long after the end of the traffic the jobs are asked for."""

EARLIER_JOB, FIRST_JOB = 1, 2


class Play:
    """One play of the case."""

    def __init__(self, site: Site) -> None:
        """Start without jobs."""
        self.site = site
        self.accepted: list[Waiting] = []
        self.states: dict[str, str] = {}
        self.asked_s = 0.0

    async def run(self, trouble: bool) -> None:
        """Cut the idle workers of a zone off, then hand in jobs that need them."""
        site, ledger = self.site, self.site.ledger
        owner = site.owner()
        host = next(item for item in site.hosts if item is not owner)
        minions = [item for item in site.minions if item.zone == host.zone]
        rack = minions[0].rack
        ledger.say(f"the owner is {owner.name}; rack {rack} is in zone {host.zone}")
        await self._submit(EARLIER_JOB, rack)
        await asyncio.sleep(IDLE_S)
        if not self._has_begun(f"{EARLIER_JOB:016x}"):
            raise CannotRun("the job before the cut did not run")
        if trouble:
            for minion in minions:
                minion.cut()
        await asyncio.sleep(CUT_S)
        if trouble:
            for minion in minions:
                minion.heal()
        await asyncio.sleep(IDLE_S)
        for number in range(FIRST_JOB, FIRST_JOB + JOBS):
            await self._submit(number, rack if number % 2 else "")
        await asyncio.sleep(FINISH_S)
        self.asked_s = ledger.now_s
        for job_id in (job.job_id for job in self.accepted):
            _, answer = await site.client_call(owner, "GET", job_id)
            self.states[job_id] = answer.get("state", "")

    async def _submit(self, number: int, label: str) -> None:
        step = {"count": TASKS, "cpu": NEEDS.cpu, "memMb": 256, "estRuntimeMs": 800}
        if label:
            step["constraints"] = label
        job_id = f"{number:016x}"
        job = {"spec": NEEDS.to_spec(), "steps": [step]}
        if not await self.site.submit(job_id, job):
            raise CannotRun("a job was not accepted")
        self.accepted.append(Waiting(job_id, TASKS, label))
        self.site.ledger.say(f"{job_id} may run on {label or 'any minion'}")
        await asyncio.sleep(GAP_S)

    def _has_begun(self, job_id: str) -> bool:
        return any(task.startswith(job_id) for task, _ in self.site.ledger.starts)


async def main(trouble: bool) -> int:
    """Play the case and write the record; return the exit code."""
    site = Site(MINIONS, CPU)
    ledger = site.ledger
    play = Play(site)
    failure = await site.run(lambda: play.run(trouble))
    found = lost_jobs(
        play.accepted, NEEDS, site.minions, ledger, play.asked_s, play.states
    )
    for line in found:
        ledger.say(f"LOST: {line}")
    result = NOT_RUN if failure else BROKEN if found else HELD
    verdict = f"LOST is broken by {len(found)} of {len(play.accepted)} accepted jobs"
    ledger.finish(FOLDER, verdict, failure, result)
    return result


if __name__ == "__main__":
    sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
