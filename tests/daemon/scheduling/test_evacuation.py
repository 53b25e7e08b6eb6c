"""How a host learns from the operator's log which zones are evacuated."""

import pytest

from courselead.core.scheduler.records import KeyedRecord
from courselead.daemon.scheduling.follower import KeyedFollower
from courselead.daemon.scheduling.operator_config import OperatorConfigView
from courselead.platform.decode import RecordDecoder
from tests.daemon.scheduling.fakes import MemoryLog

pytestmark = pytest.mark.anyio


def evacuation(zone: str, value: bytes = b"{}") -> KeyedRecord:
    return KeyedRecord(f"evacuate/{zone}".encode(), value)


def make_view() -> tuple[OperatorConfigView, list[frozenset[str]]]:
    view = OperatorConfigView(RecordDecoder())
    changes: list[frozenset[str]] = []
    view.on_zones = changes.append
    return view, changes


def test_a_record_evacuates_a_zone_and_its_removal_returns_it():
    view, changes = make_view()
    view.apply(evacuation("z-a"))
    view.apply(evacuation("z-b"))
    view.apply(evacuation("z-a"))
    view.apply(evacuation("z-a", b""))
    assert changes == [{"z-a"}, {"z-a", "z-b"}, {"z-b"}]
    assert view.evacuated_zones == {"z-b"}


async def test_a_removal_that_was_missed_returns_the_zone():
    # Guards against a zone that stays closed because its record was removed while the
    # history that held the removal was gone.
    view, _ = make_view()
    log = MemoryLog()
    follower = KeyedFollower("test", log, view.apply, view.keep_only)
    await log.append([evacuation("z-a"), evacuation("z-b")], 100)
    assert await follower.read_now()
    assert view.evacuated_zones == {"z-a", "z-b"}
    await log.append([evacuation("z-a", b"")], 100)
    follower.offset = -1
    assert await follower.read_now()
    assert view.evacuated_zones == {"z-b"}


async def test_a_read_that_leaves_records_unread_does_not_count_as_current():
    # Guards against starts by an owner that lags behind in a long operator's log.
    log = LogWithOneRead()
    follower = KeyedFollower("test", log, lambda record: None)
    await log.append([evacuation("z-a")], 100)
    assert await follower.read_now()
    caught_up_at = follower.caught_up_at
    log.max_batch = 1
    await log.append([evacuation("z-b"), evacuation("z-c")], 100)
    assert not await follower.read_now()
    assert follower.offset == 2
    assert follower.caught_up_at == caught_up_at
    log.refuse = False
    assert await follower.read_now()
    assert follower.offset == 3
    assert follower.caught_up_at > caught_up_at


class LogWithOneRead(MemoryLog):
    """A log that refuses all reads after each one that it has answered."""

    async def read(self, *args, **kwargs):
        found = await super().read(*args, **kwargs)
        self.refuse = True
        return found
