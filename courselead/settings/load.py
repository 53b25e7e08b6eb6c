"""Loads and checks the settings file."""

from __future__ import annotations

from pathlib import Path

from returns.result import Failure, Result, Success

from courselead.decoding import JsonDocumentDecoder, RepeatedKey
from courselead.settings import const
from courselead.settings.errors import SettingsErrors, SettingsFault
from courselead.settings.model import (
    LimitSettings,
    PeerSettings,
    Settings,
    TimingSettings,
)
from courselead.settings.section import Section

_KIB = 1024


_FILE_DECODER = JsonDocumentDecoder()


def load_file(path: Path) -> Result[Settings, SettingsErrors]:
    """Read a JSON file into checked settings."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        reason = exc.strerror or "it cannot be read"
        return _file_fault(path, reason, "give the path of a readable file")
    if len(data) > const.MAX_FILE_BYTES:
        return _file_fault(path, "it is over 1 MiB", "give the path of a settings file")
    decoded = _FILE_DECODER.decode(data)
    if isinstance(decoded, Success):
        return load_raw(decoded.unwrap(), str(path))
    malformed = decoded.failure()
    if isinstance(malformed, RepeatedKey):
        problem = f"the key {malformed.key!r} occurs twice in one object"
        return _file_fault(path, problem, "remove one of the two")
    return _file_fault(path, f"it is not JSON ({malformed})", "correct the syntax")


def load_raw(raw: object, file: str) -> Result[Settings, SettingsErrors]:
    """Check a decoded JSON value; errors name `file` as its source."""
    faults: list[SettingsFault] = []
    settings = _read_settings(Section(raw, "", faults))
    if faults:
        return Failure(SettingsErrors(file, tuple(faults)))
    return Success(settings)


def _read_settings(top: Section) -> Settings:
    settings = Settings(
        entry_host=top.name(const.CONF_ENTRY_HOST),
        availability_zone=top.name(const.CONF_AVAILABILITY_ZONE),
        listen=top.address(const.CONF_LISTEN),
        peer_listen=top.address(const.CONF_PEER_LISTEN),
        log_url=top.url(const.CONF_LOG_URL),
        membership_url=top.url(const.CONF_MEMBERSHIP_URL),
        peers=_read_peers(top),
        operator_credential_hashes=top.strings(
            const.CONF_OPERATOR_CREDENTIAL_HASHES,
            const.DIGEST_PATTERN,
            "give the SHA-256 of the credential as 64 lower-case hex digits",
        ),
        limits=_read_limits(top.section(const.CONF_LIMITS)),
        timings=_read_timings(top.section(const.CONF_TIMINGS)),
        log_level=top.choice(
            const.CONF_LOG_LEVEL, const.DEFAULT_LOG_LEVEL, const.LOG_LEVELS
        ),
    )
    if settings.listen == settings.peer_listen and settings.listen.port:
        top.add_fault(
            const.CONF_PEER_LISTEN, "it is the same as 'listen'", "give another port"
        )
    top.report_unknown_keys()
    return settings


def _read_peers(top: Section) -> tuple[PeerSettings, ...]:
    peers: list[PeerSettings] = []
    own_name = top.raw_value(const.CONF_ENTRY_HOST)
    for section in top.sections(const.CONF_PEERS, const.MAX_PEERS):
        peer = PeerSettings(
            entry_host=section.name(const.CONF_ENTRY_HOST),
            address=section.address(const.CONF_ADDRESS),
            availability_zone=section.name(const.CONF_AVAILABILITY_ZONE),
        )
        section.report_unknown_keys()
        _check_peer(section, peer, peers, own_name)
        peers.append(peer)
    return tuple(peers)


def _check_peer(
    section: Section, peer: PeerSettings, others: list[PeerSettings], own_name: object
) -> None:
    if peer.entry_host and peer.entry_host == own_name:
        section.add_fault(
            const.CONF_ENTRY_HOST, "it is this entry host itself", "remove the entry"
        )
    for other in others:
        if peer.entry_host and peer.entry_host == other.entry_host:
            section.add_fault(
                const.CONF_ENTRY_HOST, "it is listed twice", "remove one of the two"
            )
        if peer.address.port and peer.address == other.address:
            section.add_fault(
                const.CONF_ADDRESS,
                f"{other.entry_host} has the same address",
                "give each entry host its own",
            )


def _read_limits(section: Section) -> LimitSettings:
    limits = LimitSettings(
        body_bytes=section.integer(
            const.CONF_BODY_BYTES, const.DEFAULT_BODY_BYTES, 0, 64 * const.BYTES_PER_MIB
        ),
        header_bytes=section.integer(
            const.CONF_HEADER_BYTES,
            const.DEFAULT_HEADER_BYTES,
            _KIB,
            const.BYTES_PER_MIB,
        ),
        head_timeout_ms=_read_ms(
            section, const.CONF_HEAD_TIMEOUT_MS, const.DEFAULT_HEAD_TIMEOUT_MS
        ),
        body_timeout_ms=_read_ms(
            section, const.CONF_BODY_TIMEOUT_MS, const.DEFAULT_BODY_TIMEOUT_MS
        ),
        idle_ms=_read_ms(section, const.CONF_IDLE_MS, const.DEFAULT_IDLE_MS),
        max_connections=section.integer(
            const.CONF_MAX_CONNECTIONS, const.DEFAULT_MAX_CONNECTIONS, 1, 65_536
        ),
        max_in_flight=section.integer(
            const.CONF_MAX_IN_FLIGHT, const.DEFAULT_MAX_IN_FLIGHT, 1, 65_536
        ),
        request_memory_mb=section.integer(
            const.CONF_REQUEST_MEMORY_MB,
            const.DEFAULT_REQUEST_MEMORY_MB,
            1,
            const.MAX_REQUEST_MEMORY_MB,
        ),
    )
    if limits.body_bytes > limits.largest_body_bytes:
        section.add_fault(
            const.CONF_REQUEST_MEMORY_MB,
            f"a body of {limits.body_bytes} bytes does not fit into it",
            "give more memory or a smaller 'body_bytes'",
        )
    section.report_unknown_keys()
    return limits


def _read_timings(section: Section) -> TimingSettings:
    timings = TimingSettings(
        tick_ms=_read_ms(section, const.CONF_TICK_MS, const.DEFAULT_TICK_MS),
        beat_ms=_read_ms(section, const.CONF_BEAT_MS, const.DEFAULT_BEAT_MS),
        lost_after_ms=_read_ms(
            section, const.CONF_LOST_AFTER_MS, const.DEFAULT_LOST_AFTER_MS
        ),
        maintenance_period_ms=_read_ms(
            section,
            const.CONF_MAINTENANCE_PERIOD_MS,
            const.DEFAULT_MAINTENANCE_PERIOD_MS,
        ),
        snapshot_every=section.integer(
            const.CONF_SNAPSHOT_EVERY, const.DEFAULT_SNAPSHOT_EVERY, 1, 10_000_000
        ),
    )
    if timings.beat_ms < timings.tick_ms:
        section.add_fault(
            const.CONF_BEAT_MS, "it is shorter than 'tick_ms'", "give a longer period"
        )
    # A host must not count as lost after a single missing heartbeat.
    if timings.lost_after_ms < 2 * timings.beat_ms:
        section.add_fault(
            const.CONF_LOST_AFTER_MS,
            "it is shorter than twice 'beat_ms'",
            "give a longer time or a shorter 'beat_ms'",
        )
    section.report_unknown_keys()
    return timings


def _read_ms(section: Section, key: str, default: int) -> int:
    return section.integer(key, default, 1, const.MAX_MS)


def _file_fault(
    path: Path, problem: str, remedy: str
) -> Result[Settings, SettingsErrors]:
    return Failure(SettingsErrors(str(path), (SettingsFault("", problem, remedy),)))
