"""Jobs as graphs of steps, from submission to their end."""

import pytest

from courselead.core.scheduler import events as ev, placement
from courselead.core.scheduler.models import JobState, Resources
from tests.core.scheduler.world import (
    POOL,
    QUEUE,
    WALL_START_MS,
    World,
    config,
    job,
    step,
)


def tasks_started(world: World) -> list[str]:
    return [task.partition(".")[2] for _, task, _, _ in world.starts]


def test_steps_start_after_those_they_name_and_the_job_completes():
    world = World()
    world.claim()
    job_id = world.submit(job(step(3), step(2, after=(0,))))
    world.run(700)
    assert tasks_started(world)[:3] == ["0.0.0", "0.0.1", "0.0.2"]
    assert world.state(job_id) is JobState.RUNNING
    world.run(2_000)
    assert len(world.starts) == 5
    assert world.state(job_id) is JobState.COMPLETED


def test_a_task_that_fails_too_often_fails_its_job():
    world = World()
    world.claim()
    job_id = world.submit(job(step(1)))
    world.failing_jobs.add(job_id)
    world.run(6_000)
    assert world.state(job_id) is JobState.FAILED
    assert len(world.starts) == 3


def test_a_gang_starts_together_with_one_number_and_all_or_none():
    world = World(capacity=Resources(2_000, 4_000))
    world.claim()
    world.submit(job(step(2)), "00000000000000bb", 1_000)
    world.run(100)
    job_id = world.submit(job(step(3, gang=True)))
    world.run(500)
    assert not any(task.startswith(job_id) for _, task, _, _ in world.starts)
    world.run(1_500)
    gang = [start for start in world.starts if start[1].startswith(job_id)]
    assert len(gang) == 3
    assert len({number for _, _, number, _ in gang}) == 1
    assert len({at for at, _, _, _ in gang}) == 1


def test_a_cancelled_job_stops_and_starts_nothing_more():
    world = World(minions=1, capacity=Resources(1_000, 4_000))
    world.claim()
    job_id = world.submit(job(step(4)), length_ms=5_000)
    world.run(500)
    world.cancel(job_id)
    world.run(3_000)
    assert world.state(job_id) is JobState.CANCELLED
    assert len(world.starts) == 1
    assert not any(minion.runs for minion in world.all_minions)


def test_a_long_running_task_restarts_when_its_minion_dies():
    world = World()
    world.claim()
    job_id = world.submit(job(step(1, long_running=True)))
    world.run(500)
    first = world.starts[0][3]
    world.crash(first)
    world.run(20_000)
    assert [start[3] == first for start in world.starts] == [True, False]
    assert world.state(job_id) is JobState.RUNNING


def test_occurrences_start_when_they_are_due():
    world = World()
    world.claim()
    due = WALL_START_MS + world.now_ms + 1_000
    job_id = world.submit(job(step(1), first_due_ms=due, interval_ms=2_000, repeats=2))
    world.run(900)
    assert not world.starts
    world.run(8_000)
    assert tasks_started(world) == ["0.0.0", "1.0.0"]
    assert world.starts[0][0] + WALL_START_MS >= due
    assert world.starts[1][0] + WALL_START_MS >= due + 2_000
    assert world.state(job_id) is JobState.COMPLETED


def test_required_labels_and_the_limit_per_minion_hold():
    world = World(minions=1)
    world.add_minion("w8", labels=("b", "r2"))
    world.add_minion("w9", labels=("b", "r2"))
    world.claim()
    world.submit(job(step(4, required_label="b", max_per_minion=1)), length_ms=300)
    world.run(2_500)
    assert len(world.starts) == 4
    assert {start[3] for start in world.starts} == {"i2", "i3"}


def test_tickets_are_requested_and_only_advised_minions_are_used():
    from courselead.core.scheduler.models import AdvicePolicy

    world = World(minions=3, cfg=config(advice=AdvicePolicy(5, 1, 3_000)))
    world.advised = {"i2": "ticket"}
    world.claim()
    # All minions have reported by then, so one call names all of them.
    world.run(100)
    job_id = world.submit(job(step(2)))
    world.run(2_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert {start[3] for start in world.starts} == {"i2"}
    assert world.advice_calls == 1


def test_a_full_minion_gets_nothing_and_work_waits():
    world = World(minions=1, capacity=Resources(2_000, 4_000))
    world.claim()
    job_id = world.submit(job(step(6)))
    world.run(6_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_progress_survives_a_new_owner():
    world = World()
    world.claim()
    job_id = world.submit(job(step(2), step(2, after=(0,))))
    world.run(700)
    world.claim()
    world.run(3_000)
    assert world.state(job_id) is JobState.COMPLETED
    assert len(world.starts) == 4


@pytest.mark.parametrize("slow", [False, True])
def test_fillers_are_paced_by_the_tail_latency_of_serving_tasks(slow):
    world = World(minions=1)
    world.claim()
    world.submit(
        job(
            step(1, long_running=True, target_tail_ms=50),
            step(1, long_running=True, fills=True),
        )
    )
    world.figures["00000000000000aa.0.0.0"] = 80 if slow else 20
    world.run(2_000)
    filler = "00000000000000aa.0.1.0"
    assert (filler, 0) in world.paces if slow else not world.paces


def test_a_minion_on_which_all_runs_fail_does_not_fail_the_jobs():
    world = World(minions=3)
    world.all_minions[0].fails_all = True
    world.claim()
    ids = [f"{number:016x}" for number in range(6)]
    for job_id in ids:
        world.submit(job(step(2)), job_id)
        world.run(300)
    world.run(8_000)
    assert [world.state(job_id) for job_id in ids] == [JobState.COMPLETED] * 6


def test_start_orders_have_the_task_and_payload():
    world = World()
    world.claim()
    job_id = world.submit(job(step(1)))
    world.run(100)
    starts = [item for item in world.orders if isinstance(item, ev.StartRun)]
    assert starts[0].task == f"{job_id}.0.0.0"
    assert starts[0].payload == "payload"


def test_run_times_are_learned_without_the_wait_for_an_answer():
    world = World(minions=1)
    owner = world.claim()
    world.submit(job(step(1)), length_ms=500)
    world.run(300)
    (minion,) = owner.schedule.minions.values()
    (run,) = minion.runs.values()
    # Simulates a start that was answered five seconds after it was sent.
    run.started_ms -= 5_000
    world.run(2_000)
    assert 400 <= owner.schedule.run_ms[QUEUE] <= 800


def test_unplaceable_units_do_not_block_others():
    # Guards against unplaceable units that block others. Forty units with a label that
    # no worker had kept a thousand other units from idle minions (trial deployment).
    world = World(minions=2)
    world.claim()
    for number in range(12):
        world.submit(job(step(8, required_label="rare")), f"{number:016x}")
        world.submit(job(step(8, cpu=90_000)), f"{100 + number:016x}")
        world.submit(job(step(2, gang=True, cpu=90_000)), f"{200 + number:016x}")
    world.run(500)
    job_id = world.submit(job(step(16)))
    world.run(3_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_unplaceable_gangs_do_not_block_other_gangs():
    world = World(minions=2)
    world.claim()
    for number in range(60):
        world.submit(job(step(2, gang=True, cpu=90_000)), f"{number:016x}", 1)
    world.run(300)
    job_id = world.submit(job(step(2, gang=True, estimate_ms=90_000)))
    world.run(4_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_a_long_ready_list_is_placed_at_limited_intervals(monkeypatch):
    # Guards against too frequent placement rounds. On an owner with 0.516 cores each
    # run end led to a round over 3,400 units, and no start got its connection in time
    # (aloisi-sched-grown trouble-3).
    world = World(minions=1)
    owner = world.claim()
    world.run(300)
    count = placement.LONG_READY_LIST + 100
    world.submit(job(step(count)))
    round_times_ms = []
    place_pool = placement._place_pool
    monkeypatch.setattr(
        placement,
        "_place_pool",
        lambda schedule, *args: (
            round_times_ms.append(schedule.now_ms) or place_pool(schedule, *args)
        ),
    )
    waiting = len(owner.schedule.ready[POOL])
    assert waiting > placement.LONG_READY_LIST
    begin_ms = world.now_ms
    for after_ms in range(40):
        owner.schedule.dirty_pools.add(POOL)
        owner.place(begin_ms + after_ms)
    gap_ms = waiting // placement.UNITS_PER_MS
    assert len(round_times_ms) >= 2
    for before_ms, next_ms in zip(round_times_ms, round_times_ms[1:], strict=False):
        assert next_ms - before_ms >= gap_ms - 1


def test_a_short_ready_list_is_placed_at_each_change():
    world = World(minions=1)
    owner = world.claim()
    world.run(300)
    world.submit(job(step(40)))
    owner.schedule.dirty_pools.add(POOL)
    owner.place(world.now_ms)
    assert POOL not in owner.schedule.place_after_ms


def test_occurrences_due_at_once_are_opened_in_limited_numbers():
    """Guards against a single job that takes down every owner that reads it.

    200,000 occurrences without an interval were opened in one step. This blocked the
    owner for over a minute, in which the next owner took over and did the same.
    """
    world = World()
    world.claim()
    world.run(300)
    spec = job(step(1, cpu=100), first_due_ms=1, interval_ms=0, repeats=200_000)
    job_id = world.submit(spec, length_ms=100)
    opened = world.owner.schedule.jobs[job_id]
    assert len(opened.occurrences) <= 200
    world.run(3_000)
    assert len(opened.closed) > 200
    assert len(opened.occurrences) <= 201
