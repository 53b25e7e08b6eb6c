"""Failures of an agent call, told apart by what the caller may conclude."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AgentUnreachable:
    """The call was certainly not done: repeat it, or give the worker up."""

    reason: str


@dataclass(frozen=True, slots=True)
class AgentUnknown:
    """The call may have been done: repeat it (all calls are idempotent) or read."""

    reason: str


@dataclass(frozen=True, slots=True)
class AgentRefused:
    """The agent refused the call and did nothing.

    Args:
        error: The agent's word for it, such as `stale_epoch`, `busy` or `not_found`.
        epoch: The highest epoch the agent has seen, if it said so; a caller under it
            has been replaced and must stop acting on the worker.
    """

    error: str
    epoch: int | None = None


AgentError = AgentUnreachable | AgentUnknown | AgentRefused
