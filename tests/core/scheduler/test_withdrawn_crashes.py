"""Tests that a minion that was only out of reach does not count as crashed."""

from courselead.core.scheduler.models import JobState
from tests.core.scheduler.fake_minions import FakeMinion
from tests.core.scheduler.world import ENTRY_LOST_MS, World, job, step

LEASE_MS = 13_000
"""Longer than any lease including its margins."""

CUTS = 6
TASK = f"{'aa':0>16}.0.0.0"


def cut_off_its_minion(world: World) -> FakeMinion:
    """Cut off the minion of the task until its lease is over and it is unlisted."""
    minion = world.minions[world.starts_of(TASK)[-1]]
    minion.cut = True
    world.run(ENTRY_LOST_MS)
    world.unlist(minion.minion_id)
    world.run(LEASE_MS)
    return minion


def reconnect(world: World, minion: FakeMinion) -> None:
    minion.cut = False
    world.list_entry(minion)
    world.run(1_500)


def world_with_running_task() -> tuple[World, str]:
    world = World(minions=3)
    world.claim()
    job_id = world.submit(job(step(1)), length_ms=300_000)
    world.run(500)
    return world, job_id


def test_a_job_does_not_fail_because_its_minions_were_cut_off_one_after_the_other():
    # A job was shown as failed though no minion had crashed under any of its tasks.
    world, job_id = world_with_running_task()
    for _ in range(CUTS):
        reconnect(world, cut_off_its_minion(world))
        world.run(LEASE_MS)
    assert world.state(job_id) is JobState.RUNNING


def test_the_crash_count_that_is_stored_is_withdrawn_as_well():
    world, job_id = world_with_running_task()
    minion = cut_off_its_minion(world)
    [unit] = world.owner.schedule.jobs[job_id].occurrences[0][0].units
    assert len(unit.crashes) == 1
    reconnect(world, minion)
    assert not unit.crashes
    world.claim()
    world.run(1_000)
    [unit] = world.owner.schedule.jobs[job_id].occurrences[0][0].units
    assert not unit.crashes


def test_a_crash_still_counts_if_only_a_late_entry_of_the_incarnation_arrives():
    world, job_id = world_with_running_task()
    minion = world.minions[world.starts_of(TASK)[-1]]
    world.crash(minion.minion_id)
    world.run(LEASE_MS)
    world.list_entry(minion)
    world.run(1_500)
    [unit] = world.owner.schedule.jobs[job_id].occurrences[0][0].units
    assert len(unit.crashes) == 1
    assert len(world.owner.schedule.lost_incarnations) == 1


def test_a_minion_that_returns_is_not_remembered_as_lost():
    world, job_id = world_with_running_task()
    minion = cut_off_its_minion(world)
    assert len(world.owner.schedule.lost_incarnations) == 1
    reconnect(world, minion)
    assert not world.owner.schedule.lost_incarnations
