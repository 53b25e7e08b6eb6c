"""Tests that the next owner knows what a cut-off owner left running in its zone."""

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from courselead.core.scheduler import const
from courselead.core.scheduler.doubt import find_unseen_tasks
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.records import KeyedRecord
from courselead.core.scheduler.run_records import (
    MinionRuns,
    decode_runs,
    drop_runs,
    encode_owner,
    encode_runs,
)
from tests.core.scheduler.world import ZONES, World, job, step, world_of_zones

FIRST, SECOND = "00000000000000aa", "00000000000000bb"


def cut_zone(world: World, zone: str) -> None:
    """Cut off a zone: its minions from other zones, and an owner in it from the log."""
    owner = world.owner
    fence = owner.schedule.fence
    if owner.schedule.own_zone == zone:
        world.log_cut.add(fence)
    for minion in world.all_minions:
        if (minion.zone == zone) != (owner.schedule.own_zone == zone):
            world.cut_connections.add((fence, minion.minion_id))


def take_over(world: World, zone: str, cut: str) -> None:
    """Let a host in `zone` claim the schedule while the zone `cut` is cut off."""
    fence = world.fence + 1
    for minion in world.all_minions:
        if minion.zone == cut:
            world.cut_connections.add((fence, minion.minion_id))
    world.claim(zone)


def mend(world: World) -> None:
    world.log_cut.clear()
    world.cut_connections.clear()


def test_after_a_takeover_only_the_tasks_of_the_cut_zone_wait():
    # Seen in menus scale-2 from 35.7 to 37.7 s: 86 tasks for 289 cores waited beside 8
    # to 12 idle workers because one minion in the cut-off zone had not reported.
    world = world_of_zones()
    world.claim("z0")
    world.run(500)
    world.submit(job(step(24)), FIRST, length_ms=1_000)
    world.submit(job(step(8)), SECOND, length_ms=1_000)
    world.run(600)
    assert len(world.starts) == 24
    cut_zone(world, "z0")
    world.run(1_300)
    take_over(world, "z1", "z0")
    world.run(1_500)
    waited = {task for _, task, _, minion in world.starts[24:]}
    assert {task for task in waited if task.startswith(SECOND)}
    assert len(world.starts) == 32
    # The tasks of the first job on the two minions of the cut zone did not start again.
    assert not {task for task in waited if task.startswith(FIRST)}
    mend(world)
    world.run(3_000)
    assert world.state(FIRST) is JobState.COMPLETED
    assert world.state(SECOND) is JobState.COMPLETED


def test_tasks_that_may_run_in_the_cut_zone_wait_for_their_leases():
    world = world_of_zones()
    world.claim("z0")
    world.run(500)
    world.submit(job(step(24)), FIRST, length_ms=6_000)
    world.run(400)
    cut_zone(world, "z0")
    world.run(1_300)
    take_over(world, "z1", "z0")
    world.run(9_000)
    assert len(world.starts) == 24
    world.run(20_000)
    # The world checks at each start that no other run of the task goes on.
    assert len(world.starts) == 32


def test_a_minion_that_never_reported_to_the_last_owner_blocks_its_pool():
    world = world_of_zones()
    world.claim("z0")
    world.run(500)
    world.submit(job(step(24)), FIRST, length_ms=60_000)
    world.run(400)
    cut_zone(world, "z0")
    take_over(world, "z1", "z0")
    world.run(200)
    # The third owner is in z2; the second one has stored the runs of z1 only.
    take_over(world, "z2", "z0")
    world.submit(job(step(1)), SECOND)
    world.run(100)
    unseen = find_unseen_tasks(world.owner.schedule)
    assert unseen.pools == {"p"}


def test_an_end_that_is_not_stored_yet_stays_on_record():
    # Seen in menus trouble-2 with seed 4 at 35.0 s: an end was reported as the zone was
    # cut off and its save was lost. A start on the same minion had been stored after
    # it, so the task was no longer on record and started again.
    world = world_of_zones()
    world.claim("z0")
    world.run(15_000)
    world.submit(job(step(24), step(1, after=(0,))), FIRST, length_ms=300)
    world.run(100)
    world.save_ms = 5_000
    world.run(450)
    for number in range(1, 9):
        world.submit(job(step(1)), f"{number:016x}", length_ms=300)
    world.run(50)
    cut_zone(world, "z0")
    world.run(1_300)
    take_over(world, "z1", "z0")
    world.save_ms = 2
    world.run(4_000)
    started = [task for _, task, *_ in world.starts if task.startswith(FIRST)]
    assert len(started) == len(set(started))
    mend(world)
    world.run(3_000)
    assert world.state(FIRST) is JobState.COMPLETED


def test_a_minion_that_started_in_the_cut_zone_does_not_block_its_pool():
    # Seen in menus trouble-1: five workers joined their pool as the zone was cut off,
    # and 47 tasks of that pool waited for 5 s beside 13 idle workers.
    world = world_of_zones()
    world.claim("z0")
    world.run(15_000)
    world.submit(job(step(24)), FIRST, length_ms=1_000)
    world.submit(job(step(8)), SECOND, length_ms=1_000)
    world.run(100)
    cut_zone(world, "z0")
    world.add_minion("new", zone="z0")
    world.run(1_300)
    take_over(world, "z1", "z0")
    world.run(1_500)
    assert len(world.starts) == 32


def test_a_short_lived_owner_does_not_vouch_for_runs_of_earlier_owners():
    world = world_of_zones()
    world.claim("z1")
    world.run(15_000)
    world.submit(job(step(24)), FIRST, length_ms=60_000)
    world.run(200)
    cut_zone(world, "z0")
    # This owner never learned what the first owner left running in its zone.
    take_over(world, "z0", "z0")
    world.run(200)
    take_over(world, "z2", "z0")
    world.run(9_000)
    assert len(world.starts) == 24


def test_nothing_starts_in_the_own_zone_while_the_log_is_silent():
    world = world_of_zones()
    world.claim("z0")
    world.run(500)
    world.store_down = True
    world.run(const.OWN_ZONE_SILENCE_MS + 200)
    world.submit(job(step(24)), FIRST, length_ms=5_000)
    world.run(500)
    zones = {world.minions[minion].zone for _, _, _, minion in world.starts}
    assert zones == {"z1", "z2"}
    assert len(world.starts) == 16
    world.store_down = False
    world.run(500)
    assert len(world.starts) == 24


def test_a_start_that_cannot_be_stored_is_made_elsewhere():
    world = world_of_zones()
    world.claim("z0")
    world.run(500)
    world.store_down = True
    world.submit(job(step(2)), FIRST, length_ms=500)
    world.run(1_500)
    zones = {world.minions[minion].zone for _, _, _, minion in world.starts}
    assert "z0" not in zones
    world.store_down = False
    world.run(1_500)
    assert world.state(FIRST) is JobState.COMPLETED


def test_only_records_of_the_given_owner_are_decoded():
    records = [
        encode_owner(7),
        encode_runs("m1", MinionRuns(7, ["a", "b"])),
        encode_runs("m2", MinionRuns(6, ["c"])),
        encode_runs("m3", MinionRuns(7, [])),
    ]
    assert decode_runs(records, 7) == {
        "m1": frozenset({"a", "b"}),
        "m3": frozenset(),
    }
    assert drop_runs("m1") == KeyedRecord(b"rm1", b"")
    with pytest.raises(ValueError, match="malformed"):
        decode_runs([KeyedRecord(b"rm1", b"\xc1")], 7)


FAULTS = ("none", "cut", "takeover", "mend", "store", "answers", "late", "saves")
scripts = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 2),
        st.integers(50, 2_500),
        st.booleans(),
    ),
    min_size=3,
    max_size=12,
)


def simulate_script(script, seed: int) -> World:
    world = world_of_zones(seed=seed)
    world.claim("z0")
    world.run(300)
    cut = ""
    for number, (fault, zone, wait_ms, submits) in enumerate(script):
        if submits:
            steps = (step(9), step(3, after=(0,)))
            world.submit(job(*steps), f"{number:016x}", 300 + 300 * zone)
        if fault == "cut" and not cut:
            cut = ZONES[zone]
            cut_zone(world, cut)
        elif fault == "takeover":
            chosen = ZONES[zone] if ZONES[zone] != cut else ZONES[zone - 1]
            take_over(world, chosen, cut)
        elif fault == "mend":
            cut = ""
            mend(world)
        elif fault == "store":
            world.store_down = not world.store_down
        elif fault == "saves":
            world.save_ms = 1_002 - world.save_ms
        elif fault == "answers":
            world.lose_answers = 0.3 - world.lose_answers
        elif fault == "late":
            world.late_orders = 0.3 - world.late_orders
        world.run(wait_ms)
    mend(world)
    world.store_down = False
    world.save_ms = 2
    world.lose_answers = world.late_orders = 0.0
    # An owner that was cut off has lost the schedule; the last owner continues.
    world.run(45_000)
    return world


@settings(
    max_examples=120,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(scripts, st.integers(0, 3))
def test_nothing_runs_twice_whatever_zone_is_cut(script, seed):
    world = simulate_script(script, seed)
    for entry in world.book.jobs.values():
        assert entry.state is JobState.COMPLETED, entry.job_id


def runs_task_twice(script) -> bool:
    try:
        simulate_script(script, 0)
    except AssertionError as exc:
        return str(exc).startswith("TWICE")
    return False


CUTS = [
    [("none", 0, 200, True), ("cut", 0, wait, True), ("takeover", 1, 3_000, True)]
    for wait in (50, 100, 200, 400, 800, 1_300)
]


def test_unstored_starts_in_the_own_zone_run_tasks_twice(monkeypatch):
    monkeypatch.setattr(World, "_store_and_start", start_without_storing)
    assert any(runs_task_twice(script) for script in CUTS)


def start_without_storing(world: World, owner, order) -> None:
    """Send a start without storing it; only the minion's report is on record."""
    fence = owner.schedule.fence
    world._order(owner, order, lambda minion: world._start(minion, order, fence))
