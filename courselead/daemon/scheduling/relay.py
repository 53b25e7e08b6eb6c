"""Access to the store through another host, for a host that cannot reach it directly.

A store outage often affects only some hosts, so every host relays store calls for the
others. Records identify their producer, so fencing and the recognition of retries work
for relayed appends as for direct ones.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec
import structlog
from returns.result import Failure, Result, Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.fallback_append import FallbackAppend
from courselead.daemon.scheduling.ports import (
    Appended,
    AppendError,
    AppendFenced,
    AppendUnknown,
    HistoryGone,
    HostCounters,
    KeyedLog,
    LogBatch,
    Newest,
    NotAppended,
    ProducerMark,
    ReadError,
    ReadFailed,
)
from courselead.daemon.scheduling.relay_messages import (
    PATH_APPEND,
    PATH_COPY,
    PATH_NEWEST,
    PATH_READ,
    AppendRequest,
    CopyRequest,
    NewestRequest,
    ReadRequest,
    RelayReply,
    decode_reply,
    newest_from_reply,
)
from courselead.integrations.http.errors import NotSent
from courselead.integrations.lean_http import Call, LeanPools

_LOGGER = structlog.get_logger(__name__)

PROBE_INTERVAL_S = 0.3
"""Mean pause between two probes of the direct path while it is down. It is short enough
for the direct path to be used again well within the 2 s in which a configuration must
be in force."""

PROBE_TIMEOUT_S = 0.8
"""Timeout of one probe: the longest response time of a slow store. A probe that began
during a network partition gets no response even when the partition is over, so it is
given up and a new one is sent."""

RELAY_OVERHEAD_MS = 300
"""Time added to a call's own timeout when it is relayed."""

MAX_REPLY_PAUSE_MS = 800
"""Maximum pause within a reply that has begun to arrive, as for the store's own
responses."""

COPY_TIMEOUT_MS = 900
"""Timeout until a copy begins to arrive: more than the other host's wait
(`SERVE_WAIT_S`) plus the relay overhead."""

RELAYED_APPEND_MS = 400
"""Timeout of an append at another host. Appends are relayed when the direct path does
not respond, not when the store is slow, and callers wait for them."""

MAX_PEERS_ASKED = 3
"""Maximum hosts asked per call: one of them may be down and one cut off as well."""

STAGGER_S = 0.1
"""Time without a response until the next host is asked as well: several times the usual
duration of a relayed call."""

PEERS_FAILED_PAUSE_S = 1.0
"""Time for which no host is asked after all have failed and some did not respond. An
availability zone that is cut off stays so for seconds, and each request delays
callers."""

DEPRIORITIZE_S = 5.0
"""Time for which a host that did not respond is asked last. Hosts that are down stay on
the list, and each costs the time of a failed connection attempt."""

_CONNECTIONS_PER_PEER = 4


@dataclass(frozen=True, slots=True)
class _PeerAnswer:
    """Result of a request to another host; `silent` if it failed only after a wait."""

    silent: bool
    result: Result[RelayReply, AppendError]


class StoreAccess:
    """State of the direct path to the store, and relaying through other hosts."""

    def __init__(
        self,
        peers: Callable[[], Sequence[str]],
        counters: HostCounters,
        faster_peers: Callable[[], Sequence[str]] = tuple,
    ) -> None:
        """Initialize with functions that return the addresses of other hosts.

        `faster_peers` returns those of hosts on faster links.
        """
        self._peers = peers
        self._faster_peers = faster_peers
        self._counters = counters
        self._pools = LeanPools(_CONNECTIONS_PER_PEER)
        self._direct_lost = anyio.Event()
        self._deprioritized_until: dict[str, float] = {}
        self._relay_succeeded = True
        self._peers_failed_until = 0.0
        self._answered_at = -math.inf

    @property
    def reachable(self) -> bool:
        """Return whether the direct path worked when it was last used."""
        return not self._direct_lost.is_set()

    @property
    def usable(self) -> bool:
        """Return whether the store counts as reachable, directly or through a host.

        While the direct path is down, this is whether the last relayed call succeeded,
        and True if none has ended since that path was lost.
        """
        return self.reachable or self._relay_succeeded

    def answered_since(self, at: float) -> bool:
        """Return whether a call on the direct path was answered after a given time."""
        return self._answered_at > at

    def note_direct_attempt(self, reached: bool) -> None:
        """Record whether an attempt on the direct path reached the store."""
        if reached:
            self._answered_at = anyio.current_time()
        if reached and self._direct_lost.is_set():
            _LOGGER.info("own_way_regained")
            self._direct_lost = anyio.Event()
            self._peers_failed_until = 0.0
        elif not reached and not self._direct_lost.is_set():
            _LOGGER.warning("own_way_lost", peers=len(self._peers()))
            self._direct_lost.set()
            self._relay_succeeded = True

    async def read_direct(
        self, read: Callable[[], Awaitable[Result[Any, ReadError]]]
    ) -> Result[Any, ReadError]:
        """Read on the direct path; cancel the read when that path is lost."""
        result: Result[Any, ReadError] = Failure(ReadFailed("the direct path was lost"))
        direct_lost = self._direct_lost
        async with anyio.create_task_group() as tasks:

            async def give_up() -> None:
                await direct_lost.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(give_up)
            result = await read()
            tasks.cancel_scope.cancel()
        return result

    async def probe(self, direct: KeyedLog) -> None:
        """Probe the direct path while it is down; runs until cancelled."""
        while True:
            await anyio.sleep(random.uniform(0.5, 1.5) * PROBE_INTERVAL_S)
            if self.reachable:
                continue
            result: Result[Any, ReadError] | None = None
            with anyio.move_on_after(PROBE_TIMEOUT_S):
                result = await direct.newest()
            if isinstance(result, Success):
                self.note_direct_attempt(True)

    async def ask(
        self, path: str, body: bytes, timeout_ms: int
    ) -> Result[RelayReply, AppendError]:
        """Ask other hosts until one returns a response of the store.

        While a host has not responded the next one is asked concurrently, which is safe
        because all relayed calls may be repeated.
        """
        if anyio.current_time() < self._peers_failed_until:
            return Failure(NotAppended("no other host could help a moment ago"))
        addresses = self._select_peers(self._peers())
        found, failures = await self._first_answer(addresses, path, body, timeout_ms)
        self._relay_succeeded = found is not None
        if found is not None:
            return Success(found)
        return self._relay_failure(failures)

    async def request_copy(self, request: CopyRequest) -> RelayReply | None:
        """Ask hosts on faster links for a copy of a log's newest records."""
        addresses = self._select_peers(self._faster_peers())
        found, _ = await self._first_answer(
            addresses, PATH_COPY, msgspec.msgpack.encode(request), COPY_TIMEOUT_MS
        )
        return found if found is not None and found.kind == "newest" else None

    async def _first_answer(
        self, addresses: list[str], path: str, body: bytes, timeout_ms: int
    ) -> tuple[RelayReply | None, list[_PeerAnswer]]:
        """Ask hosts concurrently, staggered; return the first reply and the failures.

        The reply is None if all hosts failed.
        """
        send, receive = anyio.create_memory_object_stream[_PeerAnswer](MAX_PEERS_ASKED)
        failures: list[_PeerAnswer] = []
        found: RelayReply | None = None

        async def ask_peer(address: str) -> None:
            send.send_nowait(await self._ask_peer(address, path, body, timeout_ms))

        async with send, receive, anyio.create_task_group() as tasks:
            open_calls = 0
            while found is None and (addresses or open_calls):
                wait_s = math.inf
                if addresses:
                    tasks.start_soon(ask_peer, addresses.pop(0))
                    open_calls += 1
                    wait_s = STAGGER_S
                answer = None
                with anyio.move_on_after(wait_s):
                    answer = await receive.receive()
                if answer is None:
                    continue
                open_calls -= 1
                if isinstance(answer.result, Success):
                    found = answer.result.unwrap()
                else:
                    failures.append(answer)
            tasks.cancel_scope.cancel()
        return found, failures

    async def _ask_peer(
        self, address: str, path: str, body: bytes, timeout_ms: int
    ) -> _PeerAnswer:
        self._counters.add("relayed_calls")
        begun = anyio.current_time()
        call = Call("POST", path, body, max_pause_ms=MAX_REPLY_PAUSE_MS)
        called = await self._pools.pool_for(address).call(call, timeout_ms)
        if isinstance(called, Failure):
            error = called.failure()
            self._deprioritized_until[address] = anyio.current_time() + DEPRIORITIZE_S
            silent = anyio.current_time() - begun >= RELAY_OVERHEAD_MS / 1000
            if isinstance(error, NotSent):
                return _PeerAnswer(silent, Failure(NotAppended(error.reason)))
            return _PeerAnswer(silent, Failure(AppendUnknown(error.reason)))
        reply = decode_reply(called.unwrap().body)
        if reply.kind == "not_done":
            self._deprioritized_until[address] = (
                anyio.current_time() + PEERS_FAILED_PAUSE_S
            )
            return _PeerAnswer(False, Failure(NotAppended(reply.reason)))
        if reply.kind == "unknown":
            return _PeerAnswer(False, Failure(AppendUnknown(reply.reason)))
        return _PeerAnswer(False, Success(reply))

    def _relay_failure(
        self, failures: Sequence[_PeerAnswer]
    ) -> Result[RelayReply, AppendError]:
        """Return the failure of a call for which no host returned a response.

        It is an unknown outcome if the outcome at any host is unknown. If some host did
        not respond, no host is asked for `PEERS_FAILED_PAUSE_S`.
        """
        if any(answer.silent for answer in failures):
            _LOGGER.warning("no_way_to_the_store", asked=len(failures))
            self._peers_failed_until = anyio.current_time() + PEERS_FAILED_PAUSE_S
        last: AppendError = NotAppended("no other host is known")
        for answer in failures:
            last = answer.result.failure()
            if isinstance(last, AppendUnknown):
                break
        return Failure(last)

    def _select_peers(self, peers: Sequence[str]) -> list[str]:
        """Return hosts to ask in random order, with recently failed ones last."""
        now = anyio.current_time()
        addresses = list(peers)
        random.shuffle(addresses)
        addresses.sort(
            key=lambda address: self._deprioritized_until.get(address, 0.0) > now
        )
        return addresses[:MAX_PEERS_ASKED]


class RelayedLog:
    """A keyed log that is reached directly or through another host."""

    def __init__(self, name: str, direct: KeyedLog, access: StoreAccess) -> None:
        """Initialize with the log and the access to the store.

        `name` identifies the log in calls to other hosts.
        """
        self._name = name
        self._direct = direct
        self._access = access

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
        expected_end: int | None = None,
        mark: ProducerMark | None = None,
    ) -> Result[Appended, AppendError]:
        """Store records; conditional appends use the direct path only."""
        if expected_end is not None:
            return await self._direct.append(records, timeout_ms, expected_end, mark)
        if not self._access.reachable:
            return await self._relay_append(records, timeout_ms, mark)
        return await FallbackAppend(self._access).append(
            lambda: self._direct.append(records, timeout_ms, mark=mark),
            lambda: self._relay_append(records, timeout_ms, mark),
        )

    async def read(
        self,
        start: int,
        wait_ms: int,
        on_arrival: Callable[[int], None] | None = None,
    ) -> Result[LogBatch, ReadError]:
        """Return records from an offset on."""
        if not self._access.reachable:
            body = msgspec.msgpack.encode(ReadRequest(self._name, start, wait_ms))
            answer = await self._access.ask(
                PATH_READ, body, wait_ms + 4 * RELAY_OVERHEAD_MS
            )
            if isinstance(answer, Success):
                reply = answer.unwrap()
                if reply.kind == "batch":
                    batch = LogBatch(start, reply.end, tuple(reply.records))
                    return Success(batch)
                if reply.kind == "history_gone":
                    return Failure(HistoryGone())
            return Failure(ReadFailed("neither the direct path nor a relay works"))
        result = await self._access.read_direct(
            lambda: self._direct.read(start, wait_ms, on_arrival)
        )
        self._note_read(result)
        return result

    async def newest(self) -> Result[Newest, ReadError]:
        """Return the newest record of each key."""
        if not self._access.reachable:
            body = msgspec.msgpack.encode(NewestRequest(self._name))
            answer = await self._access.ask(PATH_NEWEST, body, 4 * RELAY_OVERHEAD_MS)
            if isinstance(answer, Success) and answer.unwrap().kind == "newest":
                return Success(newest_from_reply(answer.unwrap()))
            return Failure(ReadFailed("neither the direct path nor a relay works"))
        result = await self._access.read_direct(self._direct.newest)
        self._note_read(result)
        return result

    def _note_read(self, result: Result[object, ReadError]) -> None:
        failed = isinstance(result, Failure) and isinstance(
            result.failure(), ReadFailed
        )
        self._access.note_direct_attempt(not failed)

    async def _relay_append(
        self,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
        mark: ProducerMark | None,
    ) -> Result[Appended, AppendError]:
        mark_fields = None if mark is None else (mark.name, mark.epoch, mark.sequence)
        append_timeout_ms = min(timeout_ms, RELAYED_APPEND_MS)
        append = AppendRequest(
            self._name, list(records), append_timeout_ms, mark_fields
        )
        answer = await self._access.ask(
            PATH_APPEND,
            msgspec.msgpack.encode(append),
            append_timeout_ms + RELAY_OVERHEAD_MS,
        )
        if isinstance(answer, Failure):
            return Failure(answer.failure())
        reply = answer.unwrap()
        if reply.kind == "appended":
            return Success(Appended(reply.start, reply.end))
        if reply.kind == "fenced":
            return Failure(AppendFenced())
        return Failure(AppendUnknown(f"a reply of kind {reply.kind}"))
