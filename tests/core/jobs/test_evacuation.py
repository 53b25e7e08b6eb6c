"""Tests of jobs while availability zones are evacuated.

The workers 0 and 2 of the rig are in `zone-0`, the workers 1 and 3 in `zone-1`.
"""

from dataclasses import replace

import pytest

from courselead.core.events import AgentOp
from courselead.core.fleet.records import JobPlaced, ZoneEvacuated, ZoneRestored
from courselead.core.fleet.state import JobPhase
from courselead.core.jobs.reserve import Reserve
from courselead.core.jobs.state import UrgentDemand
from courselead.core.table import RequestClass
from tests.core.jobs.rig import POOL, START_MS, Rig, job_spec

ZONE_0 = {"worker-0", "worker-2"}
ZONE_1 = {"worker-1", "worker-3"}


def evacuate(rig, *zones):
    rig.append_records(*[ZoneEvacuated(zone, "op", START_MS) for zone in zones])


def restore(rig, *zones):
    rig.append_records(*[ZoneRestored(zone, "op", START_MS) for zone in zones])


def submit(rig, prefix, count, **fields):
    """Submit jobs and return their ids."""
    fields.setdefault("run_ms", 1_000)
    specs = [job_spec(f"{prefix}{number}", **fields) for number in range(count)]
    rig.submit(*specs, request_id=prefix)
    return [spec.job_id for spec in specs]


def workers_of(rig, ids):
    return {run.worker for run in rig.runs if run.job_id in ids}


def test_jobs_start_in_other_zones_until_the_zone_is_restored():
    rig = Rig()
    evacuate(rig, "zone-0")
    rig.run_ms(300)
    during = submit(rig, "a", 20)
    rig.run_until(lambda: rig.is_over(*during))
    assert workers_of(rig, during) == ZONE_1
    restore(rig, "zone-0")
    rig.run_ms(300)
    after = submit(rig, "b", 20, cores=16.0)
    rig.run_until(lambda: rig.is_over(*after))
    assert workers_of(rig, after) == ZONE_0 | ZONE_1


def test_a_running_job_ends_where_it_is():
    """An evacuation must neither stop a running job nor let its lease lapse."""
    rig = Rig()
    (job_id,) = submit(rig, "a", 1, run_ms=40_000)
    rig.run_until(lambda: rig.runs_of(job_id))
    zone = rig.fleet.workers[rig.runs_of(job_id)[0].worker].availability_zone
    evacuate(rig, zone)
    rig.run_until(lambda: rig.is_over(job_id))
    assert rig.phase(job_id) is JobPhase.DONE
    assert len(rig.runs_of(job_id)) == 1


def test_with_all_zones_evacuated_jobs_wait_and_start_at_once_afterwards():
    """Jobs must not be refused as unplaceable, nor wait for the next retry."""
    rig = Rig()
    evacuate(rig, "zone-0", "zone-1")
    rig.run_ms(300)
    ids = submit(rig, "a", 3)
    rig.run_ms(20_000)
    assert not rig.runs
    assert {rig.phase(job_id) for job_id in ids} == {JobPhase.WAITING}
    # The pool's next pass after its retry interval is not due for a while.
    for host in rig.hosts:
        plans = {POOL: rig.now_ms + 60_000}
        host.jobs = replace(host.jobs, next_plan_ms=type(host.jobs.starts)(plans))
    restore(rig, "zone-1")
    assert rig.run_until(lambda: len(rig.runs) == 3) < 2_000
    assert workers_of(rig, ids) <= ZONE_1


def test_a_host_that_restarts_places_no_job_in_the_zone():
    rig = Rig(hosts=1)
    evacuate(rig, "zone-0")
    rig.run_ms(300)
    rig.hosts[0].alive = False
    rig.restart_host(rig.hosts[0])
    rig.run_ms(300)
    ids = submit(rig, "a", 10)
    rig.run_until(lambda: rig.is_over(*ids))
    assert workers_of(rig, ids) == ZONE_1


def append_around_placement(rig, before):
    """Append the evacuation of a worker's zone right before or after its first job."""
    append = rig.append

    def append_both(sender, records):
        placed = [one for one in records if isinstance(one, JobPlaced)]
        if placed:
            rig.append = append
            zone = rig.fleet.workers[placed[0].worker].availability_zone
            evacuated = (ZoneEvacuated(zone, "op", START_MS),)
            records = (*evacuated, *records) if before else (*records, *evacuated)
        append(sender, records)

    rig.append = append_both


def starts_in_evacuated_zones(rig):
    return [
        call
        for call in rig.calls
        if call.op is AgentOp.START_TASK
        and rig.fleet.workers[call.worker].availability_zone in rig.fleet.evacuations
    ]


def test_a_placement_by_a_host_that_reads_the_log_late_is_decided_again():
    """The placement was decided before the host read the evacuation."""
    rig = Rig(hosts=1)
    append_around_placement(rig, before=True)
    ids = submit(rig, "a", 3)
    assert rig.run_until(lambda: len(rig.runs) == 3) < 2_000
    assert len(rig.fleet.evacuations) == 1
    assert not starts_in_evacuated_zones(rig)
    assert {rig.fleet.jobs[job_id].attempt for job_id in ids} == {1}


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_start_that_was_not_sent_before_the_evacuation_is_not_sent(idempotent):
    """The placement and the evacuation are read together."""
    rig = Rig(hosts=1)
    append_around_placement(rig, before=False)
    (job_id,) = submit(rig, "a", 1, idempotent=idempotent)
    took_ms = rig.run_until(lambda: rig.is_over(job_id))
    assert rig.phase(job_id) is JobPhase.DONE
    assert took_ms < 40_000
    assert len(rig.fleet.evacuations) == 1
    assert not starts_in_evacuated_zones(rig)


def test_capacity_is_reserved_for_urgent_jobs_only_outside_of_the_zone():
    """The reserve would otherwise take more than its part of the usable workers."""
    rig = Rig(hosts=1)
    host = rig.hosts[0]
    demand = UrgentDemand(16.0, 4.0, 1_000, rig.now_ms)
    host.jobs = replace(
        host.jobs, urgent_demand=host.jobs.urgent_demand.set(POOL, demand)
    )
    before = Reserve.from_state(host.jobs, rig._context(host, ()), POOL)
    evacuate(rig, "zone-0")
    rig.run_ms(300)
    after = Reserve.from_state(host.jobs, rig._context(host, ()), POOL)
    assert 0 < after.count == before.count // 2


def test_an_urgent_job_is_placed_by_an_eviction_outside_of_the_zone():
    rig = Rig()
    submit(rig, "b", 16, cores=16.0, run_ms=60_000)
    rig.run_until(lambda: len(rig.runs) >= 4)
    evacuate(rig, "zone-0")
    rig.run_ms(1_000)
    (urgent,) = submit(rig, "u", 1, cores=16.0, request_class=RequestClass.URGENT)
    rig.run_until(lambda: rig.runs_of(urgent))
    assert workers_of(rig, [urgent]) <= ZONE_1
    moved = [one for one in rig.calls if one.op is AgentOp.CHECKPOINT_TASK]
    assert {one.worker for one in moved} <= ZONE_1
