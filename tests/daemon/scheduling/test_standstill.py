"""Requests that have waited in a host that stood still.

Guards against a job that is stored after the cancel of its unknown id is forgotten: the
cancel holds for 60 s, but a host may be frozen or suspended for longer.
"""

import anyio
import pytest

from courselead.core.scheduler import const
from courselead.core.scheduler.models import JobSpec
from courselead.core.scheduler.records import JobAccepted, encode
from courselead.daemon.scheduling.ports import HostCounters
from courselead.daemon.scheduling.standstill import (
    MAX_REQUEST_AGE_MS,
    READ_BACKLOG_MS,
    StandstillWatch,
)
from courselead.daemon.scheduling.writer import JobWriter
from tests.daemon.scheduling.fakes import MemoryLog

pytestmark = pytest.mark.anyio
RECORD = JobAccepted("5c0e7a21d94b36f8", "q", JobSpec("", ()))


class Clock:
    now_ms = 5_000

    def __call__(self) -> int:
        return self.now_ms


def test_a_short_standstill_rejects_nothing():
    clock = Clock()
    watch = StandstillWatch(clock)
    clock.now_ms += MAX_REQUEST_AGE_MS - 1
    assert not watch.has_old_requests


def test_requests_read_after_a_long_standstill_are_old_for_a_while():
    clock = Clock()
    watch = StandstillWatch(clock)
    clock.now_ms += MAX_REQUEST_AGE_MS
    assert watch.has_old_requests
    clock.now_ms += READ_BACKLOG_MS - 1
    assert watch.has_old_requests
    clock.now_ms += 1
    assert not watch.has_old_requests
    assert MAX_REQUEST_AGE_MS + READ_BACKLOG_MS < const.EARLY_CANCEL_MS


@pytest.mark.parametrize("relayed", [False, True])
async def test_a_record_that_was_read_after_a_long_standstill_is_not_stored(relayed):
    clock, log = Clock(), MemoryLog()
    writer = JobWriter(log, HostCounters(), standstill=StandstillWatch(clock))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        clock.now_ms += const.EARLY_CANCEL_MS
        store = writer.store_here(encode(RECORD)) if relayed else writer.store(RECORD)
        result = await store
        assert (result.ok, result.in_doubt) == (False, False)
        assert not log.appends
        clock.now_ms += READ_BACKLOG_MS
        assert (await writer.store(RECORD)).ok
        tasks.cancel_scope.cancel()


async def test_a_record_that_was_queued_before_a_long_standstill_is_not_stored():
    clock, log = Clock(), MemoryLog()
    writer = JobWriter(log, HostCounters(), standstill=StandstillWatch(clock))
    results = []

    async def store() -> None:
        results.append(await writer.store(RECORD))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(store)
        await anyio.wait_all_tasks_blocked()
        clock.now_ms += const.EARLY_CANCEL_MS
        tasks.start_soon(writer.run)
        while not results:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert not results[0].ok
    assert not results[0].in_doubt
    assert not log.appends
