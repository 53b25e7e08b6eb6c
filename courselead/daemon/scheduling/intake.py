"""Submission, status and cancellation of callers' jobs, served by every host."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Protocol

import anyio
import structlog

from courselead.core.scheduler.admission import Rejection, RejectReason
from courselead.core.scheduler.book import JobEntry
from courselead.core.scheduler.models import JobSpec, JobState
from courselead.core.scheduler.records import (
    EarlyCancel,
    JobAccepted,
    JobCancelled,
)
from courselead.daemon.scheduling.follower import JobFollower
from courselead.daemon.scheduling.job_admission import JobAdmission
from courselead.daemon.scheduling.operator_config import OperatorConfigView
from courselead.daemon.scheduling.owner_forwarder import StoreResult
from courselead.daemon.scheduling.ports import HostCounters, RouteMatch
from courselead.daemon.scheduling.writer import JobWriter

_LOGGER = structlog.get_logger(__name__)

RETRY_AFTER_S = 1
"""Time after which a caller should retry in a deployment without client accounts:
outages of the log last seconds, slow periods less."""

STALE_CONFIG_S = 3.0
"""Age of the newest configuration from which an unknown credential may belong to a
newer one: about twice the time between two responses of an idle log."""

DEFAULT_BODY_BYTES = 262_144
"""Maximum request body before the first configuration: the platform's own limit."""


class Verdict(StrEnum):
    """Result of a caller's request."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"
    NO_JOB = "no_job"
    ID_TAKEN = "id_taken"
    CANCELLED = "cancelled"
    TOO_LARGE = "too_large"


@dataclass(frozen=True, slots=True)
class JobReply:
    """A verdict, with the job's state or the queue's length where requested.

    `retry_after_s` is when a caller should retry whose request was not carried out.
    """

    verdict: Verdict
    state: JobState | None = None
    pending: int = 0
    reason: str = ""
    retry_after_s: int = RETRY_AFTER_S


@dataclass(frozen=True, slots=True)
class Caller:
    """The origin of a call to a queue.

    Attributes:
        queue: Queue that is called.
        account: Client account of the call's credential, "" for a call without one to
            a public queue.
        address: Digest of the host and path prefix that were called, 0 if unknown.
    """

    queue: str
    account: str = ""
    address: int = 0

    def may_see(self, entry: JobEntry) -> bool:
        """Return whether a job is visible to this caller."""
        return entry.is_visible_to(self.queue, self.account, self.address)


_ID_TAKEN_REPLY = JobReply(
    Verdict.ID_TAKEN, reason="this id cannot be used; choose another"
)


_TOO_LARGE_REPLY = JobReply(
    Verdict.TOO_LARGE, reason="the hosts have no memory for all its tasks; split it"
)

_TOO_MANY_CANCELS_REPLY = JobReply(
    Verdict.NOT_RUN, reason="too many unknown jobs were cancelled; come back later"
)

_LOG_UNREADABLE_REPLY = JobReply(Verdict.NOT_RUN, reason="the log cannot be read")


class OwnershipStatus(Protocol):
    """Tells whether this host owns the schedule and therefore has the newest state."""

    @property
    def owns(self) -> bool:
        """Return whether this host owns the schedule."""
        ...


class Intake:
    """Serves callers from the log and the job state that this host derives from it."""

    def __init__(
        self,
        operator_config: OperatorConfigView,
        follower: JobFollower,
        writer: JobWriter,
        ownership: OwnershipStatus,
        counters: HostCounters,
        max_job_bytes: int | None = None,
    ) -> None:
        """Initialize with the components that requests are served from.

        `max_job_bytes` is the memory for the jobs of the log, None if it is unknown.
        """
        self._operator_config = operator_config
        self._follower = follower
        self._writer = writer
        self._ownership = ownership
        self._counters = counters
        self._admission = JobAdmission(operator_config, follower.book, max_job_bytes)

    @property
    def configured(self) -> bool:
        """Return whether a configuration was received."""
        return self._operator_config.current is not None

    def can_check_credentials(self, caller: Caller | None) -> bool:
        """Return whether the known configuration suffices to serve or refuse a call.

        On a host that has lost the log, an unknown credential may belong to a newer
        configuration. If the operators limit the time until a revocation takes effect,
        such a host also stops serving known accounts once its configuration is too old.
        """
        age_s = self._operator_config.age_s()
        if caller is None:
            return age_s <= STALE_CONFIG_S
        if not caller.account or self._operator_config.is_public(caller.queue):
            return True
        longest_s = self._operator_config.max_age_s
        return longest_s is None or age_s <= longest_s

    @property
    def body_bytes(self) -> int:
        """Return the maximum request body that the configuration allows."""
        current = self._operator_config.current
        return DEFAULT_BODY_BYTES if current is None else current.body_bytes

    def route(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue that a request selects, None if there is none."""
        return self._operator_config.route(host, path)

    def authenticate(
        self, route: RouteMatch, credentials: Sequence[bytes]
    ) -> Caller | None:
        """Return the caller of a queue, None if its credentials are not accepted."""
        queue = route.queue
        account = self._operator_config.account_of(credentials)
        if account is not None:
            return Caller(queue, account, route.address)
        if self._operator_config.is_public(queue):
            return Caller(queue, address=route.address)
        self._counters.add("credential_refused")
        _LOGGER.info(
            "credential_refused",
            queue=queue,
            credentials=len(credentials),
            version=self._operator_config.version,
            version_age_ms=int(self._operator_config.age_s() * 1000),
        )
        return None

    async def submit(self, caller: Caller, job_id: str, spec: JobSpec) -> JobReply:
        """Store a job; it is accepted only if it is stored."""
        known = self._known_job_reply(caller, job_id)
        if known is not None:
            return known
        queue = caller.queue
        if not self._admission.fits_into_memory(spec):
            return self._log_reply("job_submitted", queue, job_id, _TOO_LARGE_REPLY)
        # A newer configuration may be applied while the log is read or written.
        settings = self._operator_config.fleet.queues.get(queue)
        account = "" if self._operator_config.is_public(queue) else caller.account
        rejected = self._admission.rejection(queue, account, job_id, spec)
        if rejected is not None and await self._follower.catch_up():
            # The job may have been stored by another host, and the owner may have
            # published a newer wait.
            known = self._known_job_reply(caller, job_id)
            if known is not None:
                return known
            rejected = self._admission.rejection(queue, account, job_id, spec)
            if rejected is not None:
                reply = self._reject(rejected, queue)
                return self._log_reply("job_submitted", queue, job_id, reply)
        with self._admission.storing(spec):
            return await self._store_job(
                JobAccepted(job_id, queue, spec, account, settings, caller.address)
            )

    async def _store_job(self, record: JobAccepted) -> JobReply:
        """Store a submitted job and return the reply to its caller."""
        queue, job_id = record.queue, record.job_id
        begun = anyio.current_time()
        reply = _reply_for_result(await self._writer.store(record), Verdict.ACCEPTED)
        if reply.verdict is Verdict.ACCEPTED:
            self._follower.apply_stored(record)
            # A job of another account with this id may have been stored first.
            if self._follower.book.jobs[job_id].account != record.account:
                reply = _ID_TAKEN_REPLY
            self._admission.record_stored(queue)
        elif reply.verdict is Verdict.IN_DOUBT:
            self._admission.record_doubt(job_id)
        elif self._operator_config.has_accounts:
            self._counters.add(f"jobs_rejected_{RejectReason.STORE}")
        reply = self._with_retry(reply)
        self._counters.record_duration("submit", str(reply.verdict), begun)
        duration_s = anyio.current_time() - begun
        self._counters.observe_job(queue, f"submit_{reply.verdict}", duration_s)
        return self._log_reply("job_submitted", queue, job_id, reply)

    async def state(self, caller: Caller, job_id: str) -> JobReply:
        """Return a job's state, after a read of the log if it may have changed."""
        queue = caller.queue
        entry = self._visible_job(caller, job_id)
        up_to_date = True
        if entry is None or not (self._ownership.owns or entry.state.final):
            up_to_date = await self._follower.catch_up()
            entry = self._visible_job(caller, job_id)
        if entry is not None:
            return JobReply(Verdict.KNOWN, entry.state)
        if not up_to_date:
            return self._with_retry(_LOG_UNREADABLE_REPLY)
        return self._log_reply("job_asked", queue, job_id, JobReply(Verdict.NO_JOB))

    async def cancel(self, caller: Caller, job_id: str) -> JobReply:
        """Store the cancellation of a job."""
        queue = caller.queue
        entry = self._visible_job(caller, job_id)
        if entry is None:
            if not await self._follower.catch_up():
                return self._with_retry(_LOG_UNREADABLE_REPLY)
            entry = self._visible_job(caller, job_id)
        if entry is None:
            return await self._cancel_unknown(caller, job_id)
        if entry.state.final and not entry.may_keep_running:
            return self._log_reply(
                "job_cancel", queue, job_id, JobReply(Verdict.CANCELLED)
            )
        reply = await self._store_cancel(JobCancelled(job_id), Verdict.CANCELLED)
        return self._log_reply("job_cancel", queue, job_id, reply)

    async def _cancel_unknown(self, caller: Caller, job_id: str) -> JobReply:
        """Store the cancellation of a job that is not in the log.

        Its submission may wait in another host, or in an append without an answer.
        """
        record = EarlyCancel(job_id, caller.queue, caller.account, caller.address)
        early_cancels = self._follower.book.early_cancels
        if early_cancels.has(record):
            reply = JobReply(Verdict.NO_JOB)
        elif early_cancels.is_full(record.account):
            self._counters.add("early_cancels_rejected")
            reply = self._with_retry(_TOO_MANY_CANCELS_REPLY)
        else:
            with early_cancels.storing(record.account):
                reply = await self._store_cancel(record, Verdict.NO_JOB)
        return self._log_reply("job_cancel", caller.queue, job_id, reply)

    async def _store_cancel(
        self, record: JobCancelled | EarlyCancel, success: Verdict
    ) -> JobReply:
        """Store a cancellation and return the reply to its caller."""
        reply = _reply_for_result(await self._writer.store(record), success)
        if reply.verdict is success:
            self._follower.apply_stored(record)
        return self._with_retry(reply)

    def pending(self, caller: Caller) -> JobReply:
        """Return how many jobs of a queue wait for their first task."""
        pending = self._follower.book.pending(caller.queue, caller.address)
        return JobReply(Verdict.KNOWN, pending=pending)

    def _reject(self, rejected: Rejection, queue: str) -> JobReply:
        """Count a rejected job and return the reply to its caller."""
        self._counters.add(f"jobs_rejected_{rejected.reason}")
        return JobReply(
            Verdict.NOT_RUN,
            reason=rejected.text,
            retry_after_s=self._admission.retry_after_s(rejected, queue),
        )

    def _with_retry(self, reply: JobReply) -> JobReply:
        """Return a reply with the Retry-After of an outage, if it reports one."""
        if not self._operator_config.has_accounts:
            return reply
        if reply.verdict not in (Verdict.NOT_RUN, Verdict.IN_DOUBT):
            return reply
        outage = Rejection(RejectReason.STORE, reply.reason)
        return replace(reply, retry_after_s=self._admission.retry_after_s(outage))

    def _known_job_reply(self, caller: Caller, job_id: str) -> JobReply | None:
        """Return the reply to the submission of a known job, None if it is unknown."""
        known = self._follower.book.jobs.get(job_id)
        if known is None:
            return None
        reply = _reply_for_known_job(known, caller)
        return self._log_reply("job_known", caller.queue, job_id, reply)

    def _visible_job(self, caller: Caller, job_id: str) -> JobEntry | None:
        """Return a job if it exists and is visible to a caller."""
        entry = self._follower.book.jobs.get(job_id)
        return entry if entry is not None and caller.may_see(entry) else None

    def _log_reply(
        self, event: str, queue: str, job_id: str, reply: JobReply
    ) -> JobReply:
        self._counters.add(f"{event}_{reply.verdict}")
        retry = {}
        if reply.verdict in (Verdict.NOT_RUN, Verdict.IN_DOUBT):
            retry["retry_after_s"] = reply.retry_after_s
        _LOGGER.info(
            event,
            job_id=job_id,
            queue=queue,
            verdict=str(reply.verdict),
            reason=reply.reason,
            version=self._operator_config.version,
            offset=self._follower.offset,
            **retry,
        )
        return reply


def _reply_for_known_job(entry: JobEntry, caller: Caller) -> JobReply:
    """Return the reply to a submission whose id exists: a retry or a conflict."""
    if entry.account in ("", caller.account):
        return JobReply(Verdict.KNOWN)
    return _ID_TAKEN_REPLY


def _reply_for_result(stored: StoreResult, success: Verdict) -> JobReply:
    if stored.ok:
        return JobReply(success)
    verdict = Verdict.IN_DOUBT if stored.in_doubt else Verdict.NOT_RUN
    return JobReply(verdict, reason=stored.reason)
