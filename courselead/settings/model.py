"""The settings of one entry host."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Result

from courselead.settings.const import (
    DEFAULT_BEAT_MS,
    DEFAULT_BODY_BYTES,
    DEFAULT_BODY_TIMEOUT_MS,
    DEFAULT_HEAD_TIMEOUT_MS,
    DEFAULT_HEADER_BYTES,
    DEFAULT_IDLE_MS,
    DEFAULT_LOG_LEVEL,
    DEFAULT_LOST_AFTER_MS,
    DEFAULT_MAINTENANCE_PERIOD_MS,
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_MAX_IN_FLIGHT,
    DEFAULT_SNAPSHOT_EVERY,
    DEFAULT_TICK_MS,
)
from courselead.settings.errors import SettingsErrors


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`, or `[ip]:port` for IPv6."""
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Another entry host, and where it takes in reports."""

    entry_host: str
    address: Address
    availability_zone: str


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds of the HTTP interface.

    Attributes:
        body_bytes: Largest request body.
        header_bytes: Largest request head.
        head_timeout_ms: Time for a request's head to arrive.
        body_timeout_ms: Time for a request's body to arrive.
        idle_ms: Time a connection may stay open without a request, and a
            caller may leave an answer unread.
        max_connections: Connections of callers.
        max_in_flight: Requests taken in and not yet answered.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    header_bytes: int = DEFAULT_HEADER_BYTES
    head_timeout_ms: int = DEFAULT_HEAD_TIMEOUT_MS
    body_timeout_ms: int = DEFAULT_BODY_TIMEOUT_MS
    idle_ms: int = DEFAULT_IDLE_MS
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Periods of the daemon.

    Attributes:
        tick_ms: Between two ticks of the reducer.
        beat_ms: Between two heartbeats in the log.
        lost_after_ms: Silence after which a peer is held for lost.
        maintenance_period_ms: Between two reboots of a worker.
        snapshot_every: Records between two snapshots.
    """

    tick_ms: int = DEFAULT_TICK_MS
    beat_ms: int = DEFAULT_BEAT_MS
    lost_after_ms: int = DEFAULT_LOST_AFTER_MS
    maintenance_period_ms: int = DEFAULT_MAINTENANCE_PERIOD_MS
    snapshot_every: int = DEFAULT_SNAPSHOT_EVERY


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything an entry host is told at its start.

    Attributes:
        listen: Where callers connect.
        peer_listen: Where peers connect.
        operator_credential_hashes: SHA-256 hex digests of the credentials of
            fleet operators; those of client accounts are in the table.
    """

    entry_host: str
    availability_zone: str
    listen: Address
    peer_listen: Address
    log_url: str
    membership_url: str
    peers: tuple[PeerSettings, ...] = ()
    operator_credential_hashes: tuple[str, ...] = ()
    limits: LimitSettings = field(default_factory=LimitSettings)
    timings: TimingSettings = field(default_factory=TimingSettings)
    log_level: str = DEFAULT_LOG_LEVEL

    @classmethod
    def from_file(cls, path: Path | str) -> Result[Settings, SettingsErrors]:
        """Read and check a JSON file; every fault is reported at once."""
        from courselead.settings.load import load_file

        return load_file(Path(path))
