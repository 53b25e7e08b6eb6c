"""Tests of the slots of a minion whose planned stop is cancelled."""

from dataclasses import replace

from courselead.core.fleet import stops, workers
from courselead.core.fleet.origin import Origin
from courselead.core.fleet.records import MinionUp, StopCancelled
from courselead.core.fleet.state import FleetState, WorkerPhase
from tests.core.requests.cluster import Cluster
from tests.core.requests.fixtures import (
    host_state,
    service,
    with_worker,
    worker_state,
)

SLOTS = 2
WORKER = "w1"


def with_stop(fleet: FleetState) -> FleetState:
    return with_worker(
        fleet, WORKER, phase=WorkerPhase.STOPPING, since=fleet.offset + 1
    )


def with_cancelled_stop(fleet: FleetState) -> FleetState:
    """Return the fleet after the cancellation and the confirmed start that follows."""
    worker = fleet.workers[WORKER]
    origin = Origin(fleet.offset + 1, "a", 1, 0, 0)
    cancelled = StopCancelled(WORKER, worker.epoch, "entry hosts did not settle")
    fleet, verdict = stops.stop_cancelled(fleet, origin, cancelled)
    assert verdict.accepted
    # The minion kept running, so its agent answers the start with the same address.
    started = MinionUp(WORKER, worker.epoch + 1, worker.minion_address)
    fleet, verdict = workers.minion_up(fleet, origin, started)
    assert verdict.accepted
    return replace(fleet, offset=origin.offset)


def test_requests_of_the_old_epoch_use_slots_after_a_cancelled_stop():
    # Guards against a minion that gets more requests than slots: each epoch has its
    # own quota, and units in use of the old one do not count for the new one.
    cluster = Cluster.of(
        (host_state("a"), host_state("b")),
        workers=(worker_state(WORKER),),
        services=(service(slots=SLOTS),),
    )
    cluster.settle()
    for name in ("a", "b"):
        cluster.arrive(name)
    assert cluster.outstanding()[WORKER] == SLOTS
    for change in (with_stop, with_cancelled_stop):
        cluster.fleet = change(cluster.fleet)
        for name in ("a", "b"):
            cluster.read(name)
    for name in ("a", "b"):
        cluster.arrive(name)
    assert cluster.outstanding()[WORKER] <= SLOTS
