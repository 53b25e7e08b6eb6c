"""The agent of one worker: starts minions, runs tasks under leases, reboots.

Beyond the protocol it answers `GET /-/runs` (what was executed here, over all minions
the worker ever had) and `POST /-/kill` (a crash: cuts everything, then boots again;
with `?forget` the agent no longer knows of its tasks).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc
import msgspec

from standins.asgi import Call, Reply, error_reply, json_reply
from standins.faults import Endpoint
from standins.minion import STOPPED, Minion, MinionSpec
from standins.runs import Runs
from standins.serving import Listener
from standins.tasks import RUNNING, TaskOrder, TaskRun

DEFAULT_REBOOT_MS = 300
MAX_TASKS_KEPT = 1000


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """The worker's name and how it behaves."""

    worker: str
    reboot_ms: int = DEFAULT_REBOOT_MS
    usage_lag_ms: int = 0
    port: int = 0


@dataclass(frozen=True, slots=True)
class _Start:
    service: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class _Reboot:
    boots: int | None = None


@dataclass(frozen=True, slots=True)
class _TaskCall:
    attempt: int
    lease_ms: int = 0


@dataclass(frozen=True, slots=True)
class _Fenced:
    epoch: int


def _monotonic_ms() -> float:
    # One clock for all processes of a machine, so that runs can be compared.
    return time.monotonic() * 1000


class Worker:
    """One worker's agent, with its minion and its tasks."""

    def __init__(
        self, spec: WorkerSpec, clock_ms: Callable[[], float] = _monotonic_ms
    ) -> None:
        """Bind the agent's port; `run` serves it."""
        self.spec = spec
        self.epoch = 0
        self.boots = 0
        self.minion: Minion | None = None
        self.runs = Runs()
        self.endpoint = Endpoint(self.handle)
        self.listener = Listener(self.endpoint, spec.port)
        self.address = self.listener.address
        self._clock_ms = clock_ms
        self._tasks: dict[str, TaskRun] = {}
        self._old_runs: list[TaskRun] = []
        self._boot_at_ms: float | None = None
        self._addresses: set[str] = set()
        self._group: anyio.abc.TaskGroup | None = None

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve the agent and its minions until `abort` or a cancellation."""
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self.listener.run)
            task_status.started(self.address)

    def abort(self) -> None:
        """End the agent and its minion at once."""
        self.listener.abort()
        if self.minion is not None:
            self.minion.listener.abort()

    def crash(self, forget: bool = False) -> None:
        """Cut the minion and the tasks, then boot.

        Args:
            forget: Whether the agent comes back without knowing of its tasks.
        """
        now_ms = self._clock_ms()
        if self.minion is not None and self.minion.state != STOPPED:
            self.minion.kill()
        for task in self._tasks.values():
            if task.fail("the worker crashed", now_ms):
                self.runs.add_cut_off(1)
        if forget:
            self._old_runs.extend(self._tasks.values())
            self._tasks.clear()
        self._boot_at_ms = now_ms + self.spec.reboot_ms

    async def handle(self, call: Call) -> Reply | None:
        """Answer one call of the agent's protocol."""
        self._settle()
        match call.method, call.segments:
            case "GET", ("v1", "state"):
                return json_reply(200, self._state())
            case "GET", ("-", "runs"):
                return json_reply(200, self._runs("brief" in call.query))
            case "POST", ("-", "kill"):
                self.crash(forget="forget" in call.query)
                return json_reply(202, {})
            case "POST", ("v1", *rest):
                return self._fence(call) or await self._act(call, rest)
        return error_reply(404, "not_found")

    def _fence(self, call: Call) -> Reply | None:
        """Refuse a call whose epoch is under the highest one seen."""
        epoch = msgspec.json.decode(call.body, type=_Fenced).epoch
        if epoch < self.epoch:
            return error_reply(409, "stale_epoch", epoch=self.epoch)
        self.epoch = epoch
        return None

    async def _act(self, call: Call, rest: list[str]) -> Reply:
        match rest:
            case ["minion", "start"]:
                return await self._start(msgspec.json.decode(call.body, type=_Start))
            case ["minion", "stop"]:
                return self._stop()
            case ["reboot"]:
                return self._reboot(msgspec.json.decode(call.body, type=_Reboot))
            case ["tasks"]:
                return self._start_task(msgspec.json.decode(call.body, type=TaskOrder))
            case ["tasks", job_id, action]:
                asked = msgspec.json.decode(call.body, type=_TaskCall)
                return self._act_on_task(job_id, action, asked)
        return error_reply(404, "not_found")

    async def _start(self, start: _Start) -> Reply:
        if self._boot_at_ms is not None:
            return error_reply(409, "rebooting", epoch=self.epoch)
        minion = self.minion
        if minion is not None and minion.state != STOPPED:
            if minion.spec.service == start.service and minion.state != "stopping":
                return json_reply(200, {"address": minion.address})
            return error_reply(409, "busy", epoch=self.epoch)
        spec = MinionSpec(
            start.service, self.spec.worker, start.slots, start.connections
        )
        self.minion = minion = self._new_minion(spec)
        assert self._group is not None
        await self._group.start(minion.run)
        return json_reply(200, {"address": minion.address})

    def _new_minion(self, spec: MinionSpec) -> Minion:
        """Return a minion at a port that no minion of this worker ever had."""
        used = []
        while True:
            minion = Minion(spec, self.runs, lambda: self.endpoint.faults.fail_all)
            if minion.address not in self._addresses:
                break
            used.append(minion)
        for other in used:
            other.listener.abort()
        self._addresses.add(minion.address)
        return minion

    def _stop(self) -> Reply:
        if self.minion is not None:
            self.minion.stop()
        return json_reply(202, {})

    def _reboot(self, reboot: _Reboot) -> Reply:
        already = reboot.boots is not None and reboot.boots != self.boots
        if already or self._boot_at_ms is not None:
            return json_reply(202, {})
        if self._is_busy():
            return error_reply(409, "busy", epoch=self.epoch)
        self._boot_at_ms = self._clock_ms() + self.spec.reboot_ms
        return json_reply(202, {})

    def _is_busy(self) -> bool:
        if self.minion is not None and self.minion.state != STOPPED:
            return True
        return any(task.state == RUNNING for task in self._tasks.values())

    def _start_task(self, order: TaskOrder) -> Reply:
        if self._boot_at_ms is not None:
            return error_reply(409, "rebooting", epoch=self.epoch)
        now_ms = self._clock_ms()
        known = self._tasks.get(order.job_id)
        if known is not None:
            if order.attempt < known.order.attempt:
                return error_reply(409, "stale_attempt", epoch=self.epoch)
            if order.attempt == known.order.attempt:
                return self._task_reply(known)
            known.stop(now_ms)
            self._old_runs.append(known)
        task = TaskRun(order, now_ms)
        if self.endpoint.faults.fail_all:
            task.fail("the worker fails every task", now_ms)
        self._tasks.pop(order.job_id, None)
        self._tasks[order.job_id] = task
        self._forget_old_tasks()
        return self._task_reply(task)

    def _act_on_task(self, job_id: str, action: str, asked: _TaskCall) -> Reply:
        task = self._tasks.get(job_id)
        if task is None or asked.attempt > task.order.attempt:
            return error_reply(404, "not_found")
        if asked.attempt < task.order.attempt:
            return error_reply(409, "stale_attempt", epoch=self.epoch)
        now_ms = self._clock_ms()
        match action:
            case "renew":
                task.renew(asked.lease_ms, now_ms)
            case "checkpoint":
                task.checkpoint(now_ms)
            case "throttle":
                task.throttle(now_ms)
            case "stop":
                task.stop(now_ms)
            case _:
                return error_reply(404, "not_found")
        return self._task_reply(task)

    def _task_reply(self, task: TaskRun) -> Reply:
        return json_reply(200, task.view(self._clock_ms(), self.spec.usage_lag_ms))

    def _forget_old_tasks(self) -> None:
        for job_id in list(self._tasks):
            if len(self._tasks) <= MAX_TASKS_KEPT:
                return
            if self._tasks[job_id].state != RUNNING:
                self._old_runs.append(self._tasks.pop(job_id))

    def _settle(self) -> None:
        """Bring the tasks and a reboot under way up to the time."""
        now_ms = self._clock_ms()
        for task in self._tasks.values():
            task.settle(now_ms)
        if self._boot_at_ms is not None and self._boot_at_ms <= now_ms:
            self._boot_at_ms = None
            self.boots += 1
            self.minion = None

    def _state(self) -> dict[str, Any]:
        now_ms = self._clock_ms()
        lag_ms = self.spec.usage_lag_ms
        return {
            "worker": self.spec.worker,
            "epoch": self.epoch,
            "minion": None if self.minion is None else self.minion.view(),
            "rebooting": self._boot_at_ms is not None,
            "boots": self.boots,
            "tasks": [task.view(now_ms, lag_ms) for task in self._tasks.values()],
            "usage_lag_ms": lag_ms,
        }

    def _runs(self, brief: bool) -> dict[str, Any]:
        runs = self.runs.summary(brief)
        runs["boots"] = self.boots
        runs["jobs"] = []
        for task in (*self._old_runs, *self._tasks.values()):
            job = {
                "job_id": task.order.job_id,
                "attempt": task.order.attempt,
                "state": task.state,
                "started_ms": task.started_ms,
                "ended_ms": task.ended_ms,
            }
            runs["jobs"].append(job)
        return runs
