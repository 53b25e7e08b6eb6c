"""Configuration of the demo: entry hosts, client accounts, services, credentials."""

import hashlib
import json
from dataclasses import dataclass
from pathlib import Path

from demo.ports import free_ports

ZONES = ("zone-0", "zone-1")
HOSTS_PER_ZONE = 2
OPERATOR = "operator-demo-credential"
ACCOUNTS = ("aloisi", "cooperative")
SERVICES = {
    "aloisi": ("notary", "court", "port", "hospital", "front-desk"),
    "cooperative": ("prep", "minors", "rink", "wire", "portal"),
}
WORKERS_PER_SERVICE = 2
DRAINED_SERVICE = ("aloisi", "court")
HEARTBEAT_INTERVAL_MS = 500
AVAILABILITY_BUDGET = 0.5


@dataclass(frozen=True, slots=True)
class HostPlan:
    """One entry host of the demo."""

    name: str
    availability_zone: str
    port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://127.0.0.1:{self.port}"


def worker_count() -> int:
    """Return the number of workers: those of all pools and two spare ones."""
    services = sum(len(names) for names in SERVICES.values())
    return services * WORKERS_PER_SERVICE + 2


def plan_hosts() -> tuple[HostPlan, ...]:
    """Return the entry hosts, each with free ports."""
    ports = free_ports(2 * HOSTS_PER_ZONE * len(ZONES))
    hosts = []
    for zone in ZONES:
        for _ in range(HOSTS_PER_ZONE):
            number = len(hosts)
            hosts.append(HostPlan(f"entry-{number}", zone, ports.pop(), ports.pop()))
    return tuple(hosts)


def write_settings(
    host: HostPlan, hosts: tuple[HostPlan, ...], platform: dict, folder: Path
) -> Path:
    """Write the settings file of one entry host."""
    log = platform["log"]
    membership = platform["membership"]
    settings = {
        "entry_host": host.name,
        "availability_zone": host.availability_zone,
        "listen": f"127.0.0.1:{host.port}",
        "peer_listen": f"127.0.0.1:{host.peer_port}",
        "log_url": f"http://{log}",
        "membership_url": f"http://{membership}",
        "operator_credential_hashes": [digest(OPERATOR)],
        "timings": {"beat_ms": HEARTBEAT_INTERVAL_MS, "lost_after_ms": 5_000},
        "peers": [_peer_settings(peer) for peer in hosts if peer is not host],
    }
    path = folder / f"{host.name}.json"
    path.write_text(json.dumps(settings, indent=2))
    return path


def _peer_settings(peer: HostPlan) -> dict:
    """Return the settings entry of a peer."""
    return {
        "entry_host": peer.name,
        "address": f"127.0.0.1:{peer.peer_port}",
        "availability_zone": peer.availability_zone,
    }


def digest(credential: str) -> str:
    """Return the hash of a credential."""
    return hashlib.sha256(credential.encode()).hexdigest()


def credential(client_account: str) -> str:
    """Return the credential of a client account."""
    return f"{client_account}-demo-credential"


def table(window: str = "never", share: float = 1.0) -> dict:
    """Return the table of client accounts and services.

    Args:
        window: Maintenance window of `DRAINED_SERVICE`.
        share: Share of the service cooperative/wire, which the demo changes.
    """
    accounts = []
    services = []
    for name in ACCOUNTS:
        hashes = [digest(credential(name))]
        accounts.append({"client_account": name, "credential_hashes": hashes})
        for service in SERVICES[name]:
            row = {
                "client_account": name,
                "service": service,
                "workers": WORKERS_PER_SERVICE,
                "availability_budget": AVAILABILITY_BUDGET,
                "window": "never",
            }
            if (name, service) == DRAINED_SERVICE:
                row["window"] = window
            if (name, service) == ("cooperative", "wire"):
                row["share"] = share
            services.append(row)
    return {"accounts": accounts, "services": services}
