"""Tests that units lent of a minion's slots stay lent while the minion stops."""

import pytest

from courselead.core.fleet.state import WorkerPhase
from courselead.core.table import RequestClass
from tests.core.requests.cluster import Cluster
from tests.core.requests.fixtures import (
    host_state,
    service,
    with_worker,
    worker_state,
)

STOPPED = "w2"
STOPPED_QUOTA = "minion:w2:1"
SLOTS = 2


def lending_cluster(phase: WorkerPhase) -> Cluster:
    """Return a cluster in which "b" lends "a" both slots of a minion that stops.

    Neither host has read of the stop yet, and both have queued requests.
    """
    cluster = Cluster.of(
        (host_state("a"), host_state("b", "z2")),
        workers=(worker_state("w1"), worker_state(STOPPED, "z2")),
        services=(service(slots=SLOTS, queue_limit=6),),
    )
    cluster.settle()
    cluster.fleet = with_worker(
        cluster.fleet,
        STOPPED,
        phase=phase,
        since=cluster.fleet.offset + 1,
    )
    submit_batch(cluster, "a", idempotent=False)
    cluster.run_rounds(3)
    assert cluster.outstanding()[STOPPED] == SLOTS
    submit_batch(cluster, "b", idempotent=True)
    return cluster


def submit_batch(cluster: Cluster, name: str, idempotent: bool) -> None:
    for _ in range(6):
        cluster.arrive(
            name,
            request_class=RequestClass.BATCH,
            idempotent=idempotent,
            deadline_ms=cluster.hosts[name].now_ms + 20_000,
        )


def answer_on_stopped(cluster: Cluster, name: str) -> None:
    """Let the stopping minion answer one of a host's requests."""
    key = next(
        key
        for key, send in cluster.open_sends.items()
        if key[0] == name and send.worker == STOPPED
    )
    cluster.answer(key)


@pytest.mark.parametrize("phase", [WorkerPhase.STOPPING, WorkerPhase.DOWN])
def test_units_in_use_stay_lent_after_the_borrower_reads_of_the_stop(phase):
    # Guards against a borrower that drops its loan as it reads of the stop: a lender
    # that has not read of it takes the units back and overfills the minion.
    cluster = lending_cluster(phase)
    cluster.read("a")
    cluster.write_heartbeat("a")
    cluster.run_rounds(1)
    assert cluster.outstanding()[STOPPED] == SLOTS


def test_units_on_a_stopped_minion_are_returned_as_their_requests_end():
    # Guards against a borrower that keeps a loan on a stopped minion: the lender could
    # use neither unit before it reads of the stop.
    cluster = lending_cluster(WorkerPhase.STOPPING)
    cluster.read("a")
    for left in (1, 0):
        answer_on_stopped(cluster, "a")
        cluster.run_rounds(1)
        by_host = [
            name
            for (name, _), send in cluster.open_sends.items()
            if send.worker == STOPPED
        ]
        assert (by_host.count("a"), by_host.count("b")) == (left, SLOTS - left)
    assert STOPPED_QUOTA not in cluster.hosts["a"].state.borrowed
    assert STOPPED_QUOTA not in cluster.hosts["a"].state.shares
    assert STOPPED_QUOTA not in cluster.hosts["b"].state.lent


def test_no_units_are_wanted_of_a_stopped_minion():
    # Guards against a borrower that asks for more units of a minion that it no longer
    # sends to, since it still holds some of them.
    cluster = lending_cluster(WorkerPhase.STOPPING)
    cluster.read("a")
    cluster.tick(200, "a")
    wants = [dict(report.wants) for _, report in cluster.reports_in_transit]
    assert wants and all(STOPPED_QUOTA not in one for one in wants)
