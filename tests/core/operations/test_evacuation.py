"""Tests of budgets, assignments, moves and maintenance while zones are evacuated."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import given, settings, strategies as st
from immutables import Map

from courselead.core.events import Tick
from courselead.core.fleet import budgets, verdicts
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.records import StopPlanned, StopPurpose, WorkerAssigned
from courselead.core.fleet.state import EvacuationState, HostStatus
from courselead.core.fleet.stops import stop_planned
from courselead.core.operations import assignment, borrowing, placement, planner
from courselead.core.operations.maintenance import POLICIES, RackByRack
from courselead.core.operations.placement import NO_EXCLUSIONS
from courselead.core.operations.reducer import reduce
from courselead.core.operations.state import OperationsConfig, OperationsState
from tests.core.operations.build import (
    POOL,
    ctx,
    fleet,
    host,
    proposed,
    row,
    serving,
    worker,
)
from tests.core.operations.test_planner import CFG, NOW_MS, fleets

NO_MAINTENANCE = OperationsConfig(maintain=False)


def evacuated(state, *zones):
    """Return the fleet with exactly these zones evacuated."""
    evacuations = {zone: EvacuationState(zone, "op", 0, 1) for zone in zones}
    return replace(state, evacuations=Map(evacuations))


def two_zones(*more, **changes):
    """Return a fleet with a pool of two workers in each of the zones a and b."""
    workers = [serving(f"{zone}{index}", zone) for zone in "ab" for index in (1, 2)]
    rows = [row(**{"workers": 4, "availability_budget": 0.5, **changes}), row("api")]
    return fleet([*workers, *more], rows)


def stop(state, name):
    """Return the verdict on a maintenance stop of a worker."""
    epoch = state.workers[name].epoch
    record = StopPlanned(name, epoch, StopPurpose.MAINTENANCE, "", 5, NOW_MS)
    return stop_planned(state, Origin(101, "h1", 1, 1, NOW_MS), record)


def test_workers_of_the_zone_count_as_unavailable_for_stops_outside():
    """Else maintenance outside would take the capacity that the zone lacks."""
    state = evacuated(two_zones(), "b")
    assert budgets.spare(state, POOL) == 0
    assert stop(state, "a1")[1].reason == verdicts.BUDGET_SPENT
    assert stop(evacuated(state), "a1")[1].accepted


def test_stops_in_the_zone_leave_enough_workers_for_its_return():
    """A zone restored in the middle of a wave must not find its pools too small."""
    state = evacuated(two_zones(availability_budget=0.25), "b")
    state, verdict = stop(state, "b1")
    assert verdict.accepted
    assert stop(state, "b2")[1].reason == verdicts.BUDGET_SPENT
    serving_after = budgets.serving_count(evacuated(state), POOL)
    assert serving_after >= budgets.min_serving_workers(row(workers=4))


def test_missing_capacity_is_replaced_by_free_workers_outside():
    free = [worker("fa", "a"), worker("fb", "b")]
    state = two_zones(*free)
    only_api = [("fa", "aloisi/api")]
    records = [(one.worker, one.pool) for one in assignment.assign(state)]
    assert records == only_api
    state = evacuated(two_zones(*free, workers=8), "b")
    assert [one.worker for one in assignment.assign(state)] == ["fa"]


def test_no_worker_of_the_zone_is_moved_to_another_pool():
    """Its surplus could serve no pool, but its move would stop a minion."""
    state = evacuated(two_zones(workers=1), "a")
    moved = assignment.rebalance(state, NOW_MS)
    assert [(one.worker[0], one.next_pool) for one in moved] == [("b", "aloisi/api")]
    state = evacuated(state, "a", "b")
    assert assignment.rebalance(state, NOW_MS) == []


def test_workers_of_the_zone_are_no_surplus_of_their_pool():
    """Else their pool would give up workers that serve."""
    state = evacuated(two_zones(workers=2), "a")
    assert assignment.rebalance(state, NOW_MS) == []
    assert len(assignment.rebalance(evacuated(state), NOW_MS)) == 1


def test_a_restored_zone_counts_again():
    state = two_zones(worker("fa", "a"))
    during = evacuated(state, "b")
    assert placement.pool_spreads(during, NO_EXCLUSIONS)[POOL].workers == 2
    after = evacuated(during)
    assert placement.pool_spreads(after, NO_EXCLUSIONS)[POOL].workers == 4


def test_a_spare_of_the_zone_is_not_lent():
    """A pool without a budget cannot use it for its wave."""
    old = [
        serving(name, "a", pool=f"aloisi/{name}", maintained_ms=0)
        for name in ("api", "web2")
    ]
    names = (("a1", "a"), ("b1", "b"), ("c1", "c"), ("c2", "c"))
    new = [serving(name, zone, maintained_ms=NOW_MS) for name, zone in names]
    rows = [row(name, availability_budget=0.0) for name in ("api", "web2")]
    # No worker of zone c may be moved, because its entry host is lost.
    hosts = (host("h1"), host("h2", "c", status=HostStatus.LOST))
    state = fleet([*old, *new], [row(workers=1), *rows], hosts)
    moved = [one.worker for one in borrowing.plan(state, NOW_MS, CFG).moves]
    assert sorted(moved) == ["a1", "b1"]
    during = borrowing.plan(evacuated(state, "b"), NOW_MS, CFG)
    assert [one.worker for one in during.moves] == ["a1"]


def test_a_wave_takes_the_zone_first():
    """Its capacity is out of use, so its maintenance costs nothing."""
    state = two_zones(availability_budget=1.0)
    planned = RackByRack().plan(state, NOW_MS, CFG)
    assert [one.worker for one in planned] == ["a1", "a2"]
    planned = RackByRack().plan(evacuated(state, "b"), NOW_MS, CFG)
    assert [one.worker for one in planned] == ["b1", "b2"]


@pytest.mark.parametrize("policy", ["rack_by_rack", "all_budget_allows"])
def test_a_wave_in_the_zone_keeps_to_the_budget(policy):
    """Its workers are unavailable already, but the zone may be restored any time."""
    state = evacuated(two_zones(availability_budget=0.25), "b")
    (planned,) = POLICIES[policy].plan(state, NOW_MS, CFG)
    assert planned.worker == "b1"


def test_a_plan_without_effect_is_made_again_after_an_evacuation():
    """The plan is skipped while its inputs are unchanged."""
    state = two_zones(worker("fa", "a"), worker("fa2", "a"))
    filled = [
        serving("fa", "a", pool="aloisi/api"),
        worker("fa2", "a"),
    ]
    for one in filled:
        state = replace(state, workers=state.workers.set(one.worker, one))
    cfg = NO_MAINTENANCE
    own, effects = reduce(OperationsState(cfg=cfg), ctx(state, 0), Tick(0, NOW_MS))
    assert not [one for one in proposed(effects) if isinstance(one, WorkerAssigned)]
    context = ctx(evacuated(state, "b"), 10_000)
    _, effects = reduce(own, context, Tick(10_000, NOW_MS))
    (record,) = [one for one in proposed(effects) if isinstance(one, WorkerAssigned)]
    assert (record.worker, record.pool) == ("fa2", POOL)


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(
    fleets(),
    st.frozensets(st.sampled_from("abcd"), max_size=4),
    st.sampled_from(sorted(POLICIES)),
)
def test_a_plan_respects_evacuations_and_budgets(state, zones, policy):
    state = evacuated(state, *zones)
    plan = planner.make_plan(state, NOW_MS, replace(CFG, policy=policy))
    for record in plan.assigned:
        assert state.workers[record.worker].availability_zone not in zones
    inside = Counter()
    outside = Counter()
    for record in plan.stops:
        stopped = state.workers[record.worker]
        is_inside = stopped.availability_zone in zones
        assert not (is_inside and record.next_pool)
        (inside if is_inside else outside)[stopped.pool] += 1
    if policy == "one_rack_at_a_time":
        return
    for pool in inside | outside:
        assert outside[pool] <= budgets.spare(state, pool)
        if inside[pool]:
            total = inside[pool] + outside[pool]
            assert total <= budgets.spare(state, pool, include_evacuated=True)


@pytest.mark.parametrize("zones", [(), ("a",), ("a", "b")])
def test_budgets_equal_those_of_the_serving_workers_outside(zones):
    state = evacuated(two_zones(availability_budget=1.0), *zones)
    assert budgets.spare(state, POOL) == 4 - 2 * len(zones)
    assert budgets.spare(state, POOL, include_evacuated=True) == 4
