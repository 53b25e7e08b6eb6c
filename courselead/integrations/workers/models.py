"""Models of the requests to a worker agent and of its responses."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated, Any

from msgspec import Meta

MAX_SAFE_INTEGER = 2**53
"""Largest integer that every JSON implementation reads exactly (RFC 8259)."""

Count = Annotated[int, Meta(ge=0, le=MAX_SAFE_INTEGER)]
Amount = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[str, Meta(min_length=1)]


class MinionPhase(StrEnum):
    """Phase of a minion's lifecycle."""

    SERVING = "serving"
    STOPPING = "stopping"
    STOPPED = "stopped"


class TaskPhase(StrEnum):
    """Phase of an attempt at a job; all phases but `RUNNING` are final."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclass(frozen=True, slots=True)
class MinionState:
    """State of a minion, as reported by its worker's agent."""

    service: Name
    address: Name
    state: MinionPhase
    in_flight: Count


@dataclass(frozen=True, slots=True)
class TaskState:
    """State of an attempt at a job; its usage figures are `usage_lag_ms` old."""

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
    """State of a worker, as reported by its agent."""

    worker: Name
    epoch: Count
    minion: MinionState | None
    rebooting: bool
    boots: Count
    tasks: tuple[TaskState, ...]
    usage_lag_ms: Count


@dataclass(frozen=True, slots=True)
class MinionOrder:
    """Order to start a minion for a service, with its limits."""

    service: str
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """Order to start an attempt at a job.

    It has the declared resources and the checkpoint to resume from.
    """

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
    """Response with the address of a started minion."""

    address: Name


@dataclass(frozen=True, slots=True)
class Accepted:
    """Empty response to a call that the agent carries out asynchronously."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Body of the response to a refused call."""

    error: str
    epoch: Count | None = None
