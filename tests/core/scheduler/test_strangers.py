"""Minions that are listed with a pool that no configuration names.

Another writer's entry may name a service that does not exist. Before, the owner looked
at whatever answered there, and followed it for as long as it was listed.
"""

from dataclasses import replace

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import FleetConfig, MinionInfo, Pool
from tests.core.scheduler.world import World, job, step

STRANGE = "no-such-pool"


def list_stranger(world: World) -> MinionInfo:
    info = replace(world.all_minions[0].info(), minion_id="i-x", pool=STRANGE)
    world.owner.handle(ev.MinionListed(info), world.now_ms)
    return info


def followed(world: World) -> list[str]:
    effects = world.owner.take_effects()
    return [item.minion_id for item in effects if isinstance(item, ev.FollowMinion)]


def test_a_minion_of_no_known_pool_is_not_called():
    world = World(minions=1)
    world.claim()
    world.run(100)
    list_stranger(world)
    assert followed(world) == []
    assert "i-x" not in world.owner.schedule.minions


def test_it_is_taken_once_a_configuration_names_its_pool():
    world = World(minions=1)
    world.claim()
    world.run(100)
    list_stranger(world)
    cfg = world.owner.schedule.config
    pools = {**cfg.pools, STRANGE: Pool(STRANGE)}
    changed = FleetConfig(cfg.version + 1, cfg.queues, pools)
    world.owner.handle(ev.ConfigChanged(changed), world.now_ms)
    assert followed(world) == ["i-x"]


def test_a_minion_whose_entry_was_written_over_gets_no_more_starts():
    world = World(minions=1)
    world.claim()
    world.run(100)
    known = world.all_minions[0].info()
    strange = replace(known, pool=STRANGE)
    world.owner.handle(ev.MinionListed(strange), world.now_ms)
    world.submit(job(step(1)))
    world.run(1_000)
    assert world.starts == []
    world.owner.handle(ev.MinionListed(known), world.now_ms)
    world.run(1_000)
    assert len(world.starts) == 1
