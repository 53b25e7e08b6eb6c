"""Faults that the soak of real processes injects from outside."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import anyio

from demo.job_site import STATUS_OK, HostPorts, JobSite
from demo.relay import Direction, Relay

FaultFunction = Callable[["FaultInjector", float], Awaitable[None]]

SLOW_MS = 250
"""Delay of the answers of a slow store: 60 times the normal one."""

LOST_ANSWERS = 4
"""Number of answers that one fault loses: an append and its retries."""

MINION_RESTARTS = 3
"""Number of times that one fault restarts a minion."""


ZONES = ("z", "z-b", "z-c")
"""Availability zones of the machines."""

EVACUATE_S = 5.0
MAX_STRETCH_S = 6.0
"""Time after which nothing may start in an evacuated zone, and how much longer that is
while the store is unstable (`evacuateMs` and `maxStretchMs` of the platform)."""

CHECKED_S = 2.0
"""Time beyond the bound for which an evacuation lasts, so that starts are checked."""

LOW_CAP = 600
"""Lowered cap of an account, in thousandths of a core: one or two tasks."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, with its time and duration in seconds."""

    at_s: float
    name: str
    lasts_s: float


@dataclass(slots=True)
class FaultInjector:
    """Injects faults into a site; every host that it stops is started again."""

    site: JobSite
    rng: Random
    evacuated_within_s: float = EVACUATE_S
    evacuated: set[str] = field(default_factory=set)
    down: set[str] = field(default_factory=set)
    frozen: set[str] = field(default_factory=set)

    def any_host(self) -> HostPorts | None:
        """Return a random host that is neither down nor frozen."""
        faulty = self.down | self.frozen
        hosts = [host for host in self.site.hosts if host.name not in faulty]
        return self.rng.choice(hosts) if hosts else None

    def owner(self) -> HostPorts | None:
        """Return the owner of the schedule, None if it is down or frozen."""
        owner = self.site.owner()
        faulty = self.down | self.frozen
        return owner if owner is not None and owner.name not in faulty else None

    async def kill(self, host: HostPorts | None, lasts_s: float) -> None:
        """Kill a host and start it again."""
        await self._restart(host, lasts_s, self.site.processes.kill)

    async def end(self, host: HostPorts | None, lasts_s: float) -> None:
        """Send SIGTERM to a host and start it again."""
        await self._restart(host, lasts_s, self.site.processes.end)

    async def freeze(self, host: HostPorts | None, lasts_s: float) -> None:
        """Freeze a host for a time with SIGSTOP."""
        if host is None:
            return
        self.frozen.add(host.name)
        self.site.processes.signal(host.name, signal.SIGSTOP)
        await anyio.sleep(lasts_s)
        self.site.processes.signal(host.name, signal.SIGCONT)
        self.frozen.discard(host.name)

    async def _restart(
        self,
        host: HostPorts | None,
        lasts_s: float,
        stop: Callable[[str], Awaitable[object]],
    ) -> None:
        if host is None:
            return
        self.down.add(host.name)
        await stop(host.name)
        await anyio.sleep(lasts_s)
        await self.site.start(host)
        self.down.discard(host.name)

    def relays(self) -> list[Relay]:
        """Return the relays of all hosts to the store and those to the minions."""
        site = self.site
        return [*site.store_relays.values(), *site.minion_relays.values()]

    async def spread_machines(self) -> None:
        """Distribute the machines over the availability zones, round-robin."""
        for number, machine in enumerate(sorted(self.site.addresses["machines"])):
            zone = ZONES[number % len(ZONES)]
            await self.control(f"zone?machine={machine}&zone={zone}")

    async def control(self, call: str, body: object = None) -> None:
        """Send a test control call to the site."""
        store = self.site.addresses["store"]
        status, _ = await self.site.call(store, "POST", f"/+/{call}", body)
        assert status == STATUS_OK

    async def store(self, lasts_s: float, **faults: object) -> None:
        """Set faults of the store for a time."""
        await self.site.set_faults(self.site.addresses["store"], **faults)
        await anyio.sleep(lasts_s)
        await self.site.set_faults(self.site.addresses["store"])


async def _kill_all(injector: FaultInjector, lasts_s: float) -> None:
    async with anyio.create_task_group() as tasks:
        for host in injector.site.hosts:
            if host.name not in injector.down | injector.frozen:
                tasks.start_soon(injector.kill, host, lasts_s)


async def _crash_minion(injector: FaultInjector, lasts_s: float) -> None:
    await injector.site.crash_minion(
        injector.rng.choice(sorted(injector.site.addresses["machines"]))
    )


async def _restart_minion(injector: FaultInjector, lasts_s: float) -> None:
    """Restart a minion under the same id several times within a lease."""
    machine = injector.rng.choice(sorted(injector.site.addresses["machines"]))
    for _ in range(MINION_RESTARTS):
        await injector.site.restart_minion(machine)
        await anyio.sleep(lasts_s / MINION_RESTARTS)


async def _cut_store_relay(injector: FaultInjector, lasts_s: float) -> None:
    host = injector.owner() or injector.any_host()
    if host is None:
        return
    relay = injector.site.store_relays[host.name]
    relay.cut()
    await anyio.sleep(lasts_s)
    relay.restore()


async def _cut_minion_relay(injector: FaultInjector, lasts_s: float) -> None:
    relay = injector.rng.choice(list(injector.site.minion_relays.values()))
    relay.cut()
    await anyio.sleep(lasts_s)
    relay.restore()


async def _cut_one_direction(injector: FaultInjector, lasts_s: float) -> None:
    relay = injector.rng.choice(injector.relays())
    relay.cut(injector.rng.choice(list(Direction)))
    await anyio.sleep(lasts_s)
    relay.restore()


async def _reset(injector: FaultInjector, lasts_s: float) -> None:
    for relay in injector.relays():
        relay.reset()


async def _delay(injector: FaultInjector, lasts_s: float) -> None:
    relays = list(injector.site.minion_relays.values())
    for relay in relays:
        relay.delay_s = SLOW_MS / 1000
    await anyio.sleep(lasts_s)
    for relay in relays:
        relay.delay_s = 0.0


async def _change_keys(injector: FaultInjector, lasts_s: float) -> None:
    """Add a key to an account, and revoke its oldest one a little later."""
    accounts = injector.site.accounts
    if accounts is None:
        return
    name = injector.rng.choice(sorted(accounts.caps))
    accounts.add_key(name)
    await injector.site.write_config()
    await anyio.sleep(lasts_s)
    accounts.revoke_oldest(name)
    await injector.site.write_config()


async def _change_caps(injector: FaultInjector, lasts_s: float) -> None:
    """Lower an account's cap for a time."""
    accounts = injector.site.accounts
    if accounts is None:
        return
    name = injector.rng.choice(sorted(accounts.caps))
    accounts.caps[name] = LOW_CAP
    await injector.site.write_config()
    await anyio.sleep(lasts_s)
    # Not to the previous value: an overlapping fault may have lowered it, too.
    accounts.caps[name] = accounts.initial_caps[name]
    await injector.site.write_config()


async def _evacuate(injector: FaultInjector, lasts_s: float) -> None:
    """Evacuate a zone for a time; the ledger checks that nothing starts there."""
    zone = injector.rng.choice(sorted(set(ZONES) - injector.evacuated))
    injector.evacuated.add(zone)
    key = f"operator?key=evacuate/{zone}"
    within_ms = round(injector.evacuated_within_s * 1000)
    await injector.control(f"{key}&withinMs={within_ms}", {})
    await anyio.sleep(lasts_s)
    await injector.control(key)
    injector.evacuated.discard(zone)


async def _silence(injector: FaultInjector, lasts_s: float) -> None:
    for relay in injector.relays():
        relay.silence()


INJECTIONS: dict[str, tuple[FaultFunction, float]] = {
    "kill the owner": (lambda injector, s: injector.kill(injector.owner(), s), 2),
    "kill a host": (lambda injector, s: injector.kill(injector.any_host(), s), 3),
    "kill all hosts": (_kill_all, 2),
    "freeze the owner": (lambda injector, s: injector.freeze(injector.owner(), s), 6),
    "freeze a host": (lambda injector, s: injector.freeze(injector.any_host(), s), 4),
    "end the owner": (lambda injector, s: injector.end(injector.owner(), s), 1),
    "end a host": (lambda injector, s: injector.end(injector.any_host(), s), 1),
    "crash a minion": (_crash_minion, 0),
    "start a minion again": (_restart_minion, 3),
    "store down": (lambda injector, s: injector.store(s, down=True), 4),
    "store silent": (lambda injector, s: injector.store(s, freeze=True), 4),
    "store slow": (lambda injector, s: injector.store(s, slow_ms=SLOW_MS), 4),
    "store loses answers": (
        lambda injector, s: injector.store(s, lose_answers=LOST_ANSWERS),
        2,
    ),
    "cut a host from the store": (_cut_store_relay, 8),
    "cut a minion": (_cut_minion_relay, 13),
    "cut one way": (_cut_one_direction, 8),
    "delay answers of minions": (_delay, 4),
    "reset connections": (_reset, 0),
    "silence connections": (_silence, 0),
}
"""Faults by name, each with its longest duration in seconds."""

ACCOUNT_INJECTIONS: dict[str, tuple[FaultFunction, float]] = {
    "change keys": (_change_keys, 3),
    "change caps": (_change_caps, 6),
}
"""Changes of client accounts by the operator, each with its longest duration."""


EVACUATION = "evacuate a zone"
EVACUATION_INJECTIONS: dict[str, tuple[FaultFunction, float]] = {
    EVACUATION: (_evacuate, 3),
}
"""The operator's requests for zones, with the longest duration of a short one."""

STORE_FAULTS = {
    "store down",
    "store silent",
    "store slow",
    "store loses answers",
    "cut a host from the store",
    "cut one way",
    "reset connections",
    "silence connections",
}
"""Faults during which the store is unstable for a host."""


def draw_faults(
    rng: Random,
    count: int,
    until_s: float,
    injections: dict[str, tuple[FaultFunction, float]] = INJECTIONS,
) -> tuple[Fault, ...]:
    """Return random faults, ordered by time; they may overlap."""
    faults = []
    for _ in range(count):
        name = rng.choice(sorted(injections))
        at_s = round(rng.uniform(0.5, until_s), 2)
        faults.append(Fault(at_s, name, round(rng.uniform(0, injections[name][1]), 2)))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def evacuation_bound_s(
    faults: Iterable[Fault], store_is_unstable: bool = False
) -> float:
    """Return the time after which nothing may start in an evacuated zone.

    Args:
        faults: The faults of the run.
        store_is_unstable: Whether the store sends malformed answers during the run.
    """
    unstable = store_is_unstable or any(fault.name in STORE_FAULTS for fault in faults)
    return EVACUATE_S + MAX_STRETCH_S * unstable


def draw_evacuations(rng: Random, until_s: float, within_s: float) -> tuple[Fault, ...]:
    """Return an early evacuation that outlasts the bound, and a short one."""
    at_s = round(rng.uniform(0.5, 1.0), 2)
    outlasting = Fault(at_s, EVACUATION, within_s + CHECKED_S)
    return outlasting, *draw_faults(rng, 1, until_s, EVACUATION_INJECTIONS)
