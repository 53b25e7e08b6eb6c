"""The settings of one entry host."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from returns.result import Result

from courselead.settings.const import (
    BYTES_HELD_PER_BODY_BYTE,
    BYTES_PER_MIB,
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
    DEFAULT_REQUEST_MEMORY_MB,
    DEFAULT_SNAPSHOT_EVERY,
    DEFAULT_TICK_MS,
    RESERVE_DIVISOR,
)
from courselead.settings.errors import SettingsErrors


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return `ip:port`, or `[ip]:port` for IPv6."""
        if ":" in self.ip:
            return f"[{self.ip}]:{self.port}"
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Another entry host; `address` is where it receives the reports of peers."""

    entry_host: str
    address: Address
    availability_zone: str


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds of the HTTP interface.

    Attributes:
        body_bytes: Maximum size of a request body.
        header_bytes: Maximum size of a request's head.
        head_timeout_ms: Time for a request's head to arrive.
        body_timeout_ms: Time for a request's body to arrive.
        idle_ms: Time for which a connection may stay open without a request, and for
            which a caller may leave an answer unread.
        max_connections: Maximum number of connections of callers.
        max_in_flight: Maximum number of requests accepted and not yet answered.
        request_memory_mb: Memory in MiB that all requests may hold together. A body
            counts twice, and a quarter is kept for small requests.
    """

    body_bytes: int = DEFAULT_BODY_BYTES
    header_bytes: int = DEFAULT_HEADER_BYTES
    head_timeout_ms: int = DEFAULT_HEAD_TIMEOUT_MS
    body_timeout_ms: int = DEFAULT_BODY_TIMEOUT_MS
    idle_ms: int = DEFAULT_IDLE_MS
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    max_in_flight: int = DEFAULT_MAX_IN_FLIGHT
    request_memory_mb: int = DEFAULT_REQUEST_MEMORY_MB

    @property
    def request_memory_bytes(self) -> int:
        """Return the memory for requests in bytes."""
        return self.request_memory_mb * BYTES_PER_MIB

    @property
    def largest_body_bytes(self) -> int:
        """Return the largest body that fits into the memory for requests."""
        memory = self.request_memory_bytes
        return (memory - memory // RESERVE_DIVISOR) // BYTES_HELD_PER_BODY_BYTE


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Intervals of the daemon.

    Attributes:
        tick_ms: Time between two ticks of the reducer.
        beat_ms: Time between two heartbeats in the log.
        lost_after_ms: Time without a report after which a peer counts as lost.
        maintenance_period_ms: Time between two reboots of a worker.
        snapshot_every: Number of records between two snapshots.
    """

    tick_ms: int = DEFAULT_TICK_MS
    beat_ms: int = DEFAULT_BEAT_MS
    lost_after_ms: int = DEFAULT_LOST_AFTER_MS
    maintenance_period_ms: int = DEFAULT_MAINTENANCE_PERIOD_MS
    snapshot_every: int = DEFAULT_SNAPSHOT_EVERY


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings that an entry host reads when it starts.

    Attributes:
        listen: Address on which callers connect.
        peer_listen: Address on which peers connect.
        operator_credential_hashes: SHA-256 hex digests of the credentials of
            fleet operators; those of client accounts are in the operators' table.
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
