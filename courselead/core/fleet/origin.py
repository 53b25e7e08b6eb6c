"""Where a record stands in the log and who wrote it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Origin:
    """Offset and author of the batch that carries a record.

    Attributes:
        at_ms: Wall time of the author, milliseconds since the epoch.
    """

    offset: int
    entry_host: str
    incarnation: int
    seq: int
    at_ms: int
