"""Nothing runs twice, whatever is lost: answers, minions, owners."""

from courselead.core.scheduler.models import JobState
from tests.core.scheduler.world import World, job, step


def only_run(world: World) -> str:
    assert len(world.starts) == 1
    return world.starts[0][3]


def test_a_silent_minion_keeps_its_run_until_its_lease_is_over():
    world = World()
    world.claim()
    job_id = world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    silent = world.minions[only_run(world)]
    silent.cut = True
    world.run(9_000)
    assert len(world.starts) == 1
    world.lengths[job_id] = 300
    world.run(4_000)
    # The check of every start has seen that the first run was over by then.
    assert len(world.starts) == 2
    assert world.state(job_id) is JobState.COMPLETED


def test_a_slow_clock_is_reckoned_with():
    world = World()
    for minion in world.all_minions:
        minion.slowness = 0.98
    world.claim()
    world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    world.minions[only_run(world)].cut = True
    world.run(14_000)
    assert len(world.starts) == 2


def test_a_start_without_an_answer_is_not_repeated_elsewhere_before_it_is_resolved():
    world = World()
    world.lose_answers = 1.0
    world.claim()
    job_id = world.submit(job(step(1)))
    world.run(400)
    world.lose_answers = 0.0
    world.run(5_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_a_start_that_is_carried_out_late_does_nothing_after_its_stop():
    world = World()
    world.late_orders = 1.0
    world.claim()
    job_id = world.submit(job(step(1)))
    world.run(900)
    world.late_orders = 0.0
    world.run(12_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert len(world.starts) == 1


def test_a_new_owner_takes_over_what_runs():
    world = World()
    world.claim()
    job_id = world.submit(job(step(2)), length_ms=3_000)
    world.run(500)
    world.claim()
    world.run(5_000)
    assert len(world.starts) == 2
    assert world.state(job_id) is JobState.COMPLETED


def test_a_new_owner_waits_for_a_minion_that_it_has_not_heard_of():
    world = World()
    world.claim()
    world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    silent = world.minions[only_run(world)]
    silent.cut = True
    world.claim()
    world.run(9_000)
    assert len(world.starts) == 1
    world.run(5_000)
    assert len(world.starts) == 2


def test_a_minion_that_leaves_the_list_before_its_first_report_is_not_empty():
    # lakescore-sched trouble-1: the owner changed as the zone was cut.
    world = World()
    world.claim()
    world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    silent = world.minions[only_run(world)]
    silent.cut = True
    world.claim()
    world.run(1_500)
    world.unlist(silent.minion_id)
    world.run(6_000)
    assert len(world.starts) == 1


def test_a_life_that_only_the_cloud_knows_is_waited_for():
    world = World()
    world.claim()
    world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    silent = world.minions[only_run(world)]
    silent.cut = True
    world.unlist(silent.minion_id)
    world.claim()
    world.run(9_000)
    assert len(world.starts) == 1


def test_jobs_accepted_after_the_claim_start_at_once():
    world = World()
    world.claim()
    world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    world.minions[only_run(world)].cut = True
    world.claim()
    world.run(200)
    world.submit(job(step(1)), "00000000000000bb")
    world.run(200)
    assert len(world.starts) == 2


def test_an_end_is_noted_only_after_it_is_stored():
    world = World()
    world.claim()
    job_id = world.submit(job(step(1)))
    world.run(100)
    world.store_down = True
    world.run(3_000)
    assert not world.noted
    assert world.state(job_id) is not JobState.COMPLETED
    world.store_down = False
    world.run(1_000)
    assert world.noted
    assert world.state(job_id) is JobState.COMPLETED


def test_an_older_owner_that_wakes_steps_down():
    from courselead.core.scheduler import events as ev

    world = World()
    world.claim()
    world.run(300)
    world.claim()
    world.run(300)
    assert any(isinstance(item, ev.StepDown) for item in world.orders)


def test_a_life_that_the_cloud_has_no_more_is_not_waited_for():
    # lakescore-sched trouble-1: minions of workers that had just been moved were
    # still listed, and held up a pool for eleven seconds after a takeover.
    world = World()
    world.claim()
    world.submit(job(step(1)), length_ms=60_000)
    world.run(300)
    gone = only_run(world)
    worker_id = world.minions[gone].worker_id
    world.crash(gone, silent=True)
    world.claim()
    world.run(100)
    world.add_minion(worker_id)
    world.run(4_000)
    assert len(world.starts) == 2


def test_a_failed_run_that_is_reported_to_two_owners_counts_once():
    # aloisi-sched trouble-2: the end was stored, but not yet noted by the minion,
    # as all hosts lost power.
    world = World()
    world.claim()
    job_id = world.submit(job(step(1)))
    world.poison.add(job_id)
    world.run(700)
    for _ in range(3):
        world.claim()
        world.run(10)
    world.run(6_000)
    assert len(world.starts) == 3
    assert world.state(job_id) is JobState.FAILED
