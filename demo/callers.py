"""Load generator of the demo: sends a bounded load and checks each answer."""

import hashlib
import json
from collections import Counter
from dataclasses import dataclass, field

import anyio
from returns.result import Failure

from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import ACCOUNTS, SERVICES, HostPlan, credential

CALLER_COUNT = 16
PAUSE_BETWEEN_CALLS_S = 0.02
TIMEOUT_MS = 8_000
WORK_DURATIONS_MS = (0, 5, 20, 60)
MAX_REQUESTS = 20_000
STATUS_OK = 200


@dataclass(slots=True)
class Tally:
    """Counts of the answers that the callers received."""

    outcomes: Counter[str] = field(default_factory=Counter)
    wrong_answers: int = 0
    tickets: list[str] = field(default_factory=list)
    not_run_tickets: set[str] = field(default_factory=set)
    sent: int = 0


class Callers:
    """A fixed number of callers that use the entry hosts round robin."""

    def __init__(self, hosts: tuple[HostPlan, ...]) -> None:
        """Create a client for each entry host."""
        self.tally = Tally()
        self._clients = [HttpClient(host.url.removeprefix("http://")) for host in hosts]
        self._stop = False

    def stop(self) -> None:
        """Let each caller end after its current request."""
        self._stop = True

    async def run(self) -> None:
        """Send requests until stopped or until `MAX_REQUESTS` were sent."""
        async with anyio.create_task_group() as tasks:
            for number in range(CALLER_COUNT):
                tasks.start_soon(self._run_caller, number)

    async def _run_caller(self, number: int) -> None:
        """Send requests one after the other."""
        count = 0
        while not self._stop and self.tally.sent < MAX_REQUESTS:
            await self._call(number, count)
            count += 1
            await anyio.sleep(PAUSE_BETWEEN_CALLS_S)

    async def _call(self, number: int, count: int) -> None:
        """Send one request and record its answer."""
        index = number + count
        account = ACCOUNTS[index % len(ACCOUNTS)]
        services = SERVICES[account]
        service = services[index // len(ACCOUNTS) % len(services)]
        has_ticket = count % 3 == 0
        body = f"{account} {service} {number} {count}".encode()
        headers = self._headers(account, index)
        ticket = ""
        if has_ticket:
            ticket = f"ticket-{number}-{count}"
            headers.append((b"idempotency-key", ticket.encode()))
            self.tally.tickets.append(ticket)
        method = b"POST" if has_ticket else b"PUT"
        target = f"/v1/services/{service}/echo".encode()
        req = HttpRequest(method, target, tuple(headers), body)
        self.tally.sent += 1
        client = self._clients[index % len(self._clients)]
        fetched = await client.fetch(req, TIMEOUT_MS)
        if isinstance(fetched, Failure):
            self.tally.outcomes["unknown"] += 1
            return
        self._record_answer(fetched.unwrap(), f"{account}/{service}", body, ticket)

    def _headers(self, account: str, index: int) -> list[tuple[bytes, bytes]]:
        """Return the credential and the requested work time as headers."""
        bearer = f"Bearer {credential(account)}".encode()
        work_ms = str(WORK_DURATIONS_MS[index % len(WORK_DURATIONS_MS)]).encode()
        return [(b"authorization", bearer), (b"x-standin-work-ms", work_ms)]

    def _record_answer(self, answer, pool: str, body: bytes, ticket: str) -> None:
        """Count an answer and check that it belongs to this request."""
        data = json.loads(answer.body)
        if answer.status != STATUS_OK:
            run = data.get("run", "unknown")
            self.tally.outcomes[run] += 1
            if run == "not_run" and ticket:
                self.tally.not_run_tickets.add(ticket)
            return
        self.tally.outcomes["served"] += 1
        is_same_body = data["sha256"] == hashlib.sha256(body).hexdigest()
        if not is_same_body or data["service"] != pool:
            self.tally.wrong_answers += 1
