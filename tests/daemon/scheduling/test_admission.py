"""How the expected waits get from the owner to the entry hosts."""

import anyio
import pytest

from courselead.core.scheduler.book import JobBook
from courselead.core.scheduler.events import SaveProgress
from courselead.core.scheduler.models import (
    Bounds,
    ClientAccount,
    FleetConfig,
    JobState,
)
from courselead.core.scheduler.records import (
    JobProgress,
    OwnerHeartbeat,
    PoolWait,
    Record,
    decode,
)
from courselead.daemon.scheduling import (
    job_admission,
    owner as owner_module,
    wait_publisher,
)
from courselead.daemon.scheduling.host import SchedulingHost
from courselead.daemon.scheduling.job_admission import PublishedWaits
from tests.daemon.scheduling.test_host import platform, short_election, until

__all__ = ["short_election"]
pytestmark = pytest.mark.anyio

WAIT = PoolWait(9_000, {"a": {1: 9_000}})


class Clock:
    """Replaces the clock of the admission of jobs."""

    def __init__(self, monkeypatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(job_admission.anyio, "current_time", lambda: self.now)


def heartbeat(number: int, fence: int = 1, wait: PoolWait = WAIT) -> OwnerHeartbeat:
    return OwnerHeartbeat(fence, "a", number, waits={"p": wait})


def test_a_published_wait_is_used_for_two_seconds(monkeypatch):
    # Guards against rejecting by the estimate of an owner that is gone.
    clock = Clock(monkeypatch)
    book = JobBook()
    waits = PublishedWaits(book)
    assert waits.wait_of("p") is None
    clock.now += 0.2
    book.apply(heartbeat(1))
    assert waits.wait_of("p") == WAIT
    assert waits.wait_of("other") is None
    clock.now += 1.7
    assert waits.wait_of("p") == WAIT
    clock.now += 0.2
    assert waits.wait_of("p") is None
    book.apply(heartbeat(2))
    assert waits.wait_of("p") == WAIT


def test_a_wait_of_unknown_age_is_not_used(monkeypatch):
    # Guards against rejecting by a heartbeat that was read long ago, or whose owner was
    # lost before this host started.
    clock = Clock(monkeypatch)
    book = JobBook()
    waits = PublishedWaits(book)
    book.apply(heartbeat(1))
    assert waits.wait_of("p") is None
    clock.now += 5.0
    book.apply(heartbeat(2))
    assert waits.wait_of("p") is None
    clock.now += 0.1
    book.apply(heartbeat(3))
    assert waits.wait_of("p") == WAIT


def test_a_new_owner_withdraws_the_waits_of_the_one_before(monkeypatch):
    clock = Clock(monkeypatch)
    book = JobBook()
    waits = PublishedWaits(book)
    waits.wait_of("p")
    clock.now += 0.1
    book.apply(heartbeat(9))
    assert waits.wait_of("p") == WAIT
    book.apply(OwnerHeartbeat(2, "b", 1))
    assert waits.wait_of("p") is None


SAVES = 30


async def records_of_a_busy_owner(monkeypatch, config: FleetConfig) -> list[Record]:
    """Return what an owner stores that saves the progress of a job all the time.

    The estimate is replaced by a fixed one.
    """
    monkeypatch.setattr(
        wait_publisher.pool_loads, "expected_waits", lambda schedule: {"p": WAIT}
    )
    monkeypatch.setattr(owner_module, "HEARTBEAT_INTERVAL_S", 0.0)
    progress = SaveProgress(JobProgress("00000000000000aa", JobState.RUNNING))
    shared = platform()
    host = SchedulingHost("a", shared, Bounds())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(host.run)
        await until(lambda: host.owns and host._owner.scheduler is not None)
        owner = host._owner
        owner.scheduler.schedule.config = config
        monkeypatch.setattr(owner.scheduler, "take_saves", lambda: (1, [progress]))
        before = len(shared.jobs.records)

        def has_saved() -> bool:
            owner._save_wake.set()
            return len(shared.jobs.records) - before >= SAVES

        await until(has_saved)
        tasks.cancel_scope.cancel()
    return [decode(record) for record in shared.jobs.records[before + 1 :]]


async def test_waits_are_published_while_other_records_are_saved(monkeypatch):
    # Guards against waits that expire at peak load: the owner stored no heartbeat
    # whenever it saved the progress of jobs.
    config = FleetConfig(1, accounts={"a": ClientAccount("a", weight=1)})
    records = await records_of_a_busy_owner(monkeypatch, config)
    heartbeats = [item for item in records if isinstance(item, OwnerHeartbeat)]
    assert heartbeats[-1].waits == {"p": WAIT}


async def test_without_client_accounts_a_busy_owner_stores_no_heartbeats(monkeypatch):
    records = await records_of_a_busy_owner(monkeypatch, FleetConfig(1))
    assert {type(item) for item in records} == {JobProgress}


async def test_an_entry_host_learns_the_waits_of_the_owner(monkeypatch):
    # Guards against a wait that the entry hosts never see as recent: they read the log
    # with pauses, and the owner stores a heartbeat every 0.3 s.
    monkeypatch.setattr(
        wait_publisher.pool_loads, "expected_waits", lambda schedule: {"p": WAIT}
    )
    shared = platform()
    first, second = (SchedulingHost(name, shared, Bounds()) for name in "ab")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await until(lambda: first.owns and first._owner.scheduler is not None)
        config = FleetConfig(1, accounts={"a": ClientAccount("a", weight=1)})
        first._owner.scheduler.schedule.config = config
        tasks.start_soon(second.run)
        await until(lambda: second.intake._admission.waits.wait_of("p") == WAIT)
        assert not second.owns
        tasks.cancel_scope.cancel()
