"""Tests for the wait of long polls while answers are lost.

A poll waits for the next end, up to 1 s if the minion has runs and 2 s if it has none,
and counts as lost 0.8 s later. While one in three answers was lost for some seconds,
the end of a task of 0.6 s was seen after 2.85 s:

    2.6774 unit_started minion=i-aace57a97e tasks=1
    5.5293 step_done age_ms=3468

A minion that answers right after a lost poll shows that the answer was lost, not the
minion. While this happens, polls are short, because a lost long poll costs more.
"""

from courselead.core.scheduler import const, events as ev
from tests.core.scheduler.world import World, job, step

IDLE = "i-0"


def synced_world(minions: int = 2) -> World:
    world = World(minions=minions)
    world.claim()
    world.run(500)
    return world


def poll_wait_ms(world: World, minion_id: str) -> int:
    return world.owner.poll_call(minion_id, world.now_ms).wait_ms


def names(world: World) -> list[str]:
    return sorted(world.owner.schedule.minions)


def lose_poll(world: World, minion_id: str) -> None:
    failed = ev.PollFailed(minion_id, ev.Outcome.UNKNOWN, "no answer")
    world.owner.handle(failed, world.now_ms)


def answer_poll(world: World, minion_id: str) -> None:
    now = world.now_ms
    world.owner.handle(ev.PollAnswered(minion_id, now, now, (), (), True), now)


def test_polls_are_long_while_none_is_lost():
    world = synced_world()
    first, _ = names(world)
    assert poll_wait_ms(world, first) == const.POLL_WAIT_IDLE_MS


def test_polls_are_short_after_one_was_lost_and_the_minion_answers():
    world = synced_world()
    first, second = names(world)
    lose_poll(world, first)
    answer_poll(world, first)
    assert poll_wait_ms(world, first) == const.LOSSY_WAIT_MS
    assert poll_wait_ms(world, second) == const.LOSSY_WAIT_MS


def test_an_unreachable_minion_does_not_shorten_polls():
    world = synced_world()
    first, second = names(world)
    for _ in range(5):
        lose_poll(world, first)
    assert poll_wait_ms(world, second) == const.POLL_WAIT_IDLE_MS


def test_polls_are_long_again_once_none_is_lost():
    world = synced_world()
    first, _ = names(world)
    lose_poll(world, first)
    answer_poll(world, first)
    later_ms = world.now_ms + const.LOSSY_MS + 1
    call = world.owner.poll_call(first, later_ms)
    assert call.wait_ms == const.POLL_WAIT_IDLE_MS


def test_the_poll_rate_is_limited_with_many_minions():
    world = synced_world(minions=200)
    first = names(world)[0]
    lose_poll(world, first)
    answer_poll(world, first)
    polls_per_s = 200 * 1_000 / poll_wait_ms(world, first)
    assert polls_per_s <= const.LOSSY_POLLS_PER_S


def test_a_minion_with_a_run_is_polled_with_the_usual_wait():
    world = synced_world(minions=1)
    world.submit(job(step(1)), "0" * 16, 5_000)
    world.run(300)
    assert poll_wait_ms(world, names(world)[0]) == const.POLL_WAIT_MS
