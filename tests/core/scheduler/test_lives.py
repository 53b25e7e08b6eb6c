"""A minion that starts again under the id that it had.

Its new life knows nothing of before: runs, clock, fence, numbers of ends. The world
checks each start: no task runs twice, and none is started again whose end was taken
note of.
"""

import random
from dataclasses import replace

import pytest

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import JobState, Pool, Resources
from tests.core.scheduler.world import World, job, step

BORN_MS = 1_700_000_000_000
SOON_MS = 1_000
"""Far less than a lease: what is over for certain is started again at once."""

LEASE_MS = 12_000
"""Longer than any lease, with its margins."""


def world_of_lives(minions=2, seed=0) -> World:
    world = World(minions=0, seed=seed)
    for number in range(minions):
        world.add_minion(f"w{number}", born_ms=BORN_MS)
    world.claim()
    return world


def place_of(world: World) -> str:
    return world.starts[-1][3]


def running_job(world: World, length_ms=60_000) -> tuple[str, str]:
    """Return a job whose task has been reported, and the minion that it runs on."""
    job_id = world.submit(job(step(1)), length_ms=length_ms)
    world.run(600)
    assert len(world.starts) == 1
    return job_id, place_of(world)


def test_runs_of_the_life_before_start_again_once_the_next_one_is_listed():
    world = world_of_lives()
    job_id, minion_id = running_job(world)
    world.lengths[job_id] = 300
    following = world.start_again(minion_id, BORN_MS + 5_000)
    world.list_entry(following)
    world.run(SOON_MS)
    assert len(world.starts) == 2
    assert world.state(job_id) is JobState.COMPLETED


def test_runs_of_the_life_before_start_again_once_the_next_one_answers_a_look():
    world = world_of_lives()
    job_id, minion_id = running_job(world)
    world.lengths[job_id] = 300
    world.start_again(minion_id, BORN_MS + 5_000)
    world.run(SOON_MS)
    assert len(world.starts) == 2
    # Its room and its pool may be others: nothing starts there before its entry.
    assert place_of(world) != minion_id
    assert world.state(job_id) is JobState.COMPLETED


def test_the_next_life_takes_work_as_a_new_minion_does():
    world = world_of_lives(minions=1)
    job_id, minion_id = running_job(world)
    world.lengths[job_id] = 300
    smaller = Resources(1_000, 100)
    following = world.start_again(minion_id, BORN_MS + 5_000, room=smaller)
    world.run(SOON_MS)
    assert len(world.starts) == 1
    world.list_entry(following)
    world.run(SOON_MS)
    assert world.state(job_id) is JobState.COMPLETED


def test_a_start_that_the_next_life_may_have_carried_out_is_stopped_there_first():
    world = world_of_lives()
    world.run(300)
    job_id = world.submit(job(step(1)), length_ms=3_000)
    minion_id = next(
        order.minion_id for order in world.orders if isinstance(order, ev.StartRun)
    )
    # The order is under way, and arrives at the next life.
    following = world.start_again(minion_id, BORN_MS + 5_000)
    world.run(20)
    assert place_of(world) == minion_id
    world.list_entry(following)
    world.run(8_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_a_start_that_was_held_up_and_reaches_the_next_life_does_nothing_there():
    world = world_of_lives()
    world.run(300)
    world.late_orders = 1.0
    job_id = world.submit(job(step(1)))
    world.run(300)
    assert world.starts == []
    world.late_orders = 0.0
    minion_id = next(
        order.minion_id for order in world.orders if isinstance(order, ev.StartRun)
    )
    world.list_entry(world.start_again(minion_id, BORN_MS + 5_000))
    world.run(LEASE_MS)
    assert world.state(job_id) is JobState.COMPLETED
    assert len(world.starts) == 1


def stray_start(world: World) -> tuple[str, str]:
    """Return a job whose first start is held up, and the minion it is on its way to."""
    world.run(300)
    world.late_orders = 1.0
    job_id = world.submit(job(step(1)), length_ms=300)
    world.run(50)
    world.late_orders = 0.0
    minion_id = next(
        order.minion_id for order in world.orders if isinstance(order, ev.StartRun)
    )
    return job_id, minion_id


def test_a_start_that_was_held_up_is_stopped_on_the_next_life_until_that_answers():
    """Tasks that were done began once more on a life that had started meanwhile.

    The one stop that was sent there was held up or lost, and the start came after it:
    run 2000001 was sent at 3.181 s, its stop to the next life at 4.511 s never arrived,
    and the start did at 7.004 s. Five of 300 drawn plays with late orders fail so.
    """
    world = world_of_lives()
    job_id, minion_id = stray_start(world)
    following = world.start_again(minion_id, BORN_MS + 5_000)
    following.cut = True
    world.list_entry(following)
    world.run(200)
    following.cut = False
    world.run(150)
    task = f"{job_id}.0.0.0"
    assert following.highest.get(task) == 1
    world.run(LEASE_MS)
    assert world.state(job_id) is JobState.COMPLETED
    assert len(world.starts) == 1


def test_starts_that_are_carried_out_no_more_are_forgotten():
    """They were kept for each minion that was lost, and read in each round."""
    world = world_of_lives()
    stray_start(world)
    world.run(3_000)
    assert world.owner.schedule.stray_starts
    world.run(LEASE_MS)
    assert world.owner.schedule.stray_starts == {}


def test_a_task_that_may_begin_on_a_life_that_does_not_answer_waits():
    """A task was started elsewhere while its held-up start could begin on a new life.

    That life was cut off from the owner and had answered no stop; the start that was
    held up reached it 0.1 s before the next one was sent to another minion.
    """
    world = world_of_lives(minions=3)
    job_id, minion_id = stray_start(world)
    world.lengths[job_id] = 5_000
    world.list_entry(world.start_again(minion_id, BORN_MS + 5_000))
    world.run(SOON_MS)
    assert len(world.starts) == 1
    following = world.start_again(minion_id, BORN_MS + 6_000)
    following.cut = True
    world.list_entry(following)
    world.list_entry(world.start_again(place_of(world), BORN_MS + 6_000))
    world.lengths[job_id] = 300
    world.run(1_500)
    assert len(world.starts) == 1
    following.cut = False
    world.run(SOON_MS)
    assert len(world.starts) == 2
    assert world.state(job_id) is JobState.COMPLETED


def test_an_entry_of_the_life_before_that_comes_late_changes_nothing():
    world = world_of_lives()
    old = world.minions["i1"].info()
    world.list_entry(world.start_again("i1", BORN_MS + 5_000))
    world.run(SOON_MS)
    job_id, minion_id = running_job(world, length_ms=2_000)
    for _ in range(3):
        world._tell(ev.MinionListed(old))
        world.run(100)
    world.run(3_000)
    assert len(world.starts) == 1
    assert world.state(job_id) is JobState.COMPLETED
    assert world.owner.schedule.minions["i1"].info.born_ms == BORN_MS + 5_000


def test_a_late_answer_of_the_life_before_changes_nothing():
    world = world_of_lives()
    job_id, minion_id = running_job(world, length_ms=2_000)
    following = world.start_again(minion_id, BORN_MS + 5_000)
    world.list_entry(following)
    task = world.starts[0][1]
    number = world.starts[0][2]
    late = (
        ev.HoldFailed(minion_id, ev.Outcome.OTHER_LIFE, "", BORN_MS),
        ev.OrderAnswered(
            minion_id, task, number, "start", ev.Outcome.UNKNOWN, born_ms=BORN_MS
        ),
        ev.HoldAnswered(
            minion_id,
            world.now_ms - 1,
            9_999_999,
            (),
            (ev.EndReport(70, task, number, ev.EndKind.DONE, ""),),
            BORN_MS,
        ),
    )
    for event in late:
        world._tell(event)
    assert world.owner.schedule.minions[minion_id].ended_seen == 0
    world.run(4_000)
    assert len(world.starts) == 2
    assert world.state(job_id) is JobState.COMPLETED


def test_a_minion_whose_clock_was_set_back_is_used_again():
    world = world_of_lives(minions=1)
    job_id, minion_id = running_job(world)
    world.lengths[job_id] = 300
    following = world.start_again(minion_id, BORN_MS - 3_600_000)
    world.list_entry(following)
    world.run(SOON_MS)
    assert world.state(job_id) is JobState.COMPLETED


def test_a_life_with_an_earlier_start_at_another_place_is_used_after_the_lease():
    """Where no look reaches it, its entry alone does not end the life that is known."""
    world = world_of_lives(minions=1)
    job_id, minion_id = running_job(world)
    world.lengths[job_id] = 300
    known = world.minions[minion_id]
    known.cut = True
    world.run(700)
    following = world.start_again(minion_id, BORN_MS - 3_600_000)
    # The life before stands in for one that still runs: looks go on to reach it only.
    known.up = True
    world.minions[minion_id] = known
    world.list_entry(following)
    world.run(3_000)
    assert len(world.starts) == 1
    known.up = False
    world.minions[minion_id] = following
    following.cut = True
    world.run(LEASE_MS)
    following.cut = False
    world.run(2_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_ends_of_the_next_life_are_acknowledged_from_none():
    world = world_of_lives(minions=1)
    for number in range(5):
        world.submit(job(step(1)), f"{number:016x}", length_ms=50)
        world.run(600)
    minion = world.owner.schedule.minions["i1"]
    assert minion.cursor == 5
    following = world.start_again("i1", BORN_MS + 5_000)
    world.list_entry(following)
    call = world.owner.hold_call("i1", world.now_ms)
    assert call.cursor == 0
    job_id = world.submit(job(step(1)), f"{9:016x}", length_ms=50)
    world.run(SOON_MS)
    assert following.sequence == 1
    assert world.state(job_id) is JobState.COMPLETED


def test_leases_that_the_next_life_may_have_got_are_reckoned_with():
    """A look meant for the life before may renew the next one's lease unseen."""
    world = world_of_lives()
    job_id, minion_id = running_job(world)
    following = world.start_again(minion_id, BORN_MS + 5_000)
    world.list_entry(following)
    schedule = world.owner.schedule
    following_lease_ms = schedule.minions[minion_id].lease_over_ms()
    assert following_lease_ms - world.now_ms >= world.bounds.lease_max_ms


def test_an_order_for_the_life_before_is_told_from_one_for_the_next():
    world = world_of_lives(minions=1)
    running_job(world)
    following = world.start_again("i1", BORN_MS + 5_000)
    world.list_entry(following)
    world.run(600)
    starts = [order for order in world.orders if isinstance(order, ev.StartRun)]
    assert [order.life.born_ms for order in starts] == [BORN_MS, BORN_MS + 5_000]


def test_a_worker_that_is_due_stays_cordoned_while_its_minion_starts_again():
    world = world_of_lives()
    world.owner.schedule.minions["i1"].cordoned = True
    world.list_entry(world.start_again("i1", BORN_MS + 5_000))
    assert world.owner.schedule.minions["i1"].cordoned


def test_a_life_that_began_after_a_move_takes_work_in_its_pool():
    for look_comes_first in (False, True):
        world = world_of_lives()
        schedule = world.owner.schedule
        schedule.config.pools["p2"] = Pool("p2")
        schedule.minions["i1"].cordoned = True
        following = world.start_again("i1", BORN_MS + 5_000)
        if look_comes_first:
            world.run(SOON_MS)
        world._tell(ev.MinionListed(replace(following.info(), pool="p2")))
        assert schedule.minions["i1"].info.pool == "p2"
        assert not schedule.minions["i1"].cordoned


def test_a_minion_that_starts_again_several_times_within_a_lease():
    world = world_of_lives()
    job_id, minion_id = running_job(world, length_ms=1_500)
    for count in range(1, 6):
        world.list_entry(world.start_again(minion_id, BORN_MS + count * 400))
        world.run(400)
    world.run(4_000)
    assert world.state(job_id) is JobState.COMPLETED


def test_minions_that_tell_no_start_are_one_life_as_before():
    world = World()
    world.claim()
    job_id = world.submit(job(step(1)), length_ms=1_000)
    world.run(300)
    world.list_entry(world.minions[place_of(world)])
    world.run(2_000)
    assert len(world.starts) == 1
    assert world.state(job_id) is JobState.COMPLETED


def lives_change(seed: int, late_orders: float) -> None:
    """Play restarts in series beside lost answers, cuts, new owners and old entries.

    Clocks are set back in half of the plays, and entries come late in the others: of a
    later start than the present life's, a late entry can't be told from a new life.
    """
    rng = random.Random(seed)
    world = world_of_lives(minions=4, seed=seed)
    world.lose_answers = rng.choice((0.0, 0.1))
    world.late_orders = late_orders
    clocks_go_back = rng.random() < 0.5
    born_ms = BORN_MS
    jobs = []
    for number in range(12):
        spec = job(step(rng.randint(1, 3)), step(1, after=(0,)))
        jobs.append(world.submit(spec, f"{number:016x}", rng.randint(50, 1_500)))
        world.run(rng.randint(0, 600))
        minion_id = rng.choice(sorted(world.minions))
        match rng.randrange(6):
            case 0 | 1 | 2:
                born_ms += rng.choice((1, 400, 5_000))
                if clocks_go_back and rng.random() < 0.3:
                    born_ms -= 20_000
                minion = world.start_again(minion_id, born_ms)
                minion.cut = rng.random() < 0.2
                if rng.random() < 0.5:
                    world.run(rng.randint(0, 700))
                world.list_entry(minion)
            case 3:
                world.claim()
            case 4 if not clocks_go_back:
                world._tell(ev.MinionListed(world.all_minions[0].info()))
    world.lose_answers = world.late_orders = 0.0
    for minion in world.all_minions:
        minion.cut = False
    for minion in world.minions.values():
        world.list_entry(minion)
    world.run(4 * LEASE_MS)
    assert {world.state(job_id) for job_id in jobs} == {JobState.COMPLETED}


@pytest.mark.parametrize("seed", range(60))
def test_nothing_runs_twice_and_nothing_is_lost_however_lives_change(seed):
    lives_change(seed, late_orders=0.0)


@pytest.mark.parametrize("seed", (*range(20), 118))
def test_nothing_runs_twice_where_orders_are_late_as_well(seed):
    """Starts that were held up reach a life that began after they were sent.

    A new life knows no fence and no stop, so for the moment until its first look a
    start that was held up may begin there, of this owner or of one before: of a task
    that has been started elsewhere meanwhile, or is done.
    """
    lives_change(seed, late_orders=0.15)


STEPS = (
    (step(2, gang=True), step(1, after=(0,))),
    (step(2, checkpoints=True),),
    (step(2, speculative=True),),
    (step(2), step(1, after=(0,))),
)


@pytest.mark.parametrize("seed", range(40))
def test_nothing_runs_twice_beside_gangs_drains_and_a_silent_store(seed):
    """Restarts beside drains, owners in the zone and out of it, and a silent store."""
    rng = random.Random(seed)
    world = world_of_lives(minions=4, seed=seed)
    world.lose_answers = rng.choice((0.0, 0.1))
    born_ms = BORN_MS
    jobs = []
    for number in range(10):
        spec = job(*rng.choice(STEPS))
        jobs.append(world.submit(spec, f"{number:016x}", rng.randint(50, 1_500)))
        world.run(rng.randint(0, 600))
        minion_id = rng.choice(sorted(world.minions))
        match rng.randrange(7):
            case 0 | 1 | 2:
                born_ms += rng.choice((1, 400, 5_000))
                world.list_entry(world.start_again(minion_id, born_ms))
            case 3:
                world.claim(rng.choice(("", "z")))
            case 4:
                world.drain(minion_id)
            case 5:
                world.store_down = True
                world.run(rng.randint(0, 1_500))
                world.store_down = False
    world.lose_answers = 0.0
    for minion in world.minions.values():
        minion.draining = False
        world.list_entry(minion)
    world.run(4 * LEASE_MS)
    assert {world.state(job_id) for job_id in jobs} == {JobState.COMPLETED}


def test_the_end_of_a_life_tells_what_was_lost_with_it():
    world = world_of_lives()
    _, minion_id = running_job(world)
    world.list_entry(world.start_again(minion_id, BORN_MS + 5_000))
    told = [
        order.fields
        for order in world.orders
        if isinstance(order, ev.Note) and order.event == "minion_dead"
    ]
    assert [row["born_ms"] for row in told] == [BORN_MS]
    assert told[0]["tasks"] == [world.starts[0][1]]
    assert told[0]["jobs"] == 1
