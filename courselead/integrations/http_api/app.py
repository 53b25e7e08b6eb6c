"""The ASGI application of the HTTP API: routing, authentication, error handling."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import anyio
import structlog

from courselead.core.effects import ProblemKind, RunState
from courselead.integrations.http_api import const
from courselead.integrations.http_api.admission import Admission
from courselead.integrations.http_api.asgi import Receive, Scope, Send
from courselead.integrations.http_api.auth import Credentials, Principal
from courselead.integrations.http_api.errors import (
    AnswerBroken,
    CallerLeft,
    CallerStalled,
    Refusal,
)
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import Host
from courselead.integrations.http_api.jobs import JobsApi
from courselead.integrations.http_api.problems import (
    ApiProblem,
    HttpProblemKind,
    not_found,
    overloaded,
)
from courselead.integrations.http_api.requests import RequestsApi
from courselead.integrations.http_api.status import StatusApi
from courselead.integrations.http_api.tables import TablesApi
from courselead.integrations.http_api.zones import ZonesApi
from courselead.logs import request_context
from courselead.metrics import Metrics
from courselead.settings import Settings

_LOGGER = structlog.get_logger(__name__)
_LOOKUP_FAILURES = (
    HttpProblemKind.UNAUTHENTICATED,
    ProblemKind.NOT_FOUND,
    ProblemKind.NO_SUCH_SERVICE,
)

Handler = Callable[[Exchange, Principal], Awaitable[None]]


class HttpApi:
    """The ASGI application of one entry host."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        metrics: Metrics | None = None,
        new_id: Callable[[], str] = lambda: secrets.token_hex(16),
    ) -> None:
        """Create the handlers and their routes.

        Args:
            host: The daemon.
            settings: Provides the limits and the operators' credential hashes.
            metrics: Metrics that the daemon records.
            new_id: Generates a unique request id.
        """
        self._host = host
        self._limits = settings.limits
        self._credentials = Credentials(settings.operator_credential_hashes)
        self._admission = Admission(settings.limits.max_in_flight)
        self._metrics = metrics or Metrics()
        self._metrics.set_table_source(host)
        self._new_id = new_id
        parts = (host, settings.limits, self._admission)
        self._requests = RequestsApi(*parts)
        self._jobs = JobsApi(*parts)
        self._status = StatusApi(host, self._metrics)
        self._probes = {
            const.PATH_HEALTHZ: self._status.healthz,
            const.PATH_READYZ: self._status.readyz,
        }
        self._routes = _routes(
            TablesApi(*parts), ZonesApi(*parts), self._jobs, self._status
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        exchange = Exchange(
            scope, receive, send, self._limits, self._new_id(), self._is_ready
        )
        with request_context(exchange.request_id):
            await self._serve_guarded(exchange)

    def _is_ready(self) -> bool:
        return self._host.ready

    async def _serve_guarded(self, exchange: Exchange) -> None:
        try:
            await self._serve(exchange)
            _LOGGER.debug("served", status=exchange.status)
        except Refusal as exc:
            await self._refuse(exchange, exc.problem)
        except CallerLeft:
            _LOGGER.debug("caller_left")
        except (AnswerBroken, CallerStalled) as exc:
            _LOGGER.warning("answer_broken_off", reason=str(exc))
            # The server then closes the connection without ending the body.
            raise
        except anyio.get_cancelled_exc_class():
            await self._respond_cancelled(exchange)
            raise
        except Exception:
            _LOGGER.exception("http_fault")
            if exchange.started:
                raise
            await self._refuse(exchange, _internal_error())

    async def _respond_cancelled(self, exchange: Exchange) -> None:
        # The server is stopping and its drain time for open exchanges has passed.
        if exchange.started:
            return
        with anyio.CancelScope(shield=True):
            await exchange.respond_problem(_stopping_problem())

    async def _refuse(self, exchange: Exchange, problem: ApiProblem) -> None:
        # Until the host is ready, it may not have read the table that has the entry.
        if problem.kind in _LOOKUP_FAILURES and not self._host.ready:
            problem = overloaded("the entry host is not ready; try another")
        _LOGGER.info("refused", kind=problem.kind.value, status=problem.status)
        self._metrics.count_refusal(exchange.client_account, problem.kind.value)
        await exchange.respond_problem(problem)

    async def _serve(self, exchange: Exchange) -> None:
        exchange.check_head()
        probe = self._probes.get(exchange.path)
        if probe is not None:
            _check_method(exchange, ("GET", "HEAD"))
            await probe(exchange)
            return
        principal = self._authenticate(exchange)
        exchange.client_account = principal.client_account
        with request_context(exchange.request_id, principal.client_account):
            handler = self._route(exchange)
            await handler(exchange, principal)

    def _authenticate(self, exchange: Exchange) -> Principal:
        values = exchange.header_values(const.ATTR_AUTHORIZATION)
        table = self._host.fleet.table
        return self._credentials.authenticate(values, table)

    def _route(self, exchange: Exchange) -> Handler:
        if exchange.path.startswith(const.PATH_SERVICES):
            return self._requests.serve
        methods = self._routes.get(exchange.path)
        if methods is None and exchange.path.startswith(const.PATH_JOB):
            methods = {"GET": self._jobs.show}
        if methods is None:
            raise Refusal(not_found())
        method = "GET" if exchange.method == "HEAD" else exchange.method
        _check_method(exchange, tuple(methods), method)
        return methods[method]


def _routes(
    tables: TablesApi, zones: ZonesApi, jobs: JobsApi, status: StatusApi
) -> dict[bytes, dict[str, Handler]]:
    return {
        const.PATH_TABLE: {"GET": tables.read, "POST": tables.publish},
        const.PATH_HISTORY: {"GET": tables.history},
        const.PATH_ZONES: {"GET": zones.list},
        const.PATH_ZONES_EVACUATE: {"POST": zones.evacuate},
        const.PATH_ZONES_RESTORE: {"POST": zones.restore},
        const.PATH_STATUS: {"GET": status.status},
        const.PATH_WORKERS: {"GET": status.workers},
        const.PATH_METRICS: {"GET": status.metrics},
        const.PATH_JOBS: {"GET": jobs.list, "POST": jobs.submit},
        const.PATH_CANCEL: {"POST": jobs.cancel},
    }


def _check_method(
    exchange: Exchange, allowed: tuple[str, ...], method: str = ""
) -> None:
    if (method or exchange.method) in allowed:
        return
    listed = ", ".join(allowed)
    headers = ((const.ATTR_ALLOW, listed.encode("ascii")),)
    detail = f"this path takes {listed}"
    raise Refusal(
        ApiProblem(HttpProblemKind.METHOD_NOT_ALLOWED, detail, headers=headers)
    )


def _stopping_problem() -> ApiProblem:
    detail = "the entry host stops; it may have run, so repeat it with its key"
    kind = ProblemKind.LEAVING
    return ApiProblem(kind, detail, run=RunState.UNKNOWN, close=True)


def _internal_error() -> ApiProblem:
    detail = "a fault of the entry host; it may have run, so repeat it with its key"
    return ApiProblem(
        HttpProblemKind.INTERNAL, detail, run=RunState.UNKNOWN, close=True
    )
