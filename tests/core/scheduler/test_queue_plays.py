"""Random simulations of queues that move, go and come back; see `queue_plays`."""

import pytest

from tests.core.scheduler.queue_plays import QueueSimulation


@pytest.mark.parametrize("seed", range(8))
def test_no_rule_is_violated_while_queues_move_and_go(seed):
    # Guards against review/4, review/7 and review/8. The world checks every start.
    results = QueueSimulation(seed).run()
    assert results.changes
    assert not results.waiting
    assert not results.failed_early
