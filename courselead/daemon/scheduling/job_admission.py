"""Rejection of jobs on an entry host, and when their callers should retry."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from contextlib import contextmanager

import anyio

from courselead.core.scheduler import admission
from courselead.core.scheduler.admission import Rejection, RejectReason
from courselead.core.scheduler.book import JobBook, open_job_bytes
from courselead.core.scheduler.models import JobSpec
from courselead.core.scheduler.records import PoolWait
from courselead.daemon.scheduling.operator_config import OperatorConfigView

IN_DOUBT_S = 10.0
"""Time for which a job whose storing is in doubt is not rejected by load when it is
submitted again: an append without an answer may still be carried out seconds later."""

SAME_CAUSE_S = 10.0
"""Time without a rejection after which the next one has a new cause: twice the longest
time after which callers are told to retry."""


class PublishedWaits:
    """The expected waits of the owner's newest heartbeat, while they are recent.

    A heartbeat has no time that another host could compare. Its age counts from the
    check before the one that found it, so it is at least the time since it was read.
    """

    def __init__(self, book: JobBook) -> None:
        """Initialize with the state built from the log."""
        self._book = book
        self._heartbeat = (0, 0)
        self._checked_at = -math.inf
        self._read_after = -math.inf

    def wait_of(self, pool: str) -> PoolWait | None:
        """Return the wait of a pool, None if there is none or if it is too old."""
        owner = self._book.owner
        now = anyio.current_time()
        previous_check, self._checked_at = self._checked_at, now
        if owner is None:
            return None
        if (owner.fence, owner.heartbeat) != self._heartbeat:
            self._heartbeat = (owner.fence, owner.heartbeat)
            self._read_after = previous_check
        if now - self._read_after >= admission.MAX_WAIT_AGE_MS / 1000:
            return None
        return owner.waits.get(pool)


class JobAdmission:
    """Decides which jobs this host rejects, and when their callers should retry.

    Attributes:
        waits: The expected waits by which jobs are rejected.
    """

    def __init__(
        self,
        operator_config: OperatorConfigView,
        book: JobBook,
        max_job_bytes: int | None = None,
    ) -> None:
        """Initialize without rejections and jobs in doubt.

        Args:
            operator_config: The operators' configuration.
            book: State built from the log.
            max_job_bytes: Memory for the jobs of the log, None if it is unknown.
        """
        self._operator_config = operator_config
        self._book = book
        self._max_job_bytes = max_job_bytes
        self._storing_bytes = 0
        self.waits = PublishedWaits(book)
        # First and newest rejection by reason and pool ("" for the store).
        self._rejecting: dict[tuple[RejectReason, str], tuple[float, float]] = {}
        # Jobs that may be stored although their callers were not told so, with the
        # time of the answer.
        self._in_doubt: dict[str, float] = {}

    def fits_into_memory(self, spec: JobSpec) -> bool:
        """Return whether the hosts can hold a job at all."""
        return admission.memory_rejection(spec, 0, self._max_job_bytes) is None

    @contextmanager
    def storing(self, spec: JobSpec) -> Iterator[None]:
        """Count a job that is not in the book yet, as it is being stored."""
        count = open_job_bytes(spec)
        self._storing_bytes += count
        try:
            yield
        finally:
            self._storing_bytes -= count

    def rejection(
        self, queue: str, account: str, job_id: str, spec: JobSpec
    ) -> Rejection | None:
        """Return why a job cannot be served, None if it is to be stored."""
        full = self._memory_rejection(job_id, spec)
        if full is not None:
            return full
        config = self._operator_config
        settings = config.fleet.queues.get(queue)
        if not config.has_accounts or settings is None or admission.is_exempt(spec):
            return None
        wait = self.waits.wait_of(settings.pool)
        if self._is_in_doubt(job_id):
            return None
        if config.known_zones and config.known_zones <= config.evacuated_zones:
            return admission.evacuated(config.known_zones)
        if wait is not None and not config.evacuated_zones.issuperset(wait.zones):
            # A zone has returned since the wait was published.
            wait = None
        return admission.rejection(spec, settings, account, wait)

    def retry_after_s(self, rejected: Rejection, queue: str = "") -> int:
        """Return when the caller should retry whose request was just rejected.

        Args:
            rejected: The rejection.
            queue: Queue of the rejected job, "" if the store is the cause.
        """
        key = (rejected.reason, self._pool_of(queue))
        now = anyio.current_time()
        since, last_at = self._rejecting.get(key, (now, now))
        if now - last_at > SAME_CAUSE_S:
            since = now
        self._rejecting[key] = (since, now)
        lasted_ms = int((now - since) * 1000)
        return admission.retry_after_s(rejected, lasted_ms, random.random())

    def record_stored(self, queue: str) -> None:
        """End the causes of rejections that a stored job shows to be over."""
        self._rejecting.pop((RejectReason.STORE, ""), None)
        self._rejecting.pop((RejectReason.EVACUATED, self._pool_of(queue)), None)

    def record_doubt(self, job_id: str) -> None:
        """Record that a job may be stored, and forget those of long ago."""
        now = anyio.current_time()
        self._in_doubt.pop(job_id, None)
        self._in_doubt[job_id] = now
        # The oldest are first.
        for other, answered_at in list(self._in_doubt.items()):
            if now - answered_at < IN_DOUBT_S:
                break
            del self._in_doubt[other]

    def _is_in_doubt(self, job_id: str) -> bool:
        """Return whether a job may have been stored without an answer."""
        answered_at = self._in_doubt.get(job_id, -math.inf)
        return anyio.current_time() - answered_at < IN_DOUBT_S

    def _memory_rejection(self, job_id: str, spec: JobSpec) -> Rejection | None:
        """Return why there is no memory for a job, None if there is."""
        if self._is_in_doubt(job_id):
            return None
        if admission.is_full(spec, self._book.spec_bytes, self._max_job_bytes):
            return admission.no_memory()
        if not admission.is_large(spec):
            return None
        # The other hosts may be storing as much, which this one has not read yet.
        storing_bytes = self._storing_bytes * max(1, len(self._book.hosts))
        held_bytes = self._book.held_bytes + storing_bytes
        return admission.memory_rejection(spec, held_bytes, self._max_job_bytes)

    def _pool_of(self, queue: str) -> str:
        """Return the pool of a queue, "" if the queue is not known."""
        found = self._operator_config.fleet.queues.get(queue)
        return "" if found is None else found.pool
