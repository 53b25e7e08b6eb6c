"""Evidence from ends of attempts on whether a worker or a job is faulty.

A single failed attempt does not show what caused it; a retry of the job on
another worker does. If the retry succeeds, the first worker is suspected. If it
fails, too, on a worker on which other jobs succeed, the job is. A failure counts
only if its attempt was placed after the previous counted failure, so that a
crash that ends all tasks on a worker counts once.
"""

from dataclasses import dataclass, field, replace
from enum import StrEnum

from immutables import Map

from courselead.core.fleet.records import JobOutcome
from courselead.core.fleet.state import JobState
from courselead.core.jobs import const


class Fault(StrEnum):
    """Probable cause of a failed attempt; open if it is not known yet."""

    OPEN = "open"
    JOB = "job"
    WORKER = "worker"


@dataclass(frozen=True, slots=True)
class Failure:
    """A job that failed on a worker."""

    job_id: str
    fault: Fault = Fault.OPEN


@dataclass(frozen=True, slots=True)
class WorkerEvidence:
    """Ends of attempts on one worker in its current epoch.

    Attributes:
        failures: Different jobs that failed consecutively, the oldest first.
        last_counted: Offset of the newest failure that was counted.
        done: Number of successful attempts, in which older ones count less.
        failed: Number of failed attempts, weighted in the same way.
    """

    epoch: int
    failures: tuple[Failure, ...] = ()
    last_counted: int = -1
    done: float = 0.0
    failed: float = 0.0

    def others_failed(self, job_id: str) -> bool:
        """Return whether other jobs failed without being known to be faulty."""
        for failure in self.failures:
            if failure.job_id != job_id and failure.fault is not Fault.JOB:
                return True
        return False

    def count_blamed(self) -> int:
        """Return the number of failures that no faulty job is known to explain."""
        return sum(1 for failure in self.failures if failure.fault is not Fault.JOB)

    def count_succeeded_elsewhere(self) -> int:
        """Return the number of failed jobs that then succeeded elsewhere."""
        return sum(1 for failure in self.failures if failure.fault is Fault.WORKER)


@dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence on all workers, by worker."""

    workers: Map[str, WorkerEvidence] = field(default_factory=Map)

    def for_worker(self, worker: str, epoch: int) -> WorkerEvidence:
        """Return the evidence on a worker in an epoch."""
        current = self.workers.get(worker)
        if current is None or current.epoch != epoch:
            return WorkerEvidence(epoch)
        return current

    def is_suspect(self, worker: str, epoch: int) -> bool:
        """Return whether enough failures are blamed on a worker to suspect it."""
        return self.for_worker(worker, epoch).count_blamed() >= const.SUSPECT_FAILURES


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The end of an attempt.

    Attributes:
        placed: Offset of the attempt's placement.
        offset: Offset of its end.
        exceeded_memory: Whether it used more memory than it was given. This is
            neither the worker's fault nor, as sizes are only estimated, the
            job's.
    """

    job: JobState
    worker: str
    epoch: int
    outcome: JobOutcome
    placed: int
    offset: int
    exceeded_memory: bool = False


def record_end(evidence: Evidence, end: AttemptEnd) -> Evidence:
    """Return the evidence after the end of an attempt."""
    if end.outcome is JobOutcome.DONE:
        return _record_success(evidence, end)
    if end.outcome is JobOutcome.FAILED and not end.exceeded_memory:
        return _record_failure(evidence, end)
    return evidence


def _record_success(evidence: Evidence, end: AttemptEnd) -> Evidence:
    """Clear the worker's failures and blame workers that the job failed on before."""
    current = _decay(evidence.for_worker(end.worker, end.epoch))
    current = replace(current, failures=(), done=current.done + 1)
    evidence = _with_worker(evidence, end.worker, current)
    for worker in end.job.failed_on:
        if worker != end.worker:
            evidence = _set_fault(evidence, worker, end.job.spec.job_id, Fault.WORKER)
    return evidence


def _record_failure(evidence: Evidence, end: AttemptEnd) -> Evidence:
    """Count a failure, and blame the job if it failed on a healthy worker, too."""
    job_id = end.job.spec.job_id
    current = _decay(evidence.for_worker(end.worker, end.epoch))
    current = replace(current, failed=current.failed + 1)
    is_known = any(failure.job_id == job_id for failure in current.failures)
    if end.placed > current.last_counted and not is_known:
        failures = (*current.failures, Failure(job_id))[-const.FAILURES_KEPT :]
        current = replace(current, failures=failures, last_counted=end.offset)
    evidence = _with_worker(evidence, end.worker, current)
    tried = end.job.failed_on
    healthy = [worker for worker in tried if _is_healthy(evidence, worker, job_id)]
    if len(tried) < 2 or not healthy:
        return evidence
    for worker in tried:
        evidence = _set_fault(evidence, worker, job_id, Fault.JOB)
    return evidence


def _is_healthy(evidence: Evidence, worker: str, job_id: str) -> bool:
    """Return whether no other job failed on a worker, faulty jobs aside."""
    current = evidence.workers.get(worker)
    return current is None or not current.others_failed(job_id)


def _set_fault(evidence: Evidence, worker: str, job_id: str, fault: Fault) -> Evidence:
    """Set the probable cause of a job's failure on a worker."""
    current = evidence.workers.get(worker)
    if current is None:
        return evidence
    failures = []
    for failure in current.failures:
        if failure.job_id == job_id:
            failure = replace(failure, fault=fault)
        failures.append(failure)
    return _with_worker(evidence, worker, replace(current, failures=tuple(failures)))


def _decay(current: WorkerEvidence) -> WorkerEvidence:
    """Halve the counts once enough ends were seen, so that older ones count less."""
    if current.done + current.failed < const.ENDS_BEFORE_DECAY:
        return current
    return replace(current, done=current.done / 2, failed=current.failed / 2)


def _with_worker(evidence: Evidence, worker: str, current: WorkerEvidence) -> Evidence:
    """Replace the evidence on one worker."""
    return replace(evidence, workers=evidence.workers.set(worker, current))
