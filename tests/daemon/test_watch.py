"""The look at the invariants: when it is made, and what it counts."""

from dataclasses import replace
from types import SimpleNamespace

import anyio
import pytest
from immutables import Map

from courselead.core.events import Tick
from courselead.core.fleet.state import FleetState, PoolCount
from courselead.core.invariants import check
from courselead.core.reducer import CoreState
from courselead.daemon.runtime import Runtime
from courselead.daemon.watch import CHECK_MS, InvariantWatch
from tests.core.helpers import identity

pytestmark = pytest.mark.anyio
BROKEN = FleetState(pools=Map({"acme/web": PoolCount(1, 1)}))


def test_a_sound_state_has_no_faults_and_a_broken_one_names_its_part() -> None:
    state = CoreState(identity())
    assert check(state) == ()
    assert [fault[:6] for fault in check(replace(state, fleet=BROKEN))] == ["fleet:"]


async def test_what_is_broken_is_counted_once_in_a_second() -> None:
    watch = InvariantWatch()
    state = replace(CoreState(identity()), fleet=BROKEN)
    counted = []
    for now_ms in (0, CHECK_MS, CHECK_MS + 1, 2 * CHECK_MS - 1, 200 * CHECK_MS):
        found = ()
        if watch.is_due(now_ms):
            found = await watch.look(replace(state, now_ms=now_ms))
        counted.append([measure.label for measure in found])
    assert counted == [[], ["fleet"], [], [], ["fleet"]]


async def test_the_runtime_counts_what_is_broken() -> None:
    counted = []
    ports = SimpleNamespace(measure=lambda measure: counted.append(measure.label))
    async with anyio.create_task_group() as tasks:
        state = replace(CoreState(identity()), fleet=BROKEN)
        Runtime(state, tasks, ports).dispatch(Tick(CHECK_MS, CHECK_MS))
    assert counted == ["fleet"]
