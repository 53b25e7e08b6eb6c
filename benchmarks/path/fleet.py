"""Starts the stand-ins and entry hosts of a run as real processes."""

import json
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
from returns.result import Failure

from courselead.integrations.http import HttpClient, HttpRequest
from demo.plan import HostPlan, digest
from demo.ports import free_ports
from demo.processes import Processes

OPERATOR = "operator-bench-credential"
STATUS_OK = 200
POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 120.0
TIMEOUT_MS = 15_000


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size and settings of a fleet.

    Attributes:
        pools: Workers wanted by (client account, service).
        light: Whether to use the lightweight agents of `platform.py`, whose
            minions do not serve requests.
        timings: Timing settings that differ from the defaults.
    """

    name: str
    hosts: int
    zones: int
    workers: int
    pools: dict[tuple[str, str], int]
    light: bool = False
    reboot_ms: int = 300
    timings: dict[str, int] = field(default_factory=dict)


def even_pools(accounts: int, pools: int, workers: int) -> dict[tuple[str, str], int]:
    """Return pools of equal size, the remainder spread over the first ones."""
    workers_by_pool = {}
    for index in range(pools):
        account = index % accounts
        count = workers // pools + (1 if index < workers % pools else 0)
        workers_by_pool[f"account-{account:02}", f"service-{index:03}"] = count
    return workers_by_pool


ALOISI = FleetShape("Aloisi", 6, 4, 40, even_pools(1, 5, 40))
COOPERATIVE = FleetShape("Cooperative", 6, 3, 30, even_pools(1, 5, 30))
TARGET = FleetShape("target", 6, 4, 1_000, even_pools(20, 160, 1_000), light=True)
# Two regions of four zones each: with 12 hosts, and with three hosts in each zone.
TARGET_12 = replace(TARGET, hosts=12, zones=8)
TARGET_24 = replace(TARGET, hosts=24, zones=8)


class FleetProcesses(Processes):
    """Processes that can also start the platform of the benchmark."""

    async def start_platform(self, args: Sequence[str]) -> str:
        """Start `benchmarks.path.platform` and return its JSON line."""
        return await self.start_standins(args, "benchmarks.path.platform")


class ProcessFleet:
    """A fleet of real processes that is measured."""

    def __init__(self, shape: FleetShape, processes: FleetProcesses) -> None:
        """Plan the hosts without starting them."""
        self.shape = shape
        self.processes = processes
        self.platform: dict = {}
        self.hosts = plan_hosts(shape)
        self.clients = {
            host.name: HttpClient(host.url.removeprefix("http://"))
            for host in self.hosts
        }
        self.version = -1
        self.agent_addresses: list[str] = []

    async def start(self) -> None:
        """Start all processes and wait until every host sees all pools serving."""
        shape = self.shape
        kind = "light" if shape.light else "full"
        args = [kind, str(shape.workers), str(shape.zones), str(shape.reboot_ms)]
        line = await self.processes.start_platform(args)
        self.platform = json.loads(line)
        self.agent_addresses = await self._list_agents()
        for host in self.hosts:
            await self.start_host(host)
        for host in self.hosts:
            await self.wait_until(lambda host=host: self.is_ready(host))
        if not shape.pools:
            return
        await self.publish(
            self.service_rows(), [self.account_row(name) for name in self.accounts]
        )
        for host in self.hosts:
            await self.wait_until(lambda host=host: self.all_serving(host))

    async def _list_agents(self) -> list[str]:
        """Return the addresses of the agents from the membership list."""
        client = HttpClient(self.platform["membership"])
        req = HttpRequest(b"GET", b"/v1/members")
        fetched = await client.fetch(req, TIMEOUT_MS)
        client.close()
        members = json.loads(fetched.unwrap().body)["members"]
        return [member["address"] for member in members]

    async def start_host(self, host: HostPlan) -> None:
        """Start an entry host."""
        path = self.write_settings(host)
        await self.processes.start_daemon(host.name, path)

    @property
    def accounts(self) -> list[str]:
        """Return the names of the client accounts."""
        return sorted({account for account, _ in self.shape.pools})

    def account_row(self, name: str) -> dict:
        """Return the table row of an account, which uses its name as credential."""
        return {"client_account": name, "credential_hashes": [digest(name)]}

    def service_rows(self, window: str = "never", **changes: object) -> list[dict]:
        """Return the table rows of all services."""
        rows = []
        for (account, service), workers in self.shape.pools.items():
            row = {
                "client_account": account,
                "service": service,
                "workers": workers,
                "window": window,
            }
            rows.append(row | changes)
        return rows

    async def publish(
        self, services: list[dict], accounts: Sequence[dict] = (), index: int = 0
    ) -> int:
        """Publish rows through an entry host and return the new table version."""
        edit = {
            "base_version": self.version,
            "accounts": list(accounts),
            "services": services,
            "removed": [],
            "author": "bench",
        }
        body = json.dumps(edit).encode()
        host = self.hosts[index % len(self.hosts)]
        answer = await self.call(host, b"POST", "/v1/table", body)
        self.version = answer["version"]
        return self.version

    async def call(
        self, host: HostPlan, method: bytes, path: str, body: bytes = b""
    ) -> dict:
        """Call an entry host as the operator and return the decoded answer.

        Raises:
            RuntimeError: The call failed or the status was not 200.
        """
        bearer = f"Bearer {OPERATOR}".encode()
        headers = [(b"authorization", bearer)]
        if body:
            headers.append((b"content-type", b"application/json"))
        req = HttpRequest(method, path.encode(), tuple(headers), body)
        fetched = await self.clients[host.name].fetch(req, TIMEOUT_MS)
        if isinstance(fetched, Failure):
            reason = str(fetched.failure())
            raise RuntimeError(f"{path}: {reason}")
        answer = fetched.unwrap()
        if answer.status != STATUS_OK:
            excerpt = answer.body[:300]
            raise RuntimeError(f"{path}: {answer.status} {excerpt}")
        return json.loads(answer.body) if answer.body[:1] == b"{" else {}

    async def status(self, host: HostPlan) -> dict:
        """Return an entry host's status."""
        return await self.call(host, b"GET", "/v1/status")

    async def is_ready(self, host: HostPlan) -> bool:
        """Return whether an entry host reports that it is ready."""
        try:
            await self.call(host, b"GET", "/readyz")
        except RuntimeError:
            return False
        return True

    async def all_serving(self, host: HostPlan) -> bool:
        """Return whether an entry host sees all pools with the wanted minions."""
        pools = (await self.status(host))["pools"]
        serving = [pool["serving"] >= pool["wanted"] for pool in pools]
        return len(pools) == len(self.shape.pools) and all(serving)

    async def count_boots(self) -> int:
        """Return the total number of boots of the workers."""
        total = 0
        for address in self.agent_addresses:
            client = HttpClient(address)
            req = HttpRequest(b"GET", b"/v1/state")
            fetched = await client.fetch(req, TIMEOUT_MS)
            client.close()
            total += json.loads(fetched.unwrap().body)["boots"]
        return total

    async def wait_until(
        self, condition: Callable[[], Awaitable[bool]], poll_s: float = POLL_INTERVAL_S
    ) -> float:
        """Wait for a condition with a timeout and return the elapsed seconds."""
        start = time.monotonic()
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while not await condition():
                self.processes.check_running()
                await anyio.sleep(poll_s)
        return time.monotonic() - start

    def write_settings(self, host: HostPlan) -> Path:
        """Write the settings file of an entry host."""
        log = self.platform["log"]
        membership = self.platform["membership"]
        peers = []
        for peer in self.hosts:
            if peer is host:
                continue
            peers.append(
                {
                    "entry_host": peer.name,
                    "address": f"127.0.0.1:{peer.peer_port}",
                    "availability_zone": peer.availability_zone,
                }
            )
        settings = {
            "entry_host": host.name,
            "availability_zone": host.availability_zone,
            "listen": f"127.0.0.1:{host.port}",
            "peer_listen": f"127.0.0.1:{host.peer_port}",
            "log_url": f"http://{log}",
            "membership_url": f"http://{membership}",
            "operator_credential_hashes": [digest(OPERATOR)],
            "timings": self.shape.timings,
            "peers": peers,
        }
        path = self.processes.folder / f"{host.name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path


def plan_hosts(shape: FleetShape) -> list[HostPlan]:
    """Return the entry hosts, each with free ports."""
    ports = free_ports(2 * shape.hosts)
    hosts = []
    for number in range(shape.hosts):
        zone = number % shape.zones
        host = HostPlan(f"entry-{number}", f"zone-{zone}", ports.pop(), ports.pop())
        hosts.append(host)
    return hosts


@asynccontextmanager
async def running_fleet(shape: FleetShape):
    """Start a fleet and end all of its processes on exit, also after an error."""
    with TemporaryDirectory(prefix="courselead-bench-") as folder:
        processes = FleetProcesses((sys.executable, "-m", "courselead"), Path(folder))
        fleet = ProcessFleet(shape, processes)
        try:
            await fleet.start()
            yield fleet
        except BaseException:
            _show_logs(Path(folder))
            processes.kill_all()
            raise
        finally:
            with anyio.CancelScope(shield=True):
                await processes.end_all()


def _show_logs(folder: Path) -> None:
    """Print the end of each entry host's log to standard error."""
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text().splitlines() or [""]
        end = "\n".join(lines[-4:])[:2_000]
        print(f"{path.name}: {end}", file=sys.stderr)
