"""Property-based tests with random faults; the simulated world checks every start."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from courselead.core.scheduler import doubt, jobs, lost_runs, minions
from courselead.core.scheduler.doubt import NO_UNSEEN_TASKS
from courselead.core.scheduler.models import JobState
from tests.core.scheduler.world import World, job, step

JOB_SHAPES = (
    lambda: job(step(3), step(2, after=(0,))),
    lambda: job(step(4, max_per_minion=1, checkpoints=True)),
    lambda: job(step(2, gang=True), step(1, after=(0,))),
    lambda: job(step(2, speculative=True)),
    lambda: job(step(2, long_running=True, may_miss=1)),
)
FAULTS = ("none", "cut", "crash", "takeover", "store", "answers", "late", "drain")

steps = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, len(JOB_SHAPES) - 1),
        st.integers(50, 2_500),
        st.booleans(),
    ),
    min_size=3,
    max_size=12,
)


def simulate(script, seed: int, settle_ms: int = 45_000) -> World:
    world = World(minions=4, seed=seed)
    world.claim()
    for number, (fault, shape, wait_ms, submits) in enumerate(script):
        if submits:
            world.submit(JOB_SHAPES[shape](), f"{number:016x}", 300 + 100 * shape)
        inject_fault(world, fault, number)
        world.run(wait_ms)
    end_faults(world)
    world.run(settle_ms)
    return world


def inject_fault(world: World, fault: str, number: int) -> None:
    up = [item for item in world.all_minions if item.up]
    target = up[number % len(up)] if up else None
    if fault == "takeover":
        world.claim()
    elif fault == "store":
        world.store_down = not world.store_down
    elif fault == "answers":
        world.lose_answers = 0.3 - world.lose_answers
    elif fault == "late":
        world.late_orders = 0.3 - world.late_orders
    elif target is not None and fault == "cut":
        target.cut = not target.cut
        if target.cut and number % 2:
            world.unlist(target.minion_id)
    elif target is not None and fault == "crash":
        world.crash(target.minion_id)
        world.add_minion(target.worker_id)
    elif target is not None and fault == "drain":
        world.drain(target.minion_id)
        world.add_minion(f"x{number}")


def end_faults(world: World) -> None:
    world.store_down = False
    world.lose_answers = world.late_orders = 0.0
    for minion in world.all_minions:
        minion.cut = False
        if minion.up and minion.minion_id not in world.listed:
            world.listed.add(minion.minion_id)
            from courselead.core.scheduler.events import MinionListed

            world.owner.handle(MinionListed(minion.info()), world.now_ms)
    world.add_minion("spare")


@settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
@given(steps, st.integers(0, 3))
def test_no_rule_is_violated_and_all_jobs_end(script, seed):
    world = simulate(script, seed)
    for entry in world.book.jobs.values():
        has_long_running = any(item.long_running for item in entry.spec.steps)
        expected = JobState.RUNNING if has_long_running else JobState.COMPLETED
        assert entry.state is expected, entry.job_id
    for unit_job in world.owner.schedule.jobs.values():
        if unit_job.state.final:
            continue
        for unit in unit_job.occurrences[0][0].units:
            assert unit.runs, "a long-running task does not run"


def breaks_rule(script, seed=0) -> bool:
    try:
        simulate(script, seed, 20_000)
    except AssertionError as exc:
        return str(exc).split(":")[0] in ("TWICE", "ORDER", "LIMIT", "BUDGET", "ROUTE")
    return False


SCRIPTS = [
    [
        (fault, shape, wait, True)
        for wait in (200, 700)
        for shape in (0, 1, 4)
        for fault in (first, second)
    ]
    for first in FAULTS
    for second in ("takeover", "cut", "none")
]

DISABLED_GUARDS = {
    "doubt": (doubt, "_tasks_of_earlier_owners", lambda schedule: NO_UNSEEN_TASKS),
    "lease": (
        minions,
        "_expire_lease",
        lambda schedule, minion: [
            lost_runs.drop_lost_run(schedule, run) for run in list(minion.runs.values())
        ],
    ),
    "resolved": (
        minions,
        "_handle_start_answer",
        lambda schedule, minion, run, event: (
            None if event.outcome == "ok" else lost_runs.drop_lost_run(schedule, run)
        ),
    ),
    "after": (
        jobs,
        "_release_steps",
        lambda schedule, opened, number: [
            jobs.requeue(schedule, unit)
            for item in opened.occurrences[number]
            for unit in item.units
        ],
    ),
    "attempts": (jobs, "unit_failed", lambda schedule, unit, number: None),
}


@pytest.mark.parametrize("name", DISABLED_GUARDS)
def test_without_its_guard_a_rule_breaks(name, monkeypatch):
    module, attribute, replacement = DISABLED_GUARDS[name]
    monkeypatch.setattr(module, attribute, replacement)
    if name == "attempts":
        world = World()
        world.claim()
        world.submit(job(step(1)))
        world.failing_jobs.add("00000000000000aa")
        with pytest.raises(AssertionError, match="BUDGET"):
            world.run(20_000)
        return
    assert any(breaks_rule(script) for script in SCRIPTS)
