"""Cancels of jobs that were not known when they were cancelled.

Such a cancel is kept for a time, as the job's submission may still be on its way. Their
number is limited, and a cancel beyond the limit is rejected, so that none is dropped
that was acknowledged.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Set
from contextlib import contextmanager

from courselead.core.scheduler.records import EarlyCancel, early_cancel_key

MAX_EARLY_CANCELS = 16_384
"""Maximum number of early cancels: some 10 MB of each host's memory, and 2 MB of the
log."""

MAX_EARLY_CANCELS_OF_ACCOUNT = MAX_EARLY_CANCELS // 4
"""The same for each client account, so that none uses up the others' share."""


class EarlyCancels:
    """The early cancels of the log, by job."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_key: dict[bytes, EarlyCancel] = {}
        self._keys_by_job: dict[str, list[bytes]] = {}
        self._by_account: Counter[str] = Counter()
        self._storing: Counter[str] = Counter()

    @property
    def keys(self) -> Set[bytes]:
        """Return the keys of all records."""
        return self._by_key.keys()

    def add(self, record: EarlyCancel) -> None:
        """Add a cancel, unless it is known."""
        key = early_cancel_key(record)
        if key in self._by_key:
            return
        self._by_key[key] = record
        self._keys_by_job.setdefault(record.job_id, []).append(key)
        self._by_account[record.account] += 1

    def remove(self, key: bytes) -> None:
        """Remove the cancel with the given key, if there is one."""
        record = self._by_key.pop(key, None)
        if record is None:
            return
        keys = self._keys_by_job[record.job_id]
        keys.remove(key)
        if not keys:
            del self._keys_by_job[record.job_id]
        self._by_account[record.account] -= 1
        if not self._by_account[record.account]:
            del self._by_account[record.account]

    def keep_only(self, keys: Set[bytes]) -> None:
        """Remove the cancels whose keys are not among the given ones."""
        for key in self._by_key.keys() - keys:
            self.remove(key)

    def has(self, record: EarlyCancel) -> bool:
        """Return whether a cancel is known."""
        return early_cancel_key(record) in self._by_key

    def of_job(self, job_id: str) -> list[EarlyCancel]:
        """Return the cancels of a job's id, which may be of several callers."""
        return [self._by_key[key] for key in self._keys_by_job.get(job_id, ())]

    def is_full(self, account: str) -> bool:
        """Return whether no more cancels of an account can be kept."""
        held = len(self._by_key) + self._storing.total()
        of_account = self._by_account[account] + self._storing[account]
        return held >= MAX_EARLY_CANCELS or of_account >= MAX_EARLY_CANCELS_OF_ACCOUNT

    @contextmanager
    def storing(self, account: str) -> Iterator[None]:
        """Count a cancel that is being stored and not known yet."""
        self._storing[account] += 1
        try:
            yield
        finally:
            self._storing[account] -= 1
            if not self._storing[account]:
                del self._storing[account]
