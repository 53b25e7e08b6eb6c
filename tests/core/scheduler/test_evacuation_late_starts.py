"""Starts that a minion carries out seconds late, for jobs that were cancelled since.

The run has to be stopped within a bound of its start, whatever the state of its minion
and also if the owner that sent the start is permanently gone.
"""

from collections.abc import Callable

import pytest

from courselead.core.scheduler import events as ev
from courselead.core.scheduler.models import JobState
from tests.core.scheduler import world as world_module
from tests.core.scheduler.fake_minions import FakeMinion
from tests.core.scheduler.world import (
    CONTACT_MS,
    ENTRY_LOST_MS,
    STOP_MS,
    World,
    job,
    step,
    world_of_zones,
)

RUN_MS = 60_000
TAKEOVER_MS = 1_200
JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"


class LateStart:
    """A start order that its minion carries out late, and only once."""

    def __init__(self, world: World, delay_ms: int, silent: bool) -> None:
        """Catch the next start order; its minion is silent until it is carried out."""
        self.world = world
        self.minion: FakeMinion | None = None
        self.begun_ms: int | None = None
        self._delay_ms = delay_ms
        self._silent = silent
        self._deliver = world._order
        world._order = self._order

    def _order(self, owner, effect, act: Callable) -> None:
        if not isinstance(effect, ev.StartRun) or self.minion is not None:
            self._deliver(owner, effect, act)
            return
        world, fence = self.world, owner.schedule.fence
        sent_ms = world.now_ms
        minion = self.minion = world.minions[effect.minion_id]
        minion.cut = self._silent

        def unanswered() -> None:
            if owner in world.owners:
                answer = ev.OrderAnswered(
                    effect.minion_id,
                    effect.task,
                    effect.number,
                    "start",
                    ev.Outcome.UNKNOWN,
                    born_ms=effect.born_ms,
                )
                world._reply(owner, answer)

        def carry_out() -> None:
            minion.cut = False
            if minion.minion_id not in world.listed:
                world.list_entry(minion)
            world._delayed_since_ms = sent_ms
            outcome = world._start(minion, effect, fence)
            world._delayed_since_ms = None
            if outcome is ev.Outcome.OK:
                self.begun_ms = world.now_ms

        world._at(1_000, unanswered)
        world._at(self._delay_ms, carry_out)

    def check(self) -> None:
        """Check that the run has begun, and has ended in time."""
        assert self.minion is not None
        self.world.run(self._delay_ms + 10)
        assert self.begun_ms is not None, "the start was not carried out"
        left_ms = self.begun_ms + CONTACT_MS + STOP_MS - self.world.now_ms
        self.world.run(left_ms)
        running = [key for key in self.minion.runs if key[0] == TASK]
        assert not running, f"UNASKED: {TASK} on {self.minion.minion_id}"


def start_late(delay_ms: int, silent: bool, long_running=False) -> LateStart:
    """Return a start that is under way, for a job that is cancelled at once."""
    world = world_of_zones(6)
    world.claim()
    world.run(300)
    late = LateStart(world, delay_ms, silent)
    world.submit(job(step(1, long_running=long_running)), JOB, RUN_MS)
    world.run(100)
    assert late.minion is not None
    return late


def take_over(world: World) -> None:
    """Let the owner die, the job be cancelled and the next owner take over."""
    world.owners.remove(world.owner)
    world.owner = None
    world.cancel(JOB)
    world.run(TAKEOVER_MS)
    world.claim()


def drain(world: World, minion: FakeMinion) -> None:
    world.drain(minion.minion_id)


def evacuate(world: World, minion: FakeMinion) -> None:
    world.evacuate(minion.zone)


def evacuate_all(world: World, _: FakeMinion) -> None:
    for zone in {minion.zone for minion in world.all_minions}:
        world.evacuate(zone)


def lose_entry(world: World, minion: FakeMinion) -> None:
    world._at(ENTRY_LOST_MS, lambda: world.unlist(minion.minion_id))


def do_nothing(world: World, minion: FakeMinion) -> None:
    """Leave the minion in its usual state."""


@pytest.fixture(autouse=True, params=[world_module.POLL_MS, 2_800])
def _polls(request, monkeypatch) -> None:
    """Also poll as rarely as an idle minion is polled when one answer is lost."""
    monkeypatch.setattr(world_module, "POLL_MS", request.param)


STATES = [do_nothing, drain, evacuate, evacuate_all]


@pytest.mark.parametrize("long_running", [False, True])
@pytest.mark.parametrize("delay_ms", [2_000, 6_000, 12_000])
@pytest.mark.parametrize("change", [*STATES, lose_entry])
def test_on_a_minion_that_was_silent_for_a_while(change, delay_ms, long_running):
    # Guards against a run that its owner has given up while the minion was silent.
    late = start_late(delay_ms, silent=True, long_running=long_running)
    change(late.world, late.minion)
    late.world.cancel(JOB)
    late.check()


@pytest.mark.parametrize("delay_ms", [2_000, 6_000, 12_000])
@pytest.mark.parametrize("change", [*STATES, lose_entry])
def test_of_a_starter_that_is_gone(change, delay_ms):
    # Guards against a run that the next owner never started, on a minion that has not
    # answered it yet.
    late = start_late(delay_ms, silent=True)
    change(late.world, late.minion)
    take_over(late.world)
    late.check()


@pytest.mark.parametrize("delay_ms", [2_000, 6_000])
def test_of_a_starter_that_is_gone_on_a_minion_that_is_new_to_the_next_owner(delay_ms):
    # Guards against a minion whose entry the next owner reads only after the start.
    late = start_late(delay_ms, silent=True)
    late.world.unlist(late.minion.minion_id)
    take_over(late.world)
    late.check()


@pytest.mark.parametrize("change", STATES)
def test_of_a_starter_that_is_gone_before_the_next_owner_polls(change):
    # Guards against a run that begins between two owners, and so is known to neither.
    late = start_late(TAKEOVER_MS, silent=False)
    change(late.world, late.minion)
    take_over(late.world)
    late.check()


def test_the_run_of_a_job_that_has_ended_for_the_next_owner_is_stopped():
    # Guards against a run of a job that the next owner does not open, as it had ended.
    late = start_late(6_000, silent=True)
    world = late.world
    world.cancel(JOB)
    world.run(1_000)
    assert world.state(JOB) is JobState.CANCELLED
    world.owners.remove(world.owner)
    world.claim()
    world.run(300)
    assert JOB not in world.owner.schedule.jobs
    late.check()


@pytest.mark.parametrize("stops_lost", [1, 3])
def test_a_lost_stop_is_sent_again(stops_lost):
    # Guards against a run that goes on because its only stop was lost.
    late = start_late(2_000, silent=True)
    world = late.world
    world.cancel(JOB)
    world.run(1_850)
    deliver = world._order
    lost = 0

    def order(owner, effect, act):
        nonlocal lost
        if isinstance(effect, ev.StopRun) and lost < stops_lost:
            lost += 1
            return
        deliver(owner, effect, act)

    world._order = order
    late.check()


@pytest.mark.parametrize("change", STATES)
@pytest.mark.parametrize("takes_over", [False, True])
def test_a_run_of_an_unknown_job_is_stopped_until_it_ends(change, takes_over):
    # Guards against a run that the log does not explain, as its job was forgotten, and
    # against a single stop that may be lost.
    world = world_of_zones(3)
    world.claim()
    world.run(300)
    (minion, *_) = world.all_minions
    change(world, minion)
    if takes_over:
        minion.cut = True
        world.claim()
        world.run(300)
        minion.cut = False
    report = ev.RunReport(f"{7:016x}.0.0.0", 3, "", 0, 0)
    for _ in range(2):
        before = len(world.orders)
        answer = ev.PollAnswered(minion.minion_id, world.now_ms, 0, (report,), (), True)
        world._reply(world.owner, answer)
        orders = [
            item for item in world.orders[before:] if isinstance(item, ev.StopRun)
        ]
        assert [(order.task, order.number) for order in orders] == [(report.task, 3)]
