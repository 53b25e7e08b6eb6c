"""The first start of a task, which may be on no record, and whether it is known.

For a job of an earlier owner one crash more was counted than was known of, as its first
start is not stored. Each service has such an owner sooner or later, and was given up at
the fourth loss from then on, though its first run had been found at work: in 24 drawn
plays all of the services that were given up had lost four lives.
"""

import pytest

from courselead.core.scheduler.models import JobState
from tests.core.scheduler.test_crashing_tasks import noted
from tests.core.scheduler.test_long_services import (
    JOB,
    lose_its_minion,
    lose_its_minions,
    service,
)

PACE_MS = 14_000


@pytest.mark.parametrize("owners", [1, 3])
def test_a_run_that_was_found_at_work_hides_no_crash(owners):
    world = service()
    for _ in range(owners):
        world.claim()
        world.run(3_000)
    lose_its_minions(world, 4, PACE_MS)
    assert world.state(JOB) is JobState.RUNNING
    lose_its_minion(world, PACE_MS)
    assert world.state(JOB) is JobState.FAILED


def test_the_next_owner_knows_that_the_first_start_has_counted():
    world = service()
    lose_its_minion(world, PACE_MS)
    world.claim()
    world.run(3_000)
    lose_its_minions(world, 3, PACE_MS)
    assert world.state(JOB) is JobState.RUNNING


def test_a_first_start_of_which_nothing_is_known_counts():
    world = service()
    # Its minion is lost with the owner, which has stored nothing of it.
    world.claim()
    lose_its_minion(world, PACE_MS)
    known = len(noted(world, "task_crashed"))
    lose_its_minions(world, 4 - known, PACE_MS)
    assert world.state(JOB) is JobState.FAILED
