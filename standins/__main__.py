"""Runs stand-ins: `python -m standins log|membership|worker|fleet|site`.

Each command prints its addresses as one line of JSON when it is ready and serves until
SIGINT or SIGTERM.
"""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import cyclopts
import msgspec

from standins.faults import Endpoint
from standins.fleet import Fleet, FleetSpec
from standins.job_platform.site import Site, SiteSpec
from standins.log import LogStandin
from standins.membership import MembershipStandin
from standins.serving import Listener
from standins.worker import DEFAULT_REBOOT_MS, Worker, WorkerSpec

app = cyclopts.App(name="standins", help="Stand-ins for the external systems.")

Runner = Callable[..., Awaitable[None]]


@app.command
def log(port: int = 0, keep: int = 0) -> None:
    """Serve the append-only log; keep the last `keep` records, or all if 0."""
    anyio.run(_serve_log, port, keep)


@app.command
def membership(port: int = 0) -> None:
    """Serve a membership list, which is empty until set by `PUT /v1/members`."""
    anyio.run(_serve_membership, port)


@app.command
def worker(
    name: str,
    port: int = 0,
    reboot_ms: int = DEFAULT_REBOOT_MS,
    usage_lag_ms: int = 0,
) -> None:
    """Serve one worker's agent."""
    spec = WorkerSpec(name, reboot_ms, usage_lag_ms, port)
    anyio.run(_serve_worker, spec)


@app.command
def fleet(
    workers: int = 3,
    zones: int = 3,
    racks: int = 2,
    accounts: str = "shared",
    cores: float = 8.0,
    memory_mb: int = 16_384,
    reboot_ms: int = DEFAULT_REBOOT_MS,
    usage_lag_ms: int = 0,
    keep: int = 0,
    platform: bool = True,
) -> None:
    """Serve many workers in one process, with a log and a membership list of them.

    `accounts` is a comma-separated list of client accounts.
    """
    spec = FleetSpec(
        workers=workers,
        zones=zones,
        racks=racks,
        accounts=tuple(accounts.split(",")),
        cores=cores,
        memory_mb=memory_mb,
        reboot_ms=reboot_ms,
        usage_lag_ms=usage_lag_ms,
        keep=keep,
        with_platform=platform,
    )
    anyio.run(_serve_fleet, spec)


@app.command
def site(machines: int = 4, cpu: int = 4_000, pool: str = "web") -> None:
    """Serve the users' job platform: store, cloud and machines with minions."""
    anyio.run(_serve_site, SiteSpec(machines=machines, cpu=cpu, pool=pool))


async def _serve_site(spec: SiteSpec) -> None:
    served_site = Site(spec)
    await _serve(served_site.addresses(), served_site.run)


async def _serve_log(port: int, keep: int) -> None:
    listener = Listener(Endpoint(LogStandin(keep).handle), port)
    await _serve({"log": listener.address}, listener.run)


async def _serve_membership(port: int) -> None:
    listener = Listener(MembershipStandin().endpoint, port)
    await _serve({"membership": listener.address}, listener.run)


async def _serve_worker(spec: WorkerSpec) -> None:
    agent = Worker(spec)
    await _serve({"workers": {spec.worker: agent.address}}, agent.run)


async def _serve_fleet(spec: FleetSpec) -> None:
    served_fleet = Fleet(spec)
    await _serve(served_fleet.addresses(), served_fleet.run)


async def _serve(addresses: dict[str, Any], runner: Runner) -> None:
    """Serve until a signal arrives; print the addresses once everything is ready."""
    async with anyio.create_task_group() as group:
        await group.start(runner)
        print(msgspec.json.encode(addresses).decode("ascii"), flush=True)
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                break
        group.cancel_scope.cancel()


if __name__ == "__main__":
    app()
