"""Forwards callers' records to the owner's host, which appends them in shared batches.

The log executes appends one after the other. With a slow log (178 ms per append, on a
store that is 89 times slower than usual for 4 s), ten hosts that append independently
build up a queue of 2 s: all appends time out and are retried, and nothing is stored for
5 s.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
import structlog
from returns.result import Failure

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import HostCounters
from courselead.daemon.scheduling.relay_messages import (
    PATH_ALIVE,
    PATH_STORE,
    RelayReply,
    decode_reply,
)
from courselead.integrations.http.errors import NotSent
from courselead.integrations.lean_http import Call, LeanPools

_LOGGER = structlog.get_logger(__name__)

STORE_TIMEOUT_MS = 1_800
"""Timeout of storing a record at the owner's host: it covers the record's own append
and the append in progress before it."""

ALIVE_CHECK_INTERVAL_S = 0.1
"""Interval between liveness checks of the owner's host while it has not responded: ten
times as long as storing a record usually takes, half of a slow store's response
time."""

ALIVE_TIMEOUT_MS = 250
"""Timeout of a liveness check: a hundred times its duration on an idle host."""

OWNER_BACKOFF_S = 1.0
"""Time for which no records are forwarded to a host that did not respond: about the
time until another host owns the schedule."""

MAX_CONNECTIONS = 16
"""Maximum connections to the owner's host, each used by one record that waits for a
slow store."""


@dataclass(frozen=True, slots=True)
class StoreResult:
    """Result of storing a record; `in_doubt` if it may be stored all the same."""

    ok: bool
    in_doubt: bool = False
    reason: str = ""


class OwnerForwarder:
    """Forwards records to the owner's host."""

    def __init__(self, address: Callable[[], str], counters: HostCounters) -> None:
        """Initialize with a getter of the owner's address, "" for no owner to use."""
        self._address = address
        self._counters = counters
        self._pools = LeanPools(MAX_CONNECTIONS)
        self._backoff_until: dict[str, float] = {}

    async def store(self, record: KeyedRecord) -> StoreResult:
        """Forward a record and return the result."""
        address = self._address()
        if not address or anyio.current_time() < self._backoff_until.get(address, 0.0):
            return StoreResult(False, False, "no owner to hand it to")
        self._counters.add("handed_records")
        stored = StoreResult(False, True, "the owner's host does not answer")
        async with anyio.create_task_group() as tasks:

            async def forward() -> None:
                nonlocal stored
                stored = await self._forward(address, record)
                tasks.cancel_scope.cancel()

            tasks.start_soon(forward)
            await self._wait_until_unresponsive(address)
            tasks.cancel_scope.cancel()
        if not stored.ok:
            _LOGGER.info(
                "record_not_handed",
                address=address,
                in_doubt=stored.in_doubt,
                reason=stored.reason,
            )
        return stored

    async def _forward(self, address: str, record: KeyedRecord) -> StoreResult:
        call = Call("POST", PATH_STORE, msgspec.msgpack.encode(record))
        response = await self._pools.pool_for(address).call(call, STORE_TIMEOUT_MS)
        if isinstance(response, Failure):
            error = response.failure()
            self._back_off(address)
            return StoreResult(False, not isinstance(error, NotSent), error.reason)
        return _result_from_reply(decode_reply(response.unwrap().body))

    async def _wait_until_unresponsive(self, address: str) -> None:
        """Return as soon as a liveness check of the owner's host fails."""
        while True:
            await anyio.sleep(ALIVE_CHECK_INTERVAL_S)
            call = Call("POST", PATH_ALIVE)
            response = await self._pools.pool_for(address).call(call, ALIVE_TIMEOUT_MS)
            if isinstance(response, Failure):
                self._back_off(address)
                return

    def _back_off(self, address: str) -> None:
        self._backoff_until[address] = anyio.current_time() + OWNER_BACKOFF_S


def _result_from_reply(reply: RelayReply) -> StoreResult:
    if reply.kind == "stored":
        return StoreResult(True)
    return StoreResult(False, reply.kind != "not_done", reply.reason)
