"""Faults, and an injector that injects one at the n-th occurrence of a step."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from harness.hosts import SimHost
from harness.world import API, World

AFTER_FAULT_MS = 10_000
LOAD_MS = 5_000
EDIT_AFTER_MS = 4_800
POLL_MS = 250
LIST_LAG_MS = 6_000


@dataclass(slots=True)
class FaultContext:
    """What a fault acts on.

    Attributes:
        rng: Source of the duration of the fault and of the others that it affects.
    """

    world: World
    host: SimHost
    rng: Random

    def later(self, low_ms: int, high_ms: int, call: Callable, *args: object) -> None:
        """Call a function after a random delay."""
        self.world.sched.after(self.rng.randint(low_ms, high_ms), call, *args)


def kill(ctx: FaultContext) -> None:
    """Kill the process and start it again later, without its state."""
    ctx.host.kill()
    ctx.later(500, 5_000, ctx.world.restart, ctx.host.name)


def freeze(ctx: FaultContext) -> None:
    """Freeze the process, for a moment or until its peers hold it lost."""
    ctx.host.freeze()
    low_ms = ctx.rng.choice((200, 1_500, 4_500))
    ctx.later(low_ms, low_ms + 2_500, ctx.host.thaw)


def cut_zones(ctx: FaultContext) -> None:
    """Cut the connection between the two availability zones."""
    pair = frozenset(("za", "zb"))
    ctx.world.net.cuts.add(pair)
    ctx.later(800, 6_000, ctx.world.net.cuts.discard, pair)


def cut_platform(ctx: FaultContext) -> None:
    """Cut one host from the log and the list only."""
    net, host = ctx.world.net, ctx.host
    net.off_platform.add(host.name)

    def restore() -> None:
        net.off_platform.discard(host.name)
        if ctx.rng.random() < 0.5 and host.alive:
            # The log may have dropped the records that the host would read next.
            host.load_snapshot()

    ctx.later(800, 4_500, restore)


def platform_down(ctx: FaultContext) -> None:
    """Make the log and the list unreachable for all hosts."""
    net = ctx.world.net
    net.platform_down = True

    def restore() -> None:
        net.platform_down = False

    ctx.later(800, 4_500, restore)


def slow(ctx: FaultContext) -> None:
    """Slow down all messages of a host, and one minion of its zone."""
    net, host = ctx.world.net, ctx.host
    net.slow.add(host.name)
    ctx.later(1_000, 5_000, net.slow.discard, host.name)
    minions = [one.minion for one in _zone_workers(ctx) if one.minion is not None]
    if minions:
        ctx.rng.choice(minions).slow = 20


def lose_answers(ctx: FaultContext) -> None:
    """Lose the next answers to a host, whose calls take effect."""
    answers_to_lose = ctx.world.net.answers_to_lose
    answers_to_lose[ctx.host.name] = ctx.rng.randint(1, 4)


def delay_list(ctx: FaultContext) -> None:
    """Delay the membership list while the platform reclaims a worker."""
    membership = ctx.world.membership
    lag_ms = membership.lag_ms
    membership.lag_ms = LIST_LAG_MS
    worker = ctx.rng.choice(_zone_workers(ctx))
    if worker.name not in ctx.world.removed:
        ctx.world.reclaim_worker(worker.name)

    def restore() -> None:
        membership.lag_ms = lag_ms

    ctx.later(4_000, 7_000, restore)


def lapse_leases(ctx: FaultContext) -> None:
    """Cut a zone off and freeze its hosts for longer than a lease."""
    cut_zones(ctx)
    for host in ctx.world.hosts.values():
        if host.zone == ctx.host.zone:
            host.freeze()
            ctx.later(6_000, 7_000, host.thaw)


def race_edits(ctx: FaultContext) -> None:
    """Have operators edit the table at two hosts at once."""
    names = [name for name, host in ctx.world.hosts.items() if host.alive]
    if len(names) > 1:
        ctx.world.race_edits(*ctx.rng.sample(names, 2))


def fail_wave(ctx: FaultContext) -> None:
    """Crash some workers at once, and make another fail all its work."""
    workers = list(ctx.world.workers.values())
    ctx.rng.shuffle(workers)
    for worker in workers[:2]:
        if worker.up:
            worker.crash()
    workers[2].failing = True
    if workers[2].minion is not None:
        workers[2].minion.failing = True


def twice(ctx: FaultContext) -> None:
    """Inject two faults at once, at this host and at another one."""
    others = [one for one in ctx.world.hosts.values() if one is not ctx.host]
    other = ctx.rng.choice(others)
    first, second = ctx.rng.choices(_COMBINABLE, k=2)
    first(ctx)
    second(FaultContext(ctx.world, other, ctx.rng))


_COMBINABLE = (kill, freeze, cut_platform, cut_zones, slow, lose_answers)
FAULTS: dict[str, Callable[[FaultContext], None]] = {
    "kill": kill,
    "freeze": freeze,
    "cut_zones": cut_zones,
    "cut_platform": cut_platform,
    "platform_down": platform_down,
    "slow": slow,
    "answer_lost": lose_answers,
    "list_lagging": delay_list,
    "lease_lapsed": lapse_leases,
    "operators_racing": race_edits,
    "failure_wave": fail_wave,
    "twice": twice,
}


@dataclass(slots=True)
class Injector:
    """Injects one fault at a step.

    Attributes:
        nth: Occurrence of the step, from 1.
        injected_ms: When the fault was injected, -1 before.
    """

    world: World
    fault: str
    step: str
    place: str
    nth: int
    rng: Random
    injected_ms: int = -1
    _count: int = 0

    def on_step(self, host: SimHost, step: str, place: str) -> None:
        """Inject the fault at its occurrence of the step."""
        if self.injected_ms >= 0 or step != self.step or place != self.place:
            return
        self._count += 1
        if self._count < self.nth:
            return
        world = self.world
        self.injected_ms = world.sched.now_ms
        world.load_to_ms = self.injected_ms + LOAD_MS
        world.note(host.name, f"{self.fault} strikes {self.place} {self.step}")
        world.checks.arm()
        # An edit after the fault, early enough for the check that it takes effect.
        row = replace(API, queue_limit=API.queue_limit + 7)
        world.sched.after(EDIT_AFTER_MS, world.publish, (row,))
        FAULTS[self.fault](FaultContext(world, host, self.rng))


def run(injector: Injector, end_ms: int) -> None:
    """Run a world until `AFTER_FAULT_MS` after its fault, or to the end without one."""
    world = injector.world
    world.on_step = injector.on_step
    world.begin()
    while world.sched.now_ms < end_ms:
        world.sched.run_until(world.sched.now_ms + POLL_MS)
        if injector.injected_ms >= 0:
            end_ms = injector.injected_ms + AFTER_FAULT_MS
    world.checks.finish()


def _zone_workers(ctx: FaultContext) -> list:
    """Return the workers in the availability zone of the host."""
    zone = ctx.host.zone
    workers = ctx.world.workers.values()
    return [one for one in workers if one.info.availability_zone == zone]
