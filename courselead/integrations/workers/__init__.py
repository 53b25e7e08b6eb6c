"""Client of the worker agents, which run minions and leased tasks and can reboot."""

from .client import WorkerAgentClient
from .errors import AgentError, AgentRefused, AgentUnknown, AgentUnreachable
from .models import (
    AgentState,
    MinionOrder,
    MinionPhase,
    MinionStarted,
    MinionState,
    TaskOrder,
    TaskPhase,
    TaskState,
)

__all__ = [
    "AgentError",
    "AgentRefused",
    "AgentState",
    "AgentUnknown",
    "AgentUnreachable",
    "MinionOrder",
    "MinionPhase",
    "MinionStarted",
    "MinionState",
    "TaskOrder",
    "TaskPhase",
    "TaskState",
    "WorkerAgentClient",
]
