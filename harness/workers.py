"""Fakes of workers: agents, minions with slots, tasks with leases.

They follow PLATFORM.md. Runs, stops and reboots are reported to the checks, which
compare them with the promises.
"""

from dataclasses import dataclass, field

from courselead.core.effects import CallAgent
from courselead.core.events import AgentOp, AgentReport, TaskReport
from courselead.core.fleet.records import WorkerInfo

REBOOT_MS = 700
BOOT_AFTER_CRASH_MS = 900
SERVING = "serving"
STOPPING = "stopping"
STOPPED = "stopped"
RUNNING = "running"


@dataclass(slots=True)
class Minion:
    """A running instance of a service on a worker.

    Attributes:
        pool: Pool of the worker, according to the log, when the minion started.
        runs: Exchanges in flight.
        failing: Whether it answers every request with an error.
        slow: Factor by which all work takes longer.
        first_leaving_ms: When it first told a process of a host that it is leaving.
    """

    worker: "Worker"
    address: str
    service: str
    pool: str
    epoch: int
    slots: int
    state: str = SERVING
    runs: list = field(default_factory=list)
    failing: bool = False
    slow: int = 1
    first_leaving_ms: dict[str, int] = field(default_factory=dict)

    def stop(self) -> None:
        """Refuse new requests and finish those in flight."""
        if self.state == SERVING:
            self.state = STOPPING
        self.stop_if_idle()

    def stop_if_idle(self) -> None:
        """End a stopping minion once nothing is in flight."""
        if self.state == STOPPING and not self.runs:
            self.state = STOPPED


@dataclass(slots=True)
class TaskRun:
    """One attempt of a job."""

    job_id: str
    attempt: int
    work_ms: int
    started_ms: int
    lease_end_ms: int
    state: str = RUNNING
    done_ms: float = 0.0
    ended_ms: int = -1
    error: str = ""
    checkpoint: str = ""


@dataclass(slots=True)
class Worker:
    """A worker's agent, with its minion and its tasks.

    Attributes:
        up: Whether the machine is running.
        connected: Whether it is connected to the network.
        failing: Whether all its requests and tasks fail.
    """

    world: object
    info: WorkerInfo
    up: bool = True
    connected: bool = True
    epoch: int = 0
    boots: int = 0
    rebooting: bool = False
    failing: bool = False
    minion: Minion | None = None
    tasks: dict[str, TaskRun] = field(default_factory=dict)
    minions: int = 0

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.info.worker

    @property
    def answers(self) -> bool:
        """Return whether the worker is reachable."""
        return self.up and self.connected

    def call(self, call: CallAgent) -> dict:
        """Handle a call of the agent; return the fields of the answer."""
        self._update_tasks()
        if call.op is AgentOp.STATE:
            return {"report": self._report()}
        if call.epoch < self.epoch:
            return {"refused": "stale_epoch"}
        self.epoch = call.epoch
        match call.op:
            case AgentOp.START_MINION:
                return self._start(call)
            case AgentOp.STOP_MINION:
                return self._stop(call)
            case AgentOp.REBOOT:
                return self._reboot(call)
            case AgentOp.START_TASK:
                return self._start_task(call)
        return self._act_on_task(call)

    def crash(self) -> None:
        """Abort all work, and boot again after `BOOT_AFTER_CRASH_MS`."""
        self.up = False
        self.rebooting = False
        self.boots += 1
        self._abort_work("crash")
        self.world.sched.after(BOOT_AFTER_CRASH_MS, self._boot)

    def power_off(self) -> None:
        """Crash and never boot again."""
        self.crash()
        self.boots = 1 << 30

    def _boot(self) -> None:
        self.up = self.boots < 1 << 30

    def _abort_work(self, why: str) -> None:
        """Abort the minion and all tasks at once."""
        now_ms = self.world.sched.now_ms
        if self.minion is not None:
            runs = tuple(self.minion.runs)
            self.minion.state = STOPPED
            self.minion.runs.clear()
            for run in runs:
                self.world.checks.check_abort(self, why)
                run.reset()
        self.minion = None
        for task in self.tasks.values():
            if task.state == RUNNING:
                self.world.checks.check_abort(self, why)
                task.state, task.ended_ms = "failed", now_ms
        self.tasks = {}

    def _start(self, call: CallAgent) -> dict:
        if self.rebooting:
            return {"refused": "rebooting"}
        minion = self.minion
        if minion is not None and minion.state != STOPPED:
            if minion.service == call.service and minion.state == SERVING:
                return {"address": minion.address}
            return {"refused": "busy"}
        self.minions += 1
        address = f"{self.name}:m{self.minions}"
        pool = self.world.checks.pool_at(self.name, call.epoch)
        self.minion = Minion(self, address, call.service, pool, call.epoch, call.slots)
        self.minion.failing = self.failing
        self.world.checks.check_minion_start(self)
        return {"address": address}

    def _stop(self, call: CallAgent) -> dict:
        if self.minion is not None:
            if self.minion.state == SERVING:
                self.world.checks.check_minion_stop(self, call)
            self.minion.stop()
        return {}

    def _reboot(self, call: CallAgent) -> dict:
        if call.boots != self.boots or self.rebooting:
            return {}
        busy = self.minion is not None and self.minion.state != STOPPED
        if busy or self._running():
            self.world.checks.note_refused_reboot(self, call)
            return {"refused": "busy"}
        self.world.checks.check_reboot(self, call)
        self.rebooting = True
        self.world.sched.after(REBOOT_MS, self._rebooted, self.boots)
        return {}

    def _rebooted(self, boots: int) -> None:
        if not self.rebooting or self.boots != boots:
            return
        self.rebooting = False
        self.boots += 1
        self._abort_work("reboot")

    # --- tasks --------------------------------------------------------------

    def _running(self) -> list[TaskRun]:
        return [task for task in self.tasks.values() if task.state == RUNNING]

    def _start_task(self, call: CallAgent) -> dict:
        if self.rebooting:
            return {"refused": "rebooting"}
        known = self.tasks.get(call.job_id)
        if known is not None:
            if call.attempt < known.attempt:
                return {"refused": "stale_attempt"}
            if call.attempt == known.attempt:
                return {"task": self._view(known)}
            self._end(known, "stopped")
        now_ms = self.world.sched.now_ms
        work_ms = self.world.job_work_ms.get(call.job_id, 1_000)
        task = TaskRun(
            call.job_id, call.attempt, work_ms, now_ms, now_ms + call.lease_ms
        )
        task.done_ms = float(call.checkpoint or 0)
        self.tasks[call.job_id] = task
        self.world.checks.check_task_start(self, task)
        if self.failing:
            task.error = "the worker fails every task"
            self._end(task, "failed")
        return {"task": self._view(task)}

    def _act_on_task(self, call: CallAgent) -> dict:
        task = self.tasks.get(call.job_id)
        if task is None or call.attempt > task.attempt:
            return {"refused": "not_found"}
        if call.attempt < task.attempt:
            return {"refused": "stale_attempt"}
        if task.state == RUNNING:
            if call.op is AgentOp.RENEW_TASK:
                task.lease_end_ms = self.world.sched.now_ms + call.lease_ms
            elif call.op is AgentOp.CHECKPOINT_TASK:
                task.checkpoint = str(int(self._done_ms(task)))
                self._end(task, "checkpointed")
            else:
                self._end(task, "stopped")
        return {"task": self._view(task)}

    def _done_ms(self, task: TaskRun) -> float:
        now_ms = self.world.sched.now_ms
        ended_ms = now_ms if task.ended_ms < 0 else task.ended_ms
        return task.done_ms + ended_ms - task.started_ms

    def _end(self, task: TaskRun, state: str) -> None:
        if task.state == RUNNING:
            task.state = state
            task.ended_ms = self.world.sched.now_ms

    def _update_tasks(self) -> None:
        """Update the tasks that have finished or whose lease has lapsed by now."""
        now_ms = self.world.sched.now_ms
        for task in self._running():
            finish_ms = task.started_ms + task.work_ms - int(task.done_ms)
            if finish_ms <= min(now_ms, task.lease_end_ms):
                task.state, task.ended_ms = "done", finish_ms
            elif task.lease_end_ms <= now_ms:
                task.checkpoint = str(int(self._done_ms(task)))
                task.state, task.ended_ms = "lapsed", task.lease_end_ms

    def _view(self, task: TaskRun) -> TaskReport:
        ran_ms = int(self._done_ms(task) - task.done_ms)
        progress = min(1.0, self._done_ms(task) / task.work_ms)
        return TaskReport(
            task.job_id,
            task.attempt,
            task.state,
            progress,
            task.checkpoint,
            task.error,
            1.0,
            100,
            ran_ms,
        )

    def _report(self) -> AgentReport:
        minion = self.minion
        return AgentReport(
            epoch=self.epoch,
            minion_state="" if minion is None else minion.state,
            minion_service="" if minion is None else minion.service,
            minion_address="" if minion is None else minion.address,
            minion_in_flight=0 if minion is None else len(minion.runs),
            rebooting=self.rebooting,
            boots=self.boots,
            tasks=tuple(self._view(task) for task in self.tasks.values()),
        )
