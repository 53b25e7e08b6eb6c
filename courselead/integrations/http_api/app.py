"""Routing of the HTTP interface, as an ASGI application."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable

import structlog

from courselead.core.effects import RunState
from courselead.integrations.http_api import const
from courselead.integrations.http_api.admission import Admission
from courselead.integrations.http_api.auth import Credentials, Principal
from courselead.integrations.http_api.errors import (
    AnswerBroken,
    CallerLeft,
    CallerStalled,
    Refusal,
)
from courselead.integrations.http_api.exchange import Exchange, Receive, Scope, Send
from courselead.integrations.http_api.host import Host
from courselead.integrations.http_api.problems import (
    ApiProblem,
    EdgeKind,
    not_found,
    overloaded,
)
from courselead.integrations.http_api.requests import RequestsApi
from courselead.settings import Settings

_LOGGER = structlog.get_logger(__name__)


class HttpApi:
    """The ASGI application of one entry host."""

    def __init__(
        self,
        host: Host,
        settings: Settings,
        new_id: Callable[[], str] = lambda: secrets.token_hex(16),
    ) -> None:
        """Wire the parts.

        Args:
            host: The daemon.
            settings: For limits and operators' credentials.
            new_id: Makes a request id never made before.
        """
        self._host = host
        self._limits = settings.limits
        self._credentials = Credentials(settings.operator_credential_hashes)
        self._admission = Admission(settings.limits.max_in_flight)
        self._requests = RequestsApi(host, settings.limits, self._admission)
        self._new_id = new_id

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        request_id = self._new_id()
        exchange = Exchange(scope, receive, send, self._limits, request_id)
        with structlog.contextvars.bound_contextvars(request_id=request_id):
            await self._guarded(exchange)

    async def _guarded(self, exchange: Exchange) -> None:
        try:
            await self._serve(exchange)
        except Refusal as exc:
            await self._refuse(exchange, exc.problem)
        except CallerLeft:
            _LOGGER.debug("caller_left")
        except (AnswerBroken, CallerStalled) as exc:
            _LOGGER.warning("answer_broken_off", reason=str(exc))
            # The server closes the connection without an end of the body.
            raise
        except Exception:
            _LOGGER.exception("http_fault")
            if exchange.started:
                raise
            await self._refuse(exchange, _internal())

    async def _refuse(self, exchange: Exchange, problem: ApiProblem) -> None:
        _LOGGER.info("refused", kind=problem.kind.value, status=problem.status)
        await exchange.respond_problem(problem)

    async def _serve(self, exchange: Exchange) -> None:
        conn = exchange.connection
        if conn is not None and conn.over_limit:
            raise Refusal(_too_many_connections())
        exchange.check_head()
        principal = self._authenticate(exchange)
        handler = self._route(exchange)
        await handler(exchange, principal)

    def _authenticate(self, exchange: Exchange) -> Principal:
        values = exchange.values(const.ATTR_AUTHORIZATION)
        table = self._host.fleet.table
        return self._credentials.authenticate(values, table)

    def _route(
        self, exchange: Exchange
    ) -> Callable[[Exchange, Principal], Awaitable[None]]:
        if exchange.path.startswith(const.PATH_SERVICES):
            return self._requests.serve
        raise Refusal(not_found())


def _too_many_connections() -> ApiProblem:
    detail = "the entry host has too many connections; reuse yours or try another"
    problem = overloaded(detail)
    return ApiProblem(
        problem.kind, detail, retry_after_ms=problem.retry_after_ms, close=True
    )


def _internal() -> ApiProblem:
    detail = "a fault of the entry host; it may have run, so repeat it with its key"
    return ApiProblem(EdgeKind.INTERNAL, detail, run=RunState.UNKNOWN, close=True)
