"""Services at the limit of their budgets: drawn plays, and what they have found."""

import pytest

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import MaintenanceWave
from tests.core.scheduler.service_plays import ServiceSimulation
from tests.core.scheduler.world import World, job, step

SERVICE = "5" * 16
MAINTAINED_UNSEEN_SEED = 29
"""A wave restarts a worker while a task serves on its minion, which is not known yet
to be on that worker."""


@pytest.mark.parametrize("seed", [0, 1, 5, 8, MAINTAINED_UNSEEN_SEED])
def test_no_rule_is_broken_beside_services_at_their_limit(seed):
    assert ServiceSimulation(seed).run().idle == 0


def make_world() -> World:
    """Return a world in which all minions are known to be on their workers."""
    world = World(minions=2)
    world.claim()
    world.run(1_500)
    minions = world.owner.schedule.minions
    assert all(minion.worker_id for minion in minions.values())
    return world


def restart_with_service(world: World) -> None:
    """Restart a worker's minion; a service starts there before the cloud tells."""
    world.workers_known = False
    world.crash("i1")
    world.crash("i2")
    world.add_minion("w0")
    world.run(50)
    world.submit(job(step(1, long_running=True, may_miss=1)), SERVICE)
    world.run(500)
    [minion] = [item for item in world.all_minions if item.runs]
    assert minion.worker_id == "w0"


def test_no_order_goes_to_a_worker_that_may_have_an_unknown_minion_with_a_service():
    # Guards against an order that is based on a list older than the service's start.
    world = make_world()
    assert world.owner.schedule.may_order("w0")
    restart_with_service(world)
    assert not world.owner.schedule.may_order("w0")
    world.workers_known = True
    world.run(2_000)
    assert world.owner.schedule.may_order("w0")


def test_a_worker_whose_minion_has_answered_since_may_be_ordered():
    # Guards against waves that wait for each new minion of other workers.
    world = make_world()
    world.workers_known = False
    world.add_minion("w9")
    world.crash("i1")
    world.run(50)
    world.submit(job(step(1, cpu=4_000, long_running=True, may_miss=1)), SERVICE)
    world.submit(job(step(1, cpu=4_000, long_running=True, may_miss=1)), "6" * 16)
    world.run(3_000)
    assert world.owner.schedule.may_order("w1")


def test_a_wave_does_not_maintain_a_worker_with_a_service_it_does_not_know_of():
    world = make_world()
    restart_with_service(world)
    wave = MaintenanceWave(1, ("w0",), 60, 1)
    world.owner.handle(ev.WaveRequested(wave), world.now_ms)
    # The world checks that nothing serves on a worker that is maintained.
    world.run(3_000)
    world.workers_known = True
    world.run(10_000)
    assert world.maintained == ["w0"]
