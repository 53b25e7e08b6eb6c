"""Callers of the demo: bounded load, each answer checked."""

import hashlib
import json
from collections import Counter
from dataclasses import dataclass, field

import anyio
from returns.result import Failure

from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import ACCOUNTS, SERVICES, HostPlan, credential

CALLERS = 16
PAUSE_S = 0.02
TIMEOUT_MS = 8_000
WORK_MS = (0, 5, 20, 60)
MAX_REQUESTS = 20_000
STATUS_OK = 200


@dataclass(slots=True)
class Tally:
    """What the callers saw."""

    outcomes: Counter[str] = field(default_factory=Counter)
    wrong_answers: int = 0
    tickets: list[str] = field(default_factory=list)
    not_run_tickets: set[str] = field(default_factory=set)
    sent: int = 0


class Callers:
    """A fixed number of callers that go round the entry hosts."""

    def __init__(self, hosts: tuple[HostPlan, ...]) -> None:
        """Make a client for each entry host."""
        self.tally = Tally()
        self._clients = [HttpClient(host.url.removeprefix("http://")) for host in hosts]
        self._stop = False

    def stop(self) -> None:
        """Let each caller end after its present request."""
        self._stop = True

    async def run(self) -> None:
        """Call until stopped or until the bound on requests."""
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(self._caller, number)

    async def _caller(self, number: int) -> None:
        """Send one request after the other."""
        count = 0
        while not self._stop and self.tally.sent < MAX_REQUESTS:
            await self._call(number, count)
            count += 1
            await anyio.sleep(PAUSE_S)

    async def _call(self, number: int, count: int) -> None:
        """Send one request and judge its answer."""
        turn = number + count
        account = ACCOUNTS[turn % len(ACCOUNTS)]
        names = SERVICES[account]
        service = names[turn // len(ACCOUNTS) % len(names)]
        keyed = count % 3 == 0
        body = f"{account} {service} {number} {count}".encode()
        headers = self._headers(account, turn)
        ticket = ""
        if keyed:
            ticket = f"ticket-{number}-{count}"
            headers.append((b"idempotency-key", ticket.encode()))
            self.tally.tickets.append(ticket)
        method = b"POST" if keyed else b"PUT"
        target = f"/v1/services/{service}/echo".encode()
        req = HttpRequest(method, target, tuple(headers), body)
        self.tally.sent += 1
        client = self._clients[turn % len(self._clients)]
        fetched = await client.fetch(req, TIMEOUT_MS)
        if isinstance(fetched, Failure):
            self.tally.outcomes["unknown"] += 1
            return
        self._judge(fetched.unwrap(), f"{account}/{service}", body, ticket)

    def _headers(self, account: str, turn: int) -> list[tuple[bytes, bytes]]:
        """Return the headers of a request."""
        bearer = f"Bearer {credential(account)}".encode()
        work_ms = str(WORK_MS[turn % len(WORK_MS)]).encode()
        return [(b"authorization", bearer), (b"x-standin-work-ms", work_ms)]

    def _judge(self, answer, pool: str, body: bytes, ticket: str) -> None:
        """Count an answer, and check that it is the one to this request."""
        data = json.loads(answer.body)
        if answer.status != STATUS_OK:
            run = data.get("run", "unknown")
            self.tally.outcomes[run] += 1
            if run == "not_run" and ticket:
                self.tally.not_run_tickets.add(ticket)
            return
        self.tally.outcomes["served"] += 1
        right = data["sha256"] == hashlib.sha256(body).hexdigest()
        if not right or data["service"] != pool:
            self.tally.wrong_answers += 1
