"""Jobs of routes that get another name, address or account.

Regression tests: callers know the address of their jobs, but a job was found only under
the name that its route had when it was accepted. After a configuration with the same
address under another name, GET and DELETE of running jobs got status 410 and `pending`
was 0, while their tasks ran on and could not be cancelled any more (LOST, UNASKED).
"""

import json

import msgspec
import pytest

from courselead.core.scheduler.models import JobSpec, Queue
from courselead.core.scheduler.records import JobAccepted, KeyedRecord, decode, encode
from tests.daemon.scheduling.fakes import MemoryLog
from tests.platform.test_ingress import BODY, CONFIG, JOB, IngressHarness

pytestmark = pytest.mark.anyio

OURS, THEIRS = b"key-of-ours", b"key-of-theirs"
LAST_VERSION = 7
OTHER_JOB = "00000000000000bb"


def route(name: str, prefix: str, host="a.example", service="s", public=True) -> dict:
    return {
        "name": name,
        "host": host,
        "pathPrefix": prefix,
        "service": service,
        "public": public,
    }


def document(version: int, *routes: dict) -> dict:
    tenants = [
        {"name": "ours", "apiKeys": [OURS.decode()]},
        {"name": "theirs", "apiKeys": [THEIRS.decode()]},
    ]
    return {**CONFIG, "version": version, "routes": routes, "tenants": tenants}


class Hosts:
    """Two entry hosts on one log; the second may get configurations later."""

    def __init__(self, *routes: dict, has_accounts: bool = False) -> None:
        log = MemoryLog()
        self.first = IngressHarness(log, has_accounts)
        self.second = IngressHarness(log, has_accounts)
        self.version = LAST_VERSION
        self.configure(*routes)

    def configure(self, *routes: dict, second: bool = True) -> None:
        self.version += 1
        self.first.configure(document(self.version, *routes))
        if second:
            self.second.configure(document(self.version, *routes))


async def statuses(
    ingress: IngressHarness, method: str, *paths: str, keys=(), host=b"a.example"
) -> list[int]:
    body = json.dumps(BODY).encode() if method == "POST" else b""
    return [(await ingress.call(method, path, body, host, keys))[0] for path in paths]


async def pending(ingress: IngressHarness, path: str, keys=()) -> int:
    return (await ingress.call("GET", path, keys=keys))[1]["pending"]


async def test_a_job_is_found_at_its_address_after_its_route_was_renamed():
    hosts = Hosts(route("old", "/q/"))
    assert await statuses(hosts.first, "POST", f"/q/{JOB}") == [200]
    hosts.configure(route("new", "/q/"))
    for ingress in (hosts.first, hosts.second):
        assert await statuses(ingress, "GET", f"/q/{JOB}") == [200]
        assert await pending(ingress, "/q/") == 1
        # A repeated submission is the same job.
        assert await statuses(ingress, "POST", f"/q/{JOB}") == [200]
    assert len(hosts.first.log.records) == 1
    assert await statuses(hosts.second, "DELETE", f"/q/{JOB}") == [200]
    await hosts.first.follower.catch_up()
    assert hosts.first.follower.book.jobs[JOB].cancelled


async def test_a_job_is_found_by_a_host_with_another_version_than_the_accepting_one():
    hosts = Hosts(route("old", "/q/"))
    hosts.configure(route("between", "/q/"), second=False)
    assert await statuses(hosts.first, "POST", f"/q/{JOB}") == [200]
    assert await statuses(hosts.second, "GET", f"/q/{JOB}") == [200]
    # The second host never gets the version with which the job was accepted.
    hosts.configure(route("new", "/q/"))
    assert await statuses(hosts.second, "GET", f"/q/{JOB}") == [200]


async def test_jobs_are_found_after_routes_have_swapped_their_names():
    hosts = Hosts(route("r-1", "/a/"), route("r-2", "/b/"))
    paths = (f"/a/{JOB}", f"/b/{OTHER_JOB}")
    assert await statuses(hosts.first, "POST", *paths) == [200, 200]
    hosts.configure(route("r-2", "/a/"), route("r-1", "/b/"))
    assert await statuses(hosts.second, "GET", *paths) == [200, 200]
    assert await statuses(hosts.second, "DELETE", *paths) == [200, 200]


async def test_jobs_are_found_under_the_name_of_a_route_with_another_prefix():
    hosts = Hosts(route("r-1", "/a/"))
    assert await statuses(hosts.first, "POST", f"/a/{JOB}") == [200]
    hosts.configure(route("r-1", "/c/"))
    assert await statuses(hosts.second, "GET", f"/c/{JOB}", f"/a/{JOB}") == [200, 404]
    assert await pending(hosts.second, "/c/") == 1
    hosts.configure()
    assert await statuses(hosts.second, "GET", f"/a/{JOB}") == [404]
    hosts.configure(route("r-5", "/a/"))
    assert await statuses(hosts.second, "GET", f"/a/{JOB}") == [200]


async def test_the_same_prefix_on_another_host_shows_no_job():
    hosts = Hosts(route("r-1", "/a/"), route("r-2", "/a/", host="b.example"))
    assert await statuses(hosts.first, "POST", f"/a/{JOB}") == [200]
    hosts.configure(route("r-3", "/a/"), route("r-4", "/a/", host="b.example"))
    for method in ("GET", "DELETE"):
        other = await statuses(hosts.second, method, f"/a/{JOB}", host=b"b.example")
        assert other == [410], method
    assert not hosts.second.follower.book.jobs[JOB].cancelled


async def test_another_account_finds_no_job_whatever_the_route_is_called():
    private = route("r-1", "/q/", public=False)
    hosts = Hosts(private, has_accounts=True)
    assert await statuses(hosts.first, "POST", f"/q/{JOB}", keys=(OURS,)) == [200]
    for name, public in (("r-2", False), ("r-1", True), ("r-3", True)):
        hosts.configure(route(name, "/q/", public=public))
        for method in ("GET", "DELETE"):
            theirs = await statuses(hosts.second, method, f"/q/{JOB}", keys=(THEIRS,))
            assert theirs == [410], (name, method)
        theirs = await statuses(hosts.second, "POST", f"/q/{JOB}", keys=(THEIRS,))
        assert theirs == [409]
        ours = await statuses(hosts.second, "GET", f"/q/{JOB}", keys=(OURS,))
        assert ours == [200]
    assert not hosts.second.follower.book.jobs[JOB].cancelled


def test_a_job_of_an_earlier_version_is_found_under_its_name_only():
    ingress = IngressHarness(MemoryLog())
    keyed = encode(JobAccepted(JOB, "r-1", JobSpec("", ()), "", Queue("r-1", "s")))
    fields = msgspec.msgpack.decode(keyed.value)
    earlier = KeyedRecord(keyed.key, msgspec.msgpack.encode(fields[:-1]))
    book = ingress.follower.book
    book.apply(decode(earlier))
    assert book.jobs[JOB].is_reached_by("r-1", 5)
    assert not book.jobs[JOB].is_reached_by("r-2", 0)
    assert not book.jobs[JOB].is_reached_by("r-2", 5)
