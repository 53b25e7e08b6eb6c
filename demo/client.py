"""Small questions to entry hosts and to the platform's stand-ins."""

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
    """What all minions ran."""

    by_ticket: Counter[str] = field(default_factory=Counter)
    cut_off: int = 0


@dataclass(slots=True)
class Platform:
    """The agents of the demo's workers, by worker."""

    agents: dict[str, str] = field(default_factory=dict)

    async def boots(self) -> int:
        """Return how often all workers together have booted."""
        total = 0
        for address in self.agents.values():
            state = await get(address, "/v1/state")
            total += state["boots"] if state else 0
        return total

    async def runs(self) -> Runs:
        """Return what all minions ran."""
        runs = Runs()
        for address in self.agents.values():
            data = await get(address, "/-/runs")
            runs.by_ticket.update(data["by_ticket"])
            runs.cut_off += data["cut_off"]
        return runs


async def entry_status(
    host: HostPlan, secret: str, path: str = "/v1/status"
) -> dict | None:
    """Return an entry host's answer, None if it gives none of status 200."""
    bearer = f"Bearer {secret}".encode()
    address = host.url.removeprefix("http://")
    return await get(address, path, ((b"authorization", bearer),))


async def get(address: str, path: str, headers: tuple = ()) -> dict | None:
    """Return the JSON object at a path, None for anything but status 200."""
    client = HttpClient(address)
    fetched = await client.fetch(
        HttpRequest(b"GET", path.encode(), headers), TIMEOUT_MS
    )
    client.close()
    if isinstance(fetched, Failure) or fetched.unwrap().status != STATUS_OK:
        return None
    body = fetched.unwrap().body
    return json.loads(body) if body[:1] == b"{" else {}
