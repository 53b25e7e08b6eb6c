"""Entries that another writer left in the minions' list, and in its pages.

Such an entry may lack fields, hold other types, name a state or service that nobody
knows, or be bytes that cannot be read. It must name no minion to use, and may not keep
the other entries from being read: one page with a bad value ended the process
(`binascii.Error`), and an address without a port did when it was first called
(`ValueError: invalid literal for int()`).
"""

import base64
import json
import struct

import anyio
import pytest
from returns.result import Failure

from courselead.core.scheduler.models import MinionInfo
from courselead.core.scheduler.records import KeyedRecord
from courselead.integrations.lean_http import Call, LeanPool
from courselead.platform.decode import RecordDecoder
from courselead.platform.store import StoreTopic, store_pool
from tests.platform.serving import Running
from tests.platform.test_wire import Server

pytestmark = pytest.mark.anyio

GOOD = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmupRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "seq": 4,
}


def minion(entry: object, key: bytes = b"i-1") -> MinionInfo | str:
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    return RecordDecoder().minion(KeyedRecord(key, value))


def test_a_whole_entry_names_a_minion():
    assert isinstance(minion(GOOD), MinionInfo)
    assert isinstance(minion(GOOD | {"state": "draining"}), MinionInfo)


def test_the_start_of_a_life_is_read_and_may_be_missing():
    """Minions of before do not tell it: their id is all that tells lives apart."""
    assert minion(GOOD | {"born": 1_700_000_000_000}).born_ms == 1_700_000_000_000
    assert minion(GOOD).born_ms == 0


@pytest.mark.parametrize("born", [-1, 1.5, "1700000000000", None, True, 2**53 + 1])
def test_an_entry_whose_start_is_no_whole_number_of_milliseconds_names_none(born):
    assert minion(GOOD | {"born": born}) == "i-1"


def test_a_start_far_ahead_is_noted_and_taken(capsys):
    """It tells lives apart as any other does: the minion's clock may be wrong."""
    assert minion(GOOD | {"born": 2**53}).born_ms == 2**53
    assert "minion_born_ahead" in capsys.readouterr().out


@pytest.mark.parametrize(
    "field", ["service", "address", "zone", "state", "capacity", "labels"]
)
def test_an_entry_without_a_field_names_none(field):
    entry = {name: value for name, value in GOOD.items() if name != field}
    assert minion(entry) == "i-1"


@pytest.mark.parametrize(
    "changed",
    [
        {"service": 7},
        {"service": ""},
        {"address": ["10.0.0.9", 8080]},
        {"address": "10.0.0.9"},
        {"address": "10.0.0.9:port"},
        {"address": "10.0.0.9:80800"},
        {"address": ":8080"},
        {"zone": None},
        {"state": "sleeping"},
        {"state": True},
        {"capacity": 16000},
        {"capacity": {"cpu": "16000", "memMb": 1}},
        {"capacity": {"cpu": -16000, "memMb": 1}},
        {"labels": "a"},
        {"labels": [1, 2]},
        {"remainingMs": "soon"},
    ],
)
def test_an_entry_with_a_field_of_another_kind_names_none(changed):
    assert minion(GOOD | changed) == "i-1"


@pytest.mark.parametrize(
    "value", [b"\x00\xff\xfe", b"{", b"[]", b'"text"', b"17", b"null"]
)
def test_bytes_that_cannot_be_read_name_none(value):
    assert minion(value) == "i-1"


def test_a_key_that_cannot_be_sent_as_an_id_names_none():
    assert isinstance(minion(GOOD, b"i-\xff\xfe"), str)
    assert isinstance(minion(GOOD, "i-\u20ac".encode()), str)
    assert isinstance(minion(GOOD, b"i-1\r\nX: 1"), str)
    assert isinstance(minion(GOOD, b""), str)


async def test_a_page_with_an_item_that_cannot_be_read_brings_the_others():
    value = base64.b64encode(json.dumps(GOOD).encode()).decode()
    items = [
        {"key": "i-1", "value": "no base64!", "offset": 1},
        {"key": "i-2", "value": value, "offset": 2},
        {"key": "i-3", "value": 7, "offset": 3},
        {"key": "i-4", "value": value, "offset": 4},
    ]
    page = {"items": items, "morePages": False, "end": 5}
    async with Running(Server((200, page))) as address:
        newest = (await StoreTopic(store_pool(address), "t").newest()).unwrap()
    kept = [item.record.key for item in newest.records if item.record.value]
    assert kept == [b"i-2", b"i-4"]
    assert newest.end == 5


async def test_a_page_with_a_key_that_is_no_text_brings_the_others():
    items = b'{"key":"i-\xff","value":"eA==","offset":1},'
    items += b'{"key":"i-2","value":"eQ==","offset":2}'
    page = b'{"items":[' + items + b'],"morePages":false,"end":3}'
    async with Running(Server((200, page))) as address:
        newest = (await StoreTopic(store_pool(address), "t").newest()).unwrap()
    assert newest.records[-1].record == KeyedRecord(b"i-2", b"y")


async def test_a_record_without_a_key_keeps_its_place_among_the_others():
    def framed(content: bytes) -> bytes:
        return struct.pack(">I", len(content)) + content

    body = struct.pack(">QQ", 3, 0)
    body += framed(b"") + framed(b"\x09i-2") + framed(b"\x03i-3value")
    async with Running(Server((200, body))) as address:
        batch = (await StoreTopic(store_pool(address), "t").read(0, 0)).unwrap()
    assert len(batch.records) == 3
    assert [record.value for record in batch.records[:2]] == [b"", b""]
    assert batch.records[2] == KeyedRecord(b"i-3", b"value")


async def test_an_address_without_a_port_is_not_reached():
    with anyio.fail_after(5):
        result = await LeanPool("nowhere", 1).call(Call("GET", "/"), 100)
    assert isinstance(result, Failure)
