"""Queries to entry hosts and to the platform's stand-ins."""

import json
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure

from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import HostPlan

TIMEOUT_MS = 5_000
STATUS_OK = 200


@dataclass(slots=True)
class Runs:
    """Executions on all minions."""

    by_ticket: Counter[str] = field(default_factory=Counter)
    cut_off: int = 0


@dataclass(slots=True)
class Platform:
    """The worker agents of the demo.

    Attributes:
        agents: Address of the agent of each worker.
    """

    agents: dict[str, str] = field(default_factory=dict)

    async def fetch_boot_count(self) -> int:
        """Return the number of boots of all workers together."""
        total = 0
        for address in self.agents.values():
            state = await fetch_json(address, "/v1/state")
            total += state["boots"] if state else 0
        return total

    async def fetch_runs(self) -> Runs:
        """Return the executions on all minions."""
        runs = Runs()
        for address in self.agents.values():
            data = await fetch_json(address, "/-/runs")
            runs.by_ticket.update(data["by_ticket"])
            runs.cut_off += data["cut_off"]
        return runs


async def fetch_entry_status(
    host: HostPlan, secret: str, path: str = "/v1/status"
) -> dict | None:
    """Return the JSON answer of an entry host, None unless the status is 200."""
    bearer = f"Bearer {secret}".encode()
    address = host.url.removeprefix("http://")
    return await fetch_json(address, path, ((b"authorization", bearer),))


async def fetch_json(address: str, path: str, headers: tuple = ()) -> dict | None:
    """Return the JSON object at a path, None unless the status is 200."""
    client = HttpClient(address)
    fetched = await client.fetch(
        HttpRequest(b"GET", path.encode(), headers), TIMEOUT_MS
    )
    client.close()
    if isinstance(fetched, Failure) or fetched.unwrap().status != STATUS_OK:
        return None
    body = fetched.unwrap().body
    return json.loads(body) if body[:1] == b"{" else {}
