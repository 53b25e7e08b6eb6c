"""Invariants of the shared fleet state, which must hold after every record."""

from collections import Counter

from courselead.core.fleet.jobs_editor import PHASES_ACTIVE, PHASES_ON_WORKER
from courselead.core.fleet.state import (
    FleetState,
    HostStatus,
    PoolCount,
    WorkerPhase,
    WorkerState,
)

PHASES_IN_POOL = frozenset(
    (
        WorkerPhase.STARTING,
        WorkerPhase.SERVING,
        WorkerPhase.STOPPING,
        WorkerPhase.STOPPED,
        WorkerPhase.DOWN,
    )
)
_PHASES_PLANNED_STOP = (WorkerPhase.STOPPING, WorkerPhase.STOPPED)


def check_fleet(fleet: FleetState) -> tuple[str, ...]:
    """Return the violated invariants of a state, sorted; empty if there are none.

    Iterates over the whole state, so it is meant for tests and periodic checks, not
    for every record.
    """
    violations: list[str] = []
    for worker in fleet.workers.values():
        violations.extend(_worker_violations(worker))
    violations.extend(_pool_violations(fleet))
    violations.extend(_table_violations(fleet))
    violations.extend(_host_violations(fleet))
    violations.extend(_job_violations(fleet))
    violations.extend(_expiry_index_violations(fleet))
    violations.extend(_evacuation_violations(fleet))
    return tuple(sorted(violations))


def _worker_violations(worker: WorkerState) -> list[str]:
    """Return inconsistencies between a worker's pool, phase and planned stop."""
    violations = []
    name = worker.worker
    if bool(worker.pool) is not (worker.phase in PHASES_IN_POOL):
        violations.append(f"worker {name} is {worker.phase} in pool {worker.pool!r}")
    if (worker.purpose is not None) is not (worker.phase in _PHASES_PLANNED_STOP):
        violations.append(
            f"worker {name} is {worker.phase} with stop purpose {worker.purpose}"
        )
    if worker.phase is WorkerPhase.SERVING and not worker.minion_address:
        violations.append(f"worker {name} is serving without a minion address")
    return violations


def _pool_violations(fleet: FleetState) -> list[str]:
    """Return differences between the pool counts or index and the workers."""
    members: Counter[str] = Counter()
    serving: dict[str, list[str]] = {}
    for worker in fleet.workers.values():
        if not worker.pool:
            continue
        members[worker.pool] += 1
        if worker.phase is WorkerPhase.SERVING:
            serving.setdefault(worker.pool, []).append(worker.worker)
    violations = []
    for pool in members.keys() | set(fleet.pools):
        expected = PoolCount(members[pool], len(serving.get(pool, ())))
        counts = fleet.pools.get(pool)
        if counts != expected:
            violations.append(f"pool {pool} has counts {counts}, expected {expected}")
    for pool in serving.keys() | set(fleet.serving):
        if fleet.serving.get(pool) != tuple(sorted(serving.get(pool, ()))):
            violations.append(f"the index of serving workers of pool {pool} is wrong")
    return violations


def _table_violations(fleet: FleetState) -> list[str]:
    """Return inconsistencies within the table."""
    table = fleet.table
    violations = []
    if table.version > fleet.offset:
        violations.append(
            f"table version {table.version} is ahead of offset {fleet.offset}"
        )
    for pool, row in table.services.items():
        if row.pool != pool:
            violations.append(f"service row {row.pool} is stored under the key {pool}")
        if row.client_account not in table.accounts:
            violations.append(f"service row {pool} has no account row")
    for key, version in table.row_versions.items():
        if version > table.version:
            violations.append(f"row {key} has a newer version than the table")
    return violations


def _host_violations(fleet: FleetState) -> list[str]:
    """Return inconsistencies between host states and the applied log offset."""
    violations = []
    for name, host in fleet.hosts.items():
        if host.entry_host != name:
            violations.append(f"host {host.entry_host} is stored under the key {name}")
        if host.settled > host.applied or host.applied > fleet.offset:
            violations.append(
                f"host {name} has settled or applied offsets that are too high"
            )
        if host.last_beat > fleet.offset or host.joined > host.last_beat:
            violations.append(f"host {name} has an invalid heartbeat or join offset")
        if host.status is HostStatus.LIVE and host.last_seq < 0:
            violations.append(f"host {name} is live without a batch sequence number")
    return violations


def _job_violations(fleet: FleetState) -> list[str]:
    """Return differences between the job indexes and the jobs."""
    active: Counter[str] = Counter()
    placed: dict[str, list[str]] = {}
    for job_id, job in fleet.jobs.items():
        if job.phase in PHASES_ACTIVE:
            active[job.spec.client_account] += 1
        if job.phase in PHASES_ON_WORKER:
            placed.setdefault(job.worker, []).append(job_id)
    violations = []
    if dict(active) != dict(fleet.job_counts):
        violations.append(
            "the number of active jobs by account does not match the jobs"
        )
    index = {worker: tuple(sorted(names)) for worker, names in placed.items()}
    if index != dict(fleet.jobs_on):
        violations.append("the index of jobs by worker does not match the jobs")
    return violations


def _expiry_index_violations(fleet: FleetState) -> list[str]:
    """Return claims and jobs whose expiry index entries are missing or wrong."""
    indexed = set()
    for bucket, items in fleet.due.items():
        if bucket < fleet.due_cursor:
            return [f"expiry bucket {bucket} is before the cursor"]
        indexed.update(items.values())
    violations = [
        f"claim {key} is missing from the expiry index"
        for key in fleet.claims
        if key not in indexed
    ]
    for job_id, job in fleet.jobs.items():
        if (job.phase in PHASES_ACTIVE) is (job_id in indexed):
            violations.append(f"job {job_id} has a wrong or missing expiry entry")
    return violations


def _evacuation_violations(fleet: FleetState) -> list[str]:
    """Return evacuations stored under another zone or with an offset too high."""
    violations = []
    for zone, evacuation in fleet.evacuations.items():
        if evacuation.availability_zone != zone or evacuation.since > fleet.offset:
            violations.append(f"the evacuation of zone {zone} is inconsistent")
    return violations
