"""Client of the append-only log.

The result of an append tells whether the record was stored, was not stored, or may have
been stored. Reads return each record once, without gaps.
"""

from .client import LogClient
from .coordinator import (
    Backoff,
    LogReader,
    ReaderDown,
    ReaderEvent,
    ReaderOffsetGone,
    ReaderUp,
)
from .errors import (
    AppendRefused,
    AppendUnknown,
    LogError,
    LogUnavailable,
    OffsetGone,
    ReadFailure,
)
from .models import LogPage, Record

__all__ = [
    "AppendRefused",
    "AppendUnknown",
    "Backoff",
    "LogClient",
    "LogError",
    "LogPage",
    "LogReader",
    "LogUnavailable",
    "OffsetGone",
    "ReadFailure",
    "ReaderDown",
    "ReaderEvent",
    "ReaderOffsetGone",
    "ReaderUp",
    "Record",
]
