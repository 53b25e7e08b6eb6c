"""Room kept free for urgent jobs, so that few batch jobs are moved for them.

The first urgent job in a pool full of batch work displaces one. From then on
as much room is kept free as the most urgent jobs at once lately took, and
less and less of it as time goes by without any. The trade is between moves
and idle room, and the part of a pool that may be kept is bounded.
"""

from dataclasses import dataclass

from courselead.core.context import Context
from courselead.core.fleet import queries
from courselead.core.fleet.records import JobSpec
from courselead.core.fleet.state import JobPhase
from courselead.core.jobs import const, sizes
from courselead.core.jobs.placement import Room
from courselead.core.jobs.sizes import Need
from courselead.core.jobs.state import JobsState, UrgentDemand
from courselead.core.table import RequestClass, pool_name

_ROUND = 0.5
_SIZE_GAIN = 0.2


@dataclass(frozen=True, slots=True)
class Reserve:
    """What lesser work leaves free.

    Attributes:
        count: Urgent jobs for which room is kept.
        need: Of one of them.
    """

    count: int
    need: Need

    @classmethod
    def from_state(cls, state: JobsState, ctx: Context, pool: str) -> "Reserve":
        """Return the reserve of a pool now."""
        demand = state.urgent.get(pool)
        if demand is None:
            return _NONE
        kept = int(faded(demand, ctx.now_ms) + _ROUND)
        if not kept:
            return _NONE
        kept -= urgent_running(ctx, pool)
        need = Need(demand.cores, demand.memory_mb, 0)
        need = _capped(ctx, pool, need)
        return cls(min(kept, _most(ctx, pool, need)), need)

    def leaves(
        self, rooms: list[Room], all_rooms: dict[str, Room], need: Need
    ) -> list[Room]:
        """Return those of the rooms whose use by a job leaves enough free."""
        if self.count <= 0 or not rooms:
            return rooms
        slots = {room.worker: self._slots(room, _NOTHING) for room in rooms}
        total = sum(slots.values())
        for room in all_rooms.values():
            if room.worker not in slots:
                total += self._slots(room, _NOTHING)
        kept = []
        for room in rooms:
            lost = slots[room.worker] - self._slots(room, need)
            if not lost or total - lost >= self.count:
                kept.append(room)
        return kept

    def _slots(self, room: Room, taken: Need) -> int:
        """Return how many urgent jobs have room beside what is taken."""
        if room.suspect:
            return 0
        cores = room.cores - taken.cores
        memory_mb = room.memory_mb - taken.memory_mb
        if cores < self.need.cores or memory_mb < self.need.memory_mb:
            return 0
        by_cores = cores / self.need.cores if self.need.cores else self.count
        by_memory = memory_mb / self.need.memory_mb if self.need.memory_mb else by_cores
        return int(min(by_cores, by_memory))


_NOTHING = Need(0.0, 0, 0)
_NONE = Reserve(0, _NOTHING)


def faded(demand: UrgentDemand, now_ms: int) -> float:
    """Return how many urgent jobs at once are still remembered."""
    age_ms = max(0, now_ms - demand.at_ms)
    return demand.count * 0.5 ** (age_ms / const.URGENT_HALF_LIFE_MS)


def note(state: JobsState, ctx: Context, spec: JobSpec) -> UrgentDemand | None:
    """Return the demand of a pool after an urgent job came, None for others."""
    if spec.request_class is not RequestClass.URGENT:
        return None
    pool = pool_name(spec.client_account, spec.service)
    need = sizes.need_of(state.sizes, spec)
    known = state.urgent.get(pool)
    count = urgent_running(ctx, pool) + _urgent_waiting(state, ctx, pool) + 1
    if known is None:
        return UrgentDemand(count, need.cores, need.memory_mb, ctx.now_ms)
    remembered = faded(known, ctx.now_ms)
    return UrgentDemand(
        count=max(float(count), remembered),
        cores=_blend(known.cores, need.cores),
        memory_mb=int(_blend(known.memory_mb, need.memory_mb)),
        at_ms=ctx.now_ms,
    )


def urgent_running(ctx: Context, pool: str) -> int:
    """Return how many urgent jobs hold room in a pool."""
    count = 0
    for name in queries.serving_workers(ctx.fleet, pool):
        for job_id in queries.jobs_on(ctx.fleet, name):
            spec = ctx.fleet.jobs[job_id].spec
            count += spec.request_class is RequestClass.URGENT
    return count


def _urgent_waiting(state: JobsState, ctx: Context, pool: str) -> int:
    """Return how many urgent jobs waited before the newest record."""
    count = 0
    for key in state.index.waiting.get(pool, ()):
        if key[0]:
            break
        job = ctx.fleet.jobs.get(key[3])
        count += job is not None and job.phase is JobPhase.WAITING
    return count


def _most(ctx: Context, pool: str, need: Need) -> int:
    """Return for how many urgent jobs room may be kept in a pool."""
    cores = 0.0
    for name in queries.serving_workers(ctx.fleet, pool):
        cores += sizes.room_for_jobs(ctx.fleet.workers[name])[0]
    if not need.cores:
        return 0
    return int(cores * const.RESERVE_PART / need.cores)


def _capped(ctx: Context, pool: str, need: Need) -> Need:
    """Return a size that the pool's largest worker can hold."""
    cores = 0.0
    memory_mb = 0
    for name in queries.serving_workers(ctx.fleet, pool):
        all_cores, all_memory_mb = sizes.room_for_jobs(ctx.fleet.workers[name])
        cores = max(cores, all_cores)
        memory_mb = max(memory_mb, all_memory_mb)
    return Need(min(need.cores, cores), min(need.memory_mb, memory_mb), 0)


def _blend(old: float, new: float) -> float:
    """Return the size to keep room for after one more job."""
    return old + _SIZE_GAIN * (new - old)
