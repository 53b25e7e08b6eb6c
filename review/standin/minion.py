"""A minion: runs tasks under a lease and lists their ends (given PROTOCOL.md)."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

from standin.http import HttpServer, Request, Response, json_response
from standin.ledger import Ledger

MAX_ENDS = 500
"""Ends in one answer, set by the protocol."""

HOLD_MAX_MS = 10_000
MAX_WAIT_MS = 2_000
ROUND_TRIP_S = 0.0018
"""Delay of a call between two zones on the sheets: 0.9 ms one way."""

STOP_S = 0.1
ADVANCE_S = 0.02


@dataclass(slots=True)
class _Run:
    task: str
    number: int
    cpu: int
    due_s: float
    begun_s: float
    stop_s: float | None = None


@dataclass(slots=True)
class Needs:
    """What the tasks of a job need; the minion reads it from the task's spec.

    Attributes:
        cpu: Thousandths of a core.
        run_s: Time of work.
    """

    cpu: int
    run_s: float

    def to_spec(self) -> str:
        """Return the text that carries the needs as a job's spec."""
        return f"cpu={self.cpu} run_s={self.run_s}"

    @classmethod
    def from_spec(cls, spec: str) -> Needs:
        """Return the needs that a spec carries."""
        fields = dict(item.split("=") for item in spec.split())
        return cls(int(fields["cpu"]), float(fields["run_s"]))


@dataclass(slots=True)
class Minion:
    """One minion on one machine.

    Attributes:
        cut_off: Whether it is partitioned from the system and from the store. It runs
            on; what reaches it then is answered when the partition is over.
        beat_s: When it wrote its entry last.
        listed: Whether the store has its entry.
    """

    minion_id: str
    machine: str
    service: str
    zone: str
    rack: str
    cpu: int
    ledger: Ledger
    cut_off: bool = False
    beat_s: float = 0.0
    listed: bool = False
    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    server: HttpServer = field(init=False)
    _born_s: float = field(default_factory=time.monotonic)
    _fence: int = 0
    _lease_ms: int = 0
    _seq: int = 0
    _end_number: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ends: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    _ended_s: dict[int, float] = field(default_factory=dict)
    _highest: dict[str, int] = field(default_factory=dict)
    _lapsed_s: float = 0.0
    _healed: asyncio.Event = field(default_factory=asyncio.Event)
    _ended: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Create the server; it is started by the site."""
        self.server = HttpServer(self._handle)

    @property
    def clock_ms(self) -> int:
        """Return the time on the minion's steady clock."""
        return int((time.monotonic() - self._born_s) * 1000)

    @property
    def capacity(self) -> dict[str, int]:
        """Return the capacity as the minion reports it."""
        return {"cpu": self.cpu, "memMb": 131_072, "gpu": 0}

    @property
    def labels(self) -> list[str]:
        """Return the minion's kind and its rack."""
        return ["a", self.rack]

    def entry(self) -> dict[str, Any]:
        """Return the entry in the list of minions."""
        self._seq += 1
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmupRemainingMs": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "clockMs": self.clock_ms,
            "seq": self._seq,
            "born": self.born_ms,
        }

    def cut(self) -> None:
        """Partition the minion from all machines and the store."""
        self.ledger.say(f"cut off {self.minion_id}")
        self._healed.clear()
        self.cut_off = True

    def heal(self) -> None:
        """End the partition; connections from before it are reset."""
        self.ledger.say(f"reachable again: {self.minion_id}")
        self.cut_off = False
        self._healed.set()
        self.server.reset_connections()

    async def work(self) -> None:
        """End runs that are done, stopped or without a lease, until cancelled."""
        while True:
            await asyncio.sleep(ADVANCE_S)
            self._advance()

    def _advance(self) -> None:
        now_s = time.monotonic()
        lapsed = self.clock_ms > self._lease_ms
        if lapsed:
            self._lapsed_s = now_s
        for run in list(self._runs.values()):
            if lapsed:
                self._end(run, "lapsed")
            elif now_s >= run.due_s:
                self._end(run, "done")
            elif run.stop_s is not None and now_s >= run.stop_s:
                self._end(run, "stopped")

    def _end(self, run: _Run, how: str) -> None:
        del self._runs[run.task]
        self._highest[run.task] = max(self._highest.get(run.task, 0), run.number)
        self._end_number += 1
        self._ends.append((self._end_number, run.task, run.number, how, ""))
        self._ended_s[self._end_number] = time.monotonic()
        self.ledger.ended(run.task, run.number, self.minion_id, self._end_number, how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    async def _handle(self, request: Request) -> Response:
        await asyncio.sleep(ROUND_TRIP_S)
        while self.cut_off:
            await self._healed.wait()
        expected = request.headers.get("x-courselead-expect-instance", self.minion_id)
        if expected != self.minion_id:
            return json_response(421, {"clockMs": self.clock_ms})
        body = request.json()
        fence = body.get("fence", 0)
        if fence < self._fence:
            return self._refused("fence")
        self._fence = fence
        self._advance()
        if request.path == "/-/run-start":
            return self._start(body)
        if request.path == "/-/run-stop":
            return self._stop(body)
        if request.path == "/-/hold":
            return await self._hold(body)
        if request.path == "/-/pace":
            return self._ok({})
        return json_response(404, {})

    def _start(self, body: dict[str, Any]) -> Response:
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock_ms:
            return self._refused("late")
        self._renew(body["deadlineMs"])
        running = self._runs.get(task)
        if running is not None and running.number == number:
            return self._ok({})
        if running is not None or number <= self._highest.get(task, 0):
            return self._refused("old")
        needs = Needs.from_spec(body["spec"])
        if sum(run.cpu for run in self._runs.values()) + needs.cpu > self.cpu:
            return self._refused("room")
        now_s = time.monotonic()
        run = _Run(task, number, needs.cpu, now_s + needs.run_s, now_s)
        self._runs[task] = run
        self.ledger.started(task, number, self.minion_id, body["fence"])
        return self._ok({})

    def _stop(self, body: dict[str, Any]) -> Response:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get(task)
        if run is not None and run.number == number and run.stop_s is None:
            run.stop_s = time.monotonic() + STOP_S
        return self._ok({})

    async def _hold(self, body: dict[str, Any]) -> Response:
        cursor = body.get("ackCursor", 0)
        while self._ends and self._ends[0][0] <= cursor:
            number, task, run, how, _ = self._ends.pop(0)
            # Not where the lease lapsed between the end and its being taken note of.
            if self._lapsed_s <= self._ended_s[number]:
                self.ledger.noted(task, run, self.minion_id, number, how)
        self._renew(body.get("deadlineMs", 0))
        wait_s = min(body.get("waitMs", 0), MAX_WAIT_MS) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while wait_s and not self._ends:
                    await self._ended.wait()
        except TimeoutError:
            pass
        now_s = time.monotonic()
        rows = []
        for run in self._runs.values():
            share = (now_s - run.begun_s) / max(0.001, run.due_s - run.begun_s)
            rows.append([run.task, run.number, "", min(99, int(100 * share)), run.cpu])
        return self._ok(
            {"born": self.born_ms, "running": rows, "finished": self._ends[:MAX_ENDS]}
        )

    def _renew(self, deadline_ms: int) -> None:
        self._lease_ms = max(
            self._lease_ms, min(deadline_ms, self.clock_ms + HOLD_MAX_MS)
        )

    def _ok(self, document: dict[str, Any]) -> Response:
        return json_response(200, {"clockMs": self.clock_ms, **document})

    def _refused(self, reason: str) -> Response:
        return json_response(409, {"clockMs": self.clock_ms, "reason": reason})
