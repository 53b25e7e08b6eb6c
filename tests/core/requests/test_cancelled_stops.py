"""Tests of the slots of a minion whose planned stop is cancelled."""

from dataclasses import replace

import pytest

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


def lending_cluster() -> Cluster:
    """Return a cluster in which "a" uses a slot that "b" has lent it."""
    cluster = Cluster.of(
        (host_state("a"), host_state("b")),
        workers=(worker_state(WORKER),),
        services=(service(slots=SLOTS, queue_limit=6),),
    )
    cluster.settle()
    for _ in range(SLOTS):
        cluster.arrive("a", deadline_ms=cluster.hosts["a"].now_ms + 20_000)
    cluster.run_rounds(3)
    assert cluster.outstanding()[WORKER] == SLOTS
    assert cluster.hosts["b"].state.lent
    return cluster


def change_and_read(cluster: Cluster, change) -> None:
    cluster.fleet = change(cluster.fleet)
    for name in ("a", "b"):
        cluster.read(name)
        cluster.write_heartbeat(name)


@pytest.mark.parametrize("rounds", [0, 1, 5])
def test_lent_slots_stay_lent_after_a_cancelled_stop(rounds):
    # Guards against a lender that takes its slots back while they are in use.
    cluster = lending_cluster()
    change_and_read(cluster, with_stop)
    cluster.run_rounds(rounds)
    change_and_read(cluster, with_cancelled_stop)
    for _ in range(SLOTS):
        cluster.arrive("b")
        cluster.run_rounds(1)
        assert cluster.outstanding()[WORKER] <= SLOTS


def test_lent_slots_are_used_again_once_their_requests_have_ended():
    # Guards against slots that stay lent for good.
    cluster = lending_cluster()
    change_and_read(cluster, with_stop)
    change_and_read(cluster, with_cancelled_stop)
    for key in list(cluster.open_sends):
        cluster.answer(key)
    cluster.run_rounds(10)
    cluster.settle()
    for _ in range(SLOTS):
        cluster.arrive("b", deadline_ms=cluster.hosts["b"].now_ms + 20_000)
    cluster.run_rounds(10)
    assert cluster.outstanding()[WORKER] == SLOTS


def test_nothing_stays_lent_of_a_minion_that_has_stopped():
    # Guards against records of loans that nobody returns.
    cluster = lending_cluster()
    change_and_read(cluster, with_stop)
    for key in list(cluster.open_sends):
        cluster.answer(key)
    cluster.run_rounds(10)
    assert not cluster.hosts["b"].state.lent
    assert not cluster.hosts["a"].state.borrowed
