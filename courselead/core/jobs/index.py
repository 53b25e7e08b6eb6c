"""Ordered queues of waiting jobs, updated incrementally from records."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from immutables import Map

from courselead.core.fleet.records import (
    JobPlaced,
    JobsCancelled,
    JobsEnded,
    JobsSubmitted,
    MinionStopped,
    MinionUp,
    StopCancelled,
    StopPlanned,
    WorkerAssigned,
    WorkerBack,
    WorkerDown,
    WorkerQuarantined,
    WorkerRebooted,
    WorkersGone,
    ZoneRestored,
)
from courselead.core.fleet.state import AppliedRecord, FleetState, JobPhase, JobState
from courselead.core.table import RequestClass, pool_name

CLASS_RANK = {RequestClass.URGENT: 0, RequestClass.NORMAL: 1, RequestClass.BATCH: 2}
RUNNING_PHASES = (JobPhase.PLACED, JobPhase.CANCELLING)
OPEN_PHASES = (JobPhase.WAITING, JobPhase.PLACED, JobPhase.CANCELLING)
NO_DEADLINE = 1 << 62

_WORKER_RECORDS = (
    WorkerAssigned,
    MinionUp,
    WorkerDown,
    WorkerBack,
    StopPlanned,
    StopCancelled,
    MinionStopped,
    WorkerRebooted,
    WorkerQuarantined,
)

# Sort key of a waiting job: class, deadline, offset of its submission, job id.
WaitKey = tuple[int, int, int, str]


@dataclass(frozen=True, slots=True)
class AffectedItems:
    """Jobs and workers that records may have changed.

    Attributes:
        jobs: All of these jobs.
        workers: All of these workers.
        placed: The jobs whose only change is a placement.
    """

    jobs: frozenset[str] = frozenset()
    workers: frozenset[str] = frozenset()
    placed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Index:
    """Queues of waiting jobs, and the shared state they were built from.

    Attributes:
        offset: Offset of that state, -2 before the first update.
        jobs: Jobs of that state.
        waiting: Waiting jobs in the order in which they are served, by pool.
    """

    offset: int = -2
    jobs: Map[str, JobState] = field(default_factory=Map)
    waiting: Map[str, tuple[WaitKey, ...]] = field(default_factory=Map)


def pool_of(job: JobState) -> str:
    """Return the pool whose workers run a job."""
    return pool_name(job.spec.client_account, job.spec.service)


def wait_key(job: JobState) -> WaitKey:
    """Return the sort key of a job among the waiting jobs of its pool."""
    spec = job.spec
    deadline = spec.deadline_ms or NO_DEADLINE
    return CLASS_RANK[spec.request_class], deadline, job.submitted, spec.job_id


def find_affected(applied: Iterable[AppliedRecord], fleet: FleetState) -> AffectedItems:
    """Return the jobs and workers that accepted records may have changed."""
    jobs: set[str] = set()
    workers: set[str] = set()
    placed: set[str] = set()
    for entry in applied:
        if not entry.verdict.accepted:
            continue
        record = entry.record
        if isinstance(record, _WORKER_RECORDS):
            workers.add(record.worker)
            continue
        match record:
            case JobsSubmitted(jobs=specs):
                jobs.update(spec.job_id for spec in specs)
            case JobPlaced(job_id=job_id):
                placed.add(job_id)
            case JobsEnded(ends=ends):
                jobs.update(end.job_id for end in ends)
            case JobsCancelled(job_ids=job_ids):
                jobs.update(job_ids)
            case WorkersGone(workers=gone):
                workers.update(name for name, _ in gone)
            case ZoneRestored(availability_zone=zone):
                workers.update(_workers_of_zone(fleet, zone))
    for worker in workers:
        jobs.update(fleet.jobs_on.get(worker, ()))
    only_placed = frozenset(placed - jobs)
    return AffectedItems(only_placed | jobs, frozenset(workers), only_placed)


def _workers_of_zone(fleet: FleetState, zone: str) -> list[str]:
    """Return the workers of an availability zone."""
    return [
        name
        for name, worker in fleet.workers.items()
        if worker.availability_zone == zone
    ]


def update(index: Index, fleet: FleetState, job_ids: Iterable[str]) -> Index:
    """Update the index to a newer shared state.

    Args:
        index: Index of the older state.
        fleet: The newer state.
        job_ids: All jobs that may differ between the two states.
    """
    removed: dict[str, list[WaitKey]] = {}
    added: dict[str, list[WaitKey]] = {}
    for job_id in sorted(job_ids):
        old = index.jobs.get(job_id)
        new = fleet.jobs.get(job_id)
        if old is new:
            continue
        if old and old.phase is JobPhase.WAITING:
            removed.setdefault(pool_of(old), []).append(wait_key(old))
        if new and new.phase is JobPhase.WAITING:
            added.setdefault(pool_of(new), []).append(wait_key(new))
    waiting = index.waiting
    for pool in sorted(removed.keys() | added.keys()):
        queue = _remove_keys(waiting.get(pool, ()), removed.get(pool, []))
        queue = _insert_keys(queue, added.get(pool, []))
        waiting = waiting.set(pool, queue)
        if not queue:
            waiting = waiting.delete(pool)
    return replace(index, offset=fleet.offset, jobs=fleet.jobs, waiting=waiting)


def rebuild(fleet: FleetState) -> Index:
    """Build the index of a shared state from all its jobs."""
    return update(Index(), fleet, fleet.jobs)


def _remove_keys(
    queue: tuple[WaitKey, ...], keys: list[WaitKey]
) -> tuple[WaitKey, ...]:
    """Return a queue without the keys."""
    if len(keys) > 1:
        gone = frozenset(keys)
        return tuple(key for key in queue if key not in gone)
    for key in keys:
        position = bisect_left(queue, key)
        if position < len(queue) and queue[position] == key:
            queue = (*queue[:position], *queue[position + 1 :])
    return queue


def _insert_keys(
    queue: tuple[WaitKey, ...], keys: list[WaitKey]
) -> tuple[WaitKey, ...]:
    """Return a queue with the keys inserted in order."""
    if len(keys) > 1:
        return tuple(sorted((*queue, *keys)))
    for key in keys:
        position = bisect_left(queue, key)
        queue = (*queue[:position], key, *queue[position:])
    return queue
