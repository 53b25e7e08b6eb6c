"""The stand-ins of the users' platform keep its protocol, and see what is broken."""

import json
import struct

import pytest

from standins.asgi import Call
from standins.job_platform import minion as minion_module
from standins.job_platform.ledger import Ledger
from standins.job_platform.minion import MinionStandin
from standins.job_platform.store import StoreStandin

pytestmark = pytest.mark.anyio

HEAD_BYTES = 16


@pytest.fixture
def clock(monkeypatch) -> list[int]:
    """Return the minions' clock, in a list of one."""
    now = [1_000]
    monkeypatch.setattr(minion_module, "_clock_ms", lambda: now[0])
    return now


def framed(key: bytes, value: bytes) -> bytes:
    content = bytes((len(key),)) + key + value
    return struct.pack(">I", len(content)) + content


def call(path: str, body: bytes = b"", headers=None, **query: object) -> Call:
    words = {name: str(value) for name, value in query.items()}
    return Call("POST", path, (), words, headers or {}, body, 1)


async def append(store: StoreStandin, value: bytes, **query: object):
    body = framed(b"k", value)
    reply = await store.handle(call("/-/log-append", body, topic="keyed.t", **query))
    return reply.status, json.loads(reply.body)


async def order(minion: MinionStandin, path: str, headers=None, **body: object):
    reply = await minion.handle(call(path, json.dumps(body).encode(), headers))
    return reply.status, json.loads(reply.body)


async def start(minion: MinionStandin, run: int, fence: int = 1, **payload: object):
    return await order(
        minion,
        "/-/run-start",
        task="j.0.0.0",
        run=run,
        spec=json.dumps(payload),
        deadlineMs=6_000,
        fence=fence,
    )


async def test_an_append_with_another_end_stores_nothing():
    store = StoreStandin()
    assert await append(store, b"a", expectedEnd=0) == (200, {"offset": 0, "end": 1})
    assert await append(store, b"b", expectedEnd=0) == (412, {"end": 1})
    assert store.topic("keyed.t").end == 1


async def test_a_lower_epoch_is_fenced_and_a_repeat_is_answered_as_before():
    store = StoreStandin()
    mark = {"producer": "p", "epoch": 2}
    first = await append(store, b"a", **mark, seq=0)
    assert await append(store, b"a", **mark, seq=0) == first
    status, said = await append(store, b"c", **mark, seq=2)
    assert (status, said["reason"], said["seq"]) == (409, "seq", 1)
    assert await append(store, b"d", producer="p", epoch=1, seq=0) == (
        409,
        {"reason": "fenced"},
    )
    assert store.topic("keyed.t").end == 1


async def test_what_was_dropped_is_gone_but_the_newest_of_each_key():
    store = StoreStandin()
    await append(store, b"a")
    await append(store, b"b")
    topic = store.topic("keyed.t")
    read = await topic.read(0, 0)
    assert struct.unpack_from(">QQ", read.body) == (2, 0)
    assert read.body[HEAD_BYTES:] == framed(b"k", b"a") + framed(b"k", b"b")
    topic.forget()
    assert (await topic.read(0, 0)).status == 410
    assert (await topic.read(2, 0)).status == 200
    newest = json.loads(topic.newest(b"").body)
    assert [item["offset"] for item in newest["items"]] == [1]


async def test_a_run_ends_as_done_and_is_listed_until_it_is_noted(clock):
    minion = MinionStandin("i-1", 4_000, Ledger())
    assert (await start(minion, 1, run_ms=500))[0] == 200
    clock[0] += 600
    _, said = await order(minion, "/-/hold", fence=1, ackCursor=0)
    assert said["finished"] == [[1, "j.0.0.0", 1, "done", ""]]
    _, said = await order(minion, "/-/hold", fence=1, ackCursor=1)
    assert said["finished"] == []


async def test_lower_fences_old_runs_other_lives_and_full_minions_are_refused(clock):
    minion = MinionStandin("i-1", 1_000, Ledger())
    await start(minion, 2, fence=3, cpu=800)
    assert (await start(minion, 3, fence=2))[1]["reason"] == "fence"
    assert (await start(minion, 1, fence=3))[1]["reason"] == "old"
    other = {"x-courselead-expect-instance": "i-2"}
    assert (await order(minion, "/-/hold", other, fence=3))[0] == 421
    status, said = await order(
        minion,
        "/-/run-start",
        task="j.0.0.1",
        run=1,
        spec='{"cpu": 800}',
        deadlineMs=6_000,
        fence=3,
    )
    assert (status, said["reason"]) == (409, "room")


async def test_a_lease_that_is_not_renewed_lapses(clock):
    minion = MinionStandin("i-1", 4_000, Ledger())
    await start(minion, 1)
    clock[0] = 6_001
    _, said = await order(minion, "/-/hold", fence=1, ackCursor=0)
    assert [row[3] for row in said["finished"]] == ["lapsed"]


def test_a_second_run_at_the_same_time_is_seen():
    ledger = Ledger()
    ledger.started("t", "i-1")
    ledger.started("t", "i-2")
    assert len(ledger.broken) == 1


def test_a_start_after_a_noted_end_is_seen():
    ledger = Ledger()
    ledger.started("t", "i-1")
    ledger.ended("t", "i-1", done=True)
    ledger.noted("t")
    assert not ledger.broken
    ledger.started("t", "i-2")
    assert len(ledger.broken) == 1


def test_a_lower_fence_after_a_higher_one_is_seen():
    ledger = Ledger()
    ledger.ordered("m-1", 2)
    ledger.ordered("m-1", 1)
    assert len(ledger.broken) == 1
