"""Editor for jobs that keeps every index of jobs consistent."""

from bisect import bisect_left
from dataclasses import dataclass, replace
from typing import Any

from immutables import Map

from courselead.core.fleet.due import JOB_RETENTION_MS, ExpiryIndexEditor
from courselead.core.fleet.state import FleetState, JobPhase, JobState

PHASES_ON_WORKER = (JobPhase.PLACED, JobPhase.CANCELLING)
PHASES_ACTIVE = (JobPhase.WAITING, *PHASES_ON_WORKER)


@dataclass(slots=True)
class JobsEditor:
    """Mutable view of the jobs and their indexes, used within one handler call.

    Attributes:
        jobs: Mutation of the map of jobs.
        jobs_on: Index of placed jobs by worker.
        counts: Mutation of the number of active jobs by client account.
        due: Editor for the expiry index.
    """

    fleet: FleetState
    jobs: Any
    jobs_on: Map[str, tuple[str, ...]]
    counts: Any
    due: ExpiryIndexEditor

    @classmethod
    def from_fleet(cls, fleet: FleetState) -> "JobsEditor":
        """Return an editor for the jobs of the fleet state."""
        jobs = fleet.jobs.mutate()
        counts = fleet.job_counts.mutate()
        return cls(
            fleet, jobs, fleet.jobs_on, counts, ExpiryIndexEditor.from_fleet(fleet)
        )

    def put(self, job: JobState) -> None:
        """Add or replace a job and update the indexes."""
        job_id = job.spec.job_id
        old = self.jobs.get(job_id)
        was_active = old is not None and old.phase in PHASES_ACTIVE
        is_active = job.phase in PHASES_ACTIVE
        if not is_active:
            job = replace(job, ended_ms=self.fleet.now_ms)
            self.due.add(job_id, self.fleet.now_ms + JOB_RETENTION_MS)
        self._update_worker_index(old, job)
        self._update_active_count(
            job.spec.client_account, int(is_active) - int(was_active)
        )
        self.jobs[job_id] = job

    def finish(self) -> FleetState:
        """Return the fleet state with all changes applied."""
        return replace(
            self.fleet,
            jobs=self.jobs.finish(),
            jobs_on=self.jobs_on,
            job_counts=self.counts.finish(),
            due=self.due.due,
            due_cursor=self.due.cursor,
        )

    def active_count(self, client_account: str) -> int:
        """Return the number of waiting or running jobs of a client account."""
        return self.counts.get(client_account, 0)

    def _update_active_count(self, client_account: str, change: int) -> None:
        """Adjust the number of active jobs of an account; a count of 0 is removed."""
        if change == 0:
            return
        count = self.active_count(client_account) + change
        if count:
            self.counts[client_account] = count
            return
        del self.counts[client_account]

    def _update_worker_index(self, old: JobState | None, new: JobState) -> None:
        """Update the index of jobs by worker."""
        before = old.worker if old and old.phase in PHASES_ON_WORKER else ""
        after = new.worker if new.phase in PHASES_ON_WORKER else ""
        if before == after:
            return
        job_id = new.spec.job_id
        if before:
            remaining = tuple(
                other for other in self.jobs_on[before] if other != job_id
            )
            if remaining:
                self.jobs_on = self.jobs_on.set(before, remaining)
            else:
                self.jobs_on = self.jobs_on.delete(before)
        if after:
            job_ids = self.jobs_on.get(after, ())
            position = bisect_left(job_ids, job_id)
            job_ids = (*job_ids[:position], job_id, *job_ids[position:])
            self.jobs_on = self.jobs_on.set(after, job_ids)
