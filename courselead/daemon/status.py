"""Derives the status of pools, drains and zones from the core's state."""

from collections import Counter

from courselead.core.fleet.budgets import spare
from courselead.core.fleet.queries import (
    known_zones,
    pool_count,
    unsettled_hosts,
    workers_in_phase,
)
from courselead.core.fleet.state import FleetState, WorkerPhase
from courselead.core.reducer import CoreState
from courselead.core.requests.state import IN_FLIGHT, RequestsState
from courselead.integrations.http_api.host import DrainStatus, PoolStatus, ZoneStatus


def queued_total(state: RequestsState) -> int:
    """Return the number of requests that wait on this host."""
    return state.waiting


def pool_statuses(state: CoreState) -> tuple[PoolStatus, ...]:
    """Return the status of each pool in the table as seen by this host."""
    in_flight, queued = _requests_by_pool(state.requests)
    statuses = []
    for pool, row in sorted(state.fleet.table.services.items()):
        count = pool_count(state.fleet, pool)
        statuses.append(
            PoolStatus(
                client_account=row.client_account,
                service=row.service,
                wanted=row.workers,
                members=count.members,
                serving=count.serving,
                in_flight=in_flight[pool],
                queued=queued[pool],
                budget_left=spare(state.fleet, pool),
            )
        )
    return tuple(statuses)


def drain_statuses(fleet: FleetState) -> tuple[DrainStatus, ...]:
    """Return the planned stops in progress, with the hosts that they wait for."""
    statuses = []
    for worker in workers_in_phase(fleet, WorkerPhase.STOPPING, WorkerPhase.STOPPED):
        client_account, _, service = worker.pool.partition("/")
        is_stopping = worker.phase is WorkerPhase.STOPPING
        statuses.append(
            DrainStatus(
                worker=worker.worker,
                client_account=client_account,
                service=service,
                purpose=worker.purpose or "",
                phase=worker.phase,
                since=worker.since,
                unsettled=unsettled_hosts(fleet, worker.since) if is_stopping else (),
            )
        )
    return tuple(statuses)


def zone_statuses(state: CoreState) -> tuple[ZoneStatus, ...]:
    """Return the status of each availability zone, sorted by name."""
    fleet = state.fleet
    serving: Counter[str] = Counter()
    with_work: Counter[str] = Counter()
    busy = _workers_with_work(state)
    for name, worker in fleet.workers.items():
        serving[worker.availability_zone] += worker.phase is WorkerPhase.SERVING
        with_work[worker.availability_zone] += name in busy
    statuses = []
    for zone in known_zones(fleet):
        evacuation = fleet.evacuations.get(zone)
        statuses.append(
            ZoneStatus(
                availability_zone=zone,
                evacuated=evacuation is not None,
                operator=evacuation.operator if evacuation else "",
                at_ms=evacuation.at_ms if evacuation else 0,
                targets=serving[zone],
                targets_with_work=with_work[zone],
            )
        )
    return tuple(statuses)


def _workers_with_work(state: CoreState) -> set[str]:
    """Return the workers with jobs or with requests in flight from any host."""
    busy = {*state.fleet.jobs_on, *state.requests.in_flight_by_worker}
    for peer in state.requests.peers.values():
        busy.update(peer.in_flight)
    return busy


def _requests_by_pool(state: RequestsState) -> tuple[Counter[str], Counter[str]]:
    """Return the numbers of requests in flight and waiting, by pool."""
    in_flight: Counter[str] = Counter()
    queued: Counter[str] = Counter()
    for req in state.requests.values():
        counter = in_flight if req.phase in IN_FLIGHT else queued
        counter[req.pool] += 1
    return in_flight, queued
