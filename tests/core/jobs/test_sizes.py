"""Learned sizes: bounded, robust, from the log alone."""

import math
from random import Random

import pytest
from hypothesis import given, settings, strategies as st

from courselead.core.fleet.records import JobEnd, JobOutcome
from courselead.core.jobs import sizes
from courselead.core.jobs.sizes import Ratio, Sizes
from tests.core.jobs.agents import Truth
from tests.core.jobs.rig import Rig, job_spec


def learned(ratios: list[float]) -> Ratio:
    """Return the ratio after observations."""
    ratio = Ratio()
    for value in ratios:
        ratio = ratio.seen(value, 1.0)
    return ratio


def test_declared_value_stands_until_something_is_known():
    need = sizes.need_of(Sizes(), job_spec("a"))
    assert (need.cores, need.memory_mb, need.run_ms) == (4.0, 1_000, 5_000)


def test_middle_of_the_true_ratios_is_found():
    random = Random(1)
    seen = [math.exp(random.gauss(math.log(3), 0.5)) for _ in range(200)]
    assert learned(seen).factor(0.0) == pytest.approx(3.0, rel=0.3)


def test_margin_covers_most_jobs():
    random = Random(2)
    draws = [math.exp(random.gauss(0, 0.8)) for _ in range(400)]
    factor = learned(draws[:200]).factor(sizes.MEMORY_MARGIN)
    covered = sum(draw <= factor for draw in draws[200:]) / 200
    assert 0.85 <= covered < 1.0


def test_one_outlier_changes_little():
    steady = [1.0] * 100
    assert learned([*steady, 1e9]).factor(0.0) < 1.2


@settings(derandomize=True, max_examples=100)
@given(
    st.lists(st.floats(allow_nan=True, allow_infinity=True), max_size=30),
    st.floats(0, 3),
)
def test_factor_is_bounded_whatever_workers_report(reports, margin):
    ratio = Ratio()
    for used in reports:
        ratio = ratio.seen(used, 2.0)
    assert 1 / sizes.MAX_RATIO <= ratio.factor(margin) <= sizes.MAX_RATIO


def test_run_time_is_learned_from_whole_runs_only():
    spec = job_spec("a", run_ms=1_000)
    end = JobEnd("a", 1, JobOutcome.DONE, ran_ms=100)
    part = sizes.learn(Sizes(), spec, end, resumed=True)
    whole = sizes.learn(Sizes(), spec, end, resumed=False)
    assert sizes.need_of(part, spec).run_ms == 1_000
    assert sizes.need_of(whole, spec).run_ms < 1_000


def test_all_hosts_learn_the_same_and_pack_by_it():
    rig = Rig(workers=1)
    for number in range(12):
        job_id = f"j{number}"
        rig.truths[job_id] = Truth(work_ms=1_000, cores=1.0, memory_mb=100)
        rig.submit(job_spec(job_id), request_id=job_id)
    rig.run_until(lambda: rig.is_over(*[f"j{number}" for number in range(12)]))
    rig.run_ms(200)

    first, *others = [host.jobs.sizes for host in rig.hosts]
    assert all(other == first for other in others)
    need = sizes.need_of(first, job_spec("x"))
    assert need.cores < 2.0
    assert need.memory_mb < 500
