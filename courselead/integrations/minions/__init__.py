"""Minions: one exchange at a time, with an outcome that says what is known."""

from .connection import Answer, MinionConnection, MinionOutcome
from .errors import Broken, NotRun, Unknown
from .models import MinionRequest

__all__ = [
    "Answer",
    "Broken",
    "MinionConnection",
    "MinionOutcome",
    "MinionRequest",
    "NotRun",
    "Unknown",
]
