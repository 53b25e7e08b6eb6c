"""Metrics of a scheduling host about the evacuation of availability zones."""

from types import SimpleNamespace

import pytest

from courselead.core.scheduler.events import Outcome, StartRun
from courselead.core.scheduler.models import Bounds
from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.minion_tasks import MinionTasks
from courselead.daemon.scheduling.operator_config import OperatorConfigView
from courselead.daemon.scheduling.owner import Owner
from courselead.daemon.scheduling.ports import HostCounters
from courselead.platform.decode import RecordDecoder
from tests.core.scheduler.test_evacuation_moves import long_running, world_with
from tests.core.scheduler.world import ZONES, job
from tests.daemon.scheduling.fakes import MemoryLog

pytestmark = pytest.mark.anyio

EVACUATED = ZONES[0]


async def test_the_evacuated_zones_and_the_runs_left_there_are_exported():
    # Guards against figures that are missing, or kept after the schedule was lost.
    view = OperatorConfigView(RecordDecoder())
    counters = HostCounters()
    log = MemoryLog()
    platform = SimpleNamespace(jobs=log, starts=log, cloud=None, link=None)
    owner = Owner(
        SimpleNamespace(fence=1, first=True),
        "host",
        platform,
        None,
        view,
        Bounds(),
        counters,
    )

    def exported() -> tuple[int, int]:
        values = counters.current_values()
        return values["evacuated_zones"], values["runs_in_evacuated_zones"]

    assert exported() == (0, 0)
    world = world_with(job(long_running(2)))
    world.evacuate(EVACUATED)
    view.apply(KeyedRecord(f"evacuate/{EVACUATED}".encode(), b"{}"))
    owner.scheduler = world.owner
    assert exported() == (1, 2)
    owner.scheduler = None
    assert exported() == (1, 0)


async def test_starts_that_an_evacuation_forbids_are_counted():
    # Guards against refused starts of which the operator sees nothing, and against
    # counting those that are sent.
    world = world_with(job(long_running(2)))
    world.evacuate(EVACUATED)
    answers = []
    sent = []

    async def start(order, fence, may_send):
        sent.append(order.minion_id)
        return SimpleNamespace(
            outcome=Outcome.OK, clock_ms=0, reason="", repeated=False
        )

    counters = HostCounters()
    owner = SimpleNamespace(scheduler=world.owner, fence=1, handle=answers.append)
    tasks = MinionTasks(owner, lambda info: SimpleNamespace(start=start), counters)
    for minion in world.all_minions:
        await tasks.start(StartRun(minion.minion_id, "t", 1, "", 0, "", ""))
    outside = [item.minion_id for item in world.all_minions if item.zone != EVACUATED]
    assert sent == outside
    assert counters.counts["starts_refused_evacuation"] == 2
    assert [item.outcome for item in answers].count(Outcome.NOT_SENT) == 2
