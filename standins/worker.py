"""Stand-in for a worker's agent: starts minions, runs tasks under leases, reboots.

In addition to the protocol it serves `GET /-/runs`, the executions on all minions the
worker ever had, and `POST /-/kill`, which simulates a crash and reboot; with `?forget`
the agent loses its tasks.
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
MAX_KNOWN_TASKS = 1000


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """Name, timing and port of a worker."""

    worker: str
    reboot_ms: int = DEFAULT_REBOOT_MS
    usage_lag_ms: int = 0
    port: int = 0


@dataclass(frozen=True, slots=True)
class _MinionStart:
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
class _EpochField:
    epoch: int


def _monotonic_ms() -> float:
    # The same clock in all processes of a machine, so that times can be compared.
    return time.monotonic() * 1000


class Worker:
    """The agent of one worker, with its minion and its tasks."""

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
        self._past_task_runs: list[TaskRun] = []
        self._boot_at_ms: float | None = None
        self._used_addresses: set[str] = set()
        self._group: anyio.abc.TaskGroup | None = None

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve the agent and its minions until `abort` or cancellation."""
        async with anyio.create_task_group() as group:
            self._group = group
            await group.start(self.listener.run)
            task_status.started(self.address)

    def abort(self) -> None:
        """Abort the agent and its minion."""
        self.listener.abort()
        if self.minion is not None:
            self.minion.listener.abort()

    def crash(self, forget: bool = False) -> None:
        """Kill the minion, fail the tasks and reboot.

        Args:
            forget: Whether the agent loses its tasks.
        """
        now_ms = self._clock_ms()
        if self.minion is not None and self.minion.state != STOPPED:
            self.minion.kill()
        for task in self._tasks.values():
            if task.fail("the worker crashed", now_ms):
                self.runs.add_cut_off(1)
        if forget:
            self._past_task_runs.extend(self._tasks.values())
            self._tasks.clear()
        self._boot_at_ms = now_ms + self.spec.reboot_ms

    async def handle(self, call: Call) -> Reply | None:
        """Answer one call of the agent's protocol."""
        self._advance()
        match call.method, call.segments:
            case "GET", ("v1", "state"):
                return json_reply(200, self._state())
            case "GET", ("-", "runs"):
                return json_reply(200, self._runs_summary("brief" in call.query))
            case "POST", ("-", "kill"):
                self.crash(forget="forget" in call.query)
                return json_reply(202, {})
            case "POST", ("v1", *rest):
                return self._check_epoch(call) or await self._handle_order(call, rest)
        return error_reply(404, "not_found")

    def _check_epoch(self, call: Call) -> Reply | None:
        """Refuse a call whose epoch is lower than the highest one seen."""
        epoch = msgspec.json.decode(call.body, type=_EpochField).epoch
        if epoch < self.epoch:
            return error_reply(409, "stale_epoch", epoch=self.epoch)
        self.epoch = epoch
        return None

    async def _handle_order(self, call: Call, rest: list[str]) -> Reply:
        match rest:
            case ["minion", "start"]:
                return await self._start_minion(
                    msgspec.json.decode(call.body, type=_MinionStart)
                )
            case ["minion", "stop"]:
                return self._stop_minion()
            case ["reboot"]:
                return self._reboot(msgspec.json.decode(call.body, type=_Reboot))
            case ["tasks"]:
                return self._start_task(msgspec.json.decode(call.body, type=TaskOrder))
            case ["tasks", job_id, action]:
                request = msgspec.json.decode(call.body, type=_TaskCall)
                return self._act_on_task(job_id, action, request)
        return error_reply(404, "not_found")

    async def _start_minion(self, start: _MinionStart) -> Reply:
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
        self.minion = minion = self._create_minion(spec)
        assert self._group is not None
        await self._group.start(minion.run)
        return json_reply(200, {"address": minion.address})

    def _create_minion(self, spec: MinionSpec) -> Minion:
        """Create a minion on a port that no minion of this worker has used before."""
        rejected = []
        while True:
            minion = Minion(spec, self.runs, lambda: self.endpoint.faults.fail_all)
            if minion.address not in self._used_addresses:
                break
            rejected.append(minion)
        for other in rejected:
            other.listener.abort()
        self._used_addresses.add(minion.address)
        return minion

    def _stop_minion(self) -> Reply:
        if self.minion is not None:
            self.minion.stop()
        return json_reply(202, {})

    def _reboot(self, reboot: _Reboot) -> Reply:
        has_rebooted = reboot.boots is not None and reboot.boots != self.boots
        if has_rebooted or self._boot_at_ms is not None:
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
        current = self._tasks.get(order.job_id)
        if current is not None:
            if order.attempt < current.order.attempt:
                return error_reply(409, "stale_attempt", epoch=self.epoch)
            if order.attempt == current.order.attempt:
                return self._task_reply(current)
            current.stop(now_ms)
            self._past_task_runs.append(current)
        task = TaskRun(order, now_ms)
        if self.endpoint.faults.fail_all:
            task.fail("the worker fails every task", now_ms)
        self._tasks.pop(order.job_id, None)
        self._tasks[order.job_id] = task
        self._drop_excess_tasks()
        return self._task_reply(task)

    def _act_on_task(self, job_id: str, action: str, request: _TaskCall) -> Reply:
        task = self._tasks.get(job_id)
        if task is None or request.attempt > task.order.attempt:
            return error_reply(404, "not_found")
        if request.attempt < task.order.attempt:
            return error_reply(409, "stale_attempt", epoch=self.epoch)
        now_ms = self._clock_ms()
        match action:
            case "renew":
                task.renew(request.lease_ms, now_ms)
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
        return json_reply(200, task.to_dict(self._clock_ms(), self.spec.usage_lag_ms))

    def _drop_excess_tasks(self) -> None:
        for job_id in list(self._tasks):
            if len(self._tasks) <= MAX_KNOWN_TASKS:
                return
            if self._tasks[job_id].state != RUNNING:
                self._past_task_runs.append(self._tasks.pop(job_id))

    def _advance(self) -> None:
        """Update the tasks and a pending reboot to the current time."""
        now_ms = self._clock_ms()
        for task in self._tasks.values():
            task.advance(now_ms)
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
            "minion": None if self.minion is None else self.minion.to_dict(),
            "rebooting": self._boot_at_ms is not None,
            "boots": self.boots,
            "tasks": [task.to_dict(now_ms, lag_ms) for task in self._tasks.values()],
            "usage_lag_ms": lag_ms,
        }

    def _runs_summary(self, brief: bool) -> dict[str, Any]:
        runs = self.runs.summary(brief)
        runs["boots"] = self.boots
        runs["jobs"] = []
        for task in (*self._past_task_runs, *self._tasks.values()):
            job = {
                "job_id": task.order.job_id,
                "attempt": task.order.attempt,
                "state": task.state,
                "started_ms": task.started_ms,
                "ended_ms": task.ended_ms,
            }
            runs["jobs"].append(job)
        return runs
