"""What callers do and what breaks, in each scenario."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks.requests.world import World
from benchmarks.slopes.fleets import Builder, Size, service_row, zone_name
from courselead.core.table import RequestClass

SLOTS = 8
MEAN_MS = 400.0
DEADLINE_MS = 5_000
WARM_MS = 4_000
BREAK_MS = 8_000
MEND_MS = 20_000
END_MS = 24_000
DRAIN_MS = 8_000
STEADY = 0.6
PEAK = 3.0
FLOOD = 10.0
KEYED_PART = 0.2
BALANCER_NOTICES_MS = 2_000
MIX = (
    (RequestClass.URGENT, 0.1),
    (RequestClass.NORMAL, 0.6),
    (RequestClass.BATCH, 1.0),
)


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Zones, entry hosts, and services with their minions; an account each."""

    name: str
    zones: int
    hosts: int
    services: int
    minions: int

    @property
    def size(self) -> Size:
        """Return the size for the builder."""
        workers = self.services * self.minions
        return Size(
            workers=workers,
            pools=self.services,
            accounts=self.services,
            hosts=self.hosts,
            zones=self.zones,
        )

    @property
    def pool_per_s(self) -> float:
        """Return what the slots of one pool serve per second."""
        return self.minions * SLOTS * 1_000.0 / MEAN_MS


ALOISI = FleetShape("Aloisi", 4, 6, 5, 8)
COOPERATIVE = FleetShape("Cooperative", 3, 6, 5, 6)


@dataclass(slots=True)
class Callers:
    """Open-loop callers of one run: they do not wait and do not call again."""

    world: World
    shape: FleetShape
    rng: Random
    skew: bool = False
    keyed_part: float = 0.0
    mix: tuple[tuple[RequestClass, float], ...] = MIX
    stopped: bool = False

    def start(self, load: float, services: range | None = None) -> None:
        """Call services at a part of what their slots serve."""
        for index in services or range(self.shape.services):
            row = service_row(self.shape.size, index)
            self._next(row.pool, load * self.shape.pool_per_s)

    def _next(self, pool: str, per_s: float) -> None:
        """Let the next request of a pool come after a drawn time."""
        delay_ms = self.rng.expovariate(per_s / 1_000.0)
        self.world.later(round(delay_ms), lambda: self._call(pool, per_s))

    def _call(self, pool: str, per_s: float) -> None:
        """Send one request and let the next one come."""
        if self.world.now_ms >= END_MS:
            return
        drawn = self.rng.random()
        request_class = next(one for one, upto in self.mix if drawn <= upto)
        keyed = self.rng.random() < self.keyed_part
        host = self._host()
        self.world.arrive(host, pool, request_class, DEADLINE_MS, keyed)
        self._next(pool, per_s)

    def _host(self) -> int:
        """Return the host that the balancer chooses."""
        hosts = self.shape.hosts
        if self.skew and self.rng.random() < 0.5:
            return 0
        host = self.rng.randrange(1, hosts) if self.skew else self.rng.randrange(hosts)
        world = self.world
        noticed = world.now_ms >= BREAK_MS + BALANCER_NOTICES_MS
        if host in world.dead and noticed:
            return (host + 1) % hosts
        return host


Scenario = Callable[[Callers], None]


def steady(callers: Callers) -> None:
    """Sixty per cent of what the slots serve."""
    callers.start(STEADY)


def peak(callers: Callers) -> None:
    """Three times what the slots serve, all the time."""
    callers.start(PEAK)


def slow_minion(callers: Callers) -> None:
    """Steady load; one minion of each pool takes ten times as long."""
    callers.start(STEADY)
    for name in _one_minion_each(callers):
        minion = callers.world.minions[name]
        callers.world.later(BREAK_MS, lambda minion=minion: _slow(minion, 10.0))


def black_hole(callers: Callers) -> None:
    """Steady load; one minion of each pool fails everything within 2 ms."""
    callers.start(STEADY)
    for name in _one_minion_each(callers):
        minion = callers.world.minions[name]
        callers.world.later(BREAK_MS, lambda minion=minion: _fail(minion))


def zone_cut(callers: Callers) -> None:
    """Steady load; one zone is cut from the others and the log for 12 s."""
    callers.start(STEADY)
    world = callers.world
    world.later(BREAK_MS, lambda: world.cut_zone(zone_name(0)))
    world.later(MEND_MS, lambda: world.heal_zone(zone_name(0)))


def dead_peer(callers: Callers) -> None:
    """Steady load; the last entry host dies, the balancer notices after 2 s."""
    callers.start(STEADY)
    world = callers.world
    world.later(BREAK_MS, lambda: world.kill(callers.shape.hosts - 1))


def log_down(callers: Callers) -> None:
    """Steady load, a fifth of it keyed; the log is down for 12 s."""
    callers.keyed_part = KEYED_PART
    callers.start(STEADY)
    world = callers.world
    world.later(BREAK_MS, lambda: world.set_log(False))
    world.later(MEND_MS, lambda: world.set_log(True))


def skewed(callers: Callers) -> None:
    """Steady load; one entry host gets half of it."""
    callers.skew = True
    callers.start(STEADY)


def batch_saturates(callers: Callers) -> None:
    """Batch at twice what the slots serve, and urgent requests on top from 8 s."""
    callers.mix = ((RequestClass.BATCH, 1.0),)
    callers.start(2.0)
    urgent = Callers(
        callers.world,
        callers.shape,
        Random(f"urgent:{callers.world.seed}"),
        mix=((RequestClass.URGENT, 1.0),),
    )
    callers.world.later(BREAK_MS, lambda: urgent.start(0.1))


def flood(callers: Callers) -> None:
    """Steady load of four accounts; the fifth sends ten times its capacity."""
    callers.start(STEADY, range(1, callers.shape.services))
    world = callers.world
    # Drawn apart, so that the others send the same with and without it.
    rng = Random(f"flood:{world.seed}")
    Callers(world, callers.shape, rng).start(FLOOD, range(1))


def no_flood(callers: Callers) -> None:
    """Steady load of four accounts alone."""
    callers.start(STEADY, range(1, callers.shape.services))


SCENARIOS: dict[str, Scenario] = {
    "steady": steady,
    "peak": peak,
    "slow_minion": slow_minion,
    "black_hole": black_hole,
    "zone_cut": zone_cut,
    "dead_peer": dead_peer,
    "log_down": log_down,
    "skewed": skewed,
    "batch_saturates": batch_saturates,
}
FLOODS: dict[str, Scenario] = {"flood": flood, "no_flood": no_flood}


def _one_minion_each(callers: Callers) -> list[str]:
    """Return the first minion of each pool."""
    serving = callers.world.builder.fleet.serving
    return [names[0] for _, names in sorted(serving.items())]


def _slow(minion: object, factor: float) -> None:
    minion.slow = factor


def _fail(minion: object) -> None:
    minion.failing = True


def build(shape: FleetShape) -> Builder:
    """Return the fleet of a shape."""
    return Builder.from_size(shape.size)
