"""Signals that come while an entry host of a fleet is leaving."""

import signal

import anyio
import pytest

from tests.processes.callers import Load
from tests.processes.system import System, wait

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

HELD_MS = 9_000
"""Longer than a host goes on that is told twice to end."""

STATUS_NONE = 0


async def test_a_second_signal_tells_open_requests_how_they_ended(
    system: System,
) -> None:
    """A host that is told twice to end answers what it cuts off.

    The second signal ends a host at once, within 5 s, but its server let exchanges go
    on for 30 s: they were dropped with the process, and their callers read a broken
    connection in place of "unknown". A third signal found no handler any more and
    ended the process in between (exit code -15).
    """
    host = system.hosts[0]
    load = Load(system, system.hosts)
    ticket = load.ticket("held")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.keyed, host, ticket, HELD_MS)

        async def runs() -> bool:
            return (await system.all_runs()).by_ticket[ticket.name] == 1

        await wait("the held request runs", runs)
        system.processes.signal(host.name, signal.SIGTERM)
        await wait("it leaves", lambda: _has(system, host, "signal", 1))
        system.processes.signal(host.name, signal.SIGTERM)
        await wait("it is told again", lambda: _has(system, host, "signal", 2))
        assert await system.end(host) == 0
    [answer] = ticket.answers
    assert answer.status != STATUS_NONE, answer
    assert answer.run == "unknown"


async def test_a_host_reads_no_settings_at_sighup_and_serves_on(system: System) -> None:
    """SIGHUP ended a host at once, with all that was under way on it."""
    host = system.hosts[0]
    system.processes.signal(host.name, signal.SIGHUP)
    await wait("it is noted", lambda: _has(system, host, "signal_ignored", 1))
    assert await system.end(host) == 0


async def _has(system: System, host: object, event: str, count: int) -> bool:
    return len(system.lines(host, event)) >= count
