"""What is asked of a worker agent and what it answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]
Amount = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1)]


class MinionPhase(StrEnum):
    """Where a minion is in its life."""

    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class TaskPhase(StrEnum):
    """Where an attempt at a job is; only `RUNNING` is not the end."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class MinionState:
    """A minion as its worker's agent sees it."""

    service: Name
    address: Name
    state: MinionPhase
    in_flight: Count


@dataclass(frozen=True, slots=True)
class TaskState:
    """One attempt at a job; usage is as of the agent's `usage_lag_ms` ago."""

    job_id: Name
    attempt: Count
    state: TaskPhase
    progress: Share
    checkpoint: str
    error: str
    cores_used: Amount
    memory_mb_used: Count
    ran_ms: Count


@dataclass(frozen=True, slots=True)
class AgentState:
    """A worker as its agent sees it."""

    worker: Name
    epoch: Count
    minion: MinionState | None
    rebooting: bool
    boots: Count
    tasks: tuple[TaskState, ...]
    usage_lag_ms: Count


@dataclass(frozen=True, slots=True)
class MinionOrder:
    """Which service a minion is to run, and its bounds."""

    service: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """One attempt at a job, with its declared sizes and the mark to resume from."""

    job_id: str
    attempt: int
    service: str
    lease_ms: int
    cores: float
    memory_mb: int
    payload: dict[str, Any] = field(default_factory=dict)
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class MinionStarted:
    """The address of a minion that was started."""

    address: Name


@dataclass(frozen=True, slots=True)
class Accepted:
    """The empty answer of a call that the agent carries out by itself."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The body of a refused call."""

    error: str
    epoch: int | None = None
