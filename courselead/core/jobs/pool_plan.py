"""One placement pass over the waiting jobs of a pool."""

from dataclasses import dataclass, field, replace

from courselead.core.context import Context
from courselead.core.fleet.records import JobEnd
from courselead.core.fleet.state import JobPhase, JobState
from courselead.core.jobs import const, ends, eviction, sizes
from courselead.core.jobs.candidates import find_candidates
from courselead.core.jobs.index import CLASS_RANK, WaitKey
from courselead.core.jobs.placement import Candidate, Policy
from courselead.core.jobs.reserve import Reserve
from courselead.core.jobs.sizes import Need
from courselead.core.jobs.state import JobsState
from courselead.core.table import RequestClass

_URGENT = CLASS_RANK[RequestClass.URGENT]


@dataclass(frozen=True, slots=True)
class Choice:
    """A waiting job and the worker chosen for it."""

    key: WaitKey
    need: Need
    candidate: Candidate


@dataclass(frozen=True, slots=True)
class Reservation:
    """A worker kept for the first job without room; it has room in `in_ms`."""

    worker: str
    in_ms: int


@dataclass(slots=True)
class PoolPlan:
    """State of a placement pass.

    Attributes:
        queue: Waiting jobs of the pool in order.
        candidates: Workers of the pool with their free capacity, by worker.
        reserve: Capacity that other jobs leave free for urgent jobs.
        reserved: Number of urgent jobs for which it is reserved, by worker.
        largest: Most cores and memory that a single worker could give a job.
        at: Position of the next job in the queue.
        misses: Number of jobs in this pass for which there was no room.
        reservation: Reservation for the first such job that is not urgent.
        blocked: Workers on which capacity is being freed for urgent jobs.
        evictions: Urgent job for which a job is evicted, by evicted job.
        unplaceable: Ends of jobs that no worker of the pool can take.
    """

    state: JobsState
    ctx: Context
    pool: str
    policy: Policy
    queue: tuple[WaitKey, ...]
    candidates: dict[str, Candidate]
    reserve: Reserve
    largest: Need
    reserved: dict[str, int] = field(default_factory=dict)
    at: int = 0
    misses: int = 0
    reservation: Reservation | None = None
    blocked: set[str] = field(default_factory=set)
    evictions: dict[str, str] = field(default_factory=dict)
    unplaceable: list[JobEnd] = field(default_factory=list)

    @classmethod
    def from_state(
        cls, state: JobsState, ctx: Context, pool: str, policy: Policy
    ) -> "PoolPlan":
        """Return the plan of a pool at the start of a pass."""
        queue = state.index.waiting.get(pool, ())
        candidates = find_candidates(state, ctx, pool) if queue else {}
        plan = cls(
            state=state,
            ctx=ctx,
            pool=pool,
            policy=policy,
            queue=queue,
            candidates=candidates,
            reserve=Reserve.from_state(state, ctx, pool),
            largest=_largest(candidates),
        )
        plan.reserved = plan.reserve.spread_over(candidates)
        plan.blocked.update(entry.worker for entry in state.evictions.values())
        return plan

    def next_choice(self) -> Choice | None:
        """Return the next job that fits on a worker, None if there is none."""
        while self.at < len(self.queue) and self.misses < const.MAX_MISSES_PER_PASS:
            key = self.queue[self.at]
            self.at += 1
            job = self.ctx.fleet.jobs[key[3]]
            if (
                job.phase is not JobPhase.WAITING
                or key[3] in self.state.pending_placements
            ):
                continue
            need = self._limited_need(job)
            candidates = self._candidates_for(key, need, job)
            if not candidates:
                self._handle_miss(key, job, need)
                continue
            candidate = self.policy.choose(key[3], need, candidates)
            self._allocate(candidate, need)
            return Choice(key, need, candidate)
        return None

    def _limited_need(self, job: JobState) -> Need:
        """Return the need of a job, reduced to fit the largest worker if possible."""
        need = sizes.need_of(self.state.sizes, job.spec)
        if self._fits_largest(need):
            return need
        least = sizes.least_need(self.state.sizes, job.spec)
        return Need(
            cores=max(least.cores, min(need.cores, self.largest.cores)),
            memory_mb=max(least.memory_mb, min(need.memory_mb, self.largest.memory_mb)),
            run_ms=need.run_ms,
        )

    def _candidates_for(
        self, key: WaitKey, need: Need, job: JobState
    ) -> list[Candidate]:
        """Return the workers that can take a job now."""
        candidates = []
        for candidate in self.candidates.values():
            if candidate.worker in job.failed_on or not candidate.has_room_for(need):
                continue
            if candidate.worker in self.blocked and key[0] != _URGENT:
                continue
            if self._would_delay_reservation(candidate, need):
                continue
            reserved = self.reserved.get(candidate.worker, 0)
            if key[0] != _URGENT and not self.reserve.leaves_room_for(
                candidate, need, reserved
            ):
                continue
            candidates.append(candidate)
        return self._trial_or_healthy(candidates, job)

    def _trial_or_healthy(
        self, candidates: list[Candidate], job: JobState
    ) -> list[Candidate]:
        """Return the workers that may get a job, given which of them are suspects.

        The first idle suspect for which a trial is due is returned alone. Otherwise
        the healthy workers are returned, possibly none, if any worker of the plan is
        not a suspect. If all workers of the plan are suspects, the idle ones are
        returned, so that they stay in use with one job at a time.

        Trials with jobs that can be retried elsewhere are due more often, since the
        retry shows whether the worker or the job is faulty.
        """
        healthy = [candidate for candidate in candidates if not candidate.suspect]
        suspects = [
            candidate
            for candidate in candidates
            if candidate.suspect and not candidate.jobs
        ]
        for candidate in suspects:
            if self._is_trial_due(candidate, job):
                return [candidate]
        if healthy or not all(
            candidate.suspect for candidate in self.candidates.values()
        ):
            return healthy
        return suspects

    def _is_trial_due(self, candidate: Candidate, job: JobState) -> bool:
        """Return whether a job may be used as a trial on a suspect now.

        Urgent jobs never are. For the others, the time since the suspect last got a
        job, or became a suspect, must be at least `TRIAL_INTERVAL_MS`, or
        `NO_RETRY_TRIAL_INTERVAL_MS` if the job cannot be retried elsewhere.
        """
        if job.spec.request_class is RequestClass.URGENT:
            return False
        interval_ms = const.TRIAL_INTERVAL_MS
        if not _can_be_retried(job):
            interval_ms = const.NO_RETRY_TRIAL_INTERVAL_MS
        return (
            self.ctx.now_ms - self.state.last_trial_ms.get(candidate.worker, 0)
            >= interval_ms
        )

    def _would_delay_reservation(self, candidate: Candidate, need: Need) -> bool:
        """Return whether a job would delay the reserved job on a worker."""
        reservation = self.reservation
        if reservation is None or reservation.worker != candidate.worker:
            return False
        return need.run_ms > reservation.in_ms

    def _allocate(self, candidate: Candidate, need: Need) -> None:
        """Subtract a job's need from the free capacity of a worker."""
        self.candidates[candidate.worker] = replace(
            candidate,
            cores=candidate.cores - need.cores,
            memory_mb=candidate.memory_mb - need.memory_mb,
            jobs=candidate.jobs + 1,
        )

    def _handle_miss(self, key: WaitKey, job: JobState, need: Need) -> None:
        """Refuse, evict or reserve for a job that fits on no worker now."""
        self.misses += 1
        is_behind_reservation = key[0] != _URGENT and self.reservation is not None
        if is_behind_reservation and not job.failed_on and self._fits_largest(need):
            return
        capable = [
            candidate
            for candidate in self.candidates.values()
            if _could_hold(candidate, need, job)
        ]
        if not capable:
            self._refuse_if_unplaceable(job)
            return
        if key[0] == _URGENT:
            self._evict_for(job, need, capable)
            return
        if self.reservation is None:
            self.reservation = self._reserve(need, capable)

    def _fits_largest(self, need: Need) -> bool:
        """Return whether a job fits the maximum of the pool's workers."""
        largest = self.largest
        return need.cores <= largest.cores and need.memory_mb <= largest.memory_mb

    def _evict_for(self, job: JobState, need: Need, capable: list[Candidate]) -> None:
        """Evict jobs for an urgent job unless that is already in progress."""
        job_id = job.spec.job_id
        waiting_for_room = [entry.for_job for entry in self.state.evictions.values()]
        if job_id in waiting_for_room:
            return
        free = [
            candidate for candidate in capable if candidate.worker not in self.blocked
        ]
        victims = eviction.choose_victims(self.state, self.ctx, need, free)
        if victims is None:
            return
        self.blocked.add(victims.worker)
        for victim in victims.job_ids:
            self.evictions[victim] = job_id

    def _reserve(self, need: Need, capable: list[Candidate]) -> Reservation:
        """Return a reservation of the worker that is expected to fit a job first."""
        best = None
        for candidate in capable:
            in_ms = eviction.estimate_free_in_ms(self.state, self.ctx, candidate, need)
            if best is None or (in_ms, candidate.worker) < (best.in_ms, best.worker):
                best = Reservation(candidate.worker, in_ms)
        return best

    def _refuse_if_unplaceable(self, job: JobState) -> None:
        """Refuse a job that no worker of the pool, serving or not, can ever take."""
        members = [
            worker
            for worker in self.ctx.fleet.workers.values()
            if worker.pool == self.pool
        ]
        if not members:
            return
        least = sizes.least_need(self.state.sizes, job.spec)
        for worker in members:
            if worker.worker in job.failed_on:
                continue
            if sizes.fits(least, worker):
                return
        error = "no worker of the pool can take it"
        if job.failed_on:
            error = f"{error}; it failed on {len(job.failed_on)}: {job.error}"
        self.unplaceable.append(ends.refused_end(job, error))


def _can_be_retried(job: JobState) -> bool:
    """Return whether a job can be retried elsewhere if its next attempt fails."""
    return job.spec.idempotent and len(job.failed_on) + 1 < job.spec.max_attempts


def _could_hold(candidate: Candidate, need: Need, job: JobState) -> bool:
    """Return whether an idle worker could take a job that did not fail on it."""
    if candidate.worker in job.failed_on:
        return False
    return (
        need.cores <= candidate.total_cores
        and need.memory_mb <= candidate.total_memory_mb
    )


def _largest(candidates: dict[str, Candidate]) -> Need:
    """Return the most cores and memory that a worker offers, each on its own."""
    cores = max(
        (candidate.total_cores for candidate in candidates.values()), default=0.0
    )
    memory_mb = max(
        (candidate.total_memory_mb for candidate in candidates.values()), default=0
    )
    return Need(cores, memory_mb, 0)
