"""One life of a minion: runs tasks under a lease, and reports their ends."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from standins.asgi import Call, Reply, error_reply, json_reply
from standins.job_platform.ledger import Ledger

HEADER_INSTANCE = "x-courselead-expect-instance"

LEASE_MAX_MS = 10_000
"""Longest lease that is kept: `holdMaxMs` of the users' deployments."""

STOP_MS = 50
"""Time a stop takes: short, so that tests need not wait for it."""


class Payload(msgspec.Struct):
    """What a test puts into a job's payload: how its tasks behave here.

    Attributes:
        run_ms: Run time of a task; 0 lasts until it is stopped.
        cpu: Thousandths of a core that a task takes.
        fails: Whether each run fails.
        crash_ms: Age at which a run ends its minion; below 0 it never does.
        account: Whose the job is.
    """

    run_ms: int = 0
    cpu: int = 1000
    fails: bool = False
    crash_ms: int = -1
    account: str = ""


@dataclass(slots=True)
class _Run:
    task: str
    number: int
    payload: Payload
    started_ms: int
    stop_ms: int | None = None

    def crashes(self, now_ms: int) -> bool:
        """Return whether it ends its minion now."""
        crash_ms = self.payload.crash_ms
        return 0 <= crash_ms <= now_ms - self.started_ms

    def end_kind(self, now_ms: int) -> str:
        """Return how it has ended by now, "" if it has not."""
        if self.stop_ms is not None and now_ms >= self.stop_ms:
            return "stopped"
        if self.payload.run_ms and now_ms - self.started_ms >= self.payload.run_ms:
            return "failed" if self.payload.fails else "done"
        return ""


@dataclass(slots=True)
class MinionStandin:
    """A minion from its start to the end of its life.

    Attributes:
        on_crash: Called when a run ends the minion.
        over: Whether its life is over: a call under way does nothing more.
    """

    minion_id: str
    cpu: int
    ledger: Ledger
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_ms: int = 0
    on_crash: Callable[[], None] = lambda: None
    over: bool = False
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ended: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    _count: int = 0
    _highest: dict[str, int] = field(default_factory=dict)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    async def handle(self, call: Call) -> Reply:
        """Answer one call."""
        expected = call.headers.get(HEADER_INSTANCE, self.minion_id)
        if expected != self.minion_id:
            return error_reply(421, "another_life")
        self.work()
        if self.over:
            return error_reply(503, "its life is over")
        body = call.json()
        if body.get("fence", 0) < self.fence:
            return self._refusal("fence")
        self.fence = body.get("fence", 0)
        match call.path:
            case "/-/run-start":
                return self._start(body)
            case "/-/run-stop":
                return self._stop(body)
            case "/-/hold":
                return await self._hold(body)
            case "/-/pace":
                return self._told({})
        return error_reply(404, "no_such_call")

    def work(self) -> None:
        """Let time take its effect: ends of runs, and of the lease."""
        now_ms = _clock_ms()
        for run in self._runs.values():
            if run.crashes(now_ms):
                self.ledger.crashed(run.task, f"{self.minion_id}-{self.born_ms}")
                self.on_crash()
                return
        lapsed = now_ms > self.lease_ms
        for run in list(self._runs.values()):
            kind = "lapsed" if lapsed else run.end_kind(now_ms)
            if kind:
                self._end(run, kind)

    def die(self) -> None:
        """End everything without a report: the life is over."""
        self.over = True
        for run in self._runs.values():
            self.ledger.lost[run.task] += 1
            self.ledger.used_less(run.payload.account, run.payload.cpu)
            self.ledger.ended(run.task, self.minion_id, False)
        self._runs.clear()

    def _start(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        deadline_ms = body["deadlineMs"]
        if deadline_ms <= _clock_ms():
            return self._refusal("late")
        self._renew(deadline_ms)
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return self._told({})
        if running is not None or number <= self._highest.get(task, 0):
            return self._refusal("old")
        payload = msgspec.json.decode(body["spec"], type=Payload)
        used = sum(run.payload.cpu for run in self._runs.values())
        if used + payload.cpu > self.cpu:
            return self._refusal("room")
        self._runs[task] = _Run(task, number, payload, _clock_ms())
        self.ledger.started(task, self.minion_id)
        self.ledger.used_more(payload.account, payload.cpu)
        self.work()
        return self._told({})

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number == number and run.stop_ms is None:
            run.stop_ms = _clock_ms() + STOP_MS
        return self._told({})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        cursor = body.get("ackCursor", 0)
        for sequence, task, _, kind, _ in self._ended:
            if sequence <= cursor and kind == "done":
                self.ledger.noted(task)
        self._ended = [item for item in self._ended if item[0] > cursor]
        self._renew(body.get("deadlineMs", 0))
        with anyio.move_on_after(body.get("waitMs", 0) / 1000):
            while not self._ended:
                await self._changed.wait()
        now_ms = _clock_ms()
        running = []
        for run in self._runs.values():
            run_ms = run.payload.run_ms
            percent = min(99, 100 * (now_ms - run.started_ms) // run_ms)
            running.append([run.task, run.number, "", percent if run_ms else 100, 0])
        ended = list(self._ended)
        return self._told({"born": self.born_ms, "running": running, "finished": ended})

    def _renew(self, deadline_ms: int) -> None:
        longest_ms = _clock_ms() + LEASE_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def _end(self, run: _Run, kind: str) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._count += 1
        self._ended.append((self._count, run.task, run.number, kind, ""))
        self.ledger.ended(run.task, self.minion_id, kind == "done")
        self.ledger.used_less(run.payload.account, run.payload.cpu)
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _told(self, document: dict[str, Any]) -> Reply:
        return json_reply(200, {"clockMs": _clock_ms(), **document})

    def _refusal(self, reason: str) -> Reply:
        return json_reply(409, {"clockMs": _clock_ms(), "reason": reason})


def _clock_ms() -> int:
    return int(time.monotonic() * 1000)
