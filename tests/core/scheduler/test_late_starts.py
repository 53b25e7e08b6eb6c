"""Starts that a minion carries out as late as the platform allows."""

from tests.core.scheduler.test_evacuation_late_starts import JOB, LateStart
from tests.core.scheduler.world import job, step, world_of_zones

CUT_MS = 11_000
DELAY_MS = 12_000
LENGTH_MS = 20_000


def test_a_start_is_not_carried_out_beside_a_later_run_of_its_task():
    # Guards against two runs of one task: its minion was cut off until its lease was
    # over, the task was placed again, and the first start was carried out after that.
    world = world_of_zones(6)
    world.claim()
    world.run(300)
    late = LateStart(world, DELAY_MS, silent=True)
    world.submit(job(step(1)), JOB, LENGTH_MS)
    world.run(CUT_MS)
    assert late.minion is not None
    late.minion.cut = False
    # The world fails with TWICE if the start is carried out as well.
    world.run(DELAY_MS)
    assert late.begun_ms is None
    assert len(world.starts_of(f"{JOB}.0.0.0")) == 1
