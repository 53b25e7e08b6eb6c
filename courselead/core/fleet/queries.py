"""Common queries on the shared fleet state."""

from courselead.core.fleet.state import (
    FleetState,
    HostState,
    HostStatus,
    PoolCount,
    WorkerPhase,
    WorkerState,
)
from courselead.core.table import AccountRow, ServiceRow, pool_name

_EMPTY_POOL = PoolCount()


def live_hosts(fleet: FleetState) -> tuple[str, ...]:
    """Return the names of the live entry hosts, sorted."""
    hosts = fleet.hosts.values()
    return tuple(
        sorted(host.entry_host for host in hosts if host.status is HostStatus.LIVE)
    )


def is_live(fleet: FleetState, entry_host: str, incarnation: int) -> bool:
    """Return whether this incarnation of an entry host is a live member."""
    host = fleet.hosts.get(entry_host)
    if host is None or host.incarnation != incarnation:
        return False
    return host.status is HostStatus.LIVE


def unsettled_hosts(fleet: FleetState, since: int) -> tuple[str, ...]:
    """Return the live hosts that have not settled the release or stop at an offset.

    A host that joined later already knew about it when it started. A host that is
    lost or has left may no longer send requests.
    """
    names = []
    for host in fleet.hosts.values():
        if _is_unsettled(host, since):
            names.append(host.entry_host)
    return tuple(sorted(names))


def _is_unsettled(host: HostState, since: int) -> bool:
    """Return whether a host may still send to a worker released at an offset."""
    if host.status is not HostStatus.LIVE or host.joined >= since:
        return False
    return host.settled < since


def serving_workers(fleet: FleetState, pool: str) -> tuple[str, ...]:
    """Return the sorted IDs of the serving workers of a pool."""
    return fleet.serving.get(pool, ())


def is_evacuated(fleet: FleetState, worker: WorkerState) -> bool:
    """Return whether the availability zone of a worker is evacuated."""
    return worker.availability_zone in fleet.evacuations


def usable_workers(fleet: FleetState, pool: str) -> tuple[str, ...]:
    """Return the serving workers of a pool outside evacuated zones, sorted by ID."""
    names = serving_workers(fleet, pool)
    if not fleet.evacuations:
        return names
    workers = fleet.workers
    return tuple(name for name in names if not is_evacuated(fleet, workers[name]))


def known_zones(fleet: FleetState) -> tuple[str, ...]:
    """Return the sorted availability zones of all workers and entry hosts."""
    zones = {worker.availability_zone for worker in fleet.workers.values()}
    zones.update(host.availability_zone for host in fleet.hosts.values())
    return tuple(sorted(zones))


def pool_count(fleet: FleetState, pool: str) -> PoolCount:
    """Return the number of members and serving workers of a pool."""
    return fleet.pools.get(pool, _EMPTY_POOL)


def service_row(
    fleet: FleetState, client_account: str, service: str
) -> ServiceRow | None:
    """Return the table row of a service, or None if there is none."""
    return fleet.table.services.get(pool_name(client_account, service))


def account_row(fleet: FleetState, client_account: str) -> AccountRow | None:
    """Return the table row of a client account, or None if there is none."""
    return fleet.table.accounts.get(client_account)


def workers_in_phase(
    fleet: FleetState, *phases: WorkerPhase
) -> tuple[WorkerState, ...]:
    """Return the workers in any of the phases, sorted by ID; scans all workers."""
    found = [worker for worker in fleet.workers.values() if worker.phase in phases]
    found.sort(key=_worker_id)
    return tuple(found)


def workers_by_pool(fleet: FleetState) -> dict[str, list[WorkerState]]:
    """Return the workers of each pool, sorted by ID; scans all workers."""
    pools: dict[str, list[WorkerState]] = {}
    for worker in sorted(fleet.workers.values(), key=_worker_id):
        if worker.pool:
            pools.setdefault(worker.pool, []).append(worker)
    return pools


def jobs_on(fleet: FleetState, worker: str) -> tuple[str, ...]:
    """Return the sorted IDs of the jobs placed on a worker."""
    return fleet.jobs_on.get(worker, ())


def free_capacity(fleet: FleetState, worker: WorkerState) -> tuple[float, int]:
    """Return the cores and the memory in MB not used by jobs placed on a worker."""
    cores = worker.cores
    memory_mb = worker.memory_mb
    for job_id in jobs_on(fleet, worker.worker):
        job = fleet.jobs[job_id]
        cores -= job.cores
        memory_mb -= job.memory_mb
    return cores, memory_mb


def active_jobs(fleet: FleetState, client_account: str) -> int:
    """Return the number of waiting or running jobs of a client account."""
    return fleet.job_counts.get(client_account, 0)


def _worker_id(worker: WorkerState) -> str:
    """Return the ID of a worker, used as a sort key."""
    return worker.worker
