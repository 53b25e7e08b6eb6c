"""A simulated task under a lease, whose state is computed from the clock.

The payload may set the actual behaviour, independent of the declared resources:
`{"work_ms": int, "cores": float, "memory_mb": int, "fail": bool}`. A checkpoint is the
work done so far in ms. A throttled task runs at half speed and uses half its cores.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

RUNNING = "running"
DONE = "done"
FAILED = "failed"
CHECKPOINTED = "checkpointed"
STOPPED = "stopped"
LAPSED = "lapsed"

DEFAULT_WORK_MS = 1000
_FULL_SPEED = 1.0
_THROTTLED_SPEED = 0.5


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """The body of `POST /v1/tasks`."""

    epoch: int
    job_id: str
    attempt: int
    service: str
    lease_ms: int
    cores: float
    memory_mb: int
    payload: dict[str, Any] = field(default_factory=dict)
    checkpoint: str = ""


class TaskRun:
    """One attempt of a job; methods get the current time in ms."""

    def __init__(self, order: TaskOrder, now_ms: float) -> None:
        """Start the task, from the order's checkpoint if it has one."""
        self.order = order
        self.state = RUNNING
        self.error = ""
        self.saved_checkpoint = order.checkpoint
        self.started_ms = now_ms
        self.ended_ms: float | None = None
        payload = order.payload
        self._work_ms = max(float(payload.get("work_ms", DEFAULT_WORK_MS)), 1.0)
        self._done_ms = (
            float(self.saved_checkpoint) if self.saved_checkpoint.isdecimal() else 0.0
        )
        self._speed = _FULL_SPEED
        self._advanced_to_ms = now_ms
        self._lease_end_ms = now_ms + order.lease_ms

    def advance(self, now_ms: float) -> None:
        """Update the state to the current time: finished, lapsed or still running."""
        if self.state != RUNNING:
            return
        remaining_ms = (self._work_ms - self._done_ms) / self._speed
        finish_ms = self._advanced_to_ms + remaining_ms
        if finish_ms <= min(now_ms, self._lease_end_ms):
            self._done_ms = self._work_ms
            self._finish(finish_ms)
            return
        until_ms = min(now_ms, self._lease_end_ms)
        self._done_ms += (until_ms - self._advanced_to_ms) * self._speed
        self._advanced_to_ms = until_ms
        if self._lease_end_ms <= now_ms:
            self._save_checkpoint()
            self._end(LAPSED, self._lease_end_ms)

    def renew(self, lease_ms: int, now_ms: float) -> None:
        """Extend the lease of a running task."""
        self.advance(now_ms)
        if self.state == RUNNING:
            self._lease_end_ms = now_ms + lease_ms

    def checkpoint(self, now_ms: float) -> None:
        """Stop a running task and save a checkpoint."""
        self.advance(now_ms)
        if self.state == RUNNING:
            self._save_checkpoint()
            self._end(CHECKPOINTED, now_ms)

    def throttle(self, now_ms: float) -> None:
        """Halve the speed of a running task."""
        self.advance(now_ms)
        self._speed = _THROTTLED_SPEED

    def stop(self, now_ms: float) -> None:
        """Stop a running task; the work since its last checkpoint is lost."""
        self.advance(now_ms)
        if self.state == RUNNING:
            self._end(STOPPED, now_ms)

    def fail(self, error: str, now_ms: float) -> bool:
        """Fail a running task and return whether it was running."""
        self.advance(now_ms)
        if self.state != RUNNING:
            return False
        self.error = error
        self._end(FAILED, now_ms)
        return True

    def to_dict(self, now_ms: float, usage_lag_ms: int) -> dict[str, Any]:
        """Return the agent's report of the task, with the usage from before the lag."""
        self.advance(now_ms)
        usage_at_ms = now_ms - usage_lag_ms
        ended_ms = now_ms if self.ended_ms is None else self.ended_ms
        was_running = self.started_ms <= usage_at_ms
        if self.ended_ms is not None:
            was_running = was_running and usage_at_ms < self.ended_ms
        payload = self.order.payload
        cores = float(payload.get("cores", self.order.cores)) * self._speed
        memory_mb = int(payload.get("memory_mb", self.order.memory_mb))
        return {
            "job_id": self.order.job_id,
            "attempt": self.order.attempt,
            "state": self.state,
            "progress": min(self._done_ms / self._work_ms, 1.0),
            "checkpoint": self.saved_checkpoint,
            "error": self.error,
            "cores_used": cores if was_running else 0.0,
            "memory_mb_used": memory_mb if was_running else 0,
            "ran_ms": int(ended_ms - self.started_ms),
        }

    def _finish(self, at_ms: float) -> None:
        if self.order.payload.get("fail"):
            self.error = "the payload asked for a failure"
            self._end(FAILED, at_ms)
            return
        self._end(DONE, at_ms)

    def _save_checkpoint(self) -> None:
        self.saved_checkpoint = str(int(self._done_ms))

    def _end(self, state: str, at_ms: float) -> None:
        self.state = state
        self.ended_ms = at_ms
