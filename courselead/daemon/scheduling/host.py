"""An entry host on a platform: serves callers and takes part in owner election."""

from __future__ import annotations

import random
from dataclasses import replace

import anyio
import structlog
from returns.result import Failure, Success

from courselead.core.scheduler import const
from courselead.core.scheduler.models import Bounds
from courselead.core.scheduler.records import HostAddress, encode
from courselead.daemon.scheduling.claims import Claimant, slow_log_allowance_s
from courselead.daemon.scheduling.follower import JobFollower, KeyedFollower
from courselead.daemon.scheduling.guarded_decoder import GuardedDecoder
from courselead.daemon.scheduling.intake import Intake
from courselead.daemon.scheduling.log_copies import CopyAssistedLog, LogCopy
from courselead.daemon.scheduling.operator_config import OperatorConfigView
from courselead.daemon.scheduling.owner import Owner
from courselead.daemon.scheduling.owner_forwarder import OwnerForwarder
from courselead.daemon.scheduling.ports import HostCounters, Platform
from courselead.daemon.scheduling.read_back import ReadBackLog, ReadBackTracker
from courselead.daemon.scheduling.relay import RelayedLog, StoreAccess
from courselead.daemon.scheduling.relay_app import RelayApp
from courselead.daemon.scheduling.retries import ResponseTimes, RetryingLog
from courselead.daemon.scheduling.writer import JobWriter

_LOGGER = structlog.get_logger(__name__)

SILENT_OWNER_S = const.SILENT_OWNER_MS / 1000

ELECTION_CHECK_INTERVAL_S = 0.1
"""Interval between checks whether the owner is silent."""

OPERATOR_CONFIG_LOG = "directions"
"""Name of the log with the operators' configuration in messages between hosts."""

FASTER_LINK_FACTOR = 2.0
"""Ratio of link speeds from which a host is asked for copies of large records, which it
receives well before this host."""

RELAYED_LOGS = ("jobs", "starts", OPERATOR_CONFIG_LOG, "minions", "status")
"""Logs that hosts relay for each other: all except the claims log, whose appends are
conditional and not retried."""

RETRIED_LOGS = ("jobs", "starts")
"""Logs whose appends may be retried safely: the owner's appends have a sequence number,
callers' records are keyed by job."""

REGISTER_TIMEOUT_MS = 1_500
REGISTER_RETRY_S = 0.5
"""Timeout and retry pause of the record with this host's address, appended at startup
only."""

COUNTERS_LOG_INTERVAL_S = 10.0
"""Interval between log lines with this host's counters, independent of the load."""

CLAIM_JITTER_S = 0.15
"""Maximum random delay before a claim, so that usually only one host tries."""

LARGER_HOST_FACTOR = 1.5
"""Ratio of processor capacity from which a host counts as larger. The owner handles all
starts and falls behind on a small host while larger ones idle."""

SMALL_HOST_CLAIM_DELAY_S = 0.2
"""Additional claim delay while a larger host is known: the jitter and two calls."""


class SchedulingHost:
    """All tasks of one process except its servers."""

    def __init__(
        self,
        host: str,
        platform: Platform,
        bounds: Bounds,
        relay_address: str = "",
        cores_milli: int = 0,
        zone: str = "",
        link_mbps: float = 0.0,
        zones: frozenset[str] = frozenset(),
        max_job_bytes: int | None = None,
    ) -> None:
        """Create and connect the components.

        Args:
            host: This host's name.
            platform: Clients for the platform's services.
            bounds: Bounds of the deployment.
            relay_address: Address at which other hosts reach this one.
            cores_milli: Processor capacity in thousandths of a standard core.
            zone: Availability zone of this host, "" if unknown.
            link_mbps: Link speed of this host, 0 if unknown.
            zones: All availability zones of the deployment, empty if unknown.
            max_job_bytes: Memory for the jobs of the log, None if it is unknown.
        """
        self.counters = HostCounters()
        self._host = host
        self._zone = zone
        self._max_job_bytes = max_job_bytes
        self._host_record = HostAddress(host, relay_address, cores_milli, link_mbps)
        access = self._access = StoreAccess(
            self._peer_addresses, self.counters, self._faster_peer_addresses
        )
        # Used for probing: the claims log holds one short record and is the cheapest
        # to read.
        self._claims = platform.claims
        logs = {name: getattr(platform, name) for name in RELAYED_LOGS}
        relayed = {name: RelayedLog(name, log, access) for name, log in logs.items()}
        times = ResponseTimes()
        for name in RETRIED_LOGS:
            relayed[name] = RetryingLog(relayed[name], access, times, self.counters)
        # Claims are conditional and never retried; they are wrapped for their response
        # times.
        claims = RetryingLog(platform.claims, access, times, self.counters)
        read_back_tracker = ReadBackTracker()
        relayed["jobs"] = ReadBackLog(relayed["jobs"], read_back_tracker, self.counters)
        decoder = GuardedDecoder(platform.decode, self.counters)
        platform = replace(platform, claims=claims, decode=decoder, **relayed)
        self._platform = platform
        self.counters.register("records_malformed", lambda: decoder.malformed_count)
        self.operator_config = OperatorConfigView(decoder)
        self.operator_config.known_zones = zones
        self._apply_bounds(bounds)
        self.follower = JobFollower(
            platform.jobs, self.counters, read_back_tracker.on_read
        )
        forwarder = OwnerForwarder(self._owner_address, self.counters)
        self._writer = JobWriter(platform.jobs, self.counters, forwarder)
        self._operator_config_copy = LogCopy()
        self.relay = RelayApp(
            logs,
            access,
            self._writer,
            {OPERATOR_CONFIG_LOG: self._operator_config_copy},
        )
        self._claimant = Claimant(platform.claims, host)
        self._owner: Owner | None = None
        self.leaving = False
        self.intake = Intake(
            self.operator_config,
            self.follower,
            self._writer,
            self,
            self.counters,
            max_job_bytes,
        )

    @property
    def owns(self) -> bool:
        """Return whether this host owns the schedule."""
        return self._owner is not None

    @property
    def ready(self) -> bool:
        """Return whether this host accepts new callers."""
        return self._initialized and self.can_store and not self.leaving

    @property
    def can_store(self) -> bool:
        """Return whether the last attempt reached the store, directly or relayed."""
        return self._access.usable

    @property
    def _initialized(self) -> bool:
        return self.operator_config.current is not None and self.follower.started

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._writer.run)
            operator_config = KeyedFollower(
                OPERATOR_CONFIG_LOG,
                CopyAssistedLog(
                    OPERATOR_CONFIG_LOG,
                    self._platform.directions,
                    self._access,
                    self.counters,
                ),
                self.operator_config.apply,
                self.operator_config.keep_only,
                counters=self.counters,
                log_copy=self._operator_config_copy,
            )
            self.operator_config.age_s = lambda: (
                anyio.current_time() - operator_config.caught_up_at
            )
            tasks.start_soon(operator_config.run)
            tasks.start_soon(self._run_election)
            tasks.start_soon(self._log_counters)
            tasks.start_soon(self._register)
            tasks.start_soon(self._access.probe, self._claims)

    def reload(self, bounds: Bounds) -> None:
        """Apply changed deployment bounds."""
        changed = bounds != self._bounds
        self._apply_bounds(bounds)
        _LOGGER.info("reloaded", bounds_changed=changed)
        if self._owner is not None:
            self._owner.reload(bounds)

    def _apply_bounds(self, bounds: Bounds) -> None:
        self._bounds = bounds
        longest_ms = bounds.revoked_within_ms
        self.operator_config.max_age_s = (
            None if longest_ms is None else longest_ms / 1000
        )

    async def leave(self) -> None:
        """Stop accepting new callers and hand the schedule over."""
        self.leaving = True
        owner = self._owner
        if owner is not None:
            await owner.hand_over()

    def _peer_addresses(self) -> list[str]:
        """Return the addresses of the other hosts."""
        hosts = self.follower.book.hosts
        return [seen.address for seen in hosts.values() if seen.host != self._host]

    def _faster_peer_addresses(self) -> list[str]:
        """Return the addresses of hosts on links that are fast enough to ask."""
        found = []
        least = FASTER_LINK_FACTOR * self._host_record.link_mbps
        for seen in self.follower.book.hosts.values():
            if self._host_record.link_mbps and seen.link_mbps >= least:
                found.append(seen.address)
        return found

    def _owner_address(self) -> str:
        """Return the owner's address, "" if this host owns it or it is unknown."""
        book = self.follower.book
        owner = book.owner
        if owner is None or owner.released or owner.host == self._host:
            return ""
        seen = book.hosts.get(owner.host)
        return "" if seen is None else seen.address

    async def _register(self) -> None:
        """Publish this host's address to the other hosts."""
        record = encode(self._host_record)
        while self._host_record.address:
            result = await self._platform.jobs.append([record], REGISTER_TIMEOUT_MS)
            if isinstance(result, Success):
                return
            _LOGGER.info("register_failed", reason=str(result.failure()))
            await anyio.sleep(REGISTER_RETRY_S)

    async def _log_counters(self) -> None:
        while True:
            await anyio.sleep(COUNTERS_LOG_INTERVAL_S)
            _LOGGER.info("counters", owns=self.owns, **self.counters.current_values())

    @property
    def knows_larger_host(self) -> bool:
        """Return whether a larger host is known that should own the schedule.

        The owner that went silent does not count.
        """
        owner = self.follower.book.owner
        silent_host = "" if owner is None else owner.host
        for seen in self.follower.book.hosts.values():
            if seen.host in (silent_host, self._host):
                continue
            if seen.cores_milli > LARGER_HOST_FACTOR * self._host_record.cores_milli:
                return True
        return False

    async def _run_election(self) -> None:
        while True:
            await anyio.sleep(ELECTION_CHECK_INTERVAL_S)
            if self.leaving or not self._initialized:
                continue
            if not await self._may_claim():
                continue
            wait_s = random.uniform(0, CLAIM_JITTER_S)
            if self.knows_larger_host:
                wait_s += SMALL_HOST_CLAIM_DELAY_S
            await anyio.sleep(wait_s)
            if not await self._may_claim() or self.leaving:
                continue
            await self._claim()

    async def _may_claim(self) -> bool:
        """Return whether the log shows no active owner."""
        owner = self.follower.book.owner
        if owner is None or owner.released or owner.host == self._host:
            # An owner with this host's name is a previous process on this host.
            return await self.follower.catch_up() and (
                self.follower.book.owner == owner
            )
        if anyio.current_time() - self.follower.owner_seen_at < SILENT_OWNER_S:
            return False
        return await self._is_owner_silent()

    async def _is_owner_silent(self) -> bool:
        """Return whether the owner has appended nothing for too long."""
        owner_seen_at = self.follower.owner_seen_at
        sent_at = anyio.current_time()
        if (
            not await self.follower.catch_up()
            or self.follower.owner_seen_at != owner_seen_at
        ):
            return False
        now = anyio.current_time()
        return now - owner_seen_at >= SILENT_OWNER_S + slow_log_allowance_s(
            now - sent_at
        )

    async def _claim(self) -> None:
        before = self.follower.book.owner
        fence = 0 if before is None else before.fence
        result = await self._claimant.claim(fence)
        if isinstance(result, Failure):
            _LOGGER.info("claim_lost", reason=result.failure())
            return
        claim = result.unwrap()
        _LOGGER.info(
            "schedule_claimed",
            fence=claim.fence,
            before=None if before is None else before.host,
        )
        self._owner = Owner(
            claim,
            self._host,
            self._platform,
            self.follower,
            self.operator_config,
            self._bounds,
            self.counters,
            self._zone,
            self._max_job_bytes,
        )
        try:
            await self._owner.run()
        finally:
            self._owner = None
            self.follower.owner_seen_at = anyio.current_time()
