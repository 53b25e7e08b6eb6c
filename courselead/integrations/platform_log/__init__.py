"""The append-only log: appends that say what is known, reads without gap or repeat."""

from .client import LogClient
from .coordinator import (
    Backoff,
    LogReader,
    ReaderDown,
    ReaderEvent,
    ReaderGone,
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
    "ReaderGone",
    "ReaderUp",
    "Record",
]
