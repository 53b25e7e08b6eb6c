"""In-memory state that every host builds from the records of the job log."""

from __future__ import annotations

from dataclasses import dataclass

from courselead.core.scheduler.bursts import BurstMemory
from courselead.core.scheduler.early_cancels import EarlyCancels
from courselead.core.scheduler.models import JobSpec, JobState, Queue
from courselead.core.scheduler.records import (
    EarlyCancel,
    EarlyCancelForgotten,
    HostAddress,
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobProgress,
    OwnerHeartbeat,
    Record,
    WaveProgress,
)

OPEN_TASK_BYTES = 2_048
"""Memory of a task on the host that owns the schedule, until its job has ended."""


JOB_BYTES = 3_072
"""Memory of a job besides its specification and tasks, until it is forgotten."""


def open_job_bytes(spec: JobSpec) -> int:
    """Return the memory of a job that has not ended."""
    return OPEN_TASK_BYTES * spec.task_count + spec.memory_bytes


@dataclass(slots=True)
class JobEntry:
    """A job according to the log.

    Attributes:
        settings: Settings of its queue when it was accepted, None if unknown.
        address: Digest of the host and path prefix of its submission, 0 if unknown.
        open_bytes: Memory of the job until it has ended.
        ended_bytes: Memory afterwards, as its state may still be requested. Its
            payload is not needed any more.
    """

    job_id: str
    queue: str
    spec: JobSpec
    account: str = ""
    settings: Queue | None = None
    address: int = 0
    progress: JobProgress | None = None
    cancelled: bool = False
    open_bytes: int = 0
    ended_bytes: int = 0

    def is_reached_by(self, queue: str, address: int) -> bool:
        """Return whether a call to a queue at an address refers to this job.

        Callers know the address of their job. A queue may get another name at the same
        address, or another address under the same name.
        """
        return queue == self.queue or (address != 0 and address == self.address)

    def is_visible_to(self, queue: str, account: str, address: int) -> bool:
        """Return whether a caller may see and cancel this job.

        A job without an account is visible to everyone who knows its id; ids are not
        disclosed.
        """
        if self.account not in ("", account):
            return False
        return self.is_reached_by(queue, address)

    @property
    def held_bytes(self) -> int:
        """Return the memory of the job on the host that owns the schedule."""
        if self.state.final and not self.may_keep_running:
            return self.ended_bytes
        return self.open_bytes

    @property
    def state(self) -> JobState:
        """Return the state that callers see."""
        progress = self.progress
        if progress is not None and progress.state.final:
            return progress.state
        if self.cancelled:
            return JobState.CANCELLED
        if progress is None or not progress.begun:
            return JobState.QUEUED
        return JobState.RUNNING

    @property
    def newest_settings(self) -> Queue | None:
        """Return the newest settings of its queue on record, None if there are none."""
        if self.progress is not None and self.progress.settings is not None:
            return self.progress.settings
        return self.settings

    @property
    def start_pools(self) -> frozenset[str]:
        """Return the pools in which its tasks may have been started.

        They are unknown, and the result is empty, if only earlier versions have stored
        the job.
        """
        accepted_for = set() if self.settings is None else {self.settings.pool}
        started_in = set() if self.progress is None else set(self.progress.pools)
        return frozenset(accepted_for | started_in)

    @property
    def may_keep_running(self) -> bool:
        """Return whether long-running tasks may keep running after the job failed."""
        if self.cancelled or self.state is not JobState.FAILED:
            return False
        return any(step.long_running for step in self.spec.steps)


class JobBook:
    """All jobs of the log, built by applying its records in order.

    When only a page of the newest records is read, a record may precede the job that it
    belongs to. It is kept until the job is applied.
    """

    def __init__(self) -> None:
        """Initialize an empty book."""
        self.jobs: dict[str, JobEntry] = {}
        self.owner: OwnerHeartbeat | None = None
        self.previous_owner: OwnerHeartbeat | None = None
        self.hosts: dict[str, HostAddress] = {}
        self.waves: dict[int, WaveProgress] = {}
        self.bursts: dict[str, BurstMemory] = {}
        # Job id and account of jobs whose id another account already used; these jobs
        # never run.
        self.duplicates: set[tuple[str, str]] = set()
        # Memory of all jobs without that of their tasks.
        self.spec_bytes = 0
        self._early_progress: dict[str, JobProgress] = {}
        self._cancels_before_jobs: set[str] = set()
        self.early_cancels = EarlyCancels()

    def apply(self, record: Record) -> None:
        """Apply a record."""
        match record:
            case JobAccepted():
                self._accepted(record)
            case JobProgress():
                self._progressed(record)
            case JobCancelled():
                self._cancelled(record)
            case EarlyCancel():
                self.early_cancels.add(record)
                self._cancel_early(record)
            case EarlyCancelForgotten():
                self.early_cancels.remove(record.key)
            case JobForgotten():
                self._forgotten(record)
            case HostAddress():
                self.hosts[record.host] = record
            case WaveProgress():
                self.waves[record.wave] = record
            case OwnerHeartbeat():
                if self.owner is None or record.fence >= self.owner.fence:
                    if self.owner is None or record.fence > self.owner.fence:
                        self.previous_owner = self.owner
                    self.owner = record
                    self.bursts.update(record.turns)

    def pending(self, queue: str, address: int = 0) -> int:
        """Return how many jobs of a queue have not started a task yet.

        Args:
            queue: Name of the queue.
            address: Digest of its host and path prefix, 0 if unknown.
        """
        count = 0
        for entry in self.jobs.values():
            if not entry.is_reached_by(queue, address):
                continue
            count += entry.state is JobState.QUEUED
        return count

    @property
    def held_bytes(self) -> int:
        """Return the memory of all jobs on the host that owns the schedule."""
        return sum(entry.held_bytes for entry in self.jobs.values())

    def _accepted(self, record: JobAccepted) -> None:
        known = self.jobs.get(record.job_id)
        if known is not None:
            if known.account != record.account:
                self.duplicates.add((record.job_id, record.account))
            return
        entry = JobEntry(
            record.job_id,
            record.queue,
            record.spec,
            record.account,
            record.settings,
            record.address,
        )
        entry.open_bytes = open_job_bytes(record.spec)
        entry.ended_bytes = record.spec.memory_bytes
        entry.progress = self._early_progress.pop(record.job_id, None)
        entry.cancelled = record.job_id in self._cancels_before_jobs
        self._cancels_before_jobs.discard(record.job_id)
        self.jobs[record.job_id] = entry
        self.spec_bytes += JOB_BYTES + entry.spec.memory_bytes
        for cancel in self.early_cancels.of_job(record.job_id):
            self._cancel_early(cancel)
        self._drop_payload_if_ended(entry)

    def _drop_payload_if_ended(self, entry: JobEntry) -> None:
        """Give the memory of an ended job's payload back: it never starts again."""
        payload = entry.spec.payload
        if not payload or not entry.state.final or entry.may_keep_running:
            return
        entry.spec = entry.spec.without_payload()
        entry.ended_bytes = entry.spec.memory_bytes
        self.spec_bytes -= len(payload)

    def _forgotten(self, record: JobForgotten) -> None:
        entry = self.jobs.get(record.job_id)
        if record.account is not None:
            self.duplicates.discard((record.job_id, record.account))
            if entry is not None and entry.account == record.account:
                del self.jobs[record.job_id]
                self.spec_bytes -= JOB_BYTES + entry.spec.memory_bytes
        self._early_progress.pop(record.job_id, None)
        self._cancels_before_jobs.discard(record.job_id)

    def _progressed(self, record: JobProgress) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None:
            self._early_progress[record.job_id] = record
            return
        known = entry.progress
        if known is not None and known.state.final and not record.state.final:
            # The owner applies its records once they are stored, and later reads them
            # again from the log: an older record must not reopen an ended job.
            return
        entry.progress = record
        self._drop_payload_if_ended(entry)

    def _cancel_early(self, record: EarlyCancel) -> None:
        """Cancel a job that its caller has cancelled before it was known.

        It must be a job that this caller could have cancelled afterwards.
        """
        entry = self.jobs.get(record.job_id)
        if entry is None or not entry.is_visible_to(
            record.queue, record.account, record.address
        ):
            return
        entry.cancelled = True
        self._drop_payload_if_ended(entry)

    def _cancelled(self, record: JobCancelled) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None:
            self._cancels_before_jobs.add(record.job_id)
            return
        entry.cancelled = True
        self._drop_payload_if_ended(entry)
