"""Derives the alarms for operators from the core's state.

docs/OPERATIONS.md describes what to do about each alarm.
"""

from courselead.core.fleet.budgets import min_serving_workers
from courselead.core.fleet.queries import pool_count, workers_in_phase
from courselead.core.fleet.state import HostState, HostStatus, WorkerPhase, WorkerState
from courselead.core.reducer import CoreState
from courselead.core.table import ServiceRow
from courselead.integrations.http_api.host import Alarm

ALARM_LOG_DOWN = "log-down"
ALARM_NOT_MEMBER = "not-a-member"
ALARM_HOST_LOST = "entry-host-lost"
ALARM_DIVERGED = "state-diverged"
ALARM_BELOW_BUDGET = "pool-below-budget"
ALARM_WORKER_DOWN = "worker-down"
ALARM_QUARANTINED = "worker-quarantined"


def find_alarms(state: CoreState, now_ms: int) -> tuple[Alarm, ...]:
    """Return all current alarms.

    Args:
        state: State of the core.
        now_ms: Wall time in milliseconds.
    """
    alarms: list[Alarm] = []
    if not state.log_up:
        detail = "the log cannot be reached: changes wait, serving goes on"
        alarms.append(Alarm(ALARM_LOG_DOWN, "", detail, now_ms))
    if state.log_up and not state.member:
        detail = "this host is no member yet or was written off: it joins by itself"
        alarms.append(Alarm(ALARM_NOT_MEMBER, "", detail, now_ms))
    for host in state.fleet.hosts.values():
        alarms.extend(_host_alarms(host))
    for pool, row in state.fleet.table.services.items():
        serving = pool_count(state.fleet, pool).serving
        alarms.extend(_pool_alarms(row, serving, now_ms))
    phases = (WorkerPhase.DOWN, WorkerPhase.QUARANTINED)
    for worker in workers_in_phase(state.fleet, *phases):
        alarms.append(_worker_alarm(worker, now_ms))
    return tuple(alarms)


def _host_alarms(host: HostState) -> list[Alarm]:
    """Return the alarms of one entry host."""
    alarms = []
    if host.status is HostStatus.LOST:
        detail = f"{host.entry_host} is lost: replace it; it rejoins when it returns"
        alarms.append(Alarm(ALARM_HOST_LOST, "", detail, host.last_beat_ms))
    if host.diverged_at >= 0:
        detail = (
            f"{host.entry_host} folded the log to another state by offset "
            f"{host.diverged_at}: restart it, and report the versions of all hosts"
        )
        alarms.append(Alarm(ALARM_DIVERGED, "", detail, host.last_beat_ms))
    return alarms


def _pool_alarms(row: ServiceRow, serving: int, now_ms: int) -> list[Alarm]:
    """Return the alarm of a pool with fewer serving workers than its budget allows."""
    required = min_serving_workers(row)
    if serving >= required:
        return []
    detail = (
        f"{row.service} serves on {serving} workers, {required} are the least its "
        "budget allows: no planned stop is made until lost workers are back"
    )
    return [Alarm(ALARM_BELOW_BUDGET, row.client_account, detail, now_ms)]


def _worker_alarm(worker: WorkerState, now_ms: int) -> Alarm:
    """Return the alarm of a worker that is down or quarantined."""
    name = ALARM_WORKER_DOWN
    if worker.phase is WorkerPhase.QUARANTINED:
        name = ALARM_QUARANTINED
    account = worker.pool.partition("/")[0]
    detail = f"{worker.worker}: {worker.reason}; repair or replace it"
    return Alarm(name, account, detail, now_ms)
