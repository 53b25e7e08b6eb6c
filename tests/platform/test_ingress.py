"""Tests of the job API: decoding, validation and the responses to callers."""

import json

import anyio
import pytest
from returns.result import Failure, Success

from courselead.core.scheduler.admission import LARGE_JOB_TASKS
from courselead.core.scheduler.book import JOB_BYTES, OPEN_TASK_BYTES
from courselead.core.scheduler.models import JobSpec, JobState
from courselead.core.scheduler.records import (
    JobAccepted,
    JobCancelled,
    JobProgress,
    KeyedRecord,
    OwnerHeartbeat,
    decode,
    encode,
    forget,
)
from courselead.daemon.scheduling.follower import JobFollower
from courselead.daemon.scheduling.intake import Intake
from courselead.daemon.scheduling.operator_config import OperatorConfigView
from courselead.daemon.scheduling.ports import HostCounters
from courselead.daemon.scheduling.writer import MAX_BATCH_BYTES, JobWriter
from courselead.platform.decode import RecordDecoder
from courselead.platform.ingress import JobsApp, ReadyApp, decode_job
from tests.daemon.scheduling.fakes import MemoryLog

pytestmark = pytest.mark.anyio
JOB = "5c0e7a21d94b36f8"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/q/",
            "service": "s",
            "sloMs": 600,
            "priority": 1,
            "maxAttempts": 4,
            "stretch": 1.6,
        },
        {"name": "r-2", "host": "a.example", "pathPrefix": "/q/long/", "service": "s"},
    ],
    "services": [{"name": "s", "admissionControl": True, "spare": False}],
    "limits": {"maxBodyBytes": 262144},
}
BODY = {"spec": "text", "steps": [{"count": 2, "cpu": 500, "memMb": 256}]}


class NoOwner:
    owns = False


class IngressHarness:
    """The job API of one host with an in-memory log."""

    def __init__(
        self,
        log: MemoryLog,
        has_accounts: bool = False,
        max_job_bytes: int | None = None,
    ) -> None:
        self.log = log
        counters = self.counters = HostCounters()
        self.operator_config = OperatorConfigView(RecordDecoder(has_accounts))
        self.follower = JobFollower(log, counters)
        self.writer = JobWriter(log, counters)
        intake = Intake(
            self.operator_config,
            self.follower,
            self.writer,
            NoOwner(),
            counters,
            max_job_bytes,
        )
        self.app = JobsApp(intake)

    def configure(self, document=CONFIG) -> None:
        record = KeyedRecord(b"config", json.dumps(document).encode())
        self.operator_config.apply(record)

    async def call(self, method, path, body=b"", host=b"a.example", keys=()):
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(b"host", host), *((b"x-api-key", key) for key in keys)],
        }
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message):
            sent.append(message)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.writer.run)
            await self.app(scope, receive, send)
            tasks.cancel_scope.cancel()
        headers = dict(sent[0]["headers"])
        return sent[0]["status"], json.loads(sent[1]["body"]), headers

    async def post(self, job_id=JOB, body=BODY):
        return await self.call("POST", f"/q/{job_id}", json.dumps(body).encode())


async def test_a_job_is_accepted_after_it_is_stored():
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    status, _, _ = await ingress.post()
    assert status == 200
    assert len(ingress.log.records) == 1
    status, _, _ = await ingress.post()
    assert status == 200
    assert len(ingress.log.records) == 1


async def test_a_job_is_stored_with_the_settings_of_its_queue():
    # A later configuration may not have the queue, or not with the same settings.
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    await ingress.post()
    stored = decode(ingress.log.records[0])
    assert stored.settings == ingress.operator_config.fleet.queues["r-1"]
    assert stored.settings.pool == "s"
    assert stored.settings.max_attempts == 4


async def test_a_refused_job_gets_retry_after_and_is_not_stored():
    ingress = IngressHarness(MemoryLog(refuse=True))
    ingress.configure()
    status, _, headers = await ingress.post()
    assert status == 503
    assert headers[b"retry-after"] == b"1"
    assert not ingress.log.records


async def test_a_job_that_may_be_stored_gets_status_504():
    ingress = IngressHarness(MemoryLog(lose_answers=9))
    ingress.configure()
    status, _, _ = await ingress.post()
    assert status == 504


@pytest.mark.parametrize(
    ("method", "body_arrives", "expected"),
    [("POST", True, 504), ("DELETE", True, 504), ("POST", False, 503)],
)
async def test_requests_cancelled_by_a_shutdown_get_status_503_or_504(
    method, body_arrives, expected
):
    """A request that a shutdown cancels gets 504 if the job may have been stored.

    Regression test: hosts that were shutting down responded with 500, which the server
    sends for a cancelled request. Callers need to know whether the job may run (504:
    retry with the same id) or will never run (503).
    """
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    # The writer's task does not run, so nothing is stored and the request waits.
    ingress.follower.apply_stored(JobAccepted(JOB, "r-1", JobSpec("", ())))
    job_id = JOB if method == "DELETE" else "00000000000000aa"
    body = json.dumps(BODY).encode()
    scope = {
        "type": "http",
        "method": method,
        "path": f"/q/{job_id}",
        "headers": [(b"host", b"a.example")],
    }
    sent = []

    async def receive():
        if not body_arrives:
            await anyio.sleep_forever()
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    with anyio.move_on_after(0.05) as shutdown_scope:
        await ingress.app(scope, receive, send)
    assert shutdown_scope.cancelled_caught
    assert sent[0]["status"] == expected
    assert dict(sent[0]["headers"])[b"retry-after"] == b"1"


@pytest.mark.parametrize("parts", [[json.dumps(BODY).encode()], [b'{"spec": ', b""]])
async def test_a_body_whose_caller_leaves_before_its_end_stores_nothing(parts):
    """A job is stored only if its body has ended as its framing says.

    What had arrived of a body was taken for all of it, so that a job of which nothing
    but the last chunk was missing was stored after its caller had left.
    """
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    scope = {
        "type": "http",
        "method": "POST",
        "path": f"/q/{JOB}",
        "headers": [(b"host", b"a.example")],
    }
    messages = [
        {"type": "http.request", "body": part, "more_body": True} for part in parts
    ]
    messages.append({"type": "http.disconnect"})
    sent = []

    async def receive():
        return messages.pop(0)

    async def send(message):
        sent.append(message)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ingress.writer.run)
        await ingress.app(scope, receive, send)
        tasks.cancel_scope.cancel()
    assert ingress.log.records == []
    assert sent == []


LARGE = {"spec": "text", "steps": [{"count": 2_000}]}
SMALL = {"spec": "text", "steps": [{"count": LARGE_JOB_TASKS}]}
LONG = {"spec": "text", "steps": [{"image": "i" * 250_000}]}
MAX_JOB_BYTES = 3_000 * OPEN_TASK_BYTES + 512
"""Memory of 3,000 tasks and of the specification of their job."""


def job_id(number: int) -> str:
    return f"{number:016x}"


async def test_a_large_job_is_refused_while_others_take_the_memory():
    """The tasks of accepted jobs fit into the memory of the schedule's owner.

    Jobs of any number of tasks were accepted, at any time, and ended each owner.
    """
    ingress = IngressHarness(MemoryLog(), max_job_bytes=MAX_JOB_BYTES)
    ingress.configure()
    assert (await ingress.post(job_id(1), LARGE))[0] == 200
    status, _, headers = await ingress.post(job_id(2), LARGE)
    assert status == 503
    assert headers[b"retry-after"] == b"1"
    assert len(ingress.log.records) == 1
    # A retry of the accepted one, and jobs that are not large.
    assert (await ingress.post(job_id(1), LARGE))[0] == 200
    for number in range(3, 6):
        assert (await ingress.post(job_id(number), SMALL))[0] == 200


async def test_a_large_job_is_accepted_again_once_others_have_ended():
    ingress = IngressHarness(MemoryLog(), max_job_bytes=MAX_JOB_BYTES)
    ingress.configure()
    await ingress.post(job_id(1), LARGE)
    ended = JobProgress(job_id(1), JobState.COMPLETED, True)
    ingress.log.records.append(encode(ended))
    # The first attempt reads the log.
    assert (await ingress.post(job_id(2), LARGE))[0] == 200


async def test_jobs_of_few_tasks_with_long_texts_count_by_their_size():
    ingress = IngressHarness(MemoryLog(), max_job_bytes=MAX_JOB_BYTES)
    ingress.configure()
    for number in range(24):
        assert (await ingress.post(job_id(number), LONG))[0] == 200
    assert (await ingress.post(job_id(24), LONG))[0] == 503
    # The texts of ended jobs are held until they are forgotten.
    for number in range(24):
        ended = JobProgress(job_id(number), JobState.COMPLETED, True)
        ingress.log.records.append(encode(ended))
    assert (await ingress.post(job_id(24), LONG))[0] == 503
    assert (await ingress.post(job_id(25), SMALL))[0] == 200


async def test_a_batch_of_large_records_is_stored_in_several_appends():
    """Callers' records share an append up to half of the largest one of the store.

    Large records of some callers made the store refuse the appends of all others.
    """
    ingress = IngressHarness(MemoryLog())
    sizes = []
    append = ingress.log.append

    async def append_and_note(records, *args, **kwargs):
        sizes.append(sum(len(record.value) for record in records))
        return await append(records, *args, **kwargs)

    ingress.log.append = append_and_note
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(ingress.writer.run)
        async with anyio.create_task_group() as callers:
            for number in range(20):
                record = KeyedRecord(b"k%d" % number, b"v" * 200_000)
                callers.start_soon(ingress.writer.store_here, record)
        tasks.cancel_scope.cancel()
    assert len(ingress.log.records) == 20
    assert max(sizes) <= MAX_BATCH_BYTES


async def test_a_job_that_never_fits_into_the_memory_gets_status_413():
    ingress = IngressHarness(MemoryLog(), max_job_bytes=MAX_JOB_BYTES)
    ingress.configure()
    status, _, headers = await ingress.post(
        job_id(1), {"spec": "text", "steps": [{"count": 3_001}]}
    )
    assert status == 413
    assert b"retry-after" not in headers
    assert not ingress.log.records


async def test_small_jobs_are_refused_while_the_ended_ones_take_the_memory():
    """Guards against a crowd of small jobs that are cancelled at once.

    Ended jobs are held until they are forgotten, 240 s later by default, and small ones
    were accepted whatever the hosts held.
    """
    ingress = IngressHarness(MemoryLog(), max_job_bytes=40 * JOB_BYTES)
    ingress.configure()
    statuses = []
    for number in range(100):
        statuses.append((await ingress.post(job_id(number), SMALL))[0])
        await ingress.call("DELETE", f"/q/{job_id(number)}")
    accepted = statuses.count(200)
    assert 40 <= accepted <= 60
    assert statuses[accepted:] == [503] * (100 - accepted)
    # A repeated submission of one that was accepted.
    assert (await ingress.post(job_id(1), SMALL))[0] == 200
    for number in range(accepted):
        ingress.log.records.extend(forget(job_id(number)))
    assert (await ingress.post(job_id(100), SMALL))[0] == 200


async def test_the_payload_of_an_ended_job_is_dropped():
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    book = ingress.follower.book
    await ingress.post(job_id(1), {**SMALL, "spec": "x" * 4_000})
    held = book.spec_bytes
    assert book.jobs[job_id(1)].spec.payload
    await ingress.call("DELETE", f"/q/{job_id(1)}")
    assert not book.jobs[job_id(1)].spec.payload
    assert book.spec_bytes == held - 4_000
    for record in forget(job_id(1)):
        book.apply(decode(record))
    assert book.spec_bytes == 0


async def test_large_jobs_that_are_being_stored_count():
    ingress = IngressHarness(MemoryLog(), max_job_bytes=MAX_JOB_BYTES)
    ingress.configure()
    statuses = []

    async def post(number):
        statuses.append((await ingress.post(job_id(number), LARGE))[0])

    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(post, number)
    assert sorted(statuses) == [200, 503, 503, 503]


async def test_requests_before_the_first_configuration_get_status_503():
    status, _, _ = await IngressHarness(MemoryLog()).post()
    assert status == 503


async def test_the_longest_matching_prefix_selects_the_queue():
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    short = ingress.operator_config.route("a.example", f"/q/{JOB}")
    assert (short.queue, short.rest) == ("r-1", JOB)
    long = ingress.operator_config.route("a.example", f"/q/long/{JOB}")
    assert (long.queue, long.rest) == ("r-2", JOB)
    assert (await ingress.call("GET", "/other/"))[0] == 404
    assert (await ingress.call("GET", "/q/", host=b"b.example"))[0] == 404


async def test_an_older_configuration_is_ignored():
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    ingress.configure({**CONFIG, "version": 6, "routes": []})
    assert ingress.operator_config.version == 7
    assert ingress.operator_config.route("a.example", "/q/") is not None


async def test_states_are_read_from_the_log_and_unknown_jobs_are_gone():
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    assert (await ingress.call("GET", f"/q/{JOB}"))[0] == 410
    await ingress.post()
    assert (await ingress.call("GET", f"/q/{JOB}"))[1] == {"state": "queued"}
    ingress.log.records.append(encode(JobProgress(JOB, JobState.COMPLETED, True)))
    assert (await ingress.call("GET", f"/q/{JOB}"))[1] == {"state": "completed"}
    assert (await ingress.call("GET", f"/q/long/{JOB}"))[0] == 410


async def test_a_job_is_cancelled_after_the_cancel_is_stored():
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    await ingress.post()
    assert (await ingress.call("GET", "/q/"))[1] == {"pending": 1}
    assert (await ingress.call("DELETE", f"/q/{JOB}"))[0] == 200
    assert (await ingress.call("GET", f"/q/{JOB}"))[1] == {"state": "cancelled"}
    assert (await ingress.call("GET", "/q/"))[1] == {"pending": 0}
    assert (await ingress.call("DELETE", "/q/" + "0" * 16))[0] == 410


async def test_a_cancel_of_a_failed_service_is_stored():
    """The tasks of a failed service keep running until its caller cancels it.

    Regression test: a cancel of a job that had ended got status 200 but was not stored.
    """
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    service_job = {
        "spec": "text",
        "steps": [{"count": 2, "cpu": 5, "longRunning": True}],
    }
    await ingress.post(body=service_job)
    ingress.log.records.append(encode(JobProgress(JOB, JobState.FAILED, True)))
    assert (await ingress.call("GET", f"/q/{JOB}"))[1] == {"state": "failed"}
    for _ in range(2):
        assert (await ingress.call("DELETE", f"/q/{JOB}"))[0] == 200
    cancels = [
        item for item in ingress.log.records if item == encode(JobCancelled(JOB))
    ]
    assert len(cancels) == 1


@pytest.mark.parametrize(
    ("body", "expected_text"),
    [
        (b"{", "malformed"),
        (b'{"steps": []}', "spec"),
        (b'{"spec": "x", "steps": []}', "at least one step"),
        (b'{"spec": "x", "steps": [{"after": [0]}]}', "earlier steps"),
        # More steps than a record of the store has room for.
        (b'{"spec": "", "steps": [{}' + b",{}" * 11_915 + b"]}", "at most 11915"),
        (b'{"spec": "x", "steps": [{"after": [1]}, {}]}', "earlier steps"),
        (b'{"spec": "x", "steps": [{"count": 0}]}', "count"),
        (b'{"spec": "x", "steps": [{"cpu": -1}]}', "negative"),
        (b'{"spec": "' + b"x" * 4001 + b'", "steps": [{}]}', "4000"),
    ],
)
async def test_a_malformed_job_is_refused_and_nothing_is_stored(body, expected_text):
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    status, answer, _ = await ingress.call("POST", f"/q/{JOB}", body)
    assert status == 400
    assert expected_text in answer["error"]
    assert not ingress.log.records


@pytest.mark.parametrize("job_id", ["", "xyz", JOB.upper(), JOB + "0"])
async def test_an_id_must_be_sixteen_hexadecimal_digits(job_id):
    ingress = IngressHarness(MemoryLog())
    ingress.configure()
    status, _, _ = await ingress.post(job_id)
    assert status in (400, 405)
    assert not ingress.log.records


def test_every_field_of_a_step_is_decoded():
    body = {
        "spec": "text",
        "startAtMs": 5,
        "intervalMs": 6,
        "repeats": 7,
        "steps": [
            {"count": 1},
            {
                "count": 3,
                "cpu": 500,
                "memMb": 256,
                "gpu": 1,
                "estRuntimeMs": 900,
                "after": [0],
                "gang": True,
                "rackLocal": True,
                "constraints": "b",
                "affinity": "r1-3",
                "antiAffinity": 2,
                "speculative": True,
                "checkpoints": True,
                "longRunning": True,
                "image": "i",
                "targetMs": 40,
                "fills": True,
                "mayMiss": 1,
            },
        ],
    }
    spec = decode_job(json.dumps(body).encode()).unwrap()
    assert (spec.first_due_ms, spec.interval_ms, spec.repeats) == (5, 6, 7)
    step = spec.steps[1]
    assert (step.need.cpu_milli, step.need.memory_mb, step.need.gpus) == (500, 256, 1)
    assert (step.after, step.gang, step.rack_local) == ((0,), True, True)
    assert (step.required_label, step.preferred_rack) == ("b", "r1-3")
    assert (step.max_per_minion, step.speculative, step.checkpoints) == (2, True, True)
    assert (step.long_running, step.image, step.target_tail_ms) == (True, "i", 40)
    assert (step.fills, step.may_miss) == (True, 1)
    assert step.charge.cpu_milli == 0
    assert isinstance(decode_job(b"[]"), Failure)
    assert isinstance(decode_job(json.dumps(BODY).encode()), Success)


async def test_the_readiness_check_reports_the_state_of_the_host():
    sent = []

    async def send(message):
        sent.append(message)

    for ready in (True, False):
        scope = {"type": "http", "path": "/-/ready"}
        await ReadyApp(lambda ready=ready: ready)(scope, None, send)
    assert [item["status"] for item in sent if "status" in item] == [200, 503]


def test_a_heartbeat_of_an_older_owner_is_ignored():
    follower = JobFollower(MemoryLog(), HostCounters())
    follower.book.apply(OwnerHeartbeat(3, "b", 1))
    follower.book.apply(OwnerHeartbeat(2, "a", 9))
    assert follower.book.owner.host == "b"


async def test_a_body_over_the_configured_limit_is_refused():
    ingress = IngressHarness(MemoryLog())
    ingress.configure({**CONFIG, "limits": {"maxBodyBytes": 20}})
    status, _, _ = await ingress.post()
    assert status == 413
    assert not ingress.log.records
