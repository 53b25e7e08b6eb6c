"""Expected waits, rejections and Retry-After, and a replay of a peak with them."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from itertools import count

import pytest
from msgspec import structs

from courselead.core.scheduler import admission, events as ev, pool_loads
from courselead.core.scheduler.admission import (
    PoolLoad,
    Rejection,
    RejectReason,
    expected_wait,
    retry_after_s,
)
from courselead.core.scheduler.models import (
    ClientAccount,
    FleetConfig,
    JobSpec,
    JobState,
    Pool,
    Queue,
    Resources,
    Worker,
    WorkerPhase,
)
from courselead.core.scheduler.records import JobAccepted, PoolWait
from tests.core.scheduler.world import POOL, QUEUE, World, config, job, step

URGENT, BULK = "urgent", "bulk"
HOT = "a0"
RUN_MS = 500
STRETCH, SLO_MS = 1.6, 600
OBJECTIVE_MS = int(STRETCH * RUN_MS) + SLO_MS

MINIONS, SILENT_MINIONS, CORES = 6, 2, 4
ACCOUNTS = 8
MEAN_LOAD = 0.35
"""Mean load of the pool, which leaves it less than three times its mean."""

PEAK_FACTOR, HOT_FACTOR, URGENT_FACTOR = 5, 6.6, 2.3
PEAK_MS = (4_000, 16_000)
SILENT_MS = (6_000, 12_000)
SUBMIT_UNTIL_MS, END_MS = 18_000, 23_000
STEP_MS = 20
PUBLISH_MS = 300


def fleet() -> FleetConfig:
    queues = {}
    for priority, name in enumerate((URGENT, BULK)):
        queues[name] = Queue(name, POOL, priority, 3, STRETCH, SLO_MS)
    # The world looks up the attempts of its own queue.
    queues[QUEUE] = Queue(QUEUE, POOL, max_attempts=3)
    accounts = {}
    for number in range(ACCOUNTS):
        accounts[f"a{number}"] = ClientAccount(f"a{number}", weight=10)
    return FleetConfig(1, queues, {POOL: Pool(POOL)}, accounts)


def submit(world: World, queue: str, spec: JobSpec, job_id: str, account: str) -> None:
    world.lengths[job_id] = RUN_MS
    world.book.apply(JobAccepted(job_id, queue, spec, account))
    world._tell(ev.JobArrived(job_id))


@dataclass
class ReplayedJob:
    """A job of the replay; `took_ms` is None if it had not ended at the end."""

    account: str
    at_ms: int
    is_rejected: bool = False
    took_ms: int | None = None

    def is_done_within(self, limit_ms: int) -> bool:
        return self.took_ms is not None and self.took_ms <= limit_ms


class Peak:
    """Replays a peak of five times a pool's mean.

    One account submits 6.6 times its usual work, the urgent queue grows 2.3 times as
    much as the other one, and in the middle of the peak a third of the minions does not
    answer. The same jobs arrive in every replay of a seed.
    """

    def __init__(self, rejects: bool, seed: int = 1) -> None:
        self.rejects = rejects
        self.random = random.Random(seed)
        self.world = World(minions=MINIONS, cfg=fleet())
        self.world.claim()
        self.world.run(500)
        self.jobs: dict[str, ReplayedJob] = {}
        self.spec = job(step(2, estimate_ms=RUN_MS))
        self._ids = (f"{number:016x}" for number in count())

    def run(self) -> dict[str, ReplayedJob]:
        """Return all submitted jobs by id."""
        core_s = 2 * RUN_MS / 1_000
        usual = MINIONS * CORES * MEAN_LOAD / core_s / ACCOUNTS
        others = (PEAK_FACTOR * ACCOUNTS - HOT_FACTOR) / (ACCOUNTS - 1)
        next_ms = dict.fromkeys(self.world.config.accounts, 0.0)
        waits: dict[str, PoolWait] = {}
        for now_ms in range(0, END_MS, STEP_MS):
            self._cut_minions(now_ms)
            if now_ms % PUBLISH_MS == 0:
                waits = pool_loads.expected_waits(self.world.owner.schedule)
            for account in next_ms:
                while next_ms[account] <= now_ms < SUBMIT_UNTIL_MS:
                    rate = usual
                    if PEAK_MS[0] <= now_ms < PEAK_MS[1]:
                        rate *= HOT_FACTOR if account == HOT else others
                    next_ms[account] += self.random.expovariate(rate / 1_000)
                    self._submit(account, now_ms, waits.get(POOL))
            self.world.run(STEP_MS)
            self._record_done(now_ms + STEP_MS)
        return self.jobs

    def _cut_minions(self, now_ms: int) -> None:
        for minion in list(self.world.minions.values())[:SILENT_MINIONS]:
            minion.cut = SILENT_MS[0] <= now_ms < SILENT_MS[1]

    def _submit(self, account: str, now_ms: int, wait: PoolWait | None) -> None:
        job_id = next(self._ids)
        in_peak = PEAK_MS[0] <= now_ms < PEAK_MS[1]
        urgent = URGENT_FACTOR if in_peak else 1.0
        queue = self.random.choices((URGENT, BULK), (urgent, 1.0))[0]
        settings = self.world.config.queues[queue]
        rejected = admission.rejection(self.spec, settings, account, wait)
        item = self.jobs[job_id] = ReplayedJob(account, now_ms)
        if rejected is not None and self.rejects:
            item.is_rejected = True
            return
        submit(self.world, queue, self.spec, job_id, account)

    def _record_done(self, now_ms: int) -> None:
        for job_id, item in self.jobs.items():
            if item.took_ms is not None or item.is_rejected:
                continue
            if self.world.state(job_id) is JobState.COMPLETED:
                item.took_ms = now_ms - item.at_ms


SEEDS = range(1, 5)
"""Two replays differ by chance in a few starts, so the figures are of several seeds."""

Replays = dict[tuple[int, str], ReplayedJob]


@pytest.fixture(scope="module")
def accepting() -> Replays:
    return replays(rejects=False)


@pytest.fixture(scope="module")
def rejecting() -> Replays:
    return replays(rejects=True)


def replays(rejects: bool) -> Replays:
    found = {}
    for seed in SEEDS:
        for job_id, item in Peak(rejects, seed).run().items():
            found[seed, job_id] = item
    return found


def in_time(jobs: list[ReplayedJob]) -> int:
    return sum(item.is_done_within(OBJECTIVE_MS) for item in jobs)


def test_accepted_jobs_of_a_peak_end_in_time_more_often(accepting, rejecting):
    # Guards against accepting work that has no value when it ends: nearly every job of
    # a peak was accepted, and a third of them ended late. In replays of twelve seeds,
    # 2,071 of 6,329 accepted jobs ended in time without rejections, and 2,056 of 5,363
    # with them.
    accepted = [item for item in rejecting.values() if not item.is_rejected]
    before = in_time(list(accepting.values())) / len(accepting)
    assert in_time(accepted) / len(accepted) > 1.1 * before


def test_no_job_is_rejected_that_would_have_kept_some_value(accepting, rejecting):
    # Guards against rejecting by a wrong estimate.
    rejected = [key for key, item in rejecting.items() if item.is_rejected]
    assert rejected
    for key in rejected:
        assert not accepting[key].is_done_within(3 * OBJECTIVE_MS), key


def test_other_accounts_get_what_they_got_without_rejections(accepting, rejecting):
    # Guards against rejecting jobs of all accounts for the excess of one. Three percent
    # allow for chance: single replays of twelve seeds differ by -10 to 4 percent.
    def others(jobs: Replays) -> list[ReplayedJob]:
        return [item for item in jobs.values() if item.account != HOT]

    assert in_time(others(rejecting)) >= 0.97 * in_time(others(accepting))


# The expected wait

WEIGHTS = {"a": 10.0, "b": 10.0}


def load_of(backlog: dict[tuple[str, int], int], **fields) -> PoolLoad:
    fields.setdefault("weights", WEIGHTS)
    return PoolLoad(fields.pop("capacity_milli", 4_000), backlog=backlog, **fields)


def test_work_waits_for_that_of_a_higher_priority():
    wait = expected_wait(load_of({("a", 0): 40_000_000, ("a", 1): 1}))
    assert wait == PoolWait(10_000, {"a": {1: 10_000}})
    assert admission.wait_of(wait, "a", 0) == 0
    assert admission.wait_of(wait, "a", 1) == 10_000
    assert admission.wait_of(wait, "a", 2) == 10_000
    assert admission.wait_of(wait, "b", 1) == 0


def test_work_of_the_same_priority_does_not_count():
    # Guards against rejecting jobs that would end in time: work that misses its
    # objective gives way to newer work of its priority.
    assert expected_wait(load_of({("a", 0): 10**9, ("b", 0): 10**9})) is None


def test_an_account_waits_for_the_excess_of_another_only_up_to_its_share():
    backlog = {("a", 0): 400_000_000, ("a", 1): 1, ("b", 1): 8_000_000}
    wait = expected_wait(load_of(backlog))
    assert wait.accounts["a"] == {1: 100_000}
    assert wait.accounts["b"] == {1: 2_000}
    doubled = expected_wait(load_of(backlog, weights={"a": 10.0, "b": 20.0}))
    assert doubled.accounts == {"a": {1: 100_000}, "b": {1: 1_000}}


def test_workers_on_their_way_shorten_the_wait_from_when_they_arrive():
    backlog = {("a", 0): 40_000_000, ("a", 1): 1}
    wait = expected_wait(load_of(backlog, arriving=((2_000, 4_000),)))
    assert wait.accounts["a"][1] == 6_000
    wait = expected_wait(load_of(backlog, capacity_milli=0, arriving=((2_000, 4_000),)))
    assert wait.accounts["a"][1] == 12_000


def test_accounts_without_a_weight_have_no_wait_and_delay_nothing():
    backlog = {("", 0): 10**9, ("", 1): 10**9, ("a", 1): 10**9}
    assert expected_wait(load_of(backlog)) is None


def test_a_pool_whose_zones_are_all_evacuated_names_them():
    zones = ("z0", "z1")
    load = load_of({}, capacity_milli=0, evacuated_zones=zones)
    assert expected_wait(load) == PoolWait(zones=zones)
    arriving = replace(load, arriving=((2_200, 4_000),))
    assert expected_wait(arriving) is None


def test_a_pool_without_minions_is_not_known_to_be_full():
    # Guards against rejecting for a pool whose minions may be back in a moment.
    assert expected_wait(load_of({("a", 0): 10**9}, capacity_milli=0)) is None


# The owner's state


def overloaded_world(cfg: FleetConfig | None = None) -> World:
    """Return a world with 80 s of urgent work and one bulk job of the hot account."""
    world = World(minions=2, cfg=cfg or fleet())
    world.claim()
    world.run(500)
    for number in range(40):
        submit(world, URGENT, job(step(32)), f"{number:016x}", HOT)
    submit(world, BULK, job(step(1)), "b" * 16, HOT)
    world.run(150)
    return world


def waits_of(world: World) -> dict[str, PoolWait]:
    return pool_loads.expected_waits(world.owner.schedule)


def test_the_wait_is_computed_without_reading_the_ready_list():
    # Guards against a second walk over thousands of ready units.
    world = overloaded_world()
    schedule = world.owner.schedule
    schedule.ready = {POOL: None}
    wait = admission.wait_of(waits_of(world)[POOL], HOT, 1)
    assert 75_000 < wait <= 80_000


def test_the_next_owner_computes_the_same_wait():
    # Guards against an overload that is forgotten when the owner changes.
    world = overloaded_world()
    before = admission.wait_of(waits_of(world)[POOL], HOT, 1)
    world.claim()
    world.run(300)
    after = admission.wait_of(waits_of(world)[POOL], HOT, 1)
    assert 0.9 * before < after <= before


def test_work_that_waits_for_a_cap_delays_nothing():
    # Guards against rejecting work that starts at once, as the pool has free capacity.
    cfg = fleet()
    capped = ClientAccount(HOT, weight=10, cap=Resources(1_000, 0, 0))
    cfg = replace(cfg, accounts={**cfg.accounts, HOT: capped})
    assert waits_of(overloaded_world(cfg)) == {}


def test_steps_that_may_not_start_yet_do_not_count():
    # Guards against counting a long chain of small steps as a full pool.
    world = World(minions=2, cfg=fleet())
    world.claim()
    world.run(500)
    later = [step(1, after=(number,)) for number in range(100)]
    for number in range(9):
        submit(world, URGENT, job(step(1), *later), f"{number:016x}", HOT)
    submit(world, BULK, job(step(1)), "b" * 16, HOT)
    world.run(150)
    assert waits_of(world) == {}


def spare_worker(number: int, **fields) -> Worker:
    fields.setdefault("phase", WorkerPhase.UP)
    capacity = Resources(16_000, 16_000)
    return Worker(f"s{number}", "spare", fields["phase"], "z", capacity, ("a",), "")


def test_spare_workers_shorten_the_wait():
    world = overloaded_world()
    schedule = world.owner.schedule
    pools = {**schedule.config.pools, "spare": Pool("spare", spare=True)}
    schedule.config = replace(schedule.config, pools=pools)
    before = admission.wait_of(waits_of(world)[POOL], HOT, 1)
    schedule.workers["s0"] = spare_worker(0, phase=WorkerPhase.DOWN)
    assert admission.wait_of(waits_of(world)[POOL], HOT, 1) == before
    schedule.workers["s1"] = spare_worker(1)
    after = admission.wait_of(waits_of(world)[POOL], HOT, 1)
    assert after < before / 2


def test_evacuated_zones_are_published_while_they_hold_all_minions():
    world = overloaded_world()
    world.evacuate("z")
    assert waits_of(world)[POOL] == PoolWait(zones=("z",))
    world.add_minion("w9", zone="z9")
    assert not waits_of(world).get(POOL, PoolWait()).zones


# Rejection of a job

SETTINGS = Queue(BULK, POOL, 1, 3, STRETCH, SLO_MS)
JOB = job(step(2, estimate_ms=RUN_MS))
LIMIT_MS = 3 * OBJECTIVE_MS - RUN_MS
"""Wait up to which the job may still end within three times its objective."""


def rejection(spec: JobSpec = JOB, wait_ms: int = 60_000) -> Rejection | None:
    wait = PoolWait(wait_ms, {"a": {1: wait_ms}})
    return admission.rejection(spec, SETTINGS, "a", wait)


def test_a_job_is_rejected_if_it_ends_after_three_times_its_objective():
    assert rejection(wait_ms=LIMIT_MS) is None
    rejected = rejection(wait_ms=LIMIT_MS + 900)
    assert rejected.reason is RejectReason.OVERLOAD
    assert (rejected.wait_ms, rejected.accepted_ms) == (LIMIT_MS + 900, 900)


def test_jobs_without_a_published_wait_are_accepted():
    assert admission.rejection(JOB, SETTINGS, "a", None) is None
    wait = PoolWait(60_000, {"a": {1: 60_000}})
    assert admission.rejection(JOB, SETTINGS, "b", wait) is None
    urgent = structs.replace(SETTINGS, priority=0)
    assert admission.rejection(JOB, urgent, "a", wait) is None


def test_a_job_of_unknown_length_is_accepted():
    assert rejection(job(step(2, estimate_ms=0))) is None


@pytest.mark.parametrize(
    "spec",
    [
        job(step(1, long_running=True)),
        job(step(1), first_due_ms=1, interval_ms=10, repeats=3),
    ],
)
def test_long_running_and_timed_jobs_wait_for_the_end_of_a_peak(spec):
    assert rejection(spec) is None
    evacuated = PoolWait(zones=("z0",))
    assert admission.rejection(spec, SETTINGS, "a", evacuated) is None


def test_a_job_for_an_evacuated_pool_is_rejected_with_the_zones():
    rejected = admission.rejection(JOB, SETTINGS, "a", PoolWait(zones=("z1", "z0")))
    assert rejected.reason is RejectReason.EVACUATED
    assert rejected.text.endswith("evacuated: z0, z1")


def test_the_chain_follows_dependent_steps():
    spec = job(
        step(1, estimate_ms=100),
        step(1, estimate_ms=400),
        step(1, estimate_ms=50, after=(0, 1)),
    )
    assert admission.estimated_chain_ms(spec) == 450


# Retry-After

SPREADS = [number / 100 for number in range(100)]


def delays(rejected: Rejection, lasted_ms: int = 0) -> set[int]:
    return {retry_after_s(rejected, lasted_ms, spread) for spread in SPREADS}


def test_callers_of_a_full_pool_return_when_their_jobs_are_accepted():
    # Guards against callers that all return in the same second, that return in vain,
    # or that wait although their jobs would start at once.
    rejected = Rejection(RejectReason.OVERLOAD, "", wait_ms=12_400, accepted_ms=8_300)
    assert delays(rejected) == {9, 10, 11, 12}
    sooner = Rejection(RejectReason.OVERLOAD, "", wait_ms=900, accepted_ms=100)
    assert delays(sooner) == {1}


@pytest.mark.parametrize("reason", [RejectReason.STORE, RejectReason.EVACUATED])
def test_the_delay_grows_with_an_outage_to_at_most_half_of_it(reason):
    rejected = Rejection(reason, "")
    assert delays(rejected) == {1}
    assert delays(rejected, 1_900) == {1}
    assert delays(rejected, 4_000) == {2, 3}
    assert delays(rejected, 600_000) == {admission.MAX_RETRY_S}


def test_pools_without_accounts_publish_nothing():
    # `World` has no accounts by default.
    world = World(minions=1, cfg=config(priority=1))
    world.claim()
    world.run(500)
    for number in range(40):
        world.submit(job(step(32)), f"{number:016x}")
    world.run(150)
    assert waits_of(world) == {}
