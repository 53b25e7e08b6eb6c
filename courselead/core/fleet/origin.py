"""Position of a record in the log, and the host that appended it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Origin:
    """Offset of the batch that contains a record, and the host that appended it.

    Attributes:
        at_ms: Wall clock time of that host, in milliseconds since the epoch.
    """

    offset: int
    entry_host: str
    incarnation: int
    seq: int
    at_ms: int
