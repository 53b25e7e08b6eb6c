"""Cancels that arrive before the submission of their job.

Regression tests: the cancel of an unknown job was answered with status 410 and not
stored. A submission that had waited in a frozen host was stored afterwards, and the
tasks of the job ran to their end (UNASKED).
"""

import pytest

from courselead.core.scheduler import const
from courselead.core.scheduler.early_cancels import (
    MAX_EARLY_CANCELS,
    MAX_EARLY_CANCELS_OF_ACCOUNT,
    EarlyCancels,
)
from courselead.core.scheduler.models import JobState
from courselead.core.scheduler.records import (
    EarlyCancel,
    EarlyCancelForgotten,
    decode,
    encode,
)
from tests.core.scheduler.world import QUEUE, World, job, step

JOB = "00000000000000aa"


@pytest.mark.parametrize("new_owner", [False, True])
def test_a_job_that_arrives_after_its_cancel_never_starts(new_owner):
    world = World()
    world.claim()
    world.cancel_early(JOB)
    if new_owner:
        world.claim()
    world.submit(job(step(2)), JOB)
    world.run(2_000)
    assert not world.starts
    assert world.state(JOB) is JobState.CANCELLED
    # Its end is stored, so that it is removed from the log later.
    assert world.book.jobs[JOB].progress.ended_ms > 0


def test_a_job_whose_cancel_arrives_just_after_it_is_stopped():
    world = World()
    world.claim()
    world.submit(job(step(2)), JOB, length_ms=60_000)
    world.run(500)
    assert len(world.starts) == 2
    world.cancel_early(JOB)
    world.run(2_000)
    assert world.state(JOB) is JobState.CANCELLED
    assert not any(minion.runs for minion in world.minions.values())


@pytest.mark.parametrize("cancel_first", [True, False])
def test_an_early_cancel_of_another_caller_cancels_nothing(cancel_first):
    world = World()
    world.claim()
    if not cancel_first:
        world.submit(job(step(1)), JOB, account="ours")
    world.cancel_early(JOB, account="theirs")
    world.cancel_early(JOB, queue="another", account="ours")
    if cancel_first:
        world.submit(job(step(1)), JOB, account="ours")
    world.run(2_000)
    assert world.state(JOB) is JobState.COMPLETED


def test_early_cancels_are_removed_from_the_log_after_their_time():
    world = World()
    world.claim()
    for number in range(2_500):
        world.cancel_early(f"{number:016x}")
    world.run(const.EARLY_CANCEL_MS - 1_000)
    assert len(world.book.early_cancels.keys) == 2_500
    world.cancel_early("f" * len(JOB))
    world.run(const.EARLY_CANCEL_MS // 2)
    assert len(world.book.early_cancels.keys) == 1
    world.run(const.EARLY_CANCEL_MS)
    assert not world.book.early_cancels.keys
    assert not world.owner.schedule.early_cancels_seen_ms


def test_early_cancels_are_bounded_and_none_is_dropped():
    held = EarlyCancels()
    kept = [f"{number:016x}" for number in range(MAX_EARLY_CANCELS_OF_ACCOUNT)]
    for job_id in kept[:-1]:
        held.add(EarlyCancel(job_id, QUEUE, "a"))
    assert not held.is_full("a")
    with held.storing("a"):
        assert held.is_full("a")
    held.add(EarlyCancel(kept[-1], QUEUE, "a"))
    held.add(EarlyCancel(kept[-1], QUEUE, "a"))
    assert held.is_full("a")
    assert not held.is_full("b")
    assert all(held.of_job(job_id) for job_id in kept)
    accounts = MAX_EARLY_CANCELS // MAX_EARLY_CANCELS_OF_ACCOUNT
    for account in range(1, accounts):
        for job_id in kept:
            held.add(EarlyCancel(job_id, QUEUE, str(account)))
    assert held.is_full("b")
    held.keep_only(set(list(held.keys)[:1]))
    assert len(held.keys) == 1
    assert not held.is_full("a")


def test_the_size_of_a_record_does_not_depend_on_the_names_in_its_key():
    record = EarlyCancel(JOB, QUEUE * 300, "a" * 200, 2**64 - 1)
    keyed = encode(record)
    assert len(keyed.key) == len(encode(EarlyCancel(JOB, QUEUE)).key) == 33
    assert decode(keyed) == record
    removed = encode(EarlyCancelForgotten(keyed.key))
    assert not removed.value
    assert decode(removed) == EarlyCancelForgotten(keyed.key)
