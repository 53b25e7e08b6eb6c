"""Random simulations of owners with little memory for jobs; see `memory_plays`."""

import pytest

from tests.core.scheduler.memory_plays import MemorySimulation


@pytest.mark.parametrize("seed", range(8))
def test_no_rule_is_violated_while_jobs_wait_for_memory(seed):
    # Guards against review/9 and review/13. The world checks every start.
    results = MemorySimulation(seed).run()
    assert not results.waiting


def test_jobs_wait_for_memory_in_these_simulations():
    # Without it, the simulations would show nothing about jobs that wait.
    assert MemorySimulation(0).run().most_waiting > 1
