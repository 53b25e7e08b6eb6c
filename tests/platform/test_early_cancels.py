"""Callers that cancel a job whose submission is still on its way.

Regression test: a client left a host that was frozen, cancelled its job at another one
and was told with status 410 that there was no such job. The frozen host then stored the
job, and it ran to its end (UNASKED).
"""

import json

import anyio
import pytest

from courselead.core.scheduler.early_cancels import MAX_EARLY_CANCELS_OF_ACCOUNT
from courselead.core.scheduler.records import EarlyCancel, forget
from tests.daemon.scheduling.fakes import MemoryLog
from tests.platform.test_accounts import (
    OURS,
    PRIVATE,
    PUBLIC,
    THEIRS,
    config,
    status_of,
)
from tests.platform.test_ingress import BODY, CONFIG, JOB, IngressHarness

pytestmark = pytest.mark.anyio


def hosts(has_accounts=False) -> tuple[IngressHarness, IngressHarness]:
    log = MemoryLog()
    found = IngressHarness(log, has_accounts), IngressHarness(log, has_accounts)
    document = config(ours=[OURS], theirs=[THEIRS]) if has_accounts else CONFIG
    for ingress in found:
        ingress.configure(document)
    return found


async def state_of(ingress: IngressHarness, path=f"/q/{JOB}", keys=()) -> str | int:
    status, document, _ = await ingress.call("GET", path, keys=keys)
    return document.get("state", status)


async def test_a_job_that_is_stored_after_its_cancel_was_acknowledged_is_cancelled():
    frozen, other = hosts()
    assert (await other.call("DELETE", f"/q/{JOB}"))[0] == 410
    assert (await frozen.post())[0] == 200
    for ingress in (frozen, other):
        assert await state_of(ingress) == "cancelled"


async def test_a_job_is_cancelled_that_is_stored_while_its_cancel_is_acknowledged():
    frozen, other = hosts()
    frozen.log.answer = anyio.Event()
    # Both wait for their appends, neither knows of the other's record.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(frozen.post)
        tasks.start_soon(other.call, "DELETE", f"/q/{JOB}")
        await anyio.wait_all_tasks_blocked()
        frozen.log.answer.set()
    for ingress in (frozen, other):
        assert await state_of(ingress) == "cancelled"


async def test_an_append_without_an_answer_that_is_carried_out_late_is_cancelled():
    first, second = hosts()
    first.log.lose_answers = 2
    assert (await first.post())[0] in (503, 504)
    late = first.log.records[:]
    first.log.records.clear()
    assert (await second.call("DELETE", f"/q/{JOB}"))[0] == 410
    first.log.records.extend(late[:1])
    assert await state_of(second) == "cancelled"


async def test_a_repeated_cancel_of_an_unknown_job_stores_one_record():
    first, second = hosts()
    for ingress in (first, second, first):
        assert (await ingress.call("DELETE", f"/q/{JOB}"))[0] == 410
    assert len(first.log.records) == 1


async def test_a_cancel_that_cannot_be_stored_is_not_acknowledged():
    ingress, _ = hosts()
    await ingress.follower.catch_up()
    ingress.log.refuse = True
    assert (await ingress.call("DELETE", f"/q/{JOB}"))[0] == 503


async def test_a_crowd_of_cancels_of_unknown_jobs_is_bounded():
    ingress, _ = hosts(has_accounts=True)
    await ingress.follower.catch_up()
    early_cancels = ingress.follower.book.early_cancels
    for number in range(MAX_EARLY_CANCELS_OF_ACCOUNT):
        early_cancels.add(EarlyCancel(f"{number:016x}", "r-1", "theirs"))
    status, _, headers = await ingress.call("DELETE", PRIVATE, keys=(THEIRS,))
    assert status == 503
    assert int(headers[b"retry-after"]) >= 1
    # A job that is known can still be cancelled, and other accounts are served.
    body = json.dumps(BODY).encode()
    assert (await ingress.call("POST", PRIVATE, body, keys=(THEIRS,)))[0] == 200
    assert await status_of(ingress, "DELETE", PRIVATE, THEIRS) == 200
    assert await status_of(ingress, "DELETE", "/q/00000000000000aa", OURS) == 410


async def test_another_account_cannot_cancel_a_job_in_advance():
    first, second = hosts(has_accounts=True)
    assert await status_of(second, "DELETE", PRIVATE, THEIRS) == 410
    assert await status_of(second, "DELETE", PUBLIC) == 410
    assert await status_of(first, "POST", PRIVATE, OURS) == 200
    assert await state_of(second, PRIVATE, (OURS,)) == "queued"


async def test_cancels_that_were_removed_during_a_gap_in_the_history_are_forgotten():
    ingress, _ = hosts()
    assert (await ingress.call("DELETE", f"/q/{JOB}"))[0] == 410
    await ingress.follower.catch_up()
    assert len(ingress.follower.book.early_cancels.keys) == 1
    ingress.log.records.clear()
    ingress.log.records.extend(forget(JOB))
    ingress.log.forget_history()
    ingress.follower._follower.offset = 0
    assert await ingress.follower.catch_up()
    assert not ingress.follower.book.early_cancels.keys
