"""Looks at minions whose answers are lost, one in three, for seconds.

A look waits for the next end, up to 1 s where something runs and 2 s where nothing
does, and counts as lost 0.8 s later. The end of a task of 0.6 s was seen after 2.85 s:

    2.6774 unit_started minion=i-aace57a97e tasks=1
    5.5293 step_done age_ms=3468

Minions that answer looks again right after one was lost show that answers are lost, not
minions; while that goes on, short looks cost less than long ones that are lost.
"""

from courselead.core.scheduler import const, events as ev
from tests.core.scheduler.world import World, job, step

IDLE = "i-0"


def synced_world(minions: int = 2) -> World:
    world = World(minions=minions)
    world.claim()
    world.run(500)
    return world


def wait_of(world: World, minion_id: str) -> int:
    return world.owner.hold_call(minion_id, world.now_ms).wait_ms


def names(world: World) -> list[str]:
    return sorted(world.owner.schedule.minions)


def lose_a_look(world: World, minion_id: str) -> None:
    failed = ev.HoldFailed(minion_id, ev.Outcome.UNKNOWN, "no answer")
    world.owner.handle(failed, world.now_ms)


def answer_a_look(world: World, minion_id: str) -> None:
    now = world.now_ms
    world.owner.handle(ev.HoldAnswered(minion_id, now, now, (), ()), now)


def test_looks_are_long_while_none_is_lost():
    world = synced_world()
    first, _ = names(world)
    assert wait_of(world, first) == const.HOLD_WAIT_IDLE_MS


def test_looks_are_short_after_one_was_lost_and_the_minion_answers():
    world = synced_world()
    first, second = names(world)
    lose_a_look(world, first)
    answer_a_look(world, first)
    assert wait_of(world, first) == const.LOSSY_WAIT_MS
    assert wait_of(world, second) == const.LOSSY_WAIT_MS


def test_a_minion_that_is_gone_makes_no_look_short():
    world = synced_world()
    first, second = names(world)
    for _ in range(5):
        lose_a_look(world, first)
    assert wait_of(world, second) == const.HOLD_WAIT_IDLE_MS


def test_looks_grow_long_again_once_none_is_lost_any_more():
    world = synced_world()
    first, _ = names(world)
    lose_a_look(world, first)
    answer_a_look(world, first)
    later_ms = world.now_ms + const.LOSSY_MS + 1
    call = world.owner.hold_call(first, later_ms)
    assert call.wait_ms == const.HOLD_WAIT_IDLE_MS


def test_many_minions_are_not_looked_at_more_often_than_the_owner_can():
    world = synced_world(minions=200)
    first = names(world)[0]
    lose_a_look(world, first)
    answer_a_look(world, first)
    looks_per_s = 200 * 1_000 / wait_of(world, first)
    assert looks_per_s <= const.LOSSY_LOOKS_PER_S


def test_a_task_at_work_is_still_looked_at_within_its_usual_wait():
    world = synced_world(minions=1)
    world.submit(job(step(1)), "0" * 16, 5_000)
    world.run(300)
    assert wait_of(world, names(world)[0]) == const.HOLD_WAIT_MS
