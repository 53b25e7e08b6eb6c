"""Load and injected faults of each scenario."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from benchmarks.requests.simulation import Simulation
from benchmarks.slopes.fleets import Builder, Size, service_row, zone_name
from courselead.core.table import RequestClass

SLOTS = 8
MEAN_MS = 400.0
DEADLINE_MS = 5_000
WARM_UP_MS = 4_000
FAULT_START_MS = 8_000
FAULT_END_MS = 20_000
ARRIVALS_END_MS = 24_000
DRAIN_MS = 8_000
STEADY_LOAD = 0.6
PEAK_LOAD = 3.0
FLOOD_LOAD = 10.0
KEYED_FRACTION = 0.2
BALANCER_DETECTION_MS = 2_000
CLASS_MIX = (
    (RequestClass.URGENT, 0.1),
    (RequestClass.NORMAL, 0.6),
    (RequestClass.BATCH, 1.0),
)


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size of a fleet; each service has a client account of its own."""

    name: str
    zones: int
    hosts: int
    services: int
    minions: int

    @property
    def size(self) -> Size:
        """Return the size that the builder takes."""
        workers = self.services * self.minions
        return Size(
            workers=workers,
            pools=self.services,
            accounts=self.services,
            hosts=self.hosts,
            zones=self.zones,
        )

    @property
    def pool_capacity_per_s(self) -> float:
        """Return the capacity of one pool in requests per second."""
        return self.minions * SLOTS * 1_000.0 / MEAN_MS


ALOISI = FleetShape("Aloisi", 4, 6, 5, 8)
COOPERATIVE = FleetShape("Cooperative", 3, 6, 5, 6)


@dataclass(slots=True)
class Callers:
    """Open-loop callers of one run: they neither wait for answers nor retry."""

    simulation: Simulation
    shape: FleetShape
    rng: Random
    skew: bool = False
    keyed_fraction: float = 0.0
    mix: tuple[tuple[RequestClass, float], ...] = CLASS_MIX
    stopped: bool = False

    def start(self, load: float, services: range | None = None) -> None:
        """Start calls to services at a multiple of the pool capacity."""
        for index in services or range(self.shape.services):
            row = service_row(self.shape.size, index)
            self._schedule_next(row.pool, load * self.shape.pool_capacity_per_s)

    def _schedule_next(self, pool: str, per_s: float) -> None:
        """Schedule the next request of a pool after an exponential delay."""
        delay_ms = self.rng.expovariate(per_s / 1_000.0)
        self.simulation.schedule(
            round(delay_ms), lambda: self._send_request(pool, per_s)
        )

    def _send_request(self, pool: str, per_s: float) -> None:
        """Send one request and schedule the next one."""
        if self.simulation.now_ms >= ARRIVALS_END_MS:
            return
        drawn = self.rng.random()
        request_class = next(option for option, limit in self.mix if drawn <= limit)
        keyed = self.rng.random() < self.keyed_fraction
        host = self._choose_host()
        self.simulation.submit_request(host, pool, request_class, DEADLINE_MS, keyed)
        self._schedule_next(pool, per_s)

    def _choose_host(self) -> int:
        """Return the entry host that the load balancer chooses."""
        hosts = self.shape.hosts
        if self.skew and self.rng.random() < 0.5:
            return 0
        host = self.rng.randrange(1, hosts) if self.skew else self.rng.randrange(hosts)
        simulation = self.simulation
        noticed = simulation.now_ms >= FAULT_START_MS + BALANCER_DETECTION_MS
        if host in simulation.dead_hosts and noticed:
            return (host + 1) % hosts
        return host


Scenario = Callable[[Callers], None]


def steady(callers: Callers) -> None:
    """Load of 60 % of the capacity."""
    callers.start(STEADY_LOAD)


def peak(callers: Callers) -> None:
    """Constant load of three times the capacity."""
    callers.start(PEAK_LOAD)


def slow_minion(callers: Callers) -> None:
    """Steady load; one minion of each pool becomes ten times slower."""
    callers.start(STEADY_LOAD)
    for name in _first_minions(callers):
        minion = callers.simulation.minions[name]
        callers.simulation.schedule(
            FAULT_START_MS, lambda minion=minion: _slow_down(minion, 10.0)
        )


def black_hole(callers: Callers) -> None:
    """Steady load; one minion of each pool fails every request within 2 ms."""
    callers.start(STEADY_LOAD)
    for name in _first_minions(callers):
        minion = callers.simulation.minions[name]
        callers.simulation.schedule(
            FAULT_START_MS, lambda minion=minion: _make_failing(minion)
        )


def zone_cut(callers: Callers) -> None:
    """Steady load; one zone cannot reach the other zones and the log for 12 s."""
    callers.start(STEADY_LOAD)
    simulation = callers.simulation
    simulation.schedule(FAULT_START_MS, lambda: simulation.isolate_zone(zone_name(0)))
    simulation.schedule(FAULT_END_MS, lambda: simulation.reconnect_zone(zone_name(0)))


def dead_peer(callers: Callers) -> None:
    """Steady load; the last entry host dies, and the balancer detects it after 2 s."""
    callers.start(STEADY_LOAD)
    simulation = callers.simulation
    simulation.schedule(
        FAULT_START_MS, lambda: simulation.kill_host(callers.shape.hosts - 1)
    )


def log_down(callers: Callers) -> None:
    """Steady load with a fifth of the requests keyed; the log is down for 12 s."""
    callers.keyed_fraction = KEYED_FRACTION
    callers.start(STEADY_LOAD)
    simulation = callers.simulation
    simulation.schedule(FAULT_START_MS, lambda: simulation.set_log_available(False))
    simulation.schedule(FAULT_END_MS, lambda: simulation.set_log_available(True))


def skewed(callers: Callers) -> None:
    """Steady load; one entry host receives half of the requests."""
    callers.skew = True
    callers.start(STEADY_LOAD)


def batch_saturates(callers: Callers) -> None:
    """Batch requests at twice the capacity, plus urgent requests from 8 s on."""
    callers.mix = ((RequestClass.BATCH, 1.0),)
    callers.start(2.0)
    urgent = Callers(
        callers.simulation,
        callers.shape,
        Random(f"urgent:{callers.simulation.seed}"),
        mix=((RequestClass.URGENT, 1.0),),
    )
    callers.simulation.schedule(FAULT_START_MS, lambda: urgent.start(0.1))


def flood(callers: Callers) -> None:
    """Steady load of four accounts; the fifth sends ten times its capacity."""
    callers.start(STEADY_LOAD, range(1, callers.shape.services))
    simulation = callers.simulation
    # A separate generator keeps the other requests the same with and without
    # the flood.
    rng = Random(f"flood:{simulation.seed}")
    Callers(simulation, callers.shape, rng).start(FLOOD_LOAD, range(1))


def no_flood(callers: Callers) -> None:
    """Steady load of four accounts without the flood."""
    callers.start(STEADY_LOAD, range(1, callers.shape.services))


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


def _first_minions(callers: Callers) -> list[str]:
    """Return the first minion of each pool."""
    serving = callers.simulation.builder.fleet.serving
    return [names[0] for _, names in sorted(serving.items())]


def _slow_down(minion: object, factor: float) -> None:
    minion.slowdown = factor


def _make_failing(minion: object) -> None:
    minion.failing = True


def build_fleet(shape: FleetShape) -> Builder:
    """Return a builder of a fleet of the given shape."""
    return Builder.from_size(shape.size)
