"""Decodes records of the operator and of minions into courselead's types."""

from __future__ import annotations

import re
import time
from typing import Annotated, Literal

import msgspec
import structlog
from returns.result import Success

from courselead.core.credentials import CredentialHolders, credential_digest
from courselead.core.scheduler.models import (
    AdvicePolicy,
    ClientAccount,
    FleetConfig,
    MaintenanceWave,
    MinionInfo,
    Pool,
    Queue,
    Resources,
    ZoneEvacuation,
)
from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import OperatorConfig, RouteRule
from courselead.decoding import JsonDecoder, Malformed
from courselead.platform import const, ranges
from courselead.platform.malformed import MalformedRecords

_LOGGER = structlog.get_logger(__name__)


class WireCapacity(msgspec.Struct, rename="camel"):
    """Capacity of a minion; `cpu` is in thousandths of a core."""

    cpu: ranges.Amount = 0
    mem_mb: ranges.Amount = 0
    gpu: ranges.Amount = 0

    def resources(self) -> Resources:
        """Return the capacity as resources."""
        return Resources(self.cpu, self.mem_mb, self.gpu)


class _WireAdvice(msgspec.Struct, rename="camel"):
    decide_ms: ranges.DurationMs = 0
    each_ms: ranges.DurationMs = 0
    valid_ms: ranges.DurationMs = 3_000


class _WireRoute(msgspec.Struct, rename="camel"):
    name: str
    service: str
    host: str = ""
    path_prefix: str = "/"
    # Added to the stretched run time of a job; not the latency of a request.
    slo_ms: ranges.DurationMs = 0
    priority: ranges.Count = 0
    max_attempts: ranges.Count = 1
    stretch: ranges.Stretch = 1.0
    public: bool = False
    advice: _WireAdvice | None = None


class _WireService(msgspec.Struct, rename="camel"):
    name: str
    admission_control: bool = True
    spare: bool = False


class _WireTenant(msgspec.Struct, rename="camel"):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    api_keys: list[str] = []
    weight: ranges.Weight = 0.0
    cap: WireCapacity = msgspec.field(default_factory=WireCapacity)

    def __post_init__(self) -> None:
        # The name is part of the keys of the account's jobs.
        ranges.check_length(self.name, ranges.MAX_ACCOUNT_BYTES)
        ranges.check_weight(self.weight)


class _WireLimits(msgspec.Struct, rename="camel"):
    max_body_bytes: ranges.BodyBytes = 262_144


class _WireConfig(msgspec.Struct):
    version: ranges.Version
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireTenant] = []


class _WireWave(msgspec.Struct, rename="camel"):
    wave: ranges.Version
    machines: list[str] = []
    # In seconds since the wave was announced, not a time of day.
    deadline_s: ranges.DurationS = 0
    cap: ranges.Count = 1


_Address = Annotated[str, msgspec.Meta(pattern=const.ADDRESS_PATTERN)]
_MINION_ID = re.compile(const.MINION_ID_PATTERN)


class _WireServer(msgspec.Struct, rename="camel"):
    # A minion writes all fields without a default in each of its entries; entries of
    # other writers may lack any of them.
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: _Address
    zone: str
    state: Literal[const.STATE_READY, const.STATE_DRAINING]
    capacity: WireCapacity
    labels: list[str]
    # Minimum time until the end of the minion while it drains.
    remaining_ms: ranges.RemainingMs = 0
    # How much longer the minion is slow; absent in entries of minions that are not.
    warmup_remaining_ms: ranges.RemainingMs = 0
    # Start time of the incarnation, in milliseconds since 1970; 0 for older minions,
    # which do not report it.
    born: ranges.TimeMs = 0


_EVENT_OPERATOR_RECORD = "operator_record_malformed"
_EVENT_MINION_RECORD = "minion_record_malformed"

_CONFIG_DECODER = JsonDecoder(_WireConfig)
_WAVE_DECODER = JsonDecoder(_WireWave)
_SERVER_DECODER = JsonDecoder(_WireServer)


class RecordDecoder:
    """Decodes records that the operator and the minions write to the store."""

    def __init__(self, has_accounts: bool = False) -> None:
        """Store whether the deployment has client accounts.

        This cannot be derived from the configuration: one without accounts means that
        no credential is valid, not that none is needed.
        """
        self._has_accounts = has_accounts
        self._malformed = MalformedRecords()

    @property
    def malformed_count(self) -> int:
        """Return how many malformed records have been read."""
        return self._malformed.count

    def operator_config(
        self, record: KeyedRecord
    ) -> OperatorConfig | MaintenanceWave | ZoneEvacuation | None:
        """Return the content of an operator's record; None if it is not relevant."""
        key = record.key.decode("utf-8", "replace")
        if key.startswith(const.EVACUATION_KEY_PREFIX):
            # The zone is in the key; a record without a value withdraws the request.
            zone = key.removeprefix(const.EVACUATION_KEY_PREFIX)
            if not zone:
                self._report(_EVENT_OPERATOR_RECORD, record, "no zone")
                return None
            return ZoneEvacuation(zone, bool(record.value))
        if not record.value:
            return None
        if key == const.KEY_CONFIG:
            config = _CONFIG_DECODER.decode(record.value)
            if isinstance(config, Success):
                return self._to_operator_config(config.unwrap())
            self._report(_EVENT_OPERATOR_RECORD, record, config.failure().reason)
        if key.startswith(const.WAVE_KEY_PREFIX):
            wave = _WAVE_DECODER.decode(record.value)
            if isinstance(wave, Success):
                return _to_wave(wave.unwrap())
            self._report(_EVENT_OPERATOR_RECORD, record, wave.failure().reason)
        return None

    def _report(self, event: str, record: KeyedRecord, reason: str) -> None:
        self._malformed.report(event, record.key, record.value, reason)

    def _to_operator_config(self, wire: _WireConfig) -> OperatorConfig:
        holders = _to_credential_holders(wire.tenants) if self._has_accounts else None
        return _to_directions(wire, holders)

    def decode_minion(self, record: KeyedRecord) -> MinionInfo | str:
        """Return the minion of an entry, or its id if the entry is empty or invalid."""
        minion_id = record.key.decode("utf-8", "replace")
        if not record.value:
            return minion_id
        if not _MINION_ID.fullmatch(minion_id):
            self._report(_EVENT_MINION_RECORD, record, "id")
            return minion_id
        server = _SERVER_DECODER.decode_one(record.value)
        if isinstance(server, Malformed):
            self._report(_EVENT_MINION_RECORD, record, server.reason)
            return minion_id
        if server.born > time.time() * 1000 + const.START_TIME_AHEAD_WARNING_MS:
            # The entry is still accepted: the minion's clock may be wrong, and the time
            # distinguishes incarnations all the same.
            _LOGGER.warning("minion_born_ahead", minion=minion_id, born_ms=server.born)
        return MinionInfo(
            minion_id,
            server.address,
            server.service,
            server.zone,
            server.capacity.resources(),
            tuple(server.labels),
            server.state == const.STATE_DRAINING,
            server.remaining_ms,
            server.born,
            server.warmup_remaining_ms,
        )

    def encode_wave_status(self, wave: int, completed: bool) -> KeyedRecord:
        """Return the record that reports the state of a wave to the operator."""
        state = const.STATE_COMPLETED if completed else const.STATE_RUNNING
        key = f"{const.WAVE_KEY_PREFIX}{wave}"
        return KeyedRecord(key.encode(), msgspec.json.encode({"state": state}))


def _to_credential_holders(tenants: list[_WireTenant]) -> CredentialHolders:
    return CredentialHolders(
        (tenant.name, [credential_digest(key.encode()) for key in tenant.api_keys])
        for tenant in tenants
    )


def _to_directions(
    wire: _WireConfig, holders: CredentialHolders | None
) -> OperatorConfig:
    routes = []
    queues: dict[str, Queue] = {}
    for route in wire.routes:
        routes.append(RouteRule(route.host, route.path_prefix, route.name))
        advice = None
        if route.advice is not None:
            wire_advice = route.advice
            advice = AdvicePolicy(
                wire_advice.decide_ms, wire_advice.each_ms, wire_advice.valid_ms
            )
        queues[route.name] = Queue(
            route.name,
            route.service,
            route.priority,
            max(1, route.max_attempts),
            route.stretch,
            route.slo_ms,
            advice,
            route.public,
        )
    pools = {}
    for service in wire.services:
        pool = Pool(service.name, service.spare, service.admission_control)
        pools[service.name] = pool
    accounts = {}
    for tenant in wire.tenants:
        account = ClientAccount(tenant.name, tenant.weight, tenant.cap.resources())
        accounts[tenant.name] = account
    fleet = FleetConfig(wire.version, queues, pools, accounts)
    return OperatorConfig(
        wire.version, tuple(routes), fleet, wire.limits.max_body_bytes, holders
    )


def _to_wave(wire: _WireWave) -> MaintenanceWave:
    return MaintenanceWave(wire.wave, tuple(wire.machines), wire.deadline_s, wire.cap)
