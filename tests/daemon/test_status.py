"""Status and alarms, derived from a state that was built by applying records."""

from dataclasses import replace

from immutables import Map

from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.records import (
    Batch,
    HostJoined,
    JobPlaced,
    JobSpec,
    JobsSubmitted,
    MinionUp,
    StopPlanned,
    StopPurpose,
    TablePublished,
    WorkerAssigned,
    WorkerDown,
    WorkerInfo,
    WorkersSeen,
    ZoneEvacuated,
)
from courselead.core.fleet.state import FleetState
from courselead.core.reducer import CoreState
from courselead.core.requests.state import PeerView
from courselead.core.table import AccountRow, RequestClass, ServiceRow
from courselead.daemon.alarms import find_alarms
from courselead.daemon.status import drain_statuses, pool_statuses, zone_statuses
from courselead.integrations.http_api.host import ZoneStatus
from tests.core.helpers import WALL_MS, identity

POOL = "aloisi/court"


def state(*records, workers=2):
    row = ServiceRow("aloisi", "court", workers=workers, availability_budget=0.5)
    infos = tuple(
        WorkerInfo(f"w{number}", "z1", "r1", f"127.0.0.1:{number}", 8.0, 1024)
        for number in range(1, workers + 1)
    )
    first = [
        HostJoined("a", 1, "z1", "127.0.0.1:1"),
        HostJoined("b", 1, "z1", "127.0.0.1:2"),
        TablePublished(-1, (AccountRow("aloisi"),), (row,), (), "ops"),
        WorkersSeen(infos),
    ]
    for info in infos:
        first.append(WorkerAssigned(info.worker, 0, POOL, 0))
        first.append(MinionUp(info.worker, 1, info.address))
    fleet = FleetState()
    fleet, _ = apply_batch(fleet, 0, batch("b", first[1]))
    fleet, _ = apply_batch(fleet, 1, batch("a", first[0], *first[2:]))
    fleet, applied = apply_batch(fleet, 2, replace(batch("a", *records), seq=2))
    assert all(item.verdict.accepted for item in applied)
    core_state = CoreState(identity())
    return replace(core_state, fleet=fleet, log_up=True)


def batch(name, *records):
    return Batch(name, 1, 1, WALL_MS, -1, tuple(records))


def stop(worker):
    return StopPlanned(worker, 1, StopPurpose.MAINTENANCE, "", 1, WALL_MS)


def test_a_pool_status_shows_the_remaining_budget():
    (pool,) = pool_statuses(state())
    assert (pool.members, pool.serving, pool.budget_left) == (2, 2, 1)
    (pool,) = pool_statuses(state(stop("w1")))
    assert (pool.members, pool.serving, pool.budget_left) == (2, 1, 0)


def test_a_drain_status_lists_the_entry_hosts_it_waits_for():
    (drain,) = drain_statuses(state(stop("w1")).fleet)
    assert (drain.worker, drain.phase, drain.service) == ("w1", "stopping", "court")
    assert drain.unsettled == ("a", "b")


def test_alarms_for_pools_workers_and_the_log():
    core_state = state(
        WorkerDown("w1", 1, "unreachable"), WorkerDown("w2", 1, "unreachable")
    )
    names = sorted(alarm.name for alarm in find_alarms(core_state, WALL_MS))
    assert names == ["pool-below-budget", "worker-down", "worker-down"]
    down = replace(core_state, log_up=False)
    assert "log-down" in {alarm.name for alarm in find_alarms(down, WALL_MS)}
    assert find_alarms(state(), WALL_MS) == ()


def test_a_zone_status_shows_the_evacuation_and_the_targets_with_work():
    """The operator waits until no target of the zone has work left."""
    spec = JobSpec("j", "aloisi", "court", RequestClass.BATCH, "p", 1.0, 1, 1, 0, True)
    records = [
        WorkersSeen((WorkerInfo("w9", "z2", "r1", "127.0.0.1:9", 8.0, 1024),)),
        JobsSubmitted((spec,)),
        JobPlaced("j", 1, "w1", 1, 1.0, 1, 1_000),
        ZoneEvacuated("z1", "kim", 5),
    ]
    core_state = state(*records, workers=4)
    peer = PeerView(1, 1, 0, Map(), Map({"w2": 3, "w1": 1}))
    requests = replace(
        core_state.requests,
        in_flight_by_worker=Map({"w3": 1}),
        peers=Map({"b": peer}),
    )
    first, second = zone_statuses(replace(core_state, requests=requests))
    assert first == ZoneStatus("z1", True, "kim", 5, 4, 3)
    assert second == ZoneStatus("z2", False, "", 0, 0, 0)
