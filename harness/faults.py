"""Faults, and the moment at which one strikes: the k-th time of a step."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from harness.hosts import SimHost
from harness.world import API, World

TAIL_MS = 10_000
LOAD_MS = 5_000
EDIT_AFTER_MS = 4_800
WATCH_MS = 250
LIST_LAG_MS = 6_000


@dataclass(slots=True)
class Strike:
    """One fault about to strike a host.

    Attributes:
        rng: Draws how long it lasts and whom else it meets.
    """

    world: World
    host: SimHost
    rng: Random

    def later(self, low_ms: int, high_ms: int, call: Callable, *args: object) -> None:
        """Call a function after a drawn time."""
        self.world.sched.after(self.rng.randint(low_ms, high_ms), call, *args)


def kill(strike: Strike) -> None:
    """End the process; it starts again later and knows nothing."""
    strike.host.kill()
    strike.later(500, 5_000, strike.world.restart, strike.host.name)


def freeze(strike: Strike) -> None:
    """Pause the process, for a moment or until it has been written off."""
    strike.host.freeze()
    low_ms = strike.rng.choice((200, 1_500, 4_500))
    strike.later(low_ms, low_ms + 2_500, strike.host.thaw)


def cut_zones(strike: Strike) -> None:
    """Cut the two availability zones from each other."""
    pair = frozenset(("za", "zb"))
    strike.world.net.cuts.add(pair)
    strike.later(800, 6_000, strike.world.net.cuts.discard, pair)


def cut_platform(strike: Strike) -> None:
    """Cut one host from the log and the list, and from nothing else."""
    net, host = strike.world.net, strike.host
    net.off_platform.add(host.name)

    def heal() -> None:
        net.off_platform.discard(host.name)
        if strike.rng.random() < 0.5 and host.alive:
            # The log may have let go of what this host was to read next.
            host.start_over()

    strike.later(800, 4_500, heal)


def platform_down(strike: Strike) -> None:
    """Let the log and the list be out of reach for all."""
    net = strike.world.net
    net.platform_down = True

    def heal() -> None:
        net.platform_down = False

    strike.later(800, 4_500, heal)


def slow(strike: Strike) -> None:
    """Let all of a host's exchanges be slow, and one minion of its zone."""
    net, host = strike.world.net, strike.host
    net.slow.add(host.name)
    strike.later(1_000, 5_000, net.slow.discard, host.name)
    minions = [one.minion for one in _workers_of(strike) if one.minion is not None]
    if minions:
        strike.rng.choice(minions).slow = 20


def lose_answers(strike: Strike) -> None:
    """Lose the next answers to a host, after what it asked for was done."""
    losing = strike.world.net.losing
    losing[strike.host.name] = strike.rng.randint(1, 4)


def lag_list(strike: Strike) -> None:
    """Let the list be old, just as a worker is taken back."""
    membership = strike.world.membership
    lag_ms = membership.lag_ms
    membership.lag_ms = LIST_LAG_MS
    worker = strike.rng.choice(_workers_of(strike))
    if worker.name not in strike.world.removed:
        strike.world.take_back(worker.name)

    def heal() -> None:
        membership.lag_ms = lag_ms

    strike.later(4_000, 7_000, heal)


def lapse_leases(strike: Strike) -> None:
    """Pause a zone's hosts, cut off from the other zone, beyond a lease."""
    cut_zones(strike)
    for host in strike.world.hosts.values():
        if host.zone == strike.host.zone:
            host.freeze()
            strike.later(6_000, 7_000, host.thaw)


def race(strike: Strike) -> None:
    """Have operators edit the table at two hosts at once."""
    names = [name for name, host in strike.world.hosts.items() if host.alive]
    if len(names) > 1:
        strike.world.race(*strike.rng.sample(names, 2))


def fail_wave(strike: Strike) -> None:
    """Crash some workers at once, and let a minion fail all it is given."""
    workers = list(strike.world.workers.values())
    strike.rng.shuffle(workers)
    for worker in workers[:2]:
        if worker.up:
            worker.crash()
    workers[2].failing = True
    if workers[2].minion is not None:
        workers[2].minion.failing = True


def twice(strike: Strike) -> None:
    """Let two faults strike at once, on this host and on another one."""
    others = [one for one in strike.world.hosts.values() if one is not strike.host]
    other = strike.rng.choice(others)
    first, second = strike.rng.choices(_SINGLE, k=2)
    first(strike)
    second(Strike(strike.world, other, strike.rng))


_SINGLE = (kill, freeze, cut_platform, cut_zones, slow, lose_answers)
FAULTS: dict[str, Callable[[Strike], None]] = {
    "kill": kill,
    "freeze": freeze,
    "cut_zones": cut_zones,
    "cut_platform": cut_platform,
    "platform_down": platform_down,
    "slow": slow,
    "answer_lost": lose_answers,
    "list_lagging": lag_list,
    "lease_lapsed": lapse_leases,
    "operators_racing": race,
    "failure_wave": fail_wave,
    "twice": twice,
}


@dataclass(slots=True)
class Injector:
    """Lets one fault strike at a step.

    Attributes:
        nth: At which occurrence.
        struck_ms: When it struck, -1 before.
    """

    world: World
    fault: str
    step: str
    place: str
    nth: int
    rng: Random
    struck_ms: int = -1
    _count: int = 0

    def on_step(self, host: SimHost, step: str, place: str) -> None:
        """Strike if this is the time."""
        if self.struck_ms >= 0 or step != self.step or place != self.place:
            return
        self._count += 1
        if self._count < self.nth:
            return
        world = self.world
        self.struck_ms = world.sched.now_ms
        world.load_to_ms = self.struck_ms + LOAD_MS
        world.note(host.name, f"{self.fault} strikes {self.place} {self.step}")
        world.checks.arm()
        # An edit after the fault, with time left to see it in force.
        row = replace(API, queue_limit=API.queue_limit + 7)
        world.sched.after(EDIT_AFTER_MS, world.publish, (row,))
        FAULTS[self.fault](Strike(world, host, self.rng))


def run(injector: Injector, end_ms: int) -> None:
    """Run a world until some time after its fault, or to the end without one."""
    world = injector.world
    world.on_step = injector.on_step
    world.begin()
    while world.sched.now_ms < end_ms:
        world.sched.run_until(world.sched.now_ms + WATCH_MS)
        if injector.struck_ms >= 0:
            end_ms = injector.struck_ms + TAIL_MS
    world.checks.finish()


def _workers_of(strike: Strike) -> list:
    """Return the workers of the host's zone."""
    zone = strike.host.zone
    workers = strike.world.workers.values()
    return [one for one in workers if one.info.availability_zone == zone]
