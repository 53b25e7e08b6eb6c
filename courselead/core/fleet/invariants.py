"""What must hold of the shared state after every record."""

from collections import Counter

from courselead.core.fleet.job_edit import PHASES_ACTIVE, PHASES_ON_WORKER
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
_PHASES_STOP = (WorkerPhase.STOPPING, WorkerPhase.STOPPED)


def check_fleet(fleet: FleetState) -> tuple[str, ...]:
    """Return what is wrong with a state, in order; empty if nothing is.

    Walks everything: for tests and for a check now and then, not per record.
    """
    faults: list[str] = []
    for worker in fleet.workers.values():
        faults.extend(_worker_faults(worker))
    faults.extend(_pool_faults(fleet))
    faults.extend(_table_faults(fleet))
    faults.extend(_host_faults(fleet))
    faults.extend(_job_faults(fleet))
    faults.extend(_due_faults(fleet))
    return tuple(sorted(faults))


def _worker_faults(worker: WorkerState) -> list[str]:
    """Return where a worker's pool, phase and stop contradict each other."""
    faults = []
    name = worker.worker
    if bool(worker.pool) is not (worker.phase in PHASES_IN_POOL):
        faults.append(f"worker {name} is {worker.phase} in pool {worker.pool!r}")
    if (worker.purpose is not None) is not (worker.phase in _PHASES_STOP):
        faults.append(f"worker {name} is {worker.phase} with stop {worker.purpose}")
    if worker.phase is WorkerPhase.SERVING and not worker.minion_address:
        faults.append(f"worker {name} serves nowhere")
    return faults


def _pool_faults(fleet: FleetState) -> list[str]:
    """Return where the counts and the index differ from a recount."""
    members: Counter[str] = Counter()
    serving: dict[str, list[str]] = {}
    for worker in fleet.workers.values():
        if not worker.pool:
            continue
        members[worker.pool] += 1
        if worker.phase is WorkerPhase.SERVING:
            serving.setdefault(worker.pool, []).append(worker.worker)
    faults = []
    for pool in members.keys() | set(fleet.pools):
        found = PoolCount(members[pool], len(serving.get(pool, ())))
        held = fleet.pools.get(pool)
        if held != found:
            faults.append(f"pool {pool} counts {held} where there are {found}")
    for pool in serving.keys() | set(fleet.serving):
        if fleet.serving.get(pool) != tuple(sorted(serving.get(pool, ()))):
            faults.append(f"pool {pool} has a wrong index of serving workers")
    return faults


def _table_faults(fleet: FleetState) -> list[str]:
    """Return where the table contradicts itself."""
    table = fleet.table
    faults = []
    if table.version > fleet.offset:
        faults.append(f"table {table.version} is ahead of offset {fleet.offset}")
    for pool, row in table.services.items():
        if row.pool != pool:
            faults.append(f"service row {row.pool} is filed under {pool}")
        if row.client_account not in table.accounts:
            faults.append(f"service row {pool} has no account row")
    for key, version in table.row_versions.items():
        if version > table.version:
            faults.append(f"row {key} is newer than the table")
    return faults


def _host_faults(fleet: FleetState) -> list[str]:
    """Return where hosts contradict the place in the log."""
    faults = []
    for name, host in fleet.hosts.items():
        if host.entry_host != name:
            faults.append(f"host {host.entry_host} is filed under {name}")
        if host.settled > host.applied or host.applied > fleet.offset:
            faults.append(f"host {name} has settled what it has not applied")
        if host.last_beat > fleet.offset or host.joined > host.last_beat:
            faults.append(f"host {name} was heard of before it joined")
        if host.status is HostStatus.LIVE and host.last_seq < 0:
            faults.append(f"host {name} is live without a batch")
    return faults


def _job_faults(fleet: FleetState) -> list[str]:
    """Return where the indexes of jobs differ from a recount."""
    active: Counter[str] = Counter()
    placed: dict[str, list[str]] = {}
    for job_id, job in fleet.jobs.items():
        if job.phase in PHASES_ACTIVE:
            active[job.spec.client_account] += 1
        if job.phase in PHASES_ON_WORKER:
            placed.setdefault(job.worker, []).append(job_id)
    faults = []
    if dict(active) != dict(fleet.job_counts):
        faults.append("the counts of active jobs differ from a recount")
    index = {worker: tuple(sorted(names)) for worker, names in placed.items()}
    if index != dict(fleet.jobs_on):
        faults.append("the index of jobs by worker differs from a recount")
    return faults


def _due_faults(fleet: FleetState) -> list[str]:
    """Return what would never be forgotten."""
    filed = set()
    for bucket, items in fleet.due.items():
        if bucket < fleet.due_cursor:
            return [f"bucket {bucket} lies behind the cursor"]
        filed.update(items.values())
    faults = [
        f"claim {key} is not filed to be forgotten"
        for key in fleet.claims
        if key not in filed
    ]
    for job_id, job in fleet.jobs.items():
        if (job.phase in PHASES_ACTIVE) is (job_id in filed):
            faults.append(f"job {job_id} is filed wrongly to be forgotten")
    return faults
