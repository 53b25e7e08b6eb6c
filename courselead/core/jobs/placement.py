"""Placement policies: the choice of a worker for a job."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from courselead.core.jobs.sizes import Need
from courselead.core.ranking import rendezvous_score


@dataclass(frozen=True, slots=True)
class Candidate:
    """A worker that may take jobs, with its free capacity.

    Attributes:
        cores: Cores free for jobs.
        memory_mb: Memory free for jobs.
        maintenance_in_ms: Expected time until its next maintenance.
        suspect: Whether enough failures are blamed on it to suspect it.
        total_cores: Cores that jobs may use on it in total.
        total_memory_mb: Memory that jobs may use on it in total.
        jobs: Number of jobs on it.
    """

    worker: str
    epoch: int
    cores: float
    memory_mb: int
    maintenance_in_ms: int = 0
    suspect: bool = False
    total_cores: float = 0.0
    total_memory_mb: int = 0
    jobs: int = 0

    def has_room_for(self, need: Need) -> bool:
        """Return whether a job fits into the free capacity."""
        return need.cores <= self.cores and need.memory_mb <= self.memory_mb


class Policy(Protocol):
    """Chooses a worker among those with room for a job."""

    def choose(
        self, job_id: str, need: Need, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return the worker for a job; `candidates` is not empty."""
        ...


class FirstFit:
    """Chooses the first worker by name."""

    def choose(
        self, job_id: str, need: Need, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return the worker for a job."""
        return min(candidates, key=lambda candidate: candidate.worker)


class RandomFit:
    """Chooses a worker by a hash of job and worker."""

    def choose(
        self, job_id: str, need: Need, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return the worker for a job."""
        return max(
            candidates,
            key=lambda candidate: (
                rendezvous_score(job_id, candidate.worker),
                candidate.worker,
            ),
        )


class BestFit:
    """Chooses the worker with the least free capacity."""

    def choose(
        self, job_id: str, need: Need, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return the worker for a job."""
        return min(
            candidates,
            key=lambda candidate: (
                candidate.cores,
                candidate.memory_mb,
                candidate.worker,
            ),
        )


class WorstFit:
    """Chooses the worker with the most free capacity."""

    def choose(
        self, job_id: str, need: Need, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return the worker for a job."""
        return min(
            candidates,
            key=lambda candidate: (
                -candidate.cores,
                -candidate.memory_mb,
                candidate.worker,
            ),
        )


class MaintenanceAwareFit:
    """Best fit among healthy workers without maintenance during the job.

    Maintenance during a job forces a move. If all workers are due before the
    job is expected to end, the one that is due last is chosen.
    """

    def choose(
        self, job_id: str, need: Need, candidates: Sequence[Candidate]
    ) -> Candidate:
        """Return the worker for a job."""
        return min(candidates, key=lambda candidate: self._key(need, candidate))

    def _key(
        self, need: Need, candidate: Candidate
    ) -> tuple[bool, int, float, int, str]:
        """Return the sort key of a worker; the lowest is the best."""
        early_ms = max(0, need.run_ms - candidate.maintenance_in_ms)
        return (
            candidate.suspect,
            early_ms,
            candidate.cores,
            candidate.memory_mb,
            candidate.worker,
        )
