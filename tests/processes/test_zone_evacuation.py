"""A zone is evacuated under load, through a rolling restart, and restored."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from tests.processes.callers import Load, check_tickets
from tests.processes.system import STATUS_OK, Answer, System, wait

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

ZONES = ("zone-0", "zone-1")
SERVED = 60
REJECTED_WITHIN_S = 1.0


async def test_an_evacuated_zone_gets_no_requests_until_it_is_restored(
    system: System,
) -> None:
    first = system.hosts[0]
    workers = await system.workers(first)
    inside = [
        name for name, one in workers.items() if one["availability_zone"] == ZONES[1]
    ]
    load = Load(system, system.hosts)
    async with _restored(system), anyio.create_task_group() as tasks:
        tasks.start_soon(load.run, 2, 4)
        await _wait_until_served(load)
        await _change(system, "evacuate", ZONES[1])
        await _wait_until_empty(system, ZONES[1])
        before = await _runs_of(system, inside)
        await _wait_until_served(load)
        for host in system.hosts:
            assert await system.end(host) == 0
            await system.start(host)
            await system.wait_until_ready()
        await _wait_until_served(load)
        assert await _runs_of(system, inside) == before
        load.stop()
    assert set(load.keyless_answers) <= {"ran", "not_run"}
    outcomes = await check_tickets(load)
    assert set(outcomes) == {"served"}
    load = Load(system, system.hosts)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.run, 0, 4)

        async def is_used() -> bool:
            runs = await _runs_of(system, inside)
            return all(runs[name] > before[name] for name in inside)

        await wait("the restored zone is used", is_used)
        load.stop()
    assert set(load.keyless_answers) == {"ran"}
    system.assert_no_fault()


async def test_with_all_zones_evacuated_requests_are_rejected_at_once(
    system: System,
) -> None:
    load = Load(system, system.hosts)
    async with _restored(system):
        for zone in (*ZONES, ZONES[0]):
            await _change(system, "evacuate", zone)
        for zone in ZONES:
            await _wait_until_empty(system, zone)
        for host in system.hosts:
            began_s = time.monotonic()
            answer = await load.keyed(host, load.ticket(host.name))
            assert time.monotonic() - began_s < REJECTED_WITHIN_S
            assert (answer.status, answer.kind) == (503, "zone-evacuated")
            assert answer.run == "not_run"
            assert ", ".join(ZONES) in answer.data["detail"]
            assert int(answer.header(b"retry-after")) >= 1
    for ticket in load.tickets:
        await load.settle(ticket, 0)
        assert ticket.outcome == "served"
    system.assert_no_fault()


@asynccontextmanager
async def _restored(system: System) -> AsyncIterator[None]:
    """Restore all zones at the end, since other tests use the same fleet."""
    try:
        yield
    finally:
        with anyio.CancelScope(shield=True):
            for zone in ZONES:
                await _change(system, "restore", zone)


async def _change(system: System, command: str, zone: str) -> None:
    """Send a command for a zone and wait until all hosts have applied it."""
    body = {"availability_zone": zone}
    path = f"/v1/zones/{command}"
    answer = await system.ask(system.hosts[0], "POST", path, body)
    assert answer.status == STATUS_OK, answer
    is_evacuated = command == "evacuate"

    async def everywhere() -> bool:
        found = [await _zone(system, host, zone) for host in system.hosts]
        return all(one.get("evacuated") is is_evacuated for one in found)

    await wait(f"all hosts have applied: {command} {zone}", everywhere)


async def _wait_until_empty(system: System, zone: str) -> None:
    """Wait until no target of a zone has work left by the lists of all hosts."""

    async def is_empty() -> bool:
        found = [await _zone(system, host, zone) for host in system.hosts]
        return not any(one["targets_with_work"] for one in found)

    await wait(f"{zone} is empty", is_empty)


async def _zone(system: System, host, zone: str) -> dict:
    """Return a zone as a host lists it, empty if the host does not answer."""
    answer: Answer = await system.ask(host, "GET", "/v1/zones")
    for found in answer.data.get("zones", ()):
        if found["availability_zone"] == zone:
            return found
    return {}


async def _runs_of(system: System, names: list[str]) -> dict[str, int]:
    """Return the number of executions of workers."""
    runs = await system.all_runs()
    return {name: runs.by_worker[name] for name in names}


async def _wait_until_served(load: Load) -> None:
    """Wait until a number of further requests has been served."""
    before = load.keyless_answers["ran"]

    async def served() -> bool:
        return load.keyless_answers["ran"] >= before + SERVED

    await wait("callers are served", served)
