"""Tests for idle minions that are out of reach for a while and return unchanged.

A network partition ends nothing: the minion keeps its id and start time, and writes its
list entry again once it is reachable.
"""

from dataclasses import replace

import pytest

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import JobState, Resources
from tests.core.scheduler.world import ENTRY_LOST_MS, World, job, step

BORN_MS = 1_700_000_000_000
CUT_MS = 5_500
SOON_MS = 1_500


def world_with_rack(born_ms: int = BORN_MS) -> World:
    """Return a world whose second minion is the only one with the label `r2`."""
    world = World(minions=0)
    world.add_minion("w0", born_ms=born_ms)
    world.add_minion("w1", born_ms=born_ms, labels=("a", "r2"))
    world.claim()
    world.run(500)
    return world


def cut_off(world: World, minion_id: str, unlisted_after_ms: int) -> None:
    """Cut off a minion; its entry is removed meanwhile, and back afterwards."""
    minion = world.minions[minion_id]
    minion.cut = True
    world.run(unlisted_after_ms)
    world.unlist(minion_id)
    world.run(CUT_MS - unlisted_after_ms)
    minion.cut = False
    world.list_entry(minion)


def assert_is_used(world: World, label: str, job_id: str = "00000000000000bb") -> None:
    """Check that a job that needs a label runs at once."""
    world.submit(job(step(1, required_label=label)), job_id, length_ms=300)
    world.run(SOON_MS)
    assert world.state(job_id) is JobState.COMPLETED


@pytest.mark.parametrize("born_ms", [0, BORN_MS])
@pytest.mark.parametrize("unlisted_after_ms", [0, ENTRY_LOST_MS])
def test_an_idle_minion_that_was_cut_off_is_used_again(born_ms, unlisted_after_ms):
    # Seen with a zone that was cut off for 5.5 s: its idle workers got no more work.
    world = world_with_rack(born_ms)
    cut_off(world, "i2", unlisted_after_ms)
    world.run(SOON_MS)
    assert_is_used(world, "r2")


def test_a_minion_that_is_cut_off_again_and_again_is_used_again():
    world = world_with_rack()
    for number in range(3):
        cut_off(world, "i2", ENTRY_LOST_MS)
        world.run(SOON_MS)
        assert_is_used(world, "r2", f"{number:016x}")


def test_a_minion_whose_lease_was_over_is_used_again():
    world = world_with_rack()
    lost_job = world.submit(job(step(1, required_label="r2")), length_ms=60_000)
    world.run(500)
    silent = world.minions["i2"]
    silent.cut = True
    world.run(ENTRY_LOST_MS)
    world.unlist("i2")
    world.run(12_000)
    world.lengths[lost_job] = 300
    silent.cut = False
    world.list_entry(silent)
    world.run(SOON_MS)
    assert world.state(lost_job) is JobState.COMPLETED
    assert_is_used(world, "r2")


def test_a_minion_that_no_worker_seemed_to_have_is_used_again():
    # The cloud's list lacked the minion, and a single poll of it was lost.
    world = world_with_rack()
    silent = world.minions["i2"]
    silent.cut = True
    world.run(700)
    schedule = world.owner.schedule
    schedule.minions["i2"].worker_id = ""
    listed = tuple(
        worker for worker in schedule.workers.values() if worker.minion_id != "i2"
    )
    world._tell(ev.WorkersListed(world.now_ms, listed))
    assert "i2" not in schedule.minions
    silent.cut = False
    world.list_entry(silent)
    world.run(SOON_MS)
    assert_is_used(world, "r2")


def test_a_minion_that_an_older_entry_replaced_is_used_again():
    # A delayed entry of an earlier incarnation arrives while the minion is silent.
    world = world_with_rack()
    silent = world.minions["i2"]
    silent.cut = True
    world.run(700)
    world._tell(ev.MinionListed(replace(silent.info(), born_ms=BORN_MS - 5_000)))
    world.run(700)
    silent.cut = False
    world.list_entry(silent)
    world.run(SOON_MS)
    assert_is_used(world, "r2")


def test_an_entry_of_an_incarnation_whose_address_another_one_has_is_ignored():
    world = world_with_rack()
    over = world.minions["i2"]
    world._tell(ev.PollFailed("i2", ev.Outcome.OTHER_INCARNATION, "", over.born_ms))
    world._tell(ev.MinionListed(over.info()))
    assert "i2" not in world.owner.schedule.minions


def test_a_minion_that_never_returns_is_not_polled_for_ever():
    world = world_with_rack()
    cut = world.minions["i2"]
    cut.cut = True
    world.run(ENTRY_LOST_MS)
    world.unlist("i2")
    # A write of the minion that was delayed until its entry had been removed.
    world.list_entry(cut)
    world.run(ENTRY_LOST_MS)
    assert "i2" in world.owner.schedule.minions
    world.unlist("i2")
    world.run(SOON_MS)
    assert "i2" not in world.owner.schedule.minions


def test_work_waits_for_no_unreachable_minion_that_returned_with_less_room():
    world = world_with_rack()
    cut = world.minions["i2"]
    cut.cut = True
    world.run(ENTRY_LOST_MS)
    world.unlist("i2")
    world.run(1_000)
    cut.cut = False
    cut.capacity = Resources(1_000, 1_000)
    world.list_entry(cut)
    world.run(SOON_MS)
    # The world checks at each start that the minion has room for it.
    world.submit(job(step(3, required_label="r2")), "00000000000000bb", length_ms=300)
    world.run(4_000)
    assert world.state("00000000000000bb") is JobState.COMPLETED


def test_an_end_of_unknown_start_time_does_not_cover_later_incarnations():
    # An entry without a start time came from another writer, under a minion's id.
    world = world_with_rack(born_ms=0)
    world._tell(ev.PollFailed("i2", ev.Outcome.OTHER_INCARNATION, ""))
    assert "i2" not in world.owner.schedule.minions
    world.list_entry(world.start_again("i2", BORN_MS))
    world.run(SOON_MS)
    assert_is_used(world, "r2")
