"""Capacity reserved for urgent jobs, so that few batch jobs are evicted for them.

The first urgent job in a pool full of batch jobs evicts one. From then on the
pool reserves capacity for the recent peak of concurrent urgent jobs, which
decays while no more of them arrive. This trades idle capacity for fewer moves;
the reserved share of a pool is limited.
"""

from dataclasses import dataclass

from courselead.core.context import Context
from courselead.core.fleet import queries
from courselead.core.fleet.records import JobSpec
from courselead.core.fleet.state import JobPhase
from courselead.core.jobs import const, sizes
from courselead.core.jobs.placement import Candidate
from courselead.core.jobs.sizes import Need
from courselead.core.jobs.state import JobsState, UrgentDemand
from courselead.core.table import RequestClass, pool_name

_ROUNDING = 0.5
# Limits for the factor by which an account's move cost extends the half-life.
_MIN_MOVE_COST = 0.25
_MAX_MOVE_COST = 6.0
_RAISE_GAIN = 0.5
_LOWER_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class Reserve:
    """Capacity of a pool that is reserved for urgent jobs.

    Attributes:
        count: Number of urgent jobs for which it is reserved.
        need: Need of one of these jobs.
    """

    count: int
    need: Need

    @classmethod
    def from_state(cls, state: JobsState, ctx: Context, pool: str) -> "Reserve":
        """Return the current reserve of a pool."""
        demand = state.urgent_demand.get(pool)
        if demand is None:
            return _EMPTY
        wanted = int(
            decayed_count(demand, ctx.now_ms, _move_cost(ctx, pool)) + _ROUNDING
        )
        if not wanted:
            return _EMPTY
        wanted -= count_urgent_running(ctx, pool)
        need = Need(demand.cores, demand.memory_mb, 0)
        need = _limit_to_largest(ctx, pool, need)
        return cls(min(wanted, _max_jobs(ctx, pool, need)), need)

    def spread_over(self, candidates: dict[str, Candidate]) -> dict[str, int]:
        """Return the number of urgent jobs to reserve for on each worker.

        The workers with the most free capacity are chosen, even if it does not
        suffice yet: other jobs are kept off them until it does.
        """
        free_on = {
            candidate.worker: [candidate.cores, candidate.memory_mb]
            for candidate in candidates.values()
            if not candidate.suspect
        }
        reserved: dict[str, int] = {}
        for _ in range(self.count if free_on else 0):
            worker = max(free_on, key=lambda name: (*free_on[name], name))
            free_on[worker][0] -= self.need.cores
            free_on[worker][1] -= self.need.memory_mb
            reserved[worker] = reserved.get(worker, 0) + 1
        return reserved

    def leaves_room_for(self, candidate: Candidate, need: Need, reserved: int) -> bool:
        """Return whether a job that is not urgent fits beside the reserve."""
        cores = need.cores + reserved * self.need.cores
        memory_mb = need.memory_mb + reserved * self.need.memory_mb
        return cores <= candidate.cores and memory_mb <= candidate.memory_mb


_NO_NEED = Need(0.0, 0, 0)
_EMPTY = Reserve(0, _NO_NEED)


def decayed_count(demand: UrgentDemand, now_ms: int, move_cost: float) -> float:
    """Return the peak of concurrent urgent jobs after its decay until now.

    A higher move cost of the account slows down the decay.
    """
    weight = max(_MIN_MOVE_COST, min(_MAX_MOVE_COST, move_cost))
    age_ms = max(0, now_ms - demand.at_ms)
    return demand.count * 0.5 ** (age_ms / (const.URGENT_HALF_LIFE_MS * weight))


def updated_demand(
    state: JobsState, ctx: Context, spec: JobSpec
) -> UrgentDemand | None:
    """Return a pool's demand including a new job, None if it is not urgent."""
    if spec.request_class is not RequestClass.URGENT:
        return None
    pool = pool_name(spec.client_account, spec.service)
    need = sizes.need_of(state.sizes, spec)
    previous = state.urgent_demand.get(pool)
    count = (
        count_urgent_running(ctx, pool) + _count_urgent_waiting(state, ctx, pool) + 1
    )
    if previous is None:
        return UrgentDemand(count, need.cores, need.memory_mb, ctx.now_ms)
    remembered = decayed_count(previous, ctx.now_ms, _move_cost(ctx, pool))
    return UrgentDemand(
        count=max(float(count), remembered),
        cores=_blend(previous.cores, need.cores),
        memory_mb=int(_blend(previous.memory_mb, need.memory_mb)),
        at_ms=ctx.now_ms,
    )


def count_urgent_running(ctx: Context, pool: str) -> int:
    """Return the number of urgent jobs placed in a pool."""
    count = 0
    for name in queries.serving_workers(ctx.fleet, pool):
        for job_id in queries.jobs_on(ctx.fleet, name):
            spec = ctx.fleet.jobs[job_id].spec
            count += spec.request_class is RequestClass.URGENT
    return count


def _count_urgent_waiting(state: JobsState, ctx: Context, pool: str) -> int:
    """Return the number of queued urgent jobs that are still waiting.

    The queue does not contain the jobs of the newest record yet.
    """
    count = 0
    for key in state.index.waiting.get(pool, ()):
        if key[0]:
            break
        job = ctx.fleet.jobs.get(key[3])
        count += job is not None and job.phase is JobPhase.WAITING
    return count


def _move_cost(ctx: Context, pool: str) -> float:
    """Return the move cost of a pool's account."""
    row = ctx.fleet.table.services.get(pool)
    account = queries.account_row(ctx.fleet, row.client_account) if row else None
    return account.move_cost if account else 1.0


def _max_jobs(ctx: Context, pool: str, need: Need) -> int:
    """Return the maximum number of urgent jobs to reserve for in a pool."""
    cores = 0.0
    for name in queries.usable_workers(ctx.fleet, pool):
        cores += sizes.job_capacity(ctx.fleet.workers[name])[0]
    if not need.cores:
        return 0
    return int(cores * const.MAX_RESERVE_SHARE / need.cores)


def _limit_to_largest(ctx: Context, pool: str, need: Need) -> Need:
    """Return a need reduced to what the pool's largest worker can hold."""
    cores = 0.0
    memory_mb = 0
    for name in queries.usable_workers(ctx.fleet, pool):
        total_cores, total_memory_mb = sizes.job_capacity(ctx.fleet.workers[name])
        cores = max(cores, total_cores)
        memory_mb = max(memory_mb, total_memory_mb)
    return Need(min(need.cores, cores), min(need.memory_mb, memory_mb), 0)


def _blend(old: float, new: float) -> float:
    """Return a moving average that rises quickly and falls slowly."""
    gain = _RAISE_GAIN if new > old else _LOWER_GAIN
    return old + gain * (new - old)
