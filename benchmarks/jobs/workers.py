"""Model of a worker: tasks share its cores, and too little memory kills one."""

from dataclasses import dataclass

from benchmarks.jobs.load import Truth
from courselead.core.effects import CallAgent
from courselead.core.events import AgentOp, TaskReport

RUNNING = "running"


@dataclass(slots=True)
class Task:
    """One attempt of a job on a worker."""

    job_id: str
    attempt: int
    truth: Truth
    granted_mb: int
    began_ms: int
    lease_end_ms: int
    done_ms: float
    state: str = RUNNING
    error: str = ""
    ended_ms: int = -1

    @property
    def over_mb(self) -> int:
        """Return the memory it uses above its grant."""
        return self.truth.memory_mb - self.granted_mb

    def end(self, state: str, now_ms: int, error: str = "") -> None:
        """End the attempt."""
        self.state = state
        self.ended_ms = now_ms
        self.error = error

    def report(self, now_ms: int) -> TaskReport:
        """Return what the agent says of it."""
        ended_ms = now_ms if self.ended_ms < 0 else self.ended_ms
        has_mark = self.state in ("checkpointed", "lapsed")
        return TaskReport(
            job_id=self.job_id,
            attempt=self.attempt,
            state=self.state,
            progress=min(1.0, self.done_ms / self.truth.work_ms),
            checkpoint=str(int(self.done_ms)) if has_mark else "",
            error=self.error,
            cores_used=self.truth.cores,
            memory_mb_used=self.truth.memory_mb,
            ran_ms=ended_ms - self.began_ms,
        )


class Worker:
    """Runs tasks on the part of a worker that its minion leaves to jobs.

    Tasks that together want more cores all slow down alike. If they want more
    memory than there is, the one furthest above its grant is killed.
    """

    def __init__(self, name: str, cores: float, memory_mb: int) -> None:
        """Start with no task."""
        self.name = name
        self.cores = cores
        self.memory_mb = memory_mb
        self.tasks: dict[str, Task] = {}
        self.used_core_ms = 0.0
        self.killed = 0
        self._settled_ms = 0

    def running(self) -> list[Task]:
        """Return the tasks that run."""
        return [task for task in self.tasks.values() if task.state == RUNNING]

    def settle(self, now_ms: int) -> None:
        """Bring all tasks up to the time, end by end."""
        while self._settled_ms < now_ms:
            running = self.running()
            until_ms = min(now_ms, self._next_end_ms(running))
            self._work(running, until_ms)

    def call(
        self, call: CallAgent, truth: Truth, now_ms: int
    ) -> tuple[str, Task | None]:
        """Do what a call asks for; return the refusal and the task."""
        self.settle(now_ms)
        task = self.tasks.get(call.job_id)
        if call.op is AgentOp.START_TASK:
            return self._start(call, truth, task, now_ms)
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
        self, call: CallAgent, truth: Truth, task: Task | None, now_ms: int
    ) -> tuple[str, Task | None]:
        """Start an attempt; memory that lacks shows at once."""
        if task is not None and task.attempt >= call.attempt:
            return "", task
        done_ms = float(call.checkpoint or 0)
        task = Task(
            job_id=call.job_id,
            attempt=call.attempt,
            truth=truth,
            granted_mb=call.memory_mb,
            began_ms=now_ms,
            lease_end_ms=now_ms + call.lease_ms,
            done_ms=done_ms,
        )
        self.tasks.pop(call.job_id, None)
        self.tasks[call.job_id] = task
        self._kill_for_memory(now_ms)
        return "", task

    def _kill_for_memory(self, now_ms: int) -> None:
        """Kill the tasks furthest above their grants while memory lacks."""
        running = sorted(self.running(), key=lambda one: one.over_mb)
        used_mb = sum(one.truth.memory_mb for one in running)
        while used_mb > self.memory_mb:
            worst = running.pop()
            worst.end("failed", now_ms, "out of memory")
            used_mb -= worst.truth.memory_mb
            self.killed += 1

    def _speed(self, running: list[Task]) -> float:
        """Return the part of full speed that tasks run at."""
        wanted = sum(task.truth.cores for task in running)
        return min(1.0, self.cores / wanted) if wanted else 1.0

    def _next_end_ms(self, running: list[Task]) -> int:
        """Return when the next task ends by itself."""
        speed = self._speed(running)
        ends = [2**62]
        for task in running:
            left_ms = (task.truth.work_ms - task.done_ms) / speed
            ends.append(min(self._settled_ms + int(left_ms) + 1, task.lease_end_ms))
        return max(min(ends), self._settled_ms + 1)

    def _work(self, running: list[Task], until_ms: int) -> None:
        """Let tasks run until a time at which at most some end."""
        speed = self._speed(running)
        passed_ms = until_ms - self._settled_ms
        for task in running:
            task.done_ms += passed_ms * speed
            self.used_core_ms += passed_ms * speed * task.truth.cores
            if task.done_ms >= task.truth.work_ms:
                task.end("done", until_ms)
            elif until_ms >= task.lease_end_ms:
                task.end("lapsed", until_ms)
        self._settled_ms = until_ms
