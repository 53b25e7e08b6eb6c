"""Starting from the log alone, against the log stand-in."""

import anyio
import pytest

from courselead.core.events import BatchesRead, LogReachable, SnapshotLoaded
from courselead.core.fleet.apply import apply_batch
from courselead.core.fleet.codec import encode_batch
from courselead.core.fleet.records import Batch, HostJoined, WorkerInfo, WorkersSeen
from courselead.core.fleet.snapshot import split
from courselead.core.fleet.state import FleetState
from courselead.daemon.bootstrap import StateOutOfReachError, find_start
from courselead.daemon.follower import Follower
from courselead.integrations.platform_log import LogClient
from standins.faults import Endpoint, Faults
from standins.log import LogStandin
from standins.serving import Listener

pytestmark = pytest.mark.anyio


class Served:
    """A log with a writer that folds what it writes."""

    def __init__(self, keep=0):
        self.endpoint = Endpoint(LogStandin(keep).handle)
        self.listener = Listener(self.endpoint)
        self.client = LogClient(self.listener.address)
        self.fleet = FleetState()
        self.states = []
        self.seq = 0

    async def write(self, *records):
        self.seq += 1
        pointer = self.fleet.snapshot_at
        batch = Batch("a", 1, self.seq, 1_000, pointer, records)
        offset = (await self.client.append(encode_batch(batch), 5)).unwrap()
        self.fleet, _ = apply_batch(self.fleet, offset, batch)
        self.states.append(self.fleet)

    async def worker(self, number):
        info = WorkerInfo(f"w{number}", "z1", "r1", "127.0.0.1:1", 8.0, 1024)
        await self.write(WorkersSeen((info,)))


@pytest.fixture
async def make():
    made = []
    async with anyio.create_task_group() as group:

        async def start(keep=0):
            one = Served(keep)
            made.append(one)
            await group.start(one.listener.run)
            await one.write(HostJoined("a", 1, "z1", "127.0.0.1:2"))
            return one

        yield start
        for one in made:
            one.client.close()
            one.listener.abort()


async def test_without_a_snapshot_the_log_is_read_from_its_first_record(make):
    served = await make()
    start = await find_start(served.client)
    assert (start.fleet, start.read_from, start.end) == (FleetState(), 0, 1)


async def test_the_last_record_says_where_the_newest_snapshot_is(make):
    served = await make()
    await served.worker(1)
    at = served.fleet
    for part in split(at, "a"):
        await served.write(part)
    for number in range(2, 5):
        await served.worker(number)
    start = await find_start(served.client)
    assert start.fleet == at
    assert start.read_from == at.offset + 1


async def test_a_snapshot_cut_short_is_not_used(make):
    served = await make()
    await served.worker(1)
    (part,) = split(served.fleet, "a")
    half = type(part)(part.at, 0, 2, part.digest, "a", part.data[:9])
    await served.write(half)
    await served.worker(2)
    start = await find_start(served.client)
    assert start.read_from == 0


async def test_a_log_without_its_first_record_and_without_a_snapshot_is_told(make):
    served = await make(keep=3)
    for number in range(5):
        await served.worker(number)
    with pytest.raises(StateOutOfReachError, match="retention"):
        await find_start(served.client)


async def test_records_that_are_no_batch_change_nothing_and_stop_nobody(make):
    served = await make()
    await served.client.append(b"\xc1 not a batch", 5)
    served.fleet, _ = apply_batch(served.fleet, 1, None)
    await served.worker(1)
    events = []
    follower = Follower(served.client, events.append, seed=1)
    with anyio.fail_after(10):
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            while not any(isinstance(event, LogReachable) for event in events):
                await anyio.sleep(0.01)
            group.cancel_scope.cancel()
    assert isinstance(events[0], SnapshotLoaded)
    fleet = events[0].fleet
    for event in events:
        if isinstance(event, BatchesRead):
            for offset, batch in event.batches:
                fleet, _ = apply_batch(fleet, offset, batch)
    assert fleet == served.fleet


async def test_a_reader_left_behind_by_retention_starts_over_from_a_snapshot(make):
    served = await make(keep=4)
    events = []
    follower = Follower(served.client, events.append, seed=1)

    async def until(condition):
        with anyio.fail_after(10):
            while not condition():
                await anyio.sleep(0.01)

    async with anyio.create_task_group() as group:
        group.start_soon(follower.run)
        await until(lambda: any(isinstance(ev, LogReachable) for ev in events))
        served.endpoint.faults = Faults(down=True, only="/v1/log/read")
        await until(lambda: events[-1] == LogReachable(events[-1].now_ms, False))
        for number in range(3):
            await served.worker(number)
        at = served.fleet
        for part in split(at, "a"):
            await served.write(part)
        await served.worker(9)
        seen = len(events)
        served.endpoint.faults = Faults()
        await until(lambda: events[-1] == LogReachable(events[-1].now_ms, True))
        group.cancel_scope.cancel()
    loaded = [ev for ev in events[seen:] if isinstance(ev, SnapshotLoaded)]
    assert [ev.fleet for ev in loaded] == [at]
    batches = [ev.batches for ev in events[seen:] if isinstance(ev, BatchesRead)]
    assert batches[0][0][0] == at.offset + 1
