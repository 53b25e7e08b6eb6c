"""Tests of requests while availability zones are evacuated."""

import random
from dataclasses import replace

import pytest
from immutables import Map

from courselead.core.effects import Abort, ProblemKind, Propose, RunState
from courselead.core.events import MembersListed, NotRunReason, SendNotRun
from courselead.core.fleet.state import EvacuationState, FleetState, WorkerPhase
from courselead.core.requests.admission import EVACUATED_RETRY_AFTER_MS
from tests.core.requests.cluster import Cluster
from tests.core.requests.fixtures import (
    POOL,
    Host,
    fleet_of,
    host_state,
    of_type,
    problems,
    sends,
    service,
    with_worker,
    worker_state,
)

NEAR = worker_state("near")
FAR = worker_state("far", "z2")


def with_evacuated(fleet: FleetState, *zones: str) -> FleetState:
    """Return a newer shared state in which exactly these zones are evacuated."""
    offset = fleet.offset + 1
    evacuations = Map({zone: EvacuationState(zone, "op", 0, offset) for zone in zones})
    return replace(fleet, evacuations=evacuations, offset=offset)


def host_of(*workers, evacuated=(), **row) -> Host:
    """Return a host of zone z1 that has read the workers and the evacuations."""
    fleet = fleet_of(workers=workers, services=(service(**row),))
    host = Host(with_evacuated(fleet, *evacuated))
    host.tick()
    return host


def evacuate(host: Host, *zones: str) -> list:
    """Let a host read that exactly these zones are evacuated; return its effects."""
    host.fleet = with_evacuated(host.fleet, *zones)
    return host.tick()


def check_rejected(effects: list, *zones: str, run=RunState.NOT_RUN) -> None:
    """Check that the effects reject one request because of the evacuated zones."""
    (reply,) = problems(effects)
    assert reply.problem.kind is ProblemKind.EVACUATED
    assert reply.problem.run is run
    assert reply.problem.retry_after_ms == EVACUATED_RETRY_AFTER_MS
    assert f"evacuated ({', '.join(zones)})" in reply.problem.detail


def test_requests_go_to_other_zones_until_the_zone_is_restored():
    """The own zone, which is preferred otherwise, must get no new request."""
    host = host_of(NEAR, FAR)
    (first,) = sends(host.arrive())
    assert first.worker == "near"
    assert not of_type(evacuate(host, "z1"), Abort)
    assert [sends(host.arrive())[0].worker for _ in range(4)] == ["far"] * 4
    host.answer(first)
    assert sends(host.arrive())[0].worker == "far"
    evacuate(host)
    assert sends(host.arrive())[0].worker == "near"


def test_a_request_in_flight_in_the_zone_ends_by_itself():
    """An evacuation must neither abort a request nor lose the count of its unit."""
    host = host_of(NEAR)
    (send,) = sends(host.arrive())
    assert not evacuate(host, "z1")
    assert host.state.in_flight_by_worker["near"] == 1
    host.answer(send)
    assert not host.state.in_use


def test_a_request_that_no_target_can_take_is_rejected_at_once():
    """With all zones evacuated, callers must not wait for their deadline."""
    host = host_of(NEAR, FAR, evacuated=("z1", "z2"))
    check_rejected(host.arrive(), "z1", "z2")
    evacuate(host, "z1")
    assert sends(host.arrive())[0].worker == "far"


def test_a_pool_whose_workers_are_all_in_the_zone_rejects_its_requests():
    """Workers of other pools outside the zone are no targets of this pool."""
    other = worker_state("other", "z2", pool="acme/api")
    host = host_of(NEAR, other, evacuated=("z1",))
    check_rejected(host.arrive(), "z1")


def test_a_request_with_a_key_is_rejected_before_its_key_is_claimed():
    """A rejected request must not occupy its idempotency key."""
    host = host_of(NEAR, evacuated=("z1",))
    effects = host.arrive(key="k", idempotent=False)
    check_rejected(effects, "z1")
    assert not of_type(effects, Propose)


@pytest.mark.parametrize("ceiling", [0, 1])
def test_queued_requests_are_rejected_when_their_last_zone_is_evacuated(ceiling):
    """Requests queued for a slot or below a ceiling would wait for their deadline."""
    host = host_of(NEAR, slots=1, ceiling=ceiling)
    assert sends(host.arrive())
    assert not host.arrive()
    check_rejected(evacuate(host, "z1"), "z1")


def test_queued_requests_are_rejected_when_the_last_other_target_stops():
    host = host_of(NEAR, FAR, evacuated=("z1",), slots=1)
    assert sends(host.arrive())
    assert not host.arrive()
    stopping = {"phase": WorkerPhase.STOPPING, "since": 1}
    host.fleet = with_worker(host.fleet, "far", **stopping)
    check_rejected(host.tick(), "z1")


def test_a_request_that_waits_for_its_claim_is_rejected():
    """It must not wait for the log to learn that no target is left."""
    host = host_of(NEAR)
    host.arrive(key="k", idempotent=False)
    check_rejected(evacuate(host, "z1"), "z1")
    assert not host.state.requests


def test_a_retry_is_rejected_when_no_target_is_left():
    """An attempt that ends after the evacuation must not be queued again."""
    host = host_of(NEAR)
    (send,) = sends(host.arrive())
    evacuate(host, "z1")
    refused = NotRunReason.REFUSED
    host.feed(SendNotRun(host.now_ms, send.request_id, send.attempt, refused))
    check_rejected(host.tick(2_000), "z1")


def test_a_worker_that_the_platform_reclaims_is_no_target_left():
    host = host_of(NEAR, FAR, evacuated=("z1",))
    host.feed(MembersListed(host.now_ms, 1, (), ("far",), ()))
    check_rejected(host.arrive(), "z1")


@pytest.mark.parametrize("ceiling", [0, 1])
def test_queued_requests_are_rejected_when_the_last_other_target_is_reclaimed(ceiling):
    """They would wait until a request in flight ends, or for their deadline."""
    host = host_of(NEAR, FAR, evacuated=("z1",), slots=1, ceiling=ceiling)
    assert sends(host.arrive())
    assert not host.arrive()
    effects = host.feed(MembersListed(host.now_ms, 1, (), ("far",), ()))
    check_rejected(effects, "z1")


def test_requests_wait_while_a_target_outside_is_only_busy():
    """A busy target is no reason to reject: the request can still be served."""
    host = host_of(NEAR, FAR, evacuated=("z1",), slots=1)
    (send,) = sends(host.arrive())
    assert not host.arrive()
    assert [one.worker for one in sends(host.answer(send))] == ["far"]


def test_a_restarted_host_uses_no_evacuated_zone():
    """Its first shared state comes from a snapshot that has the evacuation."""
    fleet = with_evacuated(fleet_of(workers=(NEAR, FAR)), "z1")
    host = Host(fleet)
    assert sends(host.arrive())[0].worker == "far"
    check_rejected(Host(with_evacuated(fleet, "z1", "z2")).arrive(), "z1", "z2")


def test_a_host_cut_off_from_the_log_uses_the_newest_state_it_has():
    host = host_of(NEAR, FAR, evacuated=("z1",))
    host.log_up = False
    assert sends(host.arrive())[0].worker == "far"


def test_targets_of_the_zone_do_not_count_when_targets_are_ejected():
    """Else all targets outside could be ejected as half of the pool."""
    workers = (NEAR, worker_state("n2"), FAR, worker_state("f2", "z2"))
    host = host_of(*workers, evacuated=("z1",))
    for _ in range(60):
        for send in sends(host.arrive()):
            host.tick(10)
            host.answer(send, 500)
    ejected = [name for name, one in host.state.health.items() if one.ejected_until_ms]
    assert len(ejected) == 1


class TestLoans:
    """Loans of units of targets in the zone."""

    def cluster(self):
        """Return hosts of two zones; `a` has borrowed and uses the units of `far`."""
        hosts = (host_state("a"), host_state("b", "z2"))
        cluster = Cluster.of(hosts, workers=(FAR,), services=(service(slots=2),))
        cluster.settle()
        for _ in range(2):
            cluster.arrive("a")
        cluster.run_rounds(10)
        assert cluster.outstanding() == {"far": 2}
        return cluster

    def evacuate(self, cluster, *zones):
        cluster.fleet = with_evacuated(cluster.fleet, *zones)

    def test_borrowed_units_in_use_stay_lent(self):
        """A lender that reads both records first must not use its units twice."""
        cluster = self.cluster()
        for zones in (("z2",), ()):
            self.evacuate(cluster, *zones)
            cluster.read("b")
        cluster.arrive("b")
        cluster.run_rounds(3)
        assert cluster.outstanding() == {"far": 2}
        cluster.read("a")
        cluster.answer(next(iter(cluster.open_sends)))
        cluster.run_rounds(10)
        assert cluster.outstanding() == {"far": 2}

    def test_units_are_returned_and_none_are_asked_for(self):
        """Units of an evacuated target serve nobody, so they go back."""
        cluster = self.cluster()
        self.evacuate(cluster, "z2")
        for name in ("a", "b"):
            cluster.read(name)
        for key in tuple(cluster.open_sends):
            cluster.answer(key)
        cluster.run_rounds(10)
        lender = cluster.hosts["b"].state
        assert "minion:far:1" not in lender.lent
        borrower = cluster.hosts["a"].state
        assert all(
            loan.units == 0
            for loan in borrower.borrowed.get("minion:far:1", {}).values()
        )

    def test_a_host_of_the_zone_borrows_units_outside_of_it(self):
        """Callers of an entry host in the zone are served by other zones."""
        hosts = (host_state("a"), host_state("b", "z2"))
        cluster = Cluster.of(hosts, workers=(NEAR, FAR), services=(service(slots=2),))
        self.evacuate(cluster, "z1")
        cluster.settle()
        request_id = cluster.arrive("a")
        cluster.run_rounds(5)
        (send,) = cluster.request_records[request_id].sends
        assert send.worker == "far"

    @pytest.mark.parametrize("seed", range(20))
    def test_no_target_gets_more_than_its_slots(self, seed):
        """Hosts read evacuations and their ends at different times."""
        rng = random.Random(seed)
        workers = (NEAR, FAR, worker_state("f2", "z2"))
        hosts = (host_state("a"), host_state("b", "z2"), host_state("c", "z2"))
        cluster = Cluster.of(hosts, workers=workers, services=(service(slots=3),))
        cluster.settle()
        names = tuple(cluster.hosts)
        known = set()
        for _ in range(300):
            step = rng.random()
            name = rng.choice(names)
            if step < 0.45:
                cluster.arrive(name)
            elif step < 0.7 and cluster.open_sends:
                cluster.answer(rng.choice(sorted(cluster.open_sends)))
            elif step < 0.8:
                zones = [zone for zone in ("z1", "z2") if rng.random() < 0.3]
                self.evacuate(cluster, *zones)
            elif step < 0.9:
                cluster.read(name)
            else:
                cluster.run_rounds(1)
            assert max(cluster.outstanding().values(), default=0) <= 3
            new = set(cluster.open_sends.items()) - known
            known |= new
            for (sender, _), send in new:
                host = cluster.hosts[sender]
                zone = host.fleet.workers[send.worker].availability_zone
                assert zone not in host.fleet.evacuations


def test_a_pool_of_another_account_is_not_affected():
    other = worker_state("other", "z2", pool="beta/web")
    fleet = fleet_of(workers=(NEAR, other), services=(service(), service("beta/web")))
    host = Host(with_evacuated(fleet, "z1"))
    check_rejected(host.arrive(POOL), "z1")
    assert sends(host.arrive("beta/web"))[0].worker == "other"
