"""Capacity and waiting finite work of pools, from which expected waits are computed."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace

from courselead.core.scheduler.admission import PoolLoad, expected_wait
from courselead.core.scheduler.arrivals import JOIN_MS, lead_time_ms
from courselead.core.scheduler.demand import long_running_use
from courselead.core.scheduler.models import StepSpec, Worker, WorkerPhase
from courselead.core.scheduler.records import PoolWait
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.state import Minion

CURRENT_WORK_MS = 300
"""Age up to which a job's remaining work shows that the job is on the ready list.

Each tick computes it for the jobs on the ready list. Three ticks allow for one that is
late.
"""


def expected_waits(schedule: Schedule) -> dict[str, PoolWait]:
    """Return the expected waits of all overloaded and evacuated pools.

    Workers that can be fetched are looked up only if a pool is overloaded without them.
    """
    waits: dict[str, PoolWait] = {}
    for pool, load in _loads(schedule).items():
        if expected_wait(load) is None:
            continue
        arriving = (*load.arriving, *_arriving(schedule, pool))
        wait = expected_wait(replace(load, arriving=arriving))
        if wait is not None:
            waits[pool] = wait
    return waits


def _loads(schedule: Schedule) -> dict[str, PoolLoad]:
    """Return the loads of all pools except spare ones, without workers to come."""
    weights = {}
    for name, account in schedule.config.accounts.items():
        if account.weight > 0:
            weights[name] = account.weight
    capacity: dict[str, int] = defaultdict(int)
    silent: dict[str, int] = defaultdict(int)
    zones: dict[str, set[str]] = defaultdict(set)
    for minion in schedule.minions.values():
        if not minion.listed or minion.info.draining or minion.cordoned:
            continue
        pool, zone = minion.info.pool, minion.info.zone
        zones[pool].add(zone)
        if zone in schedule.evacuated_zones:
            continue
        by_pool = silent if minion.failures else capacity
        by_pool[pool] += _finite_capacity_milli(minion)
    backlogs = _backlogs(schedule)
    lead_ms = lead_time_ms(schedule)
    loads = {}
    for pool, settings in schedule.config.pools.items():
        if settings.spare:
            continue
        evacuated_zones: tuple[str, ...] = ()
        if zones[pool] <= schedule.evacuated_zones.keys():
            evacuated_zones = tuple(sorted(zones[pool]))
        # Silent minions may answer again at any time.
        returning = ((lead_ms, silent[pool]),) if silent[pool] else ()
        loads[pool] = PoolLoad(
            capacity[pool],
            returning,
            backlogs.get(pool, {}),
            weights,
            evacuated_zones,
        )
    return loads


def _finite_capacity_milli(minion: Minion) -> int:
    """Return the CPU of a minion that long-running tasks do not reserve."""
    return max(0, minion.info.capacity.cpu_milli - long_running_use(minion))


def _backlogs(schedule: Schedule) -> dict[str, dict[tuple[str, int], int]]:
    """Return the work of waiting jobs by pool, then account and priority.

    Each tick computes the remaining work of the jobs on the ready list, so a job waits
    if its remaining work is current. The ready list itself is not read again. Only
    steps that may start now count, as other work may use the pool between two steps.

    Left out is work that other work may overtake: that of accounts at their cap, and of
    steps that not every minion may run. So are pools with a single priority, in which
    no work waits for another priority.
    """
    backlogs: dict[str, dict[tuple[str, int], int]] = {}
    pools = _pools_with_priorities(schedule)
    done = _done_by_runs(schedule) if pools else {}
    for (job_id, occurrence), remaining in schedule.remaining_work.items():
        if schedule.now_ms - remaining.at_ms > CURRENT_WORK_MS:
            continue
        job = schedule.jobs.get(job_id)
        if job is None or job.settings is None or job.pool not in pools:
            continue
        if job.state.final or job.advised or job.account in schedule.pools_at_cap:
            continue
        work = -done.get(job_id, 0)
        for step in job.occurrences.get(occurrence, ()):
            if step.ready and step.open_units and _runs_anywhere(step.spec):
                run_ms = schedule.expected_ms(job.queue, step.spec)
                work += int(step.open_units * step.spec.need.cpu_milli * run_ms)
        backlog = backlogs.setdefault(job.pool, {})
        key = (job.account, job.settings.priority)
        backlog[key] = backlog.get(key, 0) + max(0, work)
    return backlogs


def _pools_with_priorities(schedule: Schedule) -> set[str]:
    """Return the pools whose queues have several priorities."""
    priorities: dict[str, set[int]] = defaultdict(set)
    for queue in schedule.config.queues.values():
        priorities[queue.pool].add(queue.priority)
    return {pool for pool, found in priorities.items() if len(found) > 1}


def _runs_anywhere(spec: StepSpec) -> bool:
    """Return whether a step is finite work that any minion may run."""
    if spec.long_running or spec.fills or spec.gang:
        return False
    return not spec.required_label and not spec.max_per_minion


def _done_by_runs(schedule: Schedule) -> dict[str, int]:
    """Return how much work the current runs of each job have done."""
    done: dict[str, int] = defaultdict(int)
    for minion in schedule.minions.values():
        for run in minion.runs.values():
            spec = run.unit.spec
            expected_ms = schedule.expected_ms(run.unit.job.queue, spec)
            age_ms = min(schedule.now_ms - run.started_ms, expected_ms)
            done[run.unit.job.job_id] += int(spec.need.cpu_milli * age_ms)
    return done


def _arriving(schedule: Schedule, pool: str) -> tuple[tuple[int, int], ...]:
    """Return when workers that move to a pool, or could, can be used, with their CPU.

    Idle workers of other pools count like spare ones.
    """
    lead_ms = lead_time_ms(schedule)
    arriving = []
    kinds = set()
    for worker in schedule.workers.values():
        if worker.pool == pool:
            kinds.add(_kind_of(worker))
    for worker_id, worker in schedule.workers.items():
        move = schedule.moves.get(worker_id)
        milli = worker.capacity.cpu_milli
        if worker.zone in schedule.evacuated_zones:
            continue
        if move is not None:
            if move.pool == pool:
                passed_ms = schedule.now_ms - (move.accepted_ms or move.sent_ms)
                arriving.append((max(0, lead_ms - passed_ms), milli))
        elif worker_id in schedule.joining and worker.pool == pool:
            passed_ms = schedule.now_ms - schedule.joining[worker_id]
            arriving.append((max(0, JOIN_MS - passed_ms), milli))
        elif worker.pool == pool or (kinds and _kind_of(worker) not in kinds):
            continue
        elif _can_be_fetched(schedule, worker):
            arriving.append((lead_ms, milli))
    return tuple(arriving)


def _kind_of(worker: Worker) -> str:
    return worker.labels[0] if worker.labels else ""


def _can_be_fetched(schedule: Schedule, worker: Worker) -> bool:
    """Return whether a worker of another pool is spare or idle."""
    if worker.phase is not WorkerPhase.UP:
        return False
    pool = schedule.config.pools.get(worker.pool)
    if pool is not None and pool.spare:
        return True
    minion = schedule.minions.get(worker.minion_id)
    return minion is not None and not minion.runs and not minion.failures
