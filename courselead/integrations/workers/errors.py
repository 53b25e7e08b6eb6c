"""Errors of agent calls, by what is known about the execution of the call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AgentUnreachable:
    """The call was certainly not executed: retry it, or stop using the worker."""

    reason: str


@dataclass(frozen=True, slots=True)
class AgentUnknown:
    """The call may have been executed: retry it (all are idempotent) or read state."""

    reason: str


@dataclass(frozen=True, slots=True)
class AgentRefused:
    """The agent refused the call and did nothing.

    Args:
        error: Error name of the agent, such as `stale_epoch`, `busy` or `not_found`.
        epoch: Highest epoch that the agent has seen, if it is reported; a caller with a
            lower epoch has been replaced and must send no more calls to the worker.
    """

    error: str
    epoch: int | None = None


AgentError = AgentUnreachable | AgentUnknown | AgentRefused
