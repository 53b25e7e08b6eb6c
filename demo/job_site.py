"""Runs entry hosts as real processes against the stand-ins of the job platform."""

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
from demo.waiting import DEFAULT_TIMEOUT_S, wait

POOL = "web"
PREFIX = "/q/"
CALL_TIMEOUT_MS = 4_000
MAX_ATTEMPTS = 40
RETRY_S = 0.25
"""Pause between attempts: `MAX_ATTEMPTS` attempts outlast every injected fault."""

METRICS_PORT = 9464
"""Port of the metrics, as in deploy/system.toml."""

STATUS_OK = 200
FINAL_STATES = ("completed", "failed", "cancelled")
MAX_JOBS_IN_ERROR = 5

SETTINGS_TEMPLATE = """node = "{name}"
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

LIMITS_TEMPLATE = """[limits]
memoryMb = {limits.memory_mb}
maxFds = {limits.max_fds}
"""

ACCOUNT_SETTINGS = """quotaOverage = 0.1
"""
ACCOUNT_CONTRACTS = 'contracts = ["tenants"]\n'


@dataclass(frozen=True, slots=True)
class HostLimits:
    """Memory in MiB and file descriptors of the machine of each entry host."""

    memory_mb: int
    max_fds: int


@dataclass(frozen=True, slots=True)
class HostPorts:
    """Name, ports and loopback address of an entry host; each has its own address."""

    name: str
    ip: str
    front: int
    ready: int
    peer: int

    @property
    def address(self) -> str:
        """Return the address for callers."""
        return f"{self.ip}:{self.front}"


@dataclass(slots=True)
class JobSite:
    """A running site with its entry hosts.

    Attributes:
        addresses: Addresses of the store, the cloud and the machines.
        store_relays: Relay to the store of each entry host.
        minion_relays: Relay to the minion of each machine.
        accepted: Number of tasks of each accepted job.
        job_accounts: Client account of each accepted job.
    """

    processes: Processes
    hosts: tuple[HostPorts, ...]
    addresses: dict = field(default_factory=dict)
    store_relays: dict[str, Relay] = field(default_factory=dict)
    minion_relays: dict[str, Relay] = field(default_factory=dict)
    accepted: dict[str, int] = field(default_factory=dict)
    accounts: SiteAccounts | None = None
    limits: HostLimits | None = None
    job_accounts: dict[str, str] = field(default_factory=dict)
    _config_version: int = 0
    _clients: dict[str, HttpClient] = field(default_factory=dict)

    # Entry hosts

    async def start(self, *hosts: HostPorts) -> None:
        """Start entry hosts, without waiting until they are ready."""
        for host in hosts:
            relay = self.store_relays.get(host.name)
            path = self.processes.folder / f"{host.name}.toml"
            text = SETTINGS_TEMPLATE.format(
                name=host.name,
                ip=host.ip,
                front=host.front,
                ready=host.ready,
                peer=host.peer,
                store=self.addresses["store"] if relay is None else relay.address,
                cloud=self.addresses["cloud"],
            )
            if self.accounts is not None:
                text = ACCOUNT_CONTRACTS + text + ACCOUNT_SETTINGS
            if self.limits is not None:
                text += LIMITS_TEMPLATE.format(limits=self.limits)
            path.write_text(text)
            env = {"COURSELEAD_NODE_FILE": str(path)}
            await self.processes.start_on_platform(host.name, env)

    async def wait_until_ready(self, *hosts: HostPorts) -> None:
        """Wait until hosts (default: all) are ready and one host owns the schedule."""

        async def all_ready() -> bool:
            self.processes.check_running()
            for host in hosts or self.hosts:
                address = f"{host.ip}:{host.ready}"
                if (await self.call(address, "GET", "/-/ready"))[0] != STATUS_OK:
                    return False
            return self.owner() is not None

        await wait("entry hosts are ready", all_ready)

    def owner(self) -> HostPorts | None:
        """Return the host whose `schedule_owned` event has the highest fence."""
        newest: tuple[int, HostPorts] | None = None
        for host in self.hosts:
            for line in self.log_lines(host, "schedule_owned"):
                if newest is None or line["fence"] > newest[0]:
                    newest = (line["fence"], host)
        return None if newest is None else newest[1]

    def log_lines(self, host: HostPorts, event: str) -> list[dict]:
        """Return the log lines of a host with an event."""
        path = self.processes.folder / f"{host.name}.log"
        if not path.exists():
            return []
        lines = [line for line in path.read_text().splitlines() if event in line]
        return [json.loads(line) for line in lines if line.endswith("}")]

    async def metrics(self, host: HostPorts) -> str:
        """Return the metrics of a host as text."""
        req = HttpRequest(b"GET", b"/metrics", (), b"")
        address = f"{host.ip}:{METRICS_PORT}"
        client = self._clients.setdefault(address, HttpClient(address))
        fetched = await client.fetch(req, CALL_TIMEOUT_MS)
        return fetched.unwrap().body.decode()

    # Callers

    async def call(
        self, address: str, method: str, path: str, body: object = None, key: str = ""
    ) -> tuple[int, dict]:
        """Send one request and return status and body; 0 without a complete answer."""
        data = b"" if body is None else json.dumps(body).encode()
        return await self.send(address, method, path, data, key)

    async def send(
        self, address: str, method: str, path: str, data: bytes, key: str = ""
    ) -> tuple[int, dict]:
        """Send one request with a body of any content, as `call` does."""
        headers = ((HEADER_KEY, key.encode()),) if key else ()
        client = self._clients.setdefault(address, HttpClient(address))
        req = HttpRequest(method.encode(), path.encode(), headers, data)
        fetched = await client.fetch(req, CALL_TIMEOUT_MS)
        if isinstance(fetched, Failure):
            return 0, {}
        answer = fetched.unwrap()
        return answer.status, json.loads(answer.body) if answer.body[:1] == b"{" else {}

    async def call_until_success(
        self, method: str, path: str, body: object = None, account: str = ""
    ) -> dict:
        """Call the hosts in turn until one answers with success, as callers do."""
        for attempt in range(MAX_ATTEMPTS):
            host = self.hosts[attempt % len(self.hosts)]
            key = self.key_of(account)
            status, document = await self.call(host.address, method, path, body, key)
            if status == STATUS_OK:
                return document
            await anyio.sleep(RETRY_S)
        raise AssertionError(f"no attempt succeeded: {method} {path}")

    def key_of(self, account: str) -> str:
        """Return the key that the callers of an account use, or ""."""
        if self.accounts is None or not account:
            return ""
        return self.accounts.key(account)

    async def submit(
        self, number: int, *steps: dict, account: str = "", **payload: object
    ) -> str:
        """Submit a job, repeating the call until it succeeds, and return its id."""
        job_id = f"{number:016x}"
        payload["account"] = account
        job = {"spec": json.dumps(payload), "steps": list(steps)}
        await self.call_until_success("POST", PREFIX + job_id, job, account)
        self.job_accounts[job_id] = account
        self.accepted[job_id] = sum(step.get("count", 1) for step in steps)
        return job_id

    async def state(self, job_id: str) -> str:
        """Return a job's state."""
        account = self.job_accounts.get(job_id, "")
        return (await self.call_until_success("GET", PREFIX + job_id, account=account))[
            "state"
        ]

    async def final_states(
        self, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> dict[str, str]:
        """Wait until all accepted jobs have ended and return their states.

        Raises:
            AssertionError: Some jobs have not ended in time; the message names a few.
        """
        states: dict[str, str] = {}

        async def ended() -> bool:
            for job_id in self.accepted:
                if states.get(job_id) not in FINAL_STATES:
                    states[job_id] = await self.state(job_id)
            return all(value in FINAL_STATES for value in states.values())

        try:
            await wait("all jobs have ended", ended, timeout_s)
        except AssertionError as exc:
            unfinished = [
                job for job in self.accepted if states.get(job) not in FINAL_STATES
            ]
            raise AssertionError(f"{exc}: {unfinished[:MAX_JOBS_IN_ERROR]}") from exc
        return states

    async def assert_all_ended(self, state: str = "completed") -> None:
        """Wait until all accepted jobs have ended and check their states."""
        states = await self.final_states()
        assert set(states.values()) == {state}, states

    # The site

    async def ledger(self) -> dict:
        """Return the ledger of the site."""
        return (await self.call(self.addresses["store"], "GET", "/+/ledger"))[1]

    async def set_faults(self, address: str, **faults: object) -> None:
        """Replace the faults of a stand-in; without arguments, reset them."""
        status, _ = await self.call(address, "POST", "/+/fault", faults)
        assert status == STATUS_OK

    async def write_server_entry(self, key: str, content: bytes) -> None:
        """Write an entry to the list of minions as another writer; empty removes it."""
        await self._write(f"/+/server?key={key}", content)

    async def write_malformed_operator_record(self, key: str, content: bytes) -> None:
        """Write a record of any content as the operator; empty removes it."""
        await self._write(f"/+/malformed-operator?key={key}", content)

    async def _write(self, path: str, content: bytes) -> None:
        status, _ = await self.send(self.addresses["store"], "POST", path, content)
        assert status == STATUS_OK

    async def crash_minion(self, machine: str) -> None:
        """End the minion on a machine; a new minion starts later."""
        path = f"/+/crash?machine={machine}"
        assert (await self.call(self.addresses["store"], "POST", path))[0] == STATUS_OK

    async def restart_minion(self, machine: str) -> None:
        """Restart the minion on a machine as a new incarnation under the same id."""
        path = f"/+/start-again?machine={machine}"
        assert (await self.call(self.addresses["store"], "POST", path))[0] == STATUS_OK

    async def start_relays(self, tasks: TaskGroup) -> None:
        """Start a relay from each host to the store and one to each minion."""
        for host in self.hosts:
            self.store_relays[host.name] = _create_relay(self.addresses["store"])
        for machine, address in self.addresses["machines"].items():
            relay = self.minion_relays[machine] = _create_relay(address)
            path = f"/+/address?machine={machine}&address={relay.address}"
            status, _ = await self.call(self.addresses["store"], "POST", path)
            assert status == STATUS_OK
        for relay in (*self.store_relays.values(), *self.minion_relays.values()):
            await tasks.start(relay.serve)

    async def write_config(self) -> None:
        """Write the next operator config, with one queue."""
        path = "/+/operator?key=config"
        config = self.next_config()
        status, _ = await self.call(self.addresses["store"], "POST", path, config)
        assert status == STATUS_OK

    def next_config(self) -> dict[str, object]:
        """Return the next operator config, with one queue.

        The test client sends the IP address as the host name, so each host has a route.
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
        self._config_version += 1
        config = {
            "version": self._config_version,
            "routes": routes,
            "services": [{"name": POOL}],
        }
        if self.accounts is not None:
            config["tenants"] = self.accounts.to_config()
        return config

    async def assert_tasks_done(self) -> None:
        """Check that there was no violation and that each task of each job was done."""
        ledger = await self.ledger()
        assert ledger["broken"] == []
        done = ledger["done"]
        for job_id, tasks in self.accepted.items():
            counts = [count for task, count in done.items() if task.startswith(job_id)]
            assert len(counts) == tasks, (job_id, counts)


def _create_relay(target: str) -> Relay:
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
    limits: HostLimits | None = None,
) -> AsyncIterator[JobSite]:
    """Run a site whose entry hosts are ready; on exit end all its processes.

    Args:
        courselead: Command that runs courselead, without arguments.
        folder: Folder for the settings and logs of the hosts.
        hosts: Number of entry hosts.
        machines: Number of machines, each with a minion.
        relays: Whether to put relays before the store and the minions. Network faults
            need them; they add latency to each call.
        accounts: Client accounts that are served; by default calls need no account.
        limits: Limits of the hosts' machines; by default their settings name none.
    """
    async with anyio.create_task_group() as tasks:
        processes = Processes(courselead, folder)
        host_ports = _allocate_host_ports(hosts)
        site = JobSite(processes, host_ports, accounts=accounts, limits=limits)
        async with _run_processes(site, tasks, machines, relays):
            yield site
        tasks.cancel_scope.cancel()


def _allocate_host_ports(hosts: int) -> tuple[HostPorts, ...]:
    host_ports = []
    for number in range(hosts):
        front, ready, peer = free_ports(3)
        ip = f"{network_prefix()}.{10 + number}"
        host_ports.append(HostPorts(f"front-{number}", ip, front, ready, peer))
    return tuple(host_ports)


@asynccontextmanager
async def _run_processes(
    site: JobSite, tasks: TaskGroup, machines: int, relays: bool
) -> AsyncIterator[None]:
    processes = site.processes
    try:
        args = ["site", f"--machines={machines}", f"--pool={POOL}"]
        site.addresses = json.loads(await processes.start_standins(args))
        if relays:
            await site.start_relays(tasks)
        await site.write_config()
        await site.start(*site.hosts)
        await site.wait_until_ready()
        yield
    finally:
        with anyio.CancelScope(shield=True):
            processes.kill_all()
            await processes.end_all()
            for client in site._clients.values():
                client.close()


def network_prefix() -> str:
    """Return the first three numbers of loopback addresses that only this run uses.

    The metrics port is the same for all hosts, so concurrent runs need different
    addresses.
    """
    return f"127.0.{1 + run_number()}"
