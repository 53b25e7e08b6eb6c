"""Plays the case: jobs are cancelled at a host that has stood still for 4 s."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standin.http import STATUS_OK  # noqa: E402
from standin.minion import Needs  # noqa: E402
from standin.site import BROKEN, HELD, NOT_RUN, CannotRun, Host, Site  # noqa: E402

MINIONS = 3
CPU = 32_000
JOBS = 500
STEPS = 8
CANCELLED_JOBS = 5
SPEC_BYTES = 4_000
NEEDS = Needs(cpu=20, run_s=8.0)
CALLERS = 8

SUBMIT_S = 3.0
"""The jobs are handed in over this time, evenly."""

FREEZE_S = 4.0
"""The host stands still for 4 s (`node_freeze`)."""

CANCEL_BEFORE_WAKE_S = 0.5
"""When the jobs are cancelled, before the host goes on."""

CANCEL_MS = 3_000
"""`cancel_ms`: nothing of a job starts later than this after its cancel's answer."""

WATCH_S = 15.0

STATUS_NO_JOB = 410


class Play:
    """One play of the case."""

    def __init__(self, site: Site) -> None:
        """Start without jobs."""
        self.site = site
        self.accepted: list[str] = []
        self.answered: dict[str, tuple[float, int]] = {}
        """Time and status of the answer to each cancel."""

    async def run(self, trouble: bool) -> None:
        """Hand in jobs while a host stands still, and cancel the last ones there."""
        site, ledger = self.site, self.site.ledger
        owner = site.owner()
        frozen, other = [host for host in site.hosts if host is not owner]
        if trouble:
            site.freeze(frozen)
        begun_s = ledger.now_s
        await self._submit([owner, other], begun_s)
        ledger.say(f"{len(self.accepted)} jobs accepted")
        await asyncio.sleep(begun_s + FREEZE_S - CANCEL_BEFORE_WAKE_S - ledger.now_s)
        cancels = asyncio.gather(
            *(self._cancel(frozen, job) for job in self.accepted[-CANCELLED_JOBS:])
        )
        await asyncio.sleep(begun_s + FREEZE_S - ledger.now_s)
        if trouble:
            site.go_on(frozen)
        await cancels
        await asyncio.sleep(WATCH_S)
        for job_id in self.answered:
            await site.client_call(other, "GET", job_id)

    async def _submit(self, hosts: list[Host], begun_s: float) -> None:
        numbers = iter(range(1, JOBS + 1))

        async def call_in_turn(host: Host) -> None:
            for number in numbers:
                due_s = begun_s + SUBMIT_S * number / JOBS
                await asyncio.sleep(due_s - self.site.ledger.now_s)
                job_id = f"{number:016x}"
                status, _ = await self.site.client_call(
                    host, "POST", job_id, make_job()
                )
                if status == STATUS_OK:
                    self.accepted.append(job_id)

        callers = [call_in_turn(hosts[n % len(hosts)]) for n in range(CALLERS)]
        await asyncio.gather(*callers)
        if len(self.accepted) < JOBS:
            raise CannotRun(f"only {len(self.accepted)} jobs were accepted")
        if self.site.ledger.now_s > begun_s + FREEZE_S - CANCEL_BEFORE_WAKE_S:
            raise CannotRun("the jobs were not accepted in time")

    async def _cancel(self, host: Host, job_id: str) -> None:
        status, _ = await self.site.client_call(host, "DELETE", job_id)
        if status in (STATUS_OK, STATUS_NO_JOB):
            self.answered[job_id] = (self.site.ledger.now_s, status)

    def late_starts(self) -> list[str]:
        """Return the starts that break UNASKED."""
        found = []
        for (task, run), (begun_s, minion, _) in self.site.ledger.starts.items():
            answer = self.answered.get(task.partition(".")[0])
            if answer is None or begun_s <= answer[0] + CANCEL_MS / 1000:
                continue
            late_s = begun_s - answer[0]
            found.append(
                f"{task} run {run} begins on {minion} {late_s:.2f} s after the cancel "
                f"of its job was answered with {answer[1]}"
            )
        return found


def make_job() -> dict:
    """Return a job of a few steps, one after the other, with a long spec."""
    spec = f"{NEEDS.to_spec()} note="
    spec += "x" * (SPEC_BYTES - len(spec))
    steps = []
    for number in range(STEPS):
        step = {
            "count": 1,
            "cpu": NEEDS.cpu,
            "memMb": 32,
            "estRuntimeMs": 8000,
            "image": f"registry.example/translations/align-and-check-{number}:2026.12",
        }
        if number:
            step["after"] = [number - 1]
        steps.append(step)
    return {"spec": spec, "steps": steps}


async def main(trouble: bool) -> int:
    """Play the case and write the record; return the exit code."""
    site = Site(MINIONS, CPU)
    ledger = site.ledger
    play = Play(site)
    failure = await site.run(lambda: play.run(trouble))
    found = play.late_starts()
    for line in found:
        ledger.say(f"UNASKED: {line}")
    result = NOT_RUN if failure else BROKEN if found else HELD
    verdict = f"UNASKED is broken by {len(found)} starts"
    ledger.finish(FOLDER, verdict, failure, result)
    return result


if __name__ == "__main__":
    sys.exit(asyncio.run(main(os.environ.get("TROUBLE", "1") != "0")))
