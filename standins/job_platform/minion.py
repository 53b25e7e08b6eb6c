"""One incarnation of a minion: runs tasks under a lease and reports their ends."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from standins.asgi import Call, Reply, error_reply, json_reply
from standins.job_platform.ledger import Ledger

HEADER_EXPECT_INSTANCE = "x-courselead-expect-instance"

MAX_LEASE_MS = 10_000
"""Longer leases are shortened to this: `holdMaxMs` of the users' deployments."""

MAX_LISTED_ENDS = 500
"""Run ends in one answer to a poll, as the platform's protocol limits them."""

STOP_DURATION_MS = 50
"""Time a stop takes; short to keep the tests fast."""


class Payload(msgspec.Struct):
    """Job payload of a test: determines how the job's tasks behave.

    Attributes:
        run_ms: Run time of a task; 0 means until it is stopped.
        cpu: Thousandths of a core that a task uses.
        fails: Whether each run fails.
        crash_ms: Age at which a run crashes its minion; a negative value means never.
        account: Client account that owns the job.
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

    def is_crashing(self, now_ms: int) -> bool:
        """Return whether the run crashes its minion now."""
        crash_ms = self.payload.crash_ms
        return 0 <= crash_ms <= now_ms - self.started_ms

    def percent(self, now_ms: int) -> int:
        """Return the progress; a run without an end is at work all the time."""
        if not self.payload.run_ms:
            return 100
        return min(99, 100 * (now_ms - self.started_ms) // self.payload.run_ms)

    def end_kind(self, now_ms: int) -> str:
        """Return how the run has ended, or "" while it is running."""
        if self.stop_ms is not None and now_ms >= self.stop_ms:
            return "stopped"
        if self.payload.run_ms and now_ms - self.started_ms >= self.payload.run_ms:
            return "failed" if self.payload.fails else "done"
        return ""


@dataclass(slots=True)
class MinionStandin:
    """One incarnation of a minion.

    Attributes:
        born_ms: Start time of the incarnation.
        fence: Highest fencing token seen.
        lease_ms: Time at which the lease ends.
        zone: Availability zone of its machine.
        on_crash: Called when a run crashes the minion.
        terminated: Whether the incarnation has ended; pending calls then do nothing.
    """

    minion_id: str
    cpu: int
    ledger: Ledger
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_ms: int = 0
    zone: str = ""
    on_crash: Callable[[], None] = lambda: None
    terminated: bool = False
    _runs: dict[str, _Run] = field(default_factory=dict)
    _unacknowledged_ends: list[tuple[int, str, int, str, str]] = field(
        default_factory=list
    )
    _last_sequence: int = 0
    _highest_runs: dict[str, int] = field(default_factory=dict)
    _run_ended: anyio.Event = field(default_factory=anyio.Event)

    async def handle(self, call: Call) -> Reply:
        """Answer one call."""
        expected = call.headers.get(HEADER_EXPECT_INSTANCE, self.minion_id)
        if expected != self.minion_id:
            return error_reply(421, "another_life")
        self.advance()
        if self.terminated:
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
                return await self._poll(body)
            case "/-/pace":
                return self._success({})
        return error_reply(404, "no_such_call")

    def advance(self) -> None:
        """Bring the runs up to the current time: end those that are finished.

        A run ends when its work is done, its stop is complete or the lease has expired.
        The first run that crashes its minion ends all of them.
        """
        now_ms = _clock_ms()
        for run in self._runs.values():
            if run.is_crashing(now_ms):
                self.ledger.record_crash(run.task, f"{self.minion_id}-{self.born_ms}")
                self.on_crash()
                return
        lease_expired = now_ms > self.lease_ms
        for run in list(self._runs.values()):
            kind = "lapsed" if lease_expired else run.end_kind(now_ms)
            if kind:
                self._end_run(run, kind)

    def terminate(self) -> None:
        """End the incarnation and all its runs, without a report."""
        self.terminated = True
        for run in self._runs.values():
            self.ledger.lost[run.task] += 1
            self.ledger.subtract_usage(run.payload.account, run.payload.cpu)
            self.ledger.record_end(run.task, self.minion_id, False)
        self._runs.clear()

    def _start(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        deadline_ms = body["deadlineMs"]
        if deadline_ms <= _clock_ms():
            return self._refusal("late")
        self._renew_lease(deadline_ms)
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return self._success({})
        if running is not None or number <= self._highest_runs.get(task, 0):
            return self._refusal("old")
        payload = msgspec.json.decode(body["spec"], type=Payload)
        cpu_in_use = sum(run.payload.cpu for run in self._runs.values())
        if cpu_in_use + payload.cpu > self.cpu:
            return self._refusal("room")
        self._runs[task] = _Run(task, number, payload, _clock_ms())
        self.ledger.record_start(task, self.minion_id, self.zone)
        self.ledger.add_usage(payload.account, payload.cpu)
        self.advance()
        return self._success({})

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        self._highest_runs[task] = max(self._highest_runs.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number == number and run.stop_ms is None:
            run.stop_ms = _clock_ms() + STOP_DURATION_MS
        return self._success({})

    async def _poll(self, body: dict[str, Any]) -> Reply:
        cursor = body.get("ackCursor", 0)
        for sequence, task, _, kind, _ in self._unacknowledged_ends:
            if sequence <= cursor and kind == "done":
                self.ledger.record_acknowledgement(task)
        self._unacknowledged_ends = [
            item for item in self._unacknowledged_ends if item[0] > cursor
        ]
        self._renew_lease(body.get("deadlineMs", 0))
        with anyio.move_on_after(body.get("waitMs", 0) / 1000):
            while not self._unacknowledged_ends:
                await self._run_ended.wait()
        now_ms = _clock_ms()
        running = []
        for run in self._runs.values():
            percent = run.percent(now_ms)
            running.append([run.task, run.number, "", percent, 0])
        finished = self._unacknowledged_ends[:MAX_LISTED_ENDS]
        return self._success(
            {"born": self.born_ms, "running": running, "finished": finished}
        )

    def _renew_lease(self, deadline_ms: int) -> None:
        max_lease_ms = _clock_ms() + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, max_lease_ms))

    def _end_run(self, run: _Run, kind: str) -> None:
        del self._runs[run.task]
        self._highest_runs[run.task] = max(
            self._highest_runs.get(run.task, 0), run.number
        )
        self._last_sequence += 1
        self._unacknowledged_ends.append(
            (self._last_sequence, run.task, run.number, kind, "")
        )
        self.ledger.record_end(run.task, self.minion_id, kind == "done")
        self.ledger.subtract_usage(run.payload.account, run.payload.cpu)
        run_ended, self._run_ended = self._run_ended, anyio.Event()
        run_ended.set()

    def _success(self, document: dict[str, Any]) -> Reply:
        return json_reply(200, {"clockMs": _clock_ms(), **document})

    def _refusal(self, reason: str) -> Reply:
        return json_reply(409, {"clockMs": _clock_ms(), "reason": reason})


def _clock_ms() -> int:
    return int(time.monotonic() * 1000)
