"""Status, worker, probe and metrics endpoints."""

from __future__ import annotations

from dataclasses import dataclass, replace

from courselead.core.fleet.state import WorkerPhase, WorkerState
from courselead.integrations.http_api import const
from courselead.integrations.http_api.auth import Principal
from courselead.integrations.http_api.documents import respond_json
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import Host, StatusReport
from courselead.metrics import Metrics

_OK = 200
_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker in a response."""

    worker: str
    availability_zone: str
    rack: str
    address: str
    cores: float
    memory_mb: int
    pool: str
    epoch: int
    phase: WorkerPhase
    since: int
    purpose: str
    next_pool: str
    minion_address: str
    maintained_ms: int
    reason: str

    @classmethod
    def from_state(cls, worker: WorkerState, principal: Principal) -> WorkerView:
        """Return the view of a worker in a pool that the principal may see."""
        next_pool = worker.next_pool
        # The worker's next pool may belong to another account.
        if not principal.can_see(_client_account_of(next_pool)):
            next_pool = ""
        return cls(
            worker=worker.worker,
            availability_zone=worker.availability_zone,
            rack=worker.rack,
            address=worker.address if principal.is_operator else "",
            cores=worker.cores,
            memory_mb=worker.memory_mb,
            pool=worker.pool,
            epoch=worker.epoch,
            phase=worker.phase,
            since=worker.since,
            purpose=worker.purpose or "",
            next_pool=next_pool,
            minion_address=worker.minion_address,
            maintained_ms=worker.maintained_ms,
            reason=worker.reason,
        )


class StatusApi:
    """Serves status, workers, probes and metrics."""

    def __init__(self, host: Host, metrics: Metrics) -> None:
        """Keep the daemon and the metrics."""
        self._host = host
        self._metrics = metrics

    async def status(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/status`."""
        report = visible_report(self._host.status(), principal)
        await respond_json(exchange, report)

    async def workers(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/workers`."""
        views = []
        for _, worker in sorted(self._host.fleet.workers.items()):
            if principal.can_see(_client_account_of(worker.pool)):
                views.append(WorkerView.from_state(worker, principal))
        await respond_json(exchange, {"workers": views})

    async def metrics(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /metrics`."""
        self._metrics.update_from_status(self._host.status())
        body = self._metrics.render(principal.client_account)
        await exchange.respond(_OK, body, const.TYPE_METRICS)

    async def healthz(self, exchange: Exchange) -> None:
        """Serve `GET /healthz`."""
        live = self._host.live
        await respond_json(exchange, {"live": live}, _OK if live else _UNAVAILABLE)

    async def readyz(self, exchange: Exchange) -> None:
        """Serve `GET /readyz`."""
        ready = self._host.ready
        await respond_json(exchange, {"ready": ready}, _OK if ready else _UNAVAILABLE)


def visible_report(report: StatusReport, principal: Principal) -> StatusReport:
    """Return the part of a status report that the principal may see."""
    if principal.is_operator:
        return report
    pools = tuple(p for p in report.pools if principal.can_see(p.client_account))
    alarms = tuple(a for a in report.alarms if principal.can_see(a.client_account))
    drains = []
    for drain in report.drains:
        if principal.can_see(drain.client_account):
            # Only operators may see entry hosts.
            drains.append(replace(drain, unsettled=()))
    return replace(
        report,
        in_flight=sum(pool.in_flight for pool in pools),
        queued=sum(pool.queued for pool in pools),
        peers=(),
        pools=pools,
        alarms=alarms,
        drains=tuple(drains),
    )


def _client_account_of(pool: str) -> str:
    return pool.partition("/")[0]
