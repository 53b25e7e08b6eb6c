"""Bytes of the log: round trip, and no bytes that crash the reader."""

import msgspec
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from courselead.core.fleet.codec import decode_batch, encode_batch
from courselead.core.fleet.records import (
    Batch,
    Claim,
    ClaimsMade,
    JobSpec,
    JobsSubmitted,
    SnapshotPart,
    TablePublished,
    WorkersGone,
)
from courselead.core.table import AccountRow, RequestClass, ServiceRow

BATCH = Batch(
    "h1",
    1,
    2,
    3,
    -1,
    (
        TablePublished(
            1, (AccountRow("a", ("ab",)),), (ServiceRow("a", "s"),), ("x",), "op"
        ),
        WorkersGone((("w1", 4),)),
        ClaimsMade("h1", 1, (Claim("a", "s", "k", "f", "r", 9),)),
        JobsSubmitted(
            (JobSpec("j", "a", "s", RequestClass.BATCH, "p", 1.5, 2, 3, 4, True),)
        ),
        SnapshotPart(1, 0, 2, "d", "h1", b"\x00\xff"),
    ),
)


def test_a_batch_comes_back_equal():
    assert decode_batch(encode_batch(BATCH)) == Success(BATCH)


def wire(**changes):
    body = {
        "v": 1,
        "entry_host": "h",
        "incarnation": 1,
        "seq": 1,
        "at_ms": 1,
        "snapshot": -1,
        "records": [],
    }
    return msgspec.msgpack.encode({**body, **changes})


def test_other_versions_kinds_and_types_are_told_apart():
    assert isinstance(decode_batch(wire()), Success)
    assert "version 2" in str(decode_batch(wire(v=2)).failure())
    unknown = wire(records=[{"kind": "Later", "body": {}}])
    assert "Later" in str(decode_batch(unknown).failure())
    loose = {"kind": "HostLeft", "body": {"entry_host": "h", "incarnation": "1"}}
    assert isinstance(decode_batch(wire(records=[loose])), Failure)
    assert isinstance(decode_batch(wire(at_ms=-1)), Failure)


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=300, database=None)
def test_any_bytes_are_a_batch_or_an_error(data):
    assert isinstance(decode_batch(data), Success | Failure)


@given(st.data())
@settings(derandomize=True, max_examples=400, database=None)
def test_a_damaged_batch_is_a_batch_or_an_error(data):
    good = bytearray(encode_batch(BATCH))
    for _ in range(data.draw(st.integers(1, 4))):
        place = data.draw(st.integers(0, len(good) - 1))
        good[place] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(good)))
    assert isinstance(decode_batch(bytes(good)), Success | Failure)
    assert isinstance(decode_batch(bytes(good[:cut])), Failure | Success)


def test_deep_nesting_is_an_error():
    assert isinstance(decode_batch(b"\x91" * 100_000), Failure)
    head, tail = wire(records=[{"kind": "HostLeft", "body": 1}]).rsplit(b"\x01", 1)
    assert isinstance(decode_batch(head + b"\x91" * 100_000 + tail), Failure)
