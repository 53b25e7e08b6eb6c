"""Watches for entry hosts that end by themselves, and starts them again."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import anyio

from demo.job_site import HostPorts, JobSite

WATCH_INTERVAL_S = 0.05

RESTART_DELAY_S = 0.5
"""Delay until an ended host is started again, as a supervisor of processes does."""

ERROR_EVENTS = ("host_failed", "decoder_failed")
"""Log events of unexpected errors, which no content may cause."""

MAX_ERRORS_SHOWN = 2


@dataclass(slots=True)
class HostWatch:
    """Records the hosts that end without a signal, each of which breaks the run.

    Attributes:
        down: Names of the hosts that are down, shared with the injector of faults, so
            that only one of both starts a host.
    """

    site: JobSite
    down: set[str]
    _ends: Counter[tuple[str, int]] = field(default_factory=Counter)

    async def run(self) -> None:
        """Watch the processes until cancelled."""
        async with anyio.create_task_group() as restarts:
            while True:
                for name, code in self.site.processes.ended().items():
                    host = self._host(name)
                    if host is not None and name not in self.down:
                        self.down.add(name)
                        self._ends[name, code] += 1
                        restarts.start_soon(self._restart, host)
                await anyio.sleep(WATCH_INTERVAL_S)

    def broken(self) -> list[str]:
        """Return one line for each exit code of a host, and for its logged errors."""
        lines = []
        for (name, code), count in sorted(self._ends.items()):
            lines.append(f"{name} ended by itself {count} times with exit {code}")
        for host in self.site.hosts:
            for event in ERROR_EVENTS:
                lines.extend(self._logged_errors(host, event))
        return lines

    def _logged_errors(self, host: HostPorts, event: str) -> list[str]:
        """Return one line for the errors that a host has logged with an event."""
        failures = self.site.log_lines(host, event)
        if not failures:
            return []
        errors = sorted({str(line.get("errors")) for line in failures})
        shown = "; ".join(errors[:MAX_ERRORS_SHOWN])
        count = len(failures)
        return [f"{host.name} logged {event} {count} times: {shown}"]

    def _host(self, name: str) -> HostPorts | None:
        for host in self.site.hosts:
            if host.name == name:
                return host
        return None

    async def _restart(self, host: HostPorts) -> None:
        # A start that is cancelled could leave a process that nobody ends.
        with anyio.CancelScope(shield=True):
            await self.site.processes.end(host.name)
            await anyio.sleep(RESTART_DELAY_S)
            await self.site.start(host)
        self.down.discard(host.name)
