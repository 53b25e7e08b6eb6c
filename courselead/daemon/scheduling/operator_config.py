"""The operators' configuration and maintenance waves, as read from the store."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import structlog

from courselead.core.credentials import credential_digest
from courselead.core.scheduler.models import (
    FleetConfig,
    MaintenanceWave,
    ZoneEvacuation,
)
from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import (
    Decoder,
    OperatorConfig,
    RouteMatch,
    RouteRule,
)

_LOGGER = structlog.get_logger(__name__)


MAX_LOGGED_ACCOUNTS = 20
"""Maximum accounts named in one log line, which stays below a kilobyte."""


class OperatorConfigView:
    """The newest configuration; older versions that arrive later are ignored."""

    def __init__(self, decoder: Decoder) -> None:
        """Start without a configuration."""
        self._decoder = decoder
        self.current: OperatorConfig | None = None
        self.waves: dict[int, MaintenanceWave] = {}
        self.on_config: Callable[[FleetConfig], None] = lambda config: None
        self.on_wave: Callable[[MaintenanceWave], None] = lambda wave: None
        self.on_zones: Callable[[frozenset[str]], None] = lambda zones: None
        # Zones of the deployment, empty if they are not known.
        self.known_zones: frozenset[str] = frozenset()
        # Evacuated zones by the key of the record that requests it.
        self._evacuated: dict[bytes, str] = {}
        # Seconds since the log was last known to hold nothing newer, and the maximum
        # age up to which known credentials are accepted (None for no limit).
        self.age_s: Callable[[], float] = lambda: 0.0
        self.max_age_s: float | None = None
        self._rules: dict[str, list[RouteRule]] = {}

    @property
    def version(self) -> int:
        """Return the current version, 0 before the first configuration."""
        return 0 if self.current is None else self.current.version

    @property
    def fleet(self) -> FleetConfig:
        """Return the part of the configuration that the scheduler uses."""
        return FleetConfig() if self.current is None else self.current.fleet

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones that the operator has evacuated."""
        return frozenset(self._evacuated.values())

    @property
    def has_accounts(self) -> bool:
        """Return whether the configuration defines client accounts."""
        return self.current is not None and self.current.holders is not None

    def account_of(self, credentials: Sequence[bytes]) -> str | None:
        """Return the account that holds the only credential of a call, or None."""
        if self.current is None or self.current.holders is None:
            return None
        if len(credentials) != 1:
            return None
        return self.current.holders.holder(credential_digest(credentials[0]))

    def is_public(self, queue: str) -> bool:
        """Return whether a queue accepts calls without a credential."""
        found = self.fleet.queues.get(queue)
        return not self.has_accounts or (found is not None and found.public)

    def apply(self, record: KeyedRecord) -> None:
        """Apply an operator's record."""
        begun = time.monotonic()
        decoded = self._decoder.operator_config(record)
        if isinstance(decoded, MaintenanceWave):
            if decoded.wave not in self.waves:
                self.waves[decoded.wave] = decoded
                self.on_wave(decoded)
            return
        if isinstance(decoded, ZoneEvacuation):
            self._apply_evacuation(record.key, decoded)
            return
        if decoded is None or decoded.version <= self.version:
            return
        previous = self.version
        self.current = decoded
        self._rules = _by_host(decoded.routes)
        self.on_config(decoded.fleet)
        self._report_ambiguous(decoded)
        _LOGGER.info(
            "config_applied",
            version=decoded.version,
            before=previous,
            routes=len(decoded.routes),
            bytes=len(record.value),
            took_ms=round((time.monotonic() - begun) * 1000, 1),
        )

    def keep_only(self, keys: set[bytes]) -> None:
        """Withdraw the evacuations whose records are not among the existing keys.

        Called after a read of the newest record of each key: removals before it may
        have been missed.
        """
        for key in self._evacuated.keys() - keys:
            self._apply_evacuation(key, ZoneEvacuation(self._evacuated[key], False))

    def _apply_evacuation(self, key: bytes, request: ZoneEvacuation) -> None:
        if request.evacuated == (key in self._evacuated):
            return
        if not request.evacuated:
            del self._evacuated[key]
        else:
            self._evacuated[key] = request.zone
            if self.known_zones and request.zone not in self.known_zones:
                _LOGGER.warning(
                    "zone_unknown",
                    zone=request.zone,
                    known=sorted(self.known_zones),
                    remedy="remove the record, or correct the zone in its key",
                )
        _LOGGER.info(
            "zone_evacuation_requested" if request.evacuated else "zone_restored",
            zone=request.zone,
            view_age_ms=int(self.age_s() * 1000),
        )
        self.on_zones(self.evacuated_zones)

    def _report_ambiguous(self, decoded: OperatorConfig) -> None:
        holders = decoded.holders
        if holders is None or not holders.ambiguous:
            return
        _LOGGER.warning(
            "credential_of_several_accounts",
            accounts=sorted(holders.ambiguous)[:MAX_LOGGED_ACCOUNTS],
            version=decoded.version,
            outcome="opens nothing",
        )

    def route(self, host: str, path: str) -> RouteMatch | None:
        """Return the queue of the longest matching prefix, None if there is none."""
        for rule in self._rules.get(host, ()):
            if path.startswith(rule.prefix):
                rest = path[len(rule.prefix) :]
                return RouteMatch(rule.queue, rule.address, rest)
        return None


def _by_host(routes: tuple[RouteRule, ...]) -> dict[str, list[RouteRule]]:
    rules: dict[str, list[RouteRule]] = {}
    for rule in routes:
        rules.setdefault(rule.host, []).append(rule)
    for found in rules.values():
        found.sort(key=lambda rule: -len(rule.prefix))
    return rules
