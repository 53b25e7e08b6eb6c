"""Callers' jobs: submitted, asked for and cancelled, at any host."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import anyio
import structlog

from courselead.core.scheduler.models import JobSpec, JobState
from courselead.core.scheduler.records import JobAccepted, JobCancelled
from courselead.daemon.scheduling.collector import Stored
from courselead.daemon.scheduling.directions import DirectionsView
from courselead.daemon.scheduling.follower import JobFollower
from courselead.daemon.scheduling.ports import HostCounters
from courselead.daemon.scheduling.writer import JobWriter

_LOGGER = structlog.get_logger(__name__)

RETRY_AFTER_S = 1
"""When a caller may come back: the log's outages last seconds, its slowness less."""


DEFAULT_BODY_BYTES = 262_144
"""Longest body before the first configuration: the platform's own limit."""


class Verdict(StrEnum):
    """What a caller is told."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"
    NO_JOB = "no_job"
    CANCELLED = "cancelled"


@dataclass(frozen=True, slots=True)
class JobReply:
    """A verdict, with the job's state or the queue's length where asked for."""

    verdict: Verdict
    state: JobState | None = None
    pending: int = 0
    reason: str = ""


class Authority(Protocol):
    """Knows whether this host's fold is the newest there is."""

    @property
    def owns(self) -> bool:
        """Return whether this host owns the schedule."""
        ...


class Intake:
    """Answers callers from the log and this host's fold of it."""

    def __init__(
        self,
        directions: DirectionsView,
        follower: JobFollower,
        writer: JobWriter,
        authority: Authority,
        counters: HostCounters,
    ) -> None:
        """Keep the parts."""
        self._directions = directions
        self._follower = follower
        self._writer = writer
        self._authority = authority
        self._counters = counters

    @property
    def configured(self) -> bool:
        """Return whether there is a configuration yet."""
        return self._directions.current is not None

    @property
    def body_bytes(self) -> int:
        """Return the longest body that the configuration allows."""
        current = self._directions.current
        return DEFAULT_BODY_BYTES if current is None else current.body_bytes

    def queue_for(self, host: str, path: str) -> tuple[str, str] | None:
        """Return the queue of a request and the rest of its path."""
        return self._directions.route(host, path)

    async def submit(self, queue: str, job_id: str, spec: JobSpec) -> JobReply:
        """Store a job; only a stored one is accepted."""
        if job_id in self._follower.book.jobs:
            return self._told("job_known", queue, job_id, JobReply(Verdict.KNOWN))
        begun = anyio.current_time()
        record = JobAccepted(job_id, queue, spec)
        reply = _reply(await self._writer.store(record), Verdict.ACCEPTED)
        if reply.verdict is Verdict.ACCEPTED:
            self._follower.learned(record)
        self._counters.took("submit", str(reply.verdict), begun)
        taken_s = anyio.current_time() - begun
        self._counters.observe_job(queue, f"submit_{reply.verdict}", taken_s)
        return self._told("job_submitted", queue, job_id, reply)

    async def state(self, queue: str, job_id: str) -> JobReply:
        """Return a job's state, read anew from the log if it may have changed."""
        entry = self._follower.book.jobs.get(job_id)
        fresh = True
        if entry is None or not (self._authority.owns or entry.state.final):
            fresh = await self._follower.catch_up()
            entry = self._follower.book.jobs.get(job_id)
        if entry is not None and entry.queue == queue:
            return JobReply(Verdict.KNOWN, entry.state)
        if not fresh:
            return JobReply(Verdict.NOT_RUN, reason="the log cannot be read")
        return self._told("job_asked", queue, job_id, JobReply(Verdict.NO_JOB))

    async def cancel(self, queue: str, job_id: str) -> JobReply:
        """Store a job's cancel."""
        entry = self._follower.book.jobs.get(job_id)
        if entry is None:
            if not await self._follower.catch_up():
                return JobReply(Verdict.NOT_RUN, reason="the log cannot be read")
            entry = self._follower.book.jobs.get(job_id)
        if entry is None or entry.queue != queue:
            return self._told("job_cancel", queue, job_id, JobReply(Verdict.NO_JOB))
        if entry.state.final:
            return self._told("job_cancel", queue, job_id, JobReply(Verdict.CANCELLED))
        record = JobCancelled(job_id)
        reply = _reply(await self._writer.store(record), Verdict.CANCELLED)
        if reply.verdict is Verdict.CANCELLED:
            self._follower.learned(record)
        return self._told("job_cancel", queue, job_id, reply)

    def pending(self, queue: str) -> JobReply:
        """Return how many jobs of a queue wait for their first task."""
        return JobReply(Verdict.KNOWN, pending=self._follower.book.pending(queue))

    def _told(self, event: str, queue: str, job_id: str, reply: JobReply) -> JobReply:
        self._counters.add(f"{event}_{reply.verdict}")
        _LOGGER.info(
            event,
            job_id=job_id,
            queue=queue,
            verdict=str(reply.verdict),
            reason=reply.reason,
            version=self._directions.version,
            offset=self._follower.offset,
        )
        return reply


def _reply(stored: Stored, good: Verdict) -> JobReply:
    if stored.ok:
        return JobReply(good)
    verdict = Verdict.IN_DOUBT if stored.in_doubt else Verdict.NOT_RUN
    return JobReply(verdict, reason=stored.reason)
