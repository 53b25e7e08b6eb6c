"""Calls to the advice service, which names at most 100 minions in one call.

Regression tests: each call named the first 100 minions of the pool. If none of them was
allowed, or a call about all of them took longer than its timeout, the jobs of the queue
never started beside idle minions that were allowed (LOST).
"""

import pytest

from courselead.core.scheduler.models import (
    AdvicePolicy,
    JobSpec,
    JobState,
    Resources,
)
from tests.core.scheduler.world import World, config, job, step

POLICY = AdvicePolicy(20, 2, 3_000)


def advised_world(minions: int, policy: AdvicePolicy = POLICY, **fields) -> World:
    return World(minions=minions, cfg=config(advice=policy), **fields)


def allow(world: World, *minion_ids: str) -> None:
    world.advised = {minion_id: f"t-{minion_id}" for minion_id in minion_ids}


def allow_last(world: World, count: int) -> None:
    allow(world, *list(world.minions)[-count:])


def submit_all(world: World, *specs: JobSpec) -> list[str]:
    """Submit jobs with an id each."""
    ids = [f"{number:016x}" for number in range(1, len(specs) + 1)]
    for job_id, spec in zip(ids, specs, strict=True):
        world.submit(spec, job_id)
    return ids


@pytest.mark.parametrize("minions", [101, 120, 250, 1_000])
def test_jobs_start_if_only_the_last_minions_of_a_large_pool_are_allowed(minions):
    world = advised_world(minions)
    allow_last(world, 12)
    world.claim()
    ids = submit_all(world, *[job(step(4))] * 5)
    world.run(10_000)
    assert {world.state(job_id) for job_id in ids} == {JobState.COMPLETED}
    assert {start[3] for start in world.starts} <= set(world.advised)


@pytest.mark.parametrize("first", [True, False])
def test_jobs_start_if_the_service_takes_long_for_each_minion(first):
    """A call about 100 minions would take 3 s, and 33 s about all of them at once."""
    world = advised_world(120, AdvicePolicy(20, 30, 3_000))
    minions = list(world.minions)
    allow(world, *(minions[:12] if first else minions[-12:]))
    world.claim()
    ids = submit_all(world, *[job(step(4))] * 3)
    world.run(20_000)
    assert {world.state(job_id) for job_id in ids} == {JobState.COMPLETED}


def test_jobs_start_if_one_minion_takes_longer_than_most_calls():
    world = advised_world(5, AdvicePolicy(3_000, 2_500, 9_000))
    allow_last(world, 1)
    world.claim()
    job_id = world.submit(job(step(1)))
    world.run(40_000)
    assert world.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("decide_ms", [20, 200])
def test_jobs_start_if_the_service_is_slower_than_its_policy(decide_ms):
    world = advised_world(100, AdvicePolicy(decide_ms, 10, 3_000))
    world.advice_slowness = 20.0
    allow_last(world, 50)
    world.claim()
    job_id = world.submit(job(step(1)))
    world.run(60_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_nothing_is_asked_without_end_if_no_minion_is_allowed():
    world = advised_world(120)
    allow(world, "none")
    world.claim()
    job_id = world.submit(job(step(2)))
    world.run(5_000)
    assert set(world.asked_minions) == set(world.minions)
    assert set(world.asked_minions.values()) == {1}
    calls = world.advice_calls
    world.run(20_000)
    assert world.advice_calls == calls
    assert world.state(job_id) is JobState.QUEUED
    # A new minion is asked about.
    new = world.add_minion("w-new")
    allow(world, new.minion_id)
    world.run(5_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert world.advice_calls <= calls + 2


def test_other_minions_are_asked_about_while_the_allowed_ones_are_full():
    """Nothing was asked as long as the tickets of full minions were valid."""
    world = advised_world(130, AdvicePolicy(20, 2, 60_000))
    first, *_, last = world.minions
    allow(world, first, last)
    world.claim()
    world.submit(job(step(8)), length_ms=30_000)
    world.run(5_000)
    assert [start[3] for start in world.starts] == [first] * 4 + [last] * 4


def test_other_minions_are_asked_about_once_the_allowed_one_is_gone():
    world = advised_world(130, AdvicePolicy(20, 2, 60_000))
    first, *_, last = world.minions
    allow(world, first, last)
    world.claim()
    job_id = world.submit(job(step(1), step(1, after=(0,))), length_ms=1_000)
    world.run(500)
    world.minions[first].draining = True
    world.list_entry(world.minions[first])
    world.run(5_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert world.starts[-1][3] == last


def test_a_minion_that_started_again_is_asked_about_again():
    """Its tickets were for its previous life and would be refused."""
    world = advised_world(1, AdvicePolicy(20, 2, 60_000))
    [minion_id] = world.minions
    allow(world, minion_id)
    world.claim()
    job_id = world.submit(job(step(8)), length_ms=1_000)
    world.run(500)
    world.list_entry(world.start_again(minion_id, world.now_ms + 1))
    world.advised = {minion_id: "ticket of the next life"}
    world.run(10_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert world.refused_tickets == 0


def test_a_gang_starts_whose_minions_are_named_in_several_calls():
    world = advised_world(120, capacity=Resources(1_000, 1_000))
    allow(world, *list(world.minions)[::12])
    world.claim()
    job_id = world.submit(job(step(8, gang=True)))
    world.run(6_000)
    assert world.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("valid_ms", [50, 200, 400])
def test_tickets_of_a_short_validity_are_used(valid_ms):
    world = advised_world(3, AdvicePolicy(5, 1, valid_ms))
    allow_last(world, 1)
    world.claim()
    job_id = world.submit(job(step(1), step(1, after=(0,))))
    world.run(3_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_expired_tickets_are_renewed_for_allowed_minions_only():
    world = advised_world(60, AdvicePolicy(5, 1, 1_000))
    allow_last(world, 1)
    world.claim()
    job_id = world.submit(job(step(9)), length_ms=1_500)
    world.run(10_000)
    assert world.state(job_id) is JobState.COMPLETED
    [allowed] = world.advised
    denied = {world.asked_minions[item] for item in world.minions if item != allowed}
    assert denied <= {0, 1}
    assert world.asked_minions[allowed] > 1


def test_jobs_of_a_new_owner_are_asked_about_again():
    world = advised_world(120)
    allow_last(world, 12)
    world.claim()
    job_id = world.submit(job(step(1), step(1, after=(0,))), length_ms=2_000)
    world.run(1_000)
    world.claim()
    world.run(8_000)
    assert world.state(job_id) is JobState.COMPLETED
