"""Minions that are slow for a while, as after the return of their zone."""

from dataclasses import replace

import pytest

from courselead.core.scheduler import events as ev, stalls
from courselead.core.scheduler.models import JobState
from tests.core.scheduler.fake_minions import FakeMinion
from tests.core.scheduler.world import QUEUE, WALL_START_MS, World, job, step

WARMUP_MS = 5_000
STUCK_MS = 6_000_000
"""Run time of a task that shows no progress in the few seconds of a test."""


def list_cold(world: World, minion: FakeMinion, remaining_ms=WARMUP_MS) -> None:
    """Change a minion's list entry to one that tells how much longer it is slow."""
    info = replace(minion.info(), warmup_remaining_ms=remaining_ms)
    world._tell(ev.MinionListed(info))


def world_with_cold_minion() -> World:
    world = World(minions=1)
    world.claim()
    world.run(300)
    list_cold(world, world.all_minions[0])
    return world


def is_warming_up(world: World) -> bool:
    (minion,) = world.owner.schedule.minions.values()
    return minion.is_warming_up(world.now_ms)


def stops(world: World) -> list[ev.StopRun]:
    return [item for item in world.orders if isinstance(item, ev.StopRun)]


def test_a_minion_is_warm_after_the_time_that_its_entry_tells():
    # Guards against a minion that counts as slow for ever, or never.
    world = world_with_cold_minion()
    world.run(WARMUP_MS - 1)
    assert is_warming_up(world)
    world.run(1)
    assert not is_warming_up(world)


@pytest.mark.parametrize("remaining_ms", [0, -1])
def test_an_entry_without_a_warm_up_ends_it(remaining_ms):
    # Guards against a minion that was warm earlier than expected and still counts as
    # slow.
    world = world_with_cold_minion()
    list_cold(world, world.all_minions[0], remaining_ms)
    assert not is_warming_up(world)


def test_a_new_incarnation_has_a_warm_up_of_its_own():
    # Guards against a warm-up that is lost with the next incarnation under the same id,
    # and against one that is taken over from the previous incarnation.
    world = World(minions=0)
    minion = world.add_minion("w0", born_ms=WALL_START_MS)
    world.claim()
    world.run(300)
    list_cold(world, minion)
    minion = world.start_again(minion.minion_id, WALL_START_MS + 1)
    world.list_entry(minion)
    assert not is_warming_up(world)
    minion = world.start_again(minion.minion_id, WALL_START_MS + 2)
    list_cold(world, minion)
    assert is_warming_up(world)


def test_runs_on_a_slow_minion_are_not_stalled():
    # Guards against stopping work that only takes longer, and then against never
    # stopping it: the time without progress counts from when the minion is warm.
    world = world_with_cold_minion()
    world.submit(job(step(1)), length_ms=STUCK_MS)
    world.run(WARMUP_MS + stalls.STALL_MS - 100)
    assert not stops(world)
    world.run(400)
    assert {order.reason for order in stops(world)} == {"no progress"}


def test_the_run_times_of_a_slow_minion_are_not_learned():
    # Guards against expecting all work to take as long as on minions that were slow,
    # which would fetch workers that are not needed. A run may end after the warm-up.
    world = world_with_cold_minion()
    for number, length_ms in enumerate((1_000, WARMUP_MS)):
        job_id = world.submit(job(step(1)), f"{number:016x}", length_ms)
        world.run(length_ms + 500)
        assert world.state(job_id) is JobState.COMPLETED
    assert not is_warming_up(world)
    schedule = world.owner.schedule
    assert QUEUE not in schedule.run_ms
    world.submit(job(step(1)), f"{9:016x}", 1_000)
    world.run(1_500)
    assert 900 < schedule.run_ms[QUEUE] < 1_300


def test_without_a_warm_up_times_are_learned_and_stalls_found_as_before():
    # Guards against a rule for slow minions that applies to all.
    world = World(minions=1)
    world.claim()
    world.run(300)
    world.submit(job(step(1)), f"{1:016x}", 1_000)
    world.run(1_500)
    assert 900 < world.owner.schedule.run_ms[QUEUE] < 1_300
    world.submit(job(step(1)), f"{2:016x}", STUCK_MS)
    world.run(4_000)
    assert {order.reason for order in stops(world)} == {"no progress"}
