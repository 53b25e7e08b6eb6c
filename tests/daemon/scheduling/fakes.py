"""An in-memory keyed log with fault injection, for tests of the daemon."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from returns.result import Failure, Result, Success

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.ports import (
    Appended,
    AppendError,
    AppendFenced,
    AppendUnknown,
    HistoryGone,
    LogBatch,
    Newest,
    NewestRecord,
    NotAppended,
    ProducerMark,
    ReadError,
    ReadFailed,
    UnexpectedEnd,
)


@dataclass
class MemoryLog:
    """Behaves like one keyed topic of the platform's store."""

    records: list[KeyedRecord] = field(default_factory=list)
    first: int = 0
    epoch: int = 0
    answers: dict[tuple[int, int], Appended] = field(default_factory=dict)
    refuse: bool = False
    silent: bool = False
    lose_answers: int = 0
    answer: anyio.Event | None = None
    appends: int = 0
    reads: int = 0
    # Maximum number of records in the response to a read, None for no limit.
    max_batch: int | None = None

    async def append(
        self,
        records: Sequence[KeyedRecord],
        timeout_ms: int,
        expected_end: int | None = None,
        mark: ProducerMark | None = None,
    ) -> Result[Appended, AppendError]:
        self.appends += 1
        await anyio.lowlevel.checkpoint()
        if self.refuse:
            return Failure(NotAppended("status 503"))
        if self.silent:
            await anyio.sleep(timeout_ms / 1000)
            return Failure(AppendUnknown("no answer"))
        if self.answer is not None:
            # Simulates a slow store: responds when the test sets the event.
            await self.answer.wait()
        if mark is not None:
            if mark.epoch < self.epoch:
                return Failure(AppendFenced())
            self.epoch = mark.epoch
            repeated = self.answers.get((mark.epoch, mark.sequence))
            if repeated is not None:
                return Success(repeated)
        if expected_end is not None and expected_end != len(self.records):
            return Failure(UnexpectedEnd(len(self.records)))
        offset = len(self.records)
        self.records.extend(records)
        answer = Appended(offset, len(self.records))
        if mark is not None:
            self.answers[(mark.epoch, mark.sequence)] = answer
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return Failure(AppendUnknown("connection closed"))
        return Success(answer)

    async def read(
        self,
        start: int,
        wait_ms: int,
        on_arrival: Callable[[int], None] | None = None,
    ) -> Result[LogBatch, ReadError]:
        self.reads += 1
        if self.refuse or self.silent:
            await anyio.sleep(0.01)
            return Failure(ReadFailed("status 503"))
        if start < self.first:
            return Failure(HistoryGone())
        waited = 0
        while len(self.records) <= start and waited < wait_ms:
            await anyio.sleep(0.005)
            waited += 5
        await anyio.lowlevel.checkpoint()
        records = tuple(self.records[start:][: self.max_batch])
        return Success(LogBatch(start, len(self.records), records))

    async def newest(self) -> Result[Newest, ReadError]:
        await anyio.lowlevel.checkpoint()
        if self.refuse or self.silent:
            return Failure(ReadFailed("status 503"))
        newest: dict[bytes, NewestRecord] = {}
        for offset, record in enumerate(self.records):
            newest.pop(record.key, None)
            if record.value:
                newest[record.key] = NewestRecord(offset, record)
        return Success(Newest(len(self.records), tuple(newest.values())))

    def forget_history(self) -> None:
        self.first = len(self.records)


@asynccontextmanager
async def silent_peer():
    """Accept connections on loopback without ever responding."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def hold(stream) -> None:
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, hold)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        yield f"127.0.0.1:{port}"
        tasks.cancel_scope.cancel()
