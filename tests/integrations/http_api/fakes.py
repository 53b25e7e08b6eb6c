"""A fake daemon, a table and raw TCP callers for the tests of the HTTP API."""

import contextlib
import hashlib
import json
from dataclasses import dataclass, field

import anyio
from immutables import Map

from courselead.core.effects import Problem, ReplyAccepted
from courselead.core.fleet.state import FleetState
from courselead.core.table import AccountRow, ServiceRow, Table
from courselead.integrations.http_api.app import HttpApi
from courselead.integrations.http_api.errors import AnswerBroken
from courselead.integrations.http_api.host import Answer, StatusReport
from courselead.integrations.http_api.server import HttpServer
from courselead.settings import Address, LimitSettings, Settings

TIMEOUT_S = 10


def digest(token):
    """Return the hex digest of a credential."""
    return hashlib.sha256(token.encode()).hexdigest()


def small_table():
    """Return a table of two accounts that each have a service with the same name."""
    accounts = {}
    services = {}
    for name in ("alpha", "beta"):
        accounts[name] = AccountRow(name, (digest(f"{name}-token"),))
        services[f"{name}/web"] = ServiceRow(name, "web")
    services["beta/only"] = ServiceRow("beta", "only")
    return Table(version=7, accounts=Map(accounts), services=Map(services))


def settings(**limits):
    """Return settings with an operator credential and the given limits."""
    return Settings(
        entry_host="eh-1",
        availability_zone="az-1",
        listen=Address("127.0.0.1", 0),
        peer_listen=Address("127.0.0.1", 0),
        log_url="http://127.0.0.1:1",
        membership_url="http://127.0.0.1:1",
        operator_credential_hashes=(digest("operator-token"),),
        limits=LimitSettings(**limits),
    )


def complete_answer(body=b"hello", status=200, headers=()):
    """Return an answer with its body in one chunk."""
    return streamed_answer([body], status, headers)


def streamed_answer(chunks, status=200, headers=()):
    """Return an answer with its body in chunks; raises an exception among them."""

    async def body():
        for chunk in chunks:
            if isinstance(chunk, Exception):
                raise chunk
            yield chunk

    return Answer(status, tuple(headers), body())


ANSWER_BROKEN = AnswerBroken("the minion closed")


class FakeHandle:
    """A response handle whose reply comes from the fake host."""

    def __init__(self, host, req):
        self._host = host
        self._req = req

    async def reply(self):
        """Return the host's answer; wait forever if it is None."""
        made = self._host.answer(self._req)
        if made is None:
            await anyio.sleep_forever()
        return made

    def caller_gone(self):
        """Record the request as abandoned."""
        self._host.abandoned.append(self._req.request_id)


@dataclass
class FakeHost:
    """A fake daemon that answers with a function and records its calls."""

    answer: object = lambda req: complete_answer()
    fleet: FleetState = field(default_factory=lambda: FleetState(table=small_table()))
    ready: bool = True
    live: bool = True
    outcome: Problem | ReplyAccepted = ReplyAccepted("r", 8)
    report: StatusReport | None = None
    changes: tuple = ()
    zone_statuses: tuple = ()
    requests: list = field(default_factory=list)
    abandoned: list = field(default_factory=list)
    calls: list = field(default_factory=list)

    def now_ms(self):
        """Return the event loop's clock in milliseconds."""
        return int(anyio.current_time() * 1000)

    def status(self):
        """Return the configured status report."""
        return self.report

    async def submit(self, req):
        """Record the request."""
        self.requests.append(req)
        return FakeHandle(self, req)

    async def publish(self, edit, deadline_ms):
        """Record the edit."""
        self.calls.append(edit)
        return self.outcome

    def zones(self):
        """Return the configured zones."""
        return self.zone_statuses

    async def change_zone(self, change, deadline_ms):
        """Record the change."""
        self.calls.append(change)
        return self.outcome

    async def submit_jobs(self, request_id, jobs, deadline_ms):
        """Record the jobs."""
        self.calls.append(jobs)
        return self.outcome

    async def cancel_jobs(self, request_id, client_account, job_ids, deadline_ms):
        """Record the account and the job ids."""
        self.calls.append((client_account, job_ids))
        return self.outcome

    async def history(self, limit):
        """Return the newest of the configured changes."""
        return self.changes[-limit:]


@dataclass(frozen=True)
class AppResponse:
    """A response of the application, received without a server."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def call(app, method, path, token="alpha-token", headers=(), body=b""):
    """Call the application without a server, as a caller that stays connected."""
    raw_path, _, query = path.partition("?")
    sent = []
    parts = [{"type": "http.request", "body": body, "more_body": False}]
    given = [(name.lower().encode(), value.encode()) for name, value in headers]
    if token:
        given.append((b"authorization", f"Bearer {token}".encode()))

    async def receive():
        if parts:
            return parts.pop()
        return await anyio.sleep_forever()

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "http_version": "1.1",
        "raw_path": raw_path.encode(),
        "query_string": query.encode(),
        "headers": given,
    }
    with anyio.fail_after(TIMEOUT_S):
        await app(scope, receive, send)
    shown = {name.decode(): value.decode() for name, value in sent[0]["headers"]}
    return AppResponse(
        sent[0]["status"], shown, b"".join(part["body"] for part in sent[1:])
    )


@contextlib.asynccontextmanager
async def serving(host, make_app=HttpApi, **limits):
    """Run a real server on loopback and yield its address."""
    chosen = settings(**limits)
    server = HttpServer(make_app(host, chosen), chosen.listen, chosen.limits, 1000)
    with anyio.fail_after(3 * TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(server.run)
            yield address
            tasks.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def running_server(host, *drain_ms):
    """Run a real server that the test stops; yield the server and its address."""
    chosen = settings()
    server = HttpServer(HttpApi(host, chosen), chosen.listen, chosen.limits, *drain_ms)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            yield server, await tasks.start(server.run)


class Caller:
    """A raw TCP client."""

    def __init__(self, stream):
        self._stream = stream
        self._data = b""

    @classmethod
    @contextlib.asynccontextmanager
    async def connect(cls, address):
        """Connect to a server."""
        async with await anyio.connect_tcp(address.ip, address.port) as stream:
            yield cls(stream)

    async def send(self, data):
        """Send raw bytes."""
        await self._stream.send(data)

    async def read_until(self, mark):
        """Return received data up to and including a mark."""
        with anyio.fail_after(TIMEOUT_S):
            while mark not in self._data:
                self._data += await self._stream.receive()
        end = self._data.index(mark) + len(mark)
        taken, self._data = self._data[:end], self._data[end:]
        return taken

    async def read_to_end(self):
        """Return all data received until the server closes."""
        with anyio.fail_after(TIMEOUT_S):
            try:
                while True:
                    self._data += await self._stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return self._data


def request_head(method="GET", path="/v1/services/web/x", *lines, token="alpha-token"):
    """Return the bytes of a request head."""
    parts = [f"{method} {path} HTTP/1.1", "Host: t", f"Authorization: Bearer {token}"]
    return "\r\n".join([*parts, *lines, "", ""]).encode()


async def wait_until(condition):
    """Wait until a condition is true, with a timeout."""
    with anyio.fail_after(TIMEOUT_S):
        while not condition():
            await anyio.sleep(0.005)
