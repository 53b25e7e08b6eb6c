"""Client for requests to minions.

The outcome of each exchange tells whether the request was run, was not run, or may
have been run.
"""

from .connection import MinionConnection, MinionOutcome, MinionResponse
from .errors import IncompleteBody, NotRun, OutcomeUnknown
from .models import MinionRequest

__all__ = [
    "MinionResponse",
    "IncompleteBody",
    "MinionConnection",
    "MinionOutcome",
    "MinionRequest",
    "NotRun",
    "OutcomeUnknown",
]
