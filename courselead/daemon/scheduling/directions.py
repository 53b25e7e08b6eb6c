"""The operators' configuration and waves, followed in the platform's store."""

from __future__ import annotations

import time
from collections.abc import Callable

import structlog

from courselead.core.scheduler.models import FleetConfig, MaintenanceWave
from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import Decoder, Directions, RouteRule

_LOGGER = structlog.get_logger(__name__)


class DirectionsView:
    """The newest configuration: never an older one after a newer one."""

    def __init__(self, decoder: Decoder) -> None:
        """Start without a configuration."""
        self._decoder = decoder
        self.current: Directions | None = None
        self.waves: dict[int, MaintenanceWave] = {}
        self.on_config: Callable[[FleetConfig], None] = lambda config: None
        self.on_wave: Callable[[MaintenanceWave], None] = lambda wave: None
        self._rules: dict[str, list[RouteRule]] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self.current is None else self.current.version

    @property
    def fleet(self) -> FleetConfig:
        """Return what the scheduler needs of the configuration."""
        return FleetConfig() if self.current is None else self.current.fleet

    def apply(self, record: KeyedRecord) -> None:
        """Take a record of the operator."""
        begun = time.monotonic()
        decoded = self._decoder.directions(record)
        if isinstance(decoded, MaintenanceWave):
            if decoded.wave not in self.waves:
                self.waves[decoded.wave] = decoded
                self.on_wave(decoded)
            return
        if decoded is None or decoded.version <= self.version:
            return
        before = self.version
        self.current = decoded
        self._rules = _by_host(decoded.routes)
        self.on_config(decoded.fleet)
        _LOGGER.info(
            "config_applied",
            version=decoded.version,
            before=before,
            routes=len(decoded.routes),
            bytes=len(record.value),
            took_ms=round((time.monotonic() - begun) * 1000, 1),
        )

    def route(self, host: str, path: str) -> tuple[str, str] | None:
        """Return the queue of the longest prefix that fits, and the path's rest."""
        for rule in self._rules.get(host, ()):
            if path.startswith(rule.prefix):
                return rule.queue, path[len(rule.prefix) :]
        return None


def _by_host(routes: tuple[RouteRule, ...]) -> dict[str, list[RouteRule]]:
    rules: dict[str, list[RouteRule]] = {}
    for rule in routes:
        rules.setdefault(rule.host, []).append(rule)
    for found in rules.values():
        found.sort(key=lambda rule: -len(rule.prefix))
    return rules
