"""Reports records of other writers that cannot be used."""

from __future__ import annotations

import structlog
import xxhash

_LOGGER = structlog.get_logger(__name__)

MAX_REPORTED_RECORDS = 1_000
"""Number of records whose content is remembered: as many as a large list of minions
has. Beyond it, the oldest are reported again."""


class MalformedRecords:
    """Counts malformed records, and logs each content of a key once.

    Writers repeat their records at each heartbeat, and each takeover reads all of them.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.count = 0
        self._reported: dict[bytes, int] = {}

    def report(self, event: str, key: bytes, value: bytes, reason: str) -> None:
        """Count a record; log it unless its key had the same content before."""
        self.count += 1
        content = xxhash.xxh3_64_intdigest(value)
        if self._reported.get(key) == content:
            return
        if len(self._reported) >= MAX_REPORTED_RECORDS:
            del self._reported[next(iter(self._reported))]
        self._reported[key] = content
        _LOGGER.warning(event, key=key.decode("utf-8", "replace"), reason=reason)
