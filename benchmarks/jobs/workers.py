"""Model of a worker whose tasks share cores and are killed if memory runs out."""

from dataclasses import dataclass

from benchmarks.jobs.load import TrueDemand
from courselead.core.effects import CallAgent
from courselead.core.events import AgentOp, TaskReport

RUNNING = "running"


@dataclass(slots=True)
class Task:
    """One attempt of a job on a worker."""

    job_id: str
    attempt: int
    true_demand: TrueDemand
    granted_mb: int
    started_ms: int
    lease_end_ms: int
    worked_ms: float
    state: str = RUNNING
    error: str = ""
    ended_ms: int = -1

    @property
    def excess_mb(self) -> int:
        """Return the memory used beyond the granted amount."""
        return self.true_demand.memory_mb - self.granted_mb

    def end(self, state: str, now_ms: int, error: str = "") -> None:
        """End the attempt."""
        self.state = state
        self.ended_ms = now_ms
        self.error = error

    def to_report(self, now_ms: int) -> TaskReport:
        """Return the agent's report of the task."""
        ended_ms = now_ms if self.ended_ms < 0 else self.ended_ms
        has_checkpoint = self.state in ("checkpointed", "lapsed")
        return TaskReport(
            job_id=self.job_id,
            attempt=self.attempt,
            state=self.state,
            progress=min(1.0, self.worked_ms / self.true_demand.work_ms),
            checkpoint=str(int(self.worked_ms)) if has_checkpoint else "",
            error=self.error,
            cores_used=self.true_demand.cores,
            memory_mb_used=self.true_demand.memory_mb,
            ran_ms=ended_ms - self.started_ms,
        )


class Worker:
    """Runs tasks on the capacity that the minion leaves to jobs.

    If the tasks need more cores than there are, all slow down by the same
    factor. If they need more memory than there is, the task that exceeds its
    grant the most is killed.
    """

    def __init__(self, name: str, cores: float, memory_mb: int) -> None:
        """Create a worker without tasks."""
        self.name = name
        self.cores = cores
        self.memory_mb = memory_mb
        self.tasks: dict[str, Task] = {}
        self.used_core_ms = 0.0
        self.killed = 0
        self._advanced_to_ms = 0

    def running(self) -> list[Task]:
        """Return the running tasks."""
        return [task for task in self.tasks.values() if task.state == RUNNING]

    def advance_to(self, now_ms: int) -> None:
        """Advance all tasks to a time, from one end of a task to the next."""
        while self._advanced_to_ms < now_ms:
            running = self.running()
            until_ms = min(now_ms, self._next_end_ms(running))
            self._run_tasks(running, until_ms)

    def call(
        self, call: CallAgent, true_demand: TrueDemand, now_ms: int
    ) -> tuple[str, Task | None]:
        """Carry out a call; return the reason of a refusal, or "", and the task."""
        self.advance_to(now_ms)
        task = self.tasks.get(call.job_id)
        if call.op is AgentOp.START_TASK:
            return self._start(call, true_demand, task, now_ms)
        if task is None or task.attempt != call.attempt:
            return "not_found", None
        if task.state == RUNNING:
            if call.op is AgentOp.RENEW_TASK:
                task.lease_end_ms = now_ms + call.lease_ms
            if call.op is AgentOp.CHECKPOINT_TASK:
                task.end("checkpointed", now_ms)
            if call.op is AgentOp.STOP_TASK:
                task.end("stopped", now_ms)
        return "", task

    def _start(
        self, call: CallAgent, true_demand: TrueDemand, task: Task | None, now_ms: int
    ) -> tuple[str, Task | None]:
        """Start an attempt; a lack of memory takes effect immediately."""
        if task is not None and task.attempt >= call.attempt:
            return "", task
        worked_ms = float(call.checkpoint or 0)
        task = Task(
            job_id=call.job_id,
            attempt=call.attempt,
            true_demand=true_demand,
            granted_mb=call.memory_mb,
            started_ms=now_ms,
            lease_end_ms=now_ms + call.lease_ms,
            worked_ms=worked_ms,
        )
        self.tasks.pop(call.job_id, None)
        self.tasks[call.job_id] = task
        self._kill_for_memory(now_ms)
        return "", task

    def _kill_for_memory(self, now_ms: int) -> None:
        """Kill tasks until memory suffices, the largest excess over the grant first."""
        running = sorted(self.running(), key=lambda task: task.excess_mb)
        used_mb = sum(task.true_demand.memory_mb for task in running)
        while used_mb > self.memory_mb:
            victim = running.pop()
            victim.end("failed", now_ms, "out of memory")
            used_mb -= victim.true_demand.memory_mb
            self.killed += 1

    def _speed_fraction(self, running: list[Task]) -> float:
        """Return the speed of the tasks as a fraction of full speed."""
        wanted = sum(task.true_demand.cores for task in running)
        return min(1.0, self.cores / wanted) if wanted else 1.0

    def _next_end_ms(self, running: list[Task]) -> int:
        """Return when the next task finishes or its lease expires."""
        speed = self._speed_fraction(running)
        ends = [2**62]
        for task in running:
            left_ms = (task.true_demand.work_ms - task.worked_ms) / speed
            ends.append(min(self._advanced_to_ms + int(left_ms) + 1, task.lease_end_ms))
        return max(min(ends), self._advanced_to_ms + 1)

    def _run_tasks(self, running: list[Task], until_ms: int) -> None:
        """Run tasks up to a time that is not after the next end of a task."""
        speed = self._speed_fraction(running)
        elapsed_ms = until_ms - self._advanced_to_ms
        for task in running:
            task.worked_ms += elapsed_ms * speed
            self.used_core_ms += elapsed_ms * speed * task.true_demand.cores
            if task.worked_ms >= task.true_demand.work_ms:
                task.end("done", until_ms)
            elif until_ms >= task.lease_end_ms:
                task.end("lapsed", until_ms)
        self._advanced_to_ms = until_ms
