"""Reads the settings file that the platform writes for a process."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from courselead.core.scheduler.models import Bounds
from courselead.daemon.scheduling.servers import Machine
from courselead.decoding import decode_toml
from courselead.platform import const, ranges

_ADDRESS = re.compile(const.ADDRESS_PATTERN)

DEFAULT_MEMORY_MB = 300
DEFAULT_MAX_FDS = 4_096
"""Limits of a process whose settings name none."""

RESERVED_FDS = 200
"""File descriptors that the platform keeps for files."""


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Store(msgspec.Struct, rename="camel"):
    address: str = ""
    # Maximum size of a record, 0 if unknown.
    record_bytes: ranges.BodyBytes = 0


class _Cloud(msgspec.Struct):
    address: str = ""


class _Limits(msgspec.Struct, rename="camel"):
    # Share of one core that the process may use.
    cpu_share: ranges.Cores = 0.0
    # Not a number of cores: the speed of that core, as a multiple of a standard core.
    cores: ranges.Cores = 1.0
    link_mbps: ranges.LinkMbps = 0.0
    # Memory, of which unread bytes in the kernel are a part, and file descriptors; 0 if
    # unknown.
    memory_mb: ranges.MemoryMb = 0.0
    max_fds: ranges.Count = 0


class _Bounds(msgspec.Struct, rename="camel"):
    hold_max_ms: ranges.DurationMs = 10_000
    move_s: ranges.DurationS = 1.5
    upkeep_s: ranges.DurationS = 2.0
    lease_ms: ranges.DurationMs = 3_000
    stop_ms: ranges.DurationMs = 1_000
    # Whether a host without access to the store must apply revocations in time, too.
    strict_revoke: bool = False
    revoke_ms: ranges.DurationMs = 5_000
    quota_overage: ranges.Overage = 0.0
    # Absent where the operator evacuates no zones.
    evacuate_ms: ranges.DurationMs | None = None
    # Unlike the other fields this one has an underscore in the file.
    status_s: ranges.WholeDurationS = msgspec.field(default=120, name="status_s")

    def to_core_bounds(self) -> Bounds:
        """Return the limits that the scheduler enforces."""
        return Bounds(
            lease_max_ms=self.hold_max_ms,
            move_ms=int(self.move_s * 1000),
            maintenance_ms=int(self.upkeep_s * 1000),
            # Not the lease of a minion: the time for which ownership must not change.
            cloud_order_lease_ms=self.lease_ms,
            stop_ms=self.stop_ms,
            status_s=self.status_s,
            cap_overage=self.quota_overage,
            revoked_within_ms=self.revoke_ms if self.strict_revoke else None,
            evacuated_within_ms=self.evacuate_ms,
        )


class NodeSettings(msgspec.Struct, rename="camel"):
    """Settings of a process, as the platform writes them; ignores unknown fields."""

    node: str
    ip: str = ""
    zone: str = ""
    # First and last port that is reserved for traffic between hosts.
    port_range: tuple[ranges.Port, ranges.Port] = (7060, 7075)
    listen: _Listen = msgspec.field(default_factory=_Listen)
    platform: _Store = msgspec.field(default_factory=_Store)
    cloud_api: _Cloud = msgspec.field(default_factory=_Cloud)
    advice: str = ""
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Availability zones of the deployment, each with its region.
    zones: dict[str, str] = {}
    # Names of the contracts that are in force.
    contracts: list[str] = []

    def __post_init__(self) -> None:
        """Check the length of the host's name, which is part of a record's key."""
        ranges.check_length(self.node, ranges.MAX_HOST_BYTES)

    @property
    def has_accounts(self) -> bool:
        """Return whether callers belong to client accounts."""
        return const.CONTRACT_ACCOUNTS in self.contracts

    @property
    def peer_address(self) -> str:
        """Return the address at which other hosts reach this one."""
        return f"{self.ip}:{self.port_range[0]}"

    @property
    def machine(self) -> Machine:
        """Return the limits of this process."""
        memory_mb = self.limits.memory_mb or DEFAULT_MEMORY_MB
        max_fds = self.limits.max_fds or DEFAULT_MAX_FDS
        return Machine(int(memory_mb), max_fds - RESERVED_FDS)

    @property
    def max_record_bytes(self) -> int:
        """Return the maximum size of a record in the store."""
        return self.platform.record_bytes or const.DEFAULT_RECORD_BYTES

    @property
    def cores_milli(self) -> int:
        """Return the CPU quota in thousandths of a core of standard speed."""
        return int(self.limits.cpu_share * self.limits.cores * 1000)

    @classmethod
    def from_file(cls, path: Path) -> Result[NodeSettings, str]:
        """Read and validate the file; a failure names the field to correct."""
        try:
            text = path.read_bytes()
        except OSError as exc:
            reason = exc.strerror or type(exc).__name__
            return Failure(f"{path}: {reason}; check the path of the settings file")
        decoded = decode_toml(text, cls)
        if isinstance(decoded, Failure):
            return Failure(f"{path}: {decoded.failure()}; correct the named field")
        settings = decoded.unwrap()
        if not settings.listen.front or not settings.platform.address:
            return Failure(f"{path}: listen.front and platform.address are required")
        invalid = settings.invalid_addresses()
        if invalid:
            return Failure(f"{path}: {invalid[0]} must be a host and a port from 1")
        return Success(settings)

    def invalid_addresses(self) -> list[str]:
        """Return the names of the addresses that this process cannot use."""
        addresses = {
            "listen.front": self.listen.front,
            "listen.ready": self.listen.ready,
            "platform.address": self.platform.address,
        }
        return [
            name
            for name, address in addresses.items()
            if not _ADDRESS.fullmatch(address)
        ]
