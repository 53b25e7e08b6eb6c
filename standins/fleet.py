"""Runs the stand-ins of a whole platform in one process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import anyio.abc

from standins.faults import Endpoint
from standins.log import LogStandin
from standins.membership import MembershipStandin
from standins.serving import Listener
from standins.worker import DEFAULT_REBOOT_MS, Worker, WorkerSpec

Runner = Callable[..., Awaitable[None]]


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """Size of a fleet and how it is spread.

    Workers are distributed round robin over the zones, then the racks, then the
    client accounts.
    """

    workers: int = 3
    zones: int = 3
    racks: int = 2
    accounts: tuple[str, ...] = ("shared",)
    cores: float = 8.0
    memory_mb: int = 16_384
    reboot_ms: int = DEFAULT_REBOOT_MS
    usage_lag_ms: int = 0
    keep: int = 0
    with_platform: bool = True


class Fleet:
    """Workers, optionally with a log and a membership list of the workers."""

    def __init__(self, spec: FleetSpec) -> None:
        """Bind all ports, so that all addresses are known before serving."""
        self.spec = spec
        self.workers: list[Worker] = []
        for number in range(spec.workers):
            worker_spec = WorkerSpec(
                f"worker-{number:03}",
                reboot_ms=spec.reboot_ms,
                usage_lag_ms=spec.usage_lag_ms,
            )
            self.workers.append(Worker(worker_spec))
        self.log = LogStandin(spec.keep)
        self.membership = MembershipStandin()
        self.log_listener = Listener(Endpoint(self.log.handle))
        self.membership_listener = Listener(self.membership.endpoint)
        self.membership.put(self.members())

    def addresses(self) -> dict[str, Any]:
        """Return the addresses of the workers, the log and the membership list."""
        addresses: dict[str, Any] = {
            "workers": {worker.spec.worker: worker.address for worker in self.workers}
        }
        if self.spec.with_platform:
            addresses["log"] = self.log_listener.address
            addresses["membership"] = self.membership_listener.address
        return addresses

    def members(self) -> list[dict[str, Any]]:
        """Return the workers as entries of the membership list."""
        return [self._member(n, worker) for n, worker in enumerate(self.workers)]

    def _member(self, number: int, worker: Worker) -> dict[str, Any]:
        spec = self.spec
        zone = number % spec.zones
        rack = number // spec.zones % spec.racks
        account = number // (spec.zones * spec.racks) % len(spec.accounts)
        return {
            "id": worker.spec.worker,
            "kind": "worker",
            "state": "live",
            "availability_zone": f"zone-{zone}",
            "rack": f"zone-{zone}-rack-{rack}",
            "address": worker.address,
            "client_account": spec.accounts[account],
            "cores": spec.cores,
            "memory_mb": spec.memory_mb,
        }

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled or aborted."""
        runners: list[Runner] = [worker.run for worker in self.workers]
        if self.spec.with_platform:
            runners += [self.log_listener.run, self.membership_listener.run]
        async with anyio.create_task_group() as group:
            for runner in runners:
                await group.start(runner)
            task_status.started()

    def abort(self) -> None:
        """Abort all workers and listeners."""
        for worker in self.workers:
            worker.abort()
        self.log_listener.abort()
        self.membership_listener.abort()
