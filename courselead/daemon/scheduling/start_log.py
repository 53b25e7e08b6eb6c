"""Records of run starts in the owner's availability zone, stored before they are sent.

They let the next owner start waiting tasks while that zone is cut off. This raises the
score of five benchmark days with faults from 0.392 to 0.425 (mean of 4 paired seeds;
95% interval of the gain 0.004 to 0.062).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog
from returns.result import Failure

from courselead.core.scheduler.events import StartRun
from courselead.core.scheduler.records import KeyedRecord
from courselead.core.scheduler.run_records import (
    MinionRuns,
    decode_runs,
    drop_runs,
    encode_owner,
    encode_runs,
    minions_with_record,
)
from courselead.daemon.scheduling.fenced_log import APPEND_RETRY_S, FencedLog
from courselead.daemon.scheduling.ports import HostCounters, KeyedLog, ScheduleOwner

_LOGGER = structlog.get_logger(__name__)

STORE_TIMEOUT_MS = 300
"""Maximum time for a start to be stored, ten times the usual. After that the task is
placed again, on a minion of another zone while the log is silent."""

NOT_STORED = "the start was not stored in time"

EXPIRY_CHECK_INTERVAL_S = 0.1
"""Interval between checks for starts that have waited too long."""


@dataclass(slots=True)
class _Batch:
    """Content of one append, and the starts to send after it.

    Attributes:
        minions: Ids of minions whose runs are recorded.
        ended: Ids of minions whose records are deleted.
        starts: Starts to send once the append is stored.
        begun: Monotonic time at which the batch got its first entry.
    """

    minions: set[str] = field(default_factory=set)
    ended: set[str] = field(default_factory=set)
    starts: list[StartRun] = field(default_factory=list)
    begun: float = 0.0

    def __bool__(self) -> bool:
        return bool(self.minions or self.ended)


class StartLog:
    """Records, for the next owner, which tasks may run on minions in this zone."""

    def __init__(
        self,
        owner: ScheduleOwner,
        log: KeyedLog,
        counters: HostCounters,
        send: Callable[[StartRun], None],
    ) -> None:
        """Initialize without reading the log.

        Args:
            owner: Schedule owner that starts the runs.
            log: Log of starts, which no other host follows.
            counters: Counters of this host.
            send: Sends a start that is stored.
        """
        self._owner = owner
        self._log = log
        self._fenced_log = FencedLog(log, owner.fence, counters)
        self._counters = counters
        self._send = send
        self._next_batch = _Batch()
        self._current_batch = _Batch()
        self._wake = anyio.Event()
        self._initial_records: list[KeyedRecord] = []
        self._recorded_minions: set[str] = set()
        self.fenced = anyio.Event()

    def runs_by_minion(self, fence: int) -> dict[str, frozenset[str]] | None:
        """Return the tasks that an owner may have left running in its zone, by minion.

        Returns None if they are unknown: before this owner's fence is stored, or if the
        records are malformed.
        """
        if not self.fenced.is_set():
            return None
        try:
            return decode_runs(self._initial_records, fence)
        except ValueError as exc:
            _LOGGER.error("run_records_malformed", reason=str(exc))
            return None

    def record_runs(self, minion_id: str) -> None:
        """Record the tasks that may run on a minion."""
        self._enqueue(self._next_batch.minions, minion_id)

    def delete_record(self, minion_id: str) -> None:
        """Delete the record of a minion whose incarnation has ended."""
        self._next_batch.minions.discard(minion_id)
        if minion_id in self._recorded_minions:
            self._recorded_minions.discard(minion_id)
            self._enqueue(self._next_batch.ended, minion_id)

    def start(self, order: StartRun) -> None:
        """Record that a task may run, then send its start."""
        self._next_batch.starts.append(order)
        self._enqueue(self._next_batch.minions, order.minion_id)

    def _enqueue(self, ids: set[str], minion_id: str) -> None:
        if not self._next_batch:
            self._next_batch.begun = anyio.current_time()
        ids.add(minion_id)
        self._wake.set()

    async def run(self) -> bool:
        """Fence previous owners, then store; False once a newer owner has appended."""
        fence = encode_owner(self._owner.fence)
        if await self._fenced_log.append([fence]) is None:
            return False
        await self._read()
        self.fenced.set()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            self._current_batch, self._next_batch = self._next_batch, _Batch()
            records = self._records(self._current_batch)
            if not records:
                continue
            self._counters.add("start_appends")
            if await self._fenced_log.append(records) is None:
                return False
            starts, self._current_batch.starts = self._current_batch.starts, []
            for order in starts:
                self._send(order)

    async def expire_late_starts(self) -> None:
        """Drop starts that were not stored in time; runs until cancelled.

        Their tasks are placed again.
        """
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            for batch in (self._current_batch, self._next_batch):
                waited_s = anyio.current_time() - batch.begun
                if not batch.starts or waited_s < STORE_TIMEOUT_MS / 1000:
                    continue
                starts, batch.starts = batch.starts, []
                for order in starts:
                    self._owner.handle(order.not_sent(NOT_STORED))

    async def _read(self) -> None:
        while True:
            result = await self._log.newest()
            if not isinstance(result, Failure):
                break
            _LOGGER.info("run_records_unread", reason=str(result.failure()))
            await anyio.sleep(APPEND_RETRY_S)
        self._initial_records = [item.record for item in result.unwrap().records]
        self._recorded_minions.update(minions_with_record(self._initial_records))

    def _records(self, batch: _Batch) -> list[KeyedRecord]:
        scheduler = self._owner.scheduler
        if scheduler is None:
            return []
        records = [drop_runs(minion_id) for minion_id in sorted(batch.ended)]
        for minion_id in sorted(batch.minions):
            minion = scheduler.schedule.minions.get(minion_id)
            if minion is None:
                continue
            runs = MinionRuns(self._owner.fence, minion.tasks_at_risk)
            records.append(encode_runs(minion_id, runs))
            self._recorded_minions.add(minion_id)
        return records
