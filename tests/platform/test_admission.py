"""Rejections of jobs that cannot be served, as their callers see them.

Guards against a Retry-After that does not depend on the cause of the rejection, and
against accepting jobs that cannot end in time.
"""

import json

import pytest

from courselead.core.scheduler.records import (
    JobAccepted,
    KeyedRecord,
    OwnerHeartbeat,
    PoolWait,
    decode,
    encode,
)
from courselead.daemon.scheduling import job_admission
from courselead.platform.ingress import decode_job
from tests.daemon.scheduling.fakes import MemoryLog
from tests.platform.test_accounts import OURS, THEIRS, config
from tests.platform.test_ingress import CONFIG, IngressHarness

pytestmark = pytest.mark.anyio

ESTIMATED = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "estRuntimeMs": 500}]}
WAIT = PoolWait(60_000, {"ours": {1: 60_000}})


class FullPool:
    """A host that has just read that the pool is full for the account `ours`."""

    def __init__(self, has_accounts: bool = True) -> None:
        self.ingress = IngressHarness(MemoryLog(), has_accounts)
        document = config(ours=[OURS], theirs=[THEIRS]) if has_accounts else CONFIG
        self.ingress.configure(document)
        self._heartbeats = 0

    async def publish(self, wait: PoolWait = WAIT) -> None:
        """Publish a wait in the job log, which the host reads."""
        # The age of a heartbeat counts from the check before.
        self.ingress.app._intake._admission.waits.wait_of("s")
        self._heartbeats += 1
        heartbeat = OwnerHeartbeat(1, "a", self._heartbeats, waits={"s": wait})
        self.ingress.log.records.append(encode(heartbeat))
        assert await self.ingress.follower.catch_up()

    async def submit(self, number: int, key: bytes = OURS, path="q", body=ESTIMATED):
        """Return the response to a job: status, document and Retry-After."""
        status, document, headers = await self.ingress.call(
            "POST", f"/{path}/{number:016x}", json.dumps(body).encode(), keys=(key,)
        )
        return status, document, headers.get(b"retry-after")

    @property
    def stored(self) -> list[str]:
        """Return the ids of the jobs in the log."""
        records = [decode(record) for record in self.ingress.log.records]
        return [item.job_id for item in records if isinstance(item, JobAccepted)]

    def evacuate(self, zone: str) -> None:
        record = KeyedRecord(f"evacuate/{zone}".encode(), b"{}")
        self.ingress.operator_config.apply(record)

    def restore(self, zone: str) -> None:
        record = KeyedRecord(f"evacuate/{zone}".encode(), b"")
        self.ingress.operator_config.apply(record)


@pytest.fixture
def full_pool() -> FullPool:
    return FullPool()


async def test_a_rejected_job_is_not_stored_and_gets_the_expected_wait(full_pool):
    await full_pool.publish()
    status, document, retry_after = await full_pool.submit(1)
    assert status == 503
    assert "60000 ms" in document["error"]
    # Three times the objective of 1.4 s, less the work itself, before the wait is over.
    assert 57 <= int(retry_after) <= 60
    assert not full_pool.stored
    assert full_pool.ingress.counters.counts["jobs_rejected_overload"] == 1


async def test_accounts_without_excess_and_public_queues_are_accepted(full_pool):
    # Guards against rejecting a job for the excess of another account.
    await full_pool.publish()
    assert (await full_pool.submit(1, THEIRS))[0] == 200
    assert (await full_pool.submit(2, path="p"))[0] == 200


async def test_long_running_and_timed_jobs_are_accepted(full_pool):
    await full_pool.publish()
    lasting = {**ESTIMATED, "steps": [{"longRunning": True, "estRuntimeMs": 500}]}
    timed = {**ESTIMATED, "repeats": 2, "intervalMs": 100}
    assert (await full_pool.submit(1, body=lasting))[0] == 200
    assert (await full_pool.submit(2, body=timed))[0] == 200


async def test_a_job_that_another_host_has_stored_is_not_rejected(full_pool):
    # Guards against an untrue rejection: a caller that got no answer from one host
    # submits its job to another one, which has not read it yet.
    await full_pool.publish()
    log = full_pool.ingress.log
    assert (await full_pool.submit(1))[0] == 503
    spec = decode_job(json.dumps(ESTIMATED).encode()).unwrap()
    log.records.append(encode(JobAccepted(f"{2:016x}", "r-1", spec, "ours")))
    assert (await full_pool.submit(2))[0] == 200
    assert full_pool.stored == [f"{2:016x}"]


async def test_a_job_in_doubt_is_not_rejected_when_it_is_submitted_again(full_pool):
    # Guards against an untrue rejection: an append without an answer may still be
    # carried out.
    full_pool.ingress.log.lose_answers = 2
    assert (await full_pool.submit(1))[0] == 504
    full_pool.ingress.log.records.clear()
    full_pool.ingress.writer._rejecting_until = 0.0
    await full_pool.publish()
    assert (await full_pool.submit(2))[0] == 503
    assert (await full_pool.submit(1))[0] == 200


async def test_no_job_is_rejected_by_load_if_the_log_cannot_be_read(full_pool):
    # Guards against a rejection whose truth the host cannot check: the job goes to the
    # store like any other.
    await full_pool.publish()
    full_pool.ingress.log.refuse = True
    status, document, _ = await full_pool.submit(1)
    assert (status, document["error"]) == (503, "status 503")
    assert "jobs_rejected_overload" not in full_pool.ingress.counters.counts


async def test_an_overload_ends_with_the_next_heartbeat(full_pool):
    await full_pool.publish()
    assert (await full_pool.submit(1))[0] == 503
    await full_pool.publish(PoolWait())
    assert (await full_pool.submit(1))[0] == 200


async def test_jobs_are_rejected_while_all_zones_are_evacuated(full_pool):
    full_pool.ingress.operator_config.known_zones = frozenset({"z0", "z1"})
    full_pool.evacuate("z0")
    assert (await full_pool.submit(1))[0] == 200
    full_pool.evacuate("z1")
    status, document, retry_after = await full_pool.submit(2)
    assert (status, retry_after) == (503, b"1")
    assert "z0, z1" in document["error"]
    assert full_pool.ingress.counters.counts["jobs_rejected_evacuated"] == 1
    full_pool.restore("z0")
    assert (await full_pool.submit(2))[0] == 200


async def test_a_pool_whose_zone_has_returned_accepts_jobs_at_once(full_pool):
    # Guards against rejecting by an outdated heartbeat.
    full_pool.evacuate("z0")
    await full_pool.publish(PoolWait(zones=("z0",)))
    assert (await full_pool.submit(1))[0] == 503
    full_pool.restore("z0")
    assert (await full_pool.submit(1))[0] == 200


async def test_retry_after_grows_with_an_outage_of_the_store(full_pool, monkeypatch):
    monkeypatch.setattr(job_admission.random, "random", lambda: 0.99)
    now = 100.0
    monkeypatch.setattr(job_admission.anyio, "current_time", lambda: now)
    full_pool.ingress.log.refuse = True
    delays = []
    for number in range(4):
        status, _, retry_after = await full_pool.submit(number)
        assert status == 503
        delays.append(int(retry_after))
        now += 3.0
    assert delays == [1, 2, 4, 5]
    assert full_pool.ingress.counters.counts["jobs_rejected_store"] == 4
    full_pool.ingress.log.refuse = False
    assert (await full_pool.submit(9))[0] == 200
    full_pool.ingress.log.refuse = True
    assert (await full_pool.submit(10))[2] == b"1"


async def test_without_client_accounts_nothing_is_rejected_by_load():
    full_pool = FullPool(has_accounts=False)
    full_pool.ingress.operator_config.known_zones = frozenset({"z0"})
    full_pool.evacuate("z0")
    await full_pool.publish(PoolWait(60_000, {"": {1: 60_000}}, ("z0",)))
    assert (await full_pool.submit(1))[0] == 200
    full_pool.ingress.log.refuse = True
    for number in range(2, 5):
        assert (await full_pool.submit(number))[2] == b"1"
    counts = full_pool.ingress.counters.counts
    assert not any(name.startswith("jobs_rejected") for name in counts)
