"""Lives that a task has lost in common with one that turns out to crash minions.

A task of a service lost four lives beside one to three jobs of others, and was given up
for them. Each of these jobs was given up, too, some seconds later, after it had crashed
minions alone: nothing took that back, nor waited for it.
"""

from courselead.core.scheduler import crashes
from courselead.core.scheduler.models import JobState, Life
from courselead.core.scheduler.state import Crash, Suspect, Unit
from tests.core.scheduler.world import World, job, step

SERVICE = "00000000000000dd"
GUILTY = "00000000000000cc"
SHARED = Life("i-shared", 7)
LATER_MS = 2_000


def world_with_suspects(shared: int, own: int) -> tuple[World, Unit, Unit]:
    """Return a service and another job that have lost lives, some in common.

    The service ran on after each of its losses, and waits at the limit of its starts.
    """
    world = World(minions=4)
    world.claim()
    world.run(300)
    world.submit(job(step(1, long_running=True)), SERVICE)
    world.submit(job(step(1)), GUILTY, length_ms=60_000)
    schedule = world.owner.schedule
    service = schedule.units[f"{SERVICE}.0.0.0"]
    guilty = schedule.units[f"{GUILTY}.0.0.0"]
    for unit in (service, guilty):
        for run in list(unit.runs):
            schedule.drop_run(run)
        schedule.suspects[unit.name] = Suspect(unit, schedule.now_ms)
    for number in range(shared + own):
        life = (
            Life(SHARED.minion_id, number) if number < shared else Life("i-own", number)
        )
        crash = Crash(number, life, 3_000, cleared=True)
        service.crashes[crash.key] = crash
    for number in range(max(shared, 1)):
        crash = Crash(number, Life(SHARED.minion_id, number), 100, alone=number > 0)
        guilty.crashes[crash.key] = crash
    return world, service, guilty


def convict(world: World, guilty: Unit) -> None:
    """Let a task crash minions alone until it is given up."""
    for number in range(10, 13):
        crash = Crash(number, Life("i-alone", number), 100, alone=True)
        guilty.crashes[crash.key] = crash
    world.owner.schedule.suspects[guilty.name].at_ms = 0
    crashes.tick(world.owner.schedule)


def test_a_service_at_its_limit_waits_for_what_its_companions_turn_out_to_be():
    world, service, guilty = world_with_suspects(shared=2, own=3)
    world.owner.schedule.now_ms += LATER_MS
    crashes.tick(world.owner.schedule)
    assert service.job.state is not JobState.FAILED
    convict(world, guilty)
    assert guilty.job.state is JobState.FAILED
    crashes.tick(world.owner.schedule)
    assert service.job.state is not JobState.FAILED
    assert service.limit_count == 3


def test_it_is_given_up_if_none_of_them_explains_its_losses():
    world, service, _ = world_with_suspects(shared=0, own=5)
    world.owner.schedule.now_ms += LATER_MS
    crashes.tick(world.owner.schedule)
    assert service.job.state is JobState.FAILED


def test_it_does_not_wait_for_ever():
    world, service, _ = world_with_suspects(shared=2, own=3)
    world.owner.schedule.now_ms += 11_000
    crashes.tick(world.owner.schedule)
    assert service.job.state is JobState.FAILED


def test_one_that_never_ran_on_keeps_its_crashes():
    """Two tasks that crash minions may meet on a life: one explains not the other."""
    world, other, guilty = world_with_suspects(shared=2, own=2)
    for key, crash in other.crashes.items():
        other.crashes[key] = Crash(crash.number, crash.life, 100)
    convict(world, guilty)
    assert other.limit_count == 4


def test_one_witness_is_enough_in_a_queue_of_a_task_that_was_given_up():
    """Jobs that crash minions come by the dozen, and each took four minions with it."""
    world, other, guilty = world_with_suspects(shared=0, own=0)
    schedule = world.owner.schedule
    for number in range(3):
        crash = Crash(number, Life("i-own", number), 100, alone=number == 2)
        other.crashes[crash.key] = crash
    schedule.now_ms += LATER_MS
    crashes.tick(schedule)
    assert other.job.state is not JobState.FAILED
    convict(world, guilty)
    crashes.tick(schedule)
    assert other.job.state is JobState.FAILED
