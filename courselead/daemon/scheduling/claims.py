"""Claims of schedule ownership: the host that appends the next claim is the owner."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

import anyio
import structlog
from returns.result import Failure, Result, Success

from courselead.core.scheduler import const
from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import AppendUnknown, KeyedLog

_LOGGER = structlog.get_logger(__name__)

CLAIM_KEY = b"schedule"
CLAIM_GRACE_S = const.SILENT_OWNER_MS / 1000
"""Time within which a claimant must append its first record: the same time after which
a silent owner is replaced."""

SLOW_LOG_READ_COUNT = 4
"""Number of log read times to allow for when the log is slow: a save before the
heartbeat, the heartbeat itself, a read in progress and the read that returns it."""

MAX_SLOW_LOG_ALLOWANCE_S = 2.0
"""Maximum allowance for a slow log: callers wait while a dead owner is not replaced."""

CLAIM_TIMEOUT_MS = 1_500
"""Timeout of a claim, longer than for other appends because it is not retried."""


def slow_log_allowance_s(read_s: float) -> float:
    """Return by how many seconds to extend the owner's timeout on a slow log.

    A heartbeat is visible after one write and one read, so the heartbeats of a healthy
    owner are seen less often when the log is slow.

    Args:
        read_s: Duration of the latest read of the log.
    """
    return min(MAX_SLOW_LOG_ALLOWANCE_S, SLOW_LOG_READ_COUNT * read_s)


@dataclass(frozen=True, slots=True)
class Claim:
    """A won claim; its fence is higher than that of all earlier claims."""

    fence: int
    first: bool


class Claimant:
    """Claims the schedule for one process."""

    def __init__(self, log: KeyedLog, host: str) -> None:
        """Initialize with the claims log and this host's name."""
        self._log = log
        self._host = host
        self._observed_end = -1
        self._observed_at = 0.0

    async def claim(self, known_fence: int) -> Result[Claim, str]:
        """Try to become the owner; a failure holds the reason.

        Args:
            known_fence: Fence of the lost owner, 0 if there was none. A higher claim
                may belong to a host that is about to append its first record.
        """
        newest = await self._log.newest()
        if isinstance(newest, Failure):
            return Failure(str(newest.failure()))
        end = newest.unwrap().end
        if end > known_fence and not self._is_stale(end):
            return Failure("another host has just claimed")
        # Distinguishes this claim from an earlier one of this host without a response.
        nonce = secrets.token_hex(8)
        record = KeyedRecord(CLAIM_KEY, f"{self._host} {nonce}".encode())
        result = await self._log.append([record], CLAIM_TIMEOUT_MS, expected_end=end)
        if isinstance(result, Success):
            offset = result.unwrap().offset
            return Success(Claim(offset + 1, offset == 0))
        error = result.failure()
        if not isinstance(error, AppendUnknown):
            return Failure(str(error))
        return await self._verify_claim(record)

    def _is_stale(self, end: int) -> bool:
        """Return whether the newest claim is old and its host has appended nothing."""
        now = anyio.current_time()
        if self._observed_end != end:
            self._observed_end, self._observed_at = end, now
        return now - self._observed_at >= CLAIM_GRACE_S

    async def _verify_claim(self, record: KeyedRecord) -> Result[Claim, str]:
        """Check whether a claim without a response was stored."""
        newest = await self._log.newest()
        if isinstance(newest, Failure):
            return Failure(str(newest.failure()))
        for item in newest.unwrap().records:
            if item.record == record:
                return Success(Claim(item.offset + 1, item.offset == 0))
        return Failure("the claim was not answered and is not stored")
