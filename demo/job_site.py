"""Entry hosts on the users' platform: real processes against the site's stand-in."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure

from courselead.integrations.http import HttpClient, HttpRequest
from demo.accounts import HEADER_KEY, SiteAccounts
from demo.ports import free_ports, run_number
from demo.processes import Processes
from demo.relay import Relay
from demo.waiting import BOUND_S, wait

POOL = "web"
PREFIX = "/q/"
CALL_MS = 4_000
ATTEMPTS = 40
RETRY_S = 0.25
"""Tries of a caller, and the pause between them: longer than any fault here."""

METRICS_PORT = 9464
"""As deploy/system.toml names it."""

STATUS_OK = 200
FINAL = ("completed", "failed", "cancelled")
SHOWN = 5

SETTINGS = """node = "{name}"
ip = "{ip}"
zone = "z"
portRange = [{peer}, {peer}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[platform]
address = "{store}"
[cloudApi]
address = "{cloud}"
[bounds]
moveS = 0.3
upkeepS = 0.3
"""

SETTINGS_OF_ACCOUNTS = """quotaOverage = 0.1
"""
CONTRACTS = 'contracts = ["tenants"]\n'


@dataclass(frozen=True, slots=True)
class HostPorts:
    """One entry host: an address of its own, as on machines of their own."""

    name: str
    ip: str
    front: int
    ready: int
    peer: int

    @property
    def address(self) -> str:
        """Return where callers reach it."""
        return f"{self.ip}:{self.front}"


@dataclass(slots=True)
class JobSite:
    """A running site with its entry hosts, ended by id."""

    processes: Processes
    hosts: tuple[HostPorts, ...]
    site: dict = field(default_factory=dict)
    store_ways: dict[str, Relay] = field(default_factory=dict)
    minion_ways: dict[str, Relay] = field(default_factory=dict)
    accepted: dict[str, int] = field(default_factory=dict)
    accounts: SiteAccounts | None = None
    owners: dict[str, str] = field(default_factory=dict)
    _version: int = 0
    _clients: dict[str, HttpClient] = field(default_factory=dict)

    # Entry hosts

    async def start(self, *hosts: HostPorts) -> None:
        """Start entry hosts; does not wait."""
        for host in hosts:
            way = self.store_ways.get(host.name)
            path = self.processes.folder / f"{host.name}.toml"
            text = SETTINGS.format(
                name=host.name,
                ip=host.ip,
                front=host.front,
                ready=host.ready,
                peer=host.peer,
                store=self.site["store"] if way is None else way.address,
                cloud=self.site["cloud"],
            )
            if self.accounts is not None:
                text = CONTRACTS + text + SETTINGS_OF_ACCOUNTS
            path.write_text(text)
            env = {"COURSELEAD_NODE_FILE": str(path)}
            await self.processes.start_on_platform(host.name, env)

    async def ready(self, *hosts: HostPorts) -> None:
        """Wait until hosts (default: all) take callers, and the schedule is owned."""

        async def all_ready() -> bool:
            self.processes.check_running()
            for host in hosts or self.hosts:
                at = f"{host.ip}:{host.ready}"
                if (await self.call(at, "GET", "/-/ready"))[0] != STATUS_OK:
                    return False
            return self.owner() is not None

        await wait("entry hosts are ready", all_ready)

    def owner(self) -> HostPorts | None:
        """Return the host that has owned the schedule last, by the hosts' lines."""
        newest: tuple[int, HostPorts] | None = None
        for host in self.hosts:
            for line in self.lines(host, "schedule_owned"):
                if newest is None or line["fence"] > newest[0]:
                    newest = (line["fence"], host)
        return None if newest is None else newest[1]

    def lines(self, host: HostPorts, event: str) -> list[dict]:
        """Return the lines of an event that a host's processes wrote."""
        path = self.processes.folder / f"{host.name}.log"
        if not path.exists():
            return []
        lines = [line for line in path.read_text().splitlines() if event in line]
        return [json.loads(line) for line in lines if line.endswith("}")]

    async def metrics(self, host: HostPorts) -> str:
        """Return the text of a host's metrics."""
        req = HttpRequest(b"GET", b"/metrics", (), b"")
        address = f"{host.ip}:{METRICS_PORT}"
        client = self._clients.setdefault(address, HttpClient(address))
        fetched = await client.fetch(req, CALL_MS)
        return fetched.unwrap().body.decode()

    # Callers

    async def call(
        self, address: str, method: str, path: str, body: object = None, key: str = ""
    ) -> tuple[int, dict]:
        """Send one request; status 0 if no whole answer came."""
        headers = ((HEADER_KEY, key.encode()),) if key else ()
        client = self._clients.setdefault(address, HttpClient(address))
        data = b"" if body is None else json.dumps(body).encode()
        req = HttpRequest(method.encode(), path.encode(), headers, data)
        fetched = await client.fetch(req, CALL_MS)
        if isinstance(fetched, Failure):
            return 0, {}
        got = fetched.unwrap()
        return got.status, json.loads(got.body) if got.body[:1] == b"{" else {}

    async def try_all(
        self, method: str, path: str, body: object = None, account: str = ""
    ) -> dict:
        """Call host after host until one answers with success, as callers do."""
        for attempt in range(ATTEMPTS):
            host = self.hosts[attempt % len(self.hosts)]
            key = self.key_of(account)
            status, document = await self.call(host.address, method, path, body, key)
            if status == STATUS_OK:
                return document
            await anyio.sleep(RETRY_S)
        raise AssertionError(f"no success for {method} {path}")

    def key_of(self, account: str) -> str:
        """Return the key that an account's callers use, "" for none."""
        if self.accounts is None or not account:
            return ""
        return self.accounts.key(account)

    async def submit(
        self, number: int, *steps: dict, account: str = "", **payload: object
    ) -> str:
        """Hand a job in, however often it takes, and return its id."""
        job_id = f"{number:016x}"
        payload["account"] = account
        job = {"spec": json.dumps(payload), "steps": list(steps)}
        await self.try_all("POST", PREFIX + job_id, job, account)
        self.owners[job_id] = account
        self.accepted[job_id] = sum(step.get("count", 1) for step in steps)
        return job_id

    async def state(self, job_id: str) -> str:
        """Return a job's state."""
        account = self.owners.get(job_id, "")
        return (await self.try_all("GET", PREFIX + job_id, account=account))["state"]

    async def final_states(self, bound_s: float = BOUND_S) -> dict[str, str]:
        """Wait until all accepted jobs have ended, and return how.

        Raises:
            AssertionError: Some have not within the bound; it names a few.
        """
        states: dict[str, str] = {}

        async def ended() -> bool:
            for job_id in self.accepted:
                if states.get(job_id) not in FINAL:
                    states[job_id] = await self.state(job_id)
            return all(value in FINAL for value in states.values())

        try:
            await wait("all jobs have ended", ended, bound_s)
        except AssertionError as exc:
            left = [job for job in self.accepted if states.get(job) not in FINAL]
            raise AssertionError(f"{exc}: {left[:SHOWN]}") from exc
        return states

    async def all_ended(self, state: str = "completed") -> None:
        """Wait until all accepted jobs have ended, and check how."""
        states = await self.final_states()
        assert set(states.values()) == {state}, states

    # The site

    async def ledger(self) -> dict:
        """Return what the minions saw."""
        return (await self.call(self.site["store"], "GET", "/+/ledger"))[1]

    async def fault(self, address: str, **faults: object) -> None:
        """Set a stand-in's faults; none at all resets them."""
        status, _ = await self.call(address, "POST", "/+/fault", faults)
        assert status == STATUS_OK

    async def crash(self, machine: str) -> None:
        """End the minion on a machine; another life comes."""
        path = f"/+/crash?machine={machine}"
        assert (await self.call(self.site["store"], "POST", path))[0] == STATUS_OK

    async def start_again(self, machine: str) -> None:
        """End the minion on a machine; it starts again under its id."""
        path = f"/+/start-again?machine={machine}"
        assert (await self.call(self.site["store"], "POST", path))[0] == STATUS_OK

    async def lay_ways(self, tasks: TaskGroup) -> None:
        """Put a relay between each host and the store, and before each minion."""
        for host in self.hosts:
            self.store_ways[host.name] = _relay(self.site["store"])
        for machine, address in self.site["machines"].items():
            relay = self.minion_ways[machine] = _relay(address)
            path = f"/+/address?machine={machine}&address={relay.address}"
            status, _ = await self.call(self.site["store"], "POST", path)
            assert status == STATUS_OK
        for relay in (*self.store_ways.values(), *self.minion_ways.values()):
            await tasks.start(relay.serve)

    async def configure(self) -> None:
        """Write the next configuration with one queue, as the operator does.

        The client of these tests names a host by its address, so each has a route.
        """
        routes = [
            {
                "name": "q",
                "host": host.ip,
                "pathPrefix": PREFIX,
                "service": POOL,
                "maxAttempts": 3,
                "stretch": 2.0,
                "sloMs": 1000,
                "public": False,
            }
            for host in self.hosts
        ]
        self._version += 1
        config = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": POOL}],
        }
        if self.accounts is not None:
            config["tenants"] = self.accounts.document()
        path = "/+/operator?key=config"
        status, _ = await self.call(self.site["store"], "POST", path, config)
        assert status == STATUS_OK

    async def assert_kept(self) -> None:
        """Check what the minions saw, and that each task of a job was done once."""
        ledger = await self.ledger()
        assert ledger["broken"] == []
        done = ledger["done"]
        for job_id, tasks in self.accepted.items():
            own = [count for task, count in done.items() if task.startswith(job_id)]
            assert len(own) == tasks, (job_id, own)


def _relay(target: str) -> Relay:
    [port] = free_ports(1)
    return Relay(port, target)


@asynccontextmanager
async def running_site(
    courselead: tuple[str, ...],
    folder: Path,
    hosts: int = 3,
    machines: int = 4,
    relays: bool = True,
    accounts: SiteAccounts | None = None,
) -> AsyncIterator[JobSite]:
    """Run a site whose entry hosts are ready; end all its processes after.

    Args:
        courselead: The command that runs courselead, without arguments.
        folder: Where the hosts' settings and lines go.
        hosts: How many entry hosts.
        machines: How many machines with a minion each.
        relays: Whether relays stand between hosts, store and minions, which faults
            need and which cost each call its time.
        accounts: Whose callers are served; none at all by default.
    """
    async with anyio.create_task_group() as tasks:
        processes = Processes(courselead, folder)
        site = JobSite(processes, _plans(hosts), accounts=accounts)
        async with _running(site, tasks, machines, relays):
            yield site
        tasks.cancel_scope.cancel()


def _plans(hosts: int) -> tuple[HostPorts, ...]:
    plans = []
    for number in range(hosts):
        front, ready, peer = free_ports(3)
        ip = f"{network()}.{10 + number}"
        plans.append(HostPorts(f"front-{number}", ip, front, ready, peer))
    return tuple(plans)


@asynccontextmanager
async def _running(
    site: JobSite, tasks: TaskGroup, machines: int, relays: bool
) -> AsyncIterator[None]:
    processes = site.processes
    try:
        args = ["site", f"--machines={machines}", f"--pool={POOL}"]
        site.site = json.loads(await processes.start_standins(args))
        if relays:
            await site.lay_ways(tasks)
        await site.configure()
        await site.start(*site.hosts)
        await site.ready()
        yield
    finally:
        with anyio.CancelScope(shield=True):
            processes.kill_all()
            await processes.end_all()
            for client in site._clients.values():
                client.close()


def network() -> str:
    """Return the first three numbers of loopback addresses that this run has alone.

    The port of the metrics is one for all hosts, so two runs with the same addresses
    would take it from each other.
    """
    return f"127.0.{1 + run_number()}"
