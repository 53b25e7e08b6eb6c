"""Tests of the steps of a placement round: filters, scores and gangs."""

from dataclasses import replace

import pytest

from courselead.core.scheduler import (
    const,
    gangs,
    minion_filters,
    minion_scores,
    placement,
)
from courselead.core.scheduler.models import MinionInfo, Resources
from courselead.core.scheduler.schedule import Schedule
from courselead.core.scheduler.selection import Selection
from courselead.core.scheduler.state import Minion, Run, Unit
from tests.core.scheduler.fake_minions import POOL
from tests.core.scheduler.world import (
    CAPACITY,
    ZONES,
    World,
    job,
    step,
    world_of_zones,
)


def schedule_with_unit(**spec: object) -> tuple[Schedule, Unit]:
    """Return a schedule without minions, and a ready unit."""
    world = World(minions=0)
    owner = world.claim()
    world.run(300)
    world.submit(job(step(spec.pop("count", 1), **spec)))
    (unit, *_) = owner.schedule.ready[POOL]
    unit.job.zone = "z0"
    return owner.schedule, unit


def make_minion(name: str, zone="z0", rack="r0", used=0, **fields: object) -> Minion:
    info = MinionInfo(name, "", POOL, zone, CAPACITY, ("a", rack))
    return Minion(info, synced=True, used=Resources(used, 0), **fields)


def select(schedule: Schedule, unit: Unit, *warming_up: Minion) -> Selection:
    """Return the selection for a unit while some minions are warming up."""
    names = frozenset(item.minion_id for item in warming_up)
    return Selection(schedule, unit, None, names)


def best(schedule: Schedule, unit: Unit, *minions: Minion) -> str:
    selection = select(schedule, unit)
    return minion_scores.best_minion(selection, list(minions)).minion_id


def change_info(minion: Minion, **changes: object) -> None:
    minion.info = replace(minion.info, **changes)


POOL_CHANGES = {
    "not listed": lambda schedule, minion: setattr(minion, "listed", False),
    "draining": lambda schedule, minion: change_info(minion, draining=True),
    "cordoned": lambda schedule, minion: setattr(minion, "cordoned", True),
    "not synced": lambda schedule, minion: setattr(minion, "synced", False),
    "failing": lambda schedule, minion: setattr(minion, "failures", 1),
    "pausing": lambda schedule, minion: setattr(
        minion, "rest_until_ms", schedule.now_ms + 1
    ),
    "unresponsive": lambda schedule, minion: setattr(
        minion,
        "unanswered_since_ms",
        schedule.now_ms - const.START_RESPONSE_TIMEOUT_MS - 1,
    ),
    "in another pool": lambda schedule, minion: change_info(minion, pool="other"),
    "in an evacuated zone": lambda schedule, minion: schedule.evacuated_zones.update(
        {minion.info.zone: 0}
    ),
}


@pytest.mark.parametrize("name", POOL_CHANGES)
def test_a_minion_that_may_not_be_used_is_filtered_out(name):
    # Guards against a filter that gets lost: each of these minions would refuse the
    # start, lose it or break a promise to the operator.
    schedule, _ = schedule_with_unit()
    left, kept = make_minion("left", "z1"), make_minion("kept", "z2")
    schedule.minions = {item.minion_id: item for item in (left, kept)}
    assert minion_filters.eligible_minions(schedule, POOL) == [left, kept]
    POOL_CHANGES[name](schedule, left)
    assert minion_filters.eligible_minions(schedule, POOL) == [kept]


def test_starts_that_cannot_be_stored_are_not_placed_in_the_own_zone():
    # Guards against a start that waits for a log that does not answer.
    schedule, _ = schedule_with_unit()
    schedule.own_zone = "z1"
    own, other = make_minion("own", "z1"), make_minion("other", "z2")
    schedule.minions = {item.minion_id: item for item in (own, other)}
    schedule.confirmed_ms = schedule.now_ms - const.OWN_ZONE_SILENCE_MS
    assert minion_filters.eligible_minions(schedule, POOL) == [other]


def test_a_unit_fits_where_resources_label_and_limit_allow_it():
    # Guards against a filter of the unit that gets lost: the minion refuses the start.
    schedule, unit = schedule_with_unit(
        count=2, cpu=1_000, required_label="a", max_per_minion=1
    )
    full = make_minion("full", used=3_500)
    unlabelled = make_minion("unlabelled")
    change_info(unlabelled, labels=("b", "r0"))
    at_limit, kept = make_minion("at-limit"), make_minion("kept")
    run = Run(unit, 0, 1, at_limit.minion_id, schedule.now_ms)
    at_limit.runs[run.key] = run
    selection = select(schedule, unit)
    fitting = minion_filters.fitting_minions(
        selection, [full, unlabelled, at_limit, kept]
    )
    assert fitting == [kept]


def test_an_earlier_term_outweighs_all_later_ones():
    # Guards against a changed order of the terms.
    schedule, unit = schedule_with_unit(preferred_rack="r0")
    soon_ms = schedule.now_ms + 1
    candidates = [
        make_minion("least-free", used=900),
        make_minion("in-zone", used=500),
        make_minion("on-rack", "z1", used=2_000),
        make_minion("not-avoided", "z1", "r1", used=3_000),
    ]
    order = [
        best(schedule, unit, *candidates),
        best(schedule, unit, *candidates[1:]),
        best(schedule, unit, *candidates[2:]),
    ]
    assert order == ["least-free", "in-zone", "on-rack"]
    candidates[0].quarantine_until_ms = candidates[1].quarantine_until_ms = soon_ms
    unit.avoid.add("on-rack")
    assert best(schedule, unit, *candidates) == "not-avoided"


def test_long_running_tasks_are_packed_where_nothing_conflicts():
    # Guards against long-running tasks on every worker, which keeps all of them in
    # their pool, and against filler tasks beside long-running ones.
    schedule, unit = schedule_with_unit(long_running=True)
    _, filler = schedule_with_unit(fills=True)
    idle, packed, filled = (make_minion(name) for name in ("idle", "packed", "filled"))
    for minion, other in ((packed, unit), (filled, unit), (filled, filler)):
        run = Run(other, 0, 1, minion.minion_id, schedule.now_ms)
        minion.runs[(run.task, len(minion.runs))] = run
    assert best(schedule, unit, idle, filled, packed) == "packed"
    assert best(schedule, unit, idle, filled) == "filled"
    roomy, tight = make_minion("roomy"), make_minion("tight", used=500)
    assert best(schedule, unit, tight, roomy) == "roomy"


def test_a_gang_reserves_what_its_earlier_tasks_take():
    # Guards against a gang that is placed where only some of its tasks fit.
    schedule, unit = schedule_with_unit(count=3, cpu=2_000, gang=True)
    minions = [make_minion("m0", used=2_000), make_minion("m1")]
    selection = select(schedule, unit)
    places = gangs.find_places(selection, minions)
    assert [minion.minion_id for _, minion in places] == ["m0", "m1", "m1"]
    assert gangs.find_places(selection, [minions[1]]) is None


def test_a_rack_local_gang_prefers_its_rack_and_takes_any_single_one():
    # Guards against a gang that is spread over racks although one of them has room.
    schedule, unit = schedule_with_unit(
        count=2, cpu=2_000, gang=True, rack_local=True, preferred_rack="r1"
    )
    minions = [make_minion("m0"), make_minion("m1", rack="r1")]
    selection = select(schedule, unit)
    places = gangs.find_places(selection, minions)
    assert {minion.minion_id for _, minion in places} == {"m1"}
    minions[1].used = Resources(1_000, 0)
    places = gangs.find_places(selection, minions)
    assert {minion.minion_id for _, minion in places} == {"m0"}


def test_units_of_a_step_fill_up_all_minions_in_one_round():
    # Guards against units that wait since only the minions are searched that the
    # step's last unit did fit on.
    world = World(minions=3)
    owner = world.claim()
    world.run(300)
    world.submit(job(step(14, cpu=1_000)))
    placement.place_all(owner.schedule)
    runs = [len(item.runs) for item in owner.schedule.minions.values()]
    assert runs == [4, 4, 4]
    assert len(owner.schedule.ready[POOL]) == 2


@pytest.mark.parametrize("long_running", [False, True])
def test_a_minion_that_is_warming_up_is_chosen_only_where_no_warm_one_fits(
    long_running,
):
    # Guards against a returned zone that draws the whole queue while it is slow, and
    # against one that stays idle although nothing else has room.
    schedule, unit = schedule_with_unit(
        cpu=1_000, preferred_rack="r0", long_running=long_running
    )
    cold = make_minion("cold")
    warm = make_minion("warm", "z1", "r1", used=2_000)
    warm.quarantine_until_ms = schedule.now_ms + 1
    selection = select(schedule, unit, cold)
    for minions, expected in (([cold, warm], warm), ([warm, cold], warm)):
        fitting = minion_filters.fitting_minions(selection, minions)
        assert minion_scores.best_minion(selection, fitting) is expected
    warm.used = Resources(3_500, 0)
    fitting = minion_filters.fitting_minions(selection, [cold, warm])
    assert minion_scores.best_minion(selection, fitting) is cold


def test_a_rack_local_gang_prefers_a_warm_rack_to_its_own():
    # Guards against a gang on a rack that is warming up while a warm one has room.
    schedule, unit = schedule_with_unit(
        count=2, cpu=2_000, gang=True, rack_local=True, preferred_rack="r1"
    )
    minions = [make_minion("m0"), make_minion("m1", rack="r1")]
    selection = select(schedule, unit, minions[1])
    places = gangs.find_places(selection, minions)
    assert {minion.minion_id for _, minion in places} == {"m0"}
    minions[0].used = Resources(1_000, 0)
    places = gangs.find_places(selection, minions)
    assert {minion.minion_id for _, minion in places} == {"m1"}


def test_a_returned_zone_takes_what_the_warm_zones_have_no_room_for():
    # Guards against a round that does not know which minions are warming up.
    world = world_of_zones(3)
    owner = world.claim()
    world.run(300)
    minions = owner.schedule.minions.values()
    cold = next(item for item in minions if item.info.zone == ZONES[0])
    cold.warm_at_ms = owner.schedule.now_ms + 5_000
    world.submit(job(step(8, cpu=1_000)))
    placement.place_all(owner.schedule)
    assert {item.minion_id: len(item.runs) for item in minions} == {
        item.minion_id: 0 if item is cold else 4 for item in minions
    }
    world.submit(job(step(2, cpu=1_000)), "00000000000000bb")
    placement.place_all(owner.schedule)
    assert len(cold.runs) == 2
