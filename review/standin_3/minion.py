"""A minion: runs tasks under a lease, as the users' pages describe it."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from review.standin_3.http11 import Answer, Request, Server

HOLD_MAX_MS = 10_000
STOP_MS = 400
GANG_WAIT_MS = 3_000
PACE_MS = 100
MAX_LISTED = 500
STEP_S = 0.02


@dataclass
class Run:
    """One run of a task.

    `spec` is the job's `spec`: `ms` of work (0 to last until stopped), `cpu`, `mem`,
    `gang` with the number of members, `save_ms` between two checkpoints.
    """

    task: str
    number: int
    spec: dict
    cpu: int
    mem: int
    started: float
    saved: str = ""
    stop_at: float | None = None
    done_s: float = 0.0
    alone_at: float | None = None
    end_as: str = ""


@dataclass
class Gangs:
    """The members that are present, over all minions, by gang and run number."""

    present: dict[tuple[str, int], set[str]] = field(default_factory=dict)
    over: dict[tuple[str, int], str] = field(default_factory=dict)


Record = Callable[..., None]


class Minion:
    """One machine with its minion."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        rack: str,
        cpu: int,
        mem: int,
        record: Record,
        gangs: Gangs,
        kind: str = "a",
    ) -> None:
        self.machine = name
        self.minion_id = f"i-{name}"
        self.service, self.zone, self.rack, self.kind = service, zone, rack, kind
        self.cpu, self.mem = cpu, mem
        self.record = record
        self.gangs = gangs
        self.server = Server(self.handle)
        self.draining = False
        self.guards = True
        self.ticket_of: Callable[[str, str], bool] | None = None
        self.before: Callable[[Request], Answer | None] = lambda request: None
        self.heard: list[tuple[float, str, int]] = []
        self.runs: dict[str, Run] = {}
        self.down = False
        self.reborn()

    def reborn(self) -> None:
        """Start a new life, which knows nothing of before."""
        self.crash()
        self.down = False
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease = 0.0
        self.runs: dict[str, Run] = {}
        self.ends: list[list] = []
        self.sequence = 0
        self.highest: dict[str, int] = {}
        self.ended = asyncio.Event()

    def entry(self) -> dict:
        """Return what the minion writes about itself."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "seq": int(time.monotonic() * 10),
            "capacity": {"cpu": self.cpu, "memMb": self.mem},
            "labels": [self.kind, self.rack],
            "born": self.born,
        }

    def clock_ms(self) -> int:
        """Return the time on the minion's steady clock."""
        return int(time.monotonic() * 1000)

    def used(self) -> tuple[int, int]:
        """Return the cores and the memory in use."""
        cpu = sum(run.cpu for run in self.runs.values())
        return cpu, sum(run.mem for run in self.runs.values())

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        if self.down:
            return Answer(reset=True)
        expected = request.headers.get("x-courselead-expect-instance")
        if expected not in (None, self.minion_id):
            return Answer(421)
        early = self.before(request)
        if early is not None:
            return early
        self.advance()
        body = json.loads(request.body or b"{}")
        if body.get("fence", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fence", 0)
        self.heard.append((time.monotonic(), request.path, self.fence))
        if request.path == "/-/run-start":
            return self.start(body)
        if request.path == "/-/run-stop":
            return self.stop(body)
        if request.path == "/-/hold":
            return await self.hold(body)
        if request.path == "/-/pace":
            return self.answer(200)
        return Answer(404)

    def answer(self, status: int, **fields: object) -> Answer:
        """Return an answer with the clock."""
        document = {"clockMs": self.clock_ms(), "born": self.born, **fields}
        return Answer(status, json.dumps(document).encode())

    def renew(self, deadline_ms: int) -> None:
        """Prolong the lease."""
        now = self.clock_ms()
        self.lease = max(self.lease, min(deadline_ms, now + HOLD_MAX_MS))

    def start(self, body: dict) -> Answer:
        """Start a run, or refuse it."""
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.renew(body["deadlineMs"])
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return self.answer(200)
        if running is not None or number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if self.ticket_of and not self.ticket_of(task, body.get("ticket", "")):
            return self.answer(409, reason="ticket")
        spec = json.loads(body["spec"])
        step = spec["steps"][int(task.split(".")[2])]
        cpu, mem = step.get("cpu", 0), step.get("mem", 0)
        in_use = self.used()
        if in_use[0] + cpu > self.cpu or in_use[1] + mem > self.mem:
            self.record("room", task=task, minion=self.machine, guards=self.guards)
            if self.guards:
                return self.answer(409, reason="room")
        run = Run(task, number, step, cpu, mem, time.monotonic())
        run.saved = body.get("lastCheckpoint", "")
        self.runs[task] = run
        self.record("start", task=task, run=number, minion=self.machine)
        if step.get("gang"):
            key = self.gang_key(run)
            self.gangs.present.setdefault(key, set()).add(task)
            run.alone_at = time.monotonic() + GANG_WAIT_MS / 1000
        return self.answer(200)

    @staticmethod
    def gang_key(run: Run) -> tuple[str, int]:
        """Return the key of the gang of a run."""
        return (run.task.rpartition(".")[0], run.number)

    def stop(self, body: dict) -> Answer:
        """Stop a run; one that is not there yet will be refused."""
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1000
        return self.answer(200)

    async def hold(self, body: dict) -> Answer:
        """Renew the lease and list what runs and what has ended."""
        cursor = body.get("ackCursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.record("noted", task=end[1], run=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        if "deadlineMs" in body:
            self.renew(body["deadlineMs"])
        try:
            async with asyncio.timeout(body.get("waitMs", 0) / 1000):
                while not self.ends:
                    await self.ended.wait()
        except TimeoutError:
            pass
        running = [
            [run.task, run.number, run.saved, self.percent(run), run.cpu]
            for run in self.runs.values()
        ]
        return self.answer(200, running=running, finished=self.ends[:MAX_LISTED])

    def percent(self, run: Run) -> int:
        """Return how far a run is."""
        if not run.spec.get("ms"):
            return 100
        return min(99, int(100_000 * run.done_s / run.spec["ms"]))

    def advance(self, passed_s: float = 0.0) -> None:
        """Bring all runs up to now."""
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease
        for run in list(self.runs.values()):
            how = run.end_as
            if lapsed:
                how = "lapsed"
            elif run.stop_at is not None and now >= run.stop_at:
                how = "stopped"
            elif not how and run.spec.get("gang"):
                how = self.gang_state(run, now)
            if not how and (run.alone_at is None) and run.stop_at is None:
                run.done_s += passed_s
                if run.spec.get("ms") and run.done_s * 1000 >= run.spec["ms"]:
                    how = "failed" if run.spec.get("fails") else "done"
            if how:
                self.end(run, how)

    def gang_state(self, run: Run, now: float) -> str:
        """Return how a member of a gang ends now, "" if it does not."""
        key = self.gang_key(run)
        if key in self.gangs.over:
            return self.gangs.over[key]
        if run.alone_at is None:
            return ""
        if len(self.gangs.present.get(key, ())) >= run.spec["gang"]:
            run.alone_at = None
            return ""
        return "alone" if now >= run.alone_at else ""

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.sequence += 1
        self.ends.append([self.sequence, run.task, run.number, how, run.saved])
        self.record("end", task=run.task, run=run.number, how=how, minion=self.machine)
        if run.spec.get("gang"):
            key = self.gang_key(run)
            was = "done" if how == "done" else "broken"
            self.gangs.over.setdefault(key, was)
            self.gangs.present.get(key, set()).discard(run.task)
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    def crash(self) -> None:
        """End everything without a word; it is down until it is born again."""
        self.down = True
        for run in self.runs.values():
            self.record("lost", task=run.task, run=run.number, minion=self.machine)
            if run.spec.get("gang"):
                self.gangs.over.setdefault(self.gang_key(run), "broken")
        self.runs.clear()
        self.server.reset()

    async def work(self) -> None:
        """Advance the runs until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            self.advance(now - last)
            last = now
