"""The data path: forwards callers' requests to minions of their services."""

from __future__ import annotations

import hashlib
import re

import anyio

from courselead.core.effects import Problem, ProblemKind, RunState
from courselead.core.table import RequestClass, ServiceRow, pool_name
from courselead.integrations.http.headers import end_to_end_headers
from courselead.integrations.http_api import const
from courselead.integrations.http_api.admission import Admission
from courselead.integrations.http_api.auth import Principal
from courselead.integrations.http_api.errors import CallerLeft, Refusal
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import (
    Answer,
    Header,
    Host,
    IncomingRequest,
    Replay,
    Reply,
    ResponseHandle,
)
from courselead.integrations.http_api.problems import (
    ApiProblem,
    HttpProblemKind,
    bad_request,
    forbidden,
    no_such_service,
)
from courselead.logs import request_context
from courselead.settings import LimitSettings

_BOOLEANS = {"?1": True, "?0": False}
_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
_CLASSES = ", ".join(RequestClass)


class RequestsApi:
    """Submits requests for minions to the daemon and relays the responses."""

    def __init__(self, host: Host, limits: LimitSettings, admission: Admission) -> None:
        """Keep the daemon, the limits and the admission shared by all exchanges."""
        self._host = host
        self._limits = limits
        self._admission = admission

    async def serve(self, exchange: Exchange, principal: Principal) -> None:
        """Serve one request under `/v1/services/`."""
        arrived_ms = self._host.now_ms()
        service, target = split_target(exchange.path, exchange.query)
        row = self._service_row(principal, service)
        if exchange.http_version == "1.0":
            raise Refusal(_unsupported_version())
        account = principal.client_account
        with (
            request_context(exchange.request_id, account, service),
            self._admission.hold(account),
        ):
            deadline_ms = arrived_ms + read_deadline_ms(exchange, row)
            req = await self._read_request(
                exchange, principal, row, target, deadline_ms
            )
            await self._respond(exchange, req)

    def _service_row(self, principal: Principal, service: str) -> ServiceRow:
        if principal.is_operator:
            raise Refusal(forbidden("use a client account's credential here"))
        pool = pool_name(principal.client_account, service)
        row = self._host.fleet.table.services.get(pool)
        if row is None:
            raise Refusal(no_such_service())
        return row

    async def _read_request(
        self,
        exchange: Exchange,
        principal: Principal,
        row: ServiceRow,
        target: bytes,
        deadline_ms: int,
    ) -> IncomingRequest:
        request_class = read_class(exchange, row)
        idempotent = read_idempotent(exchange)
        key = read_key(exchange)
        timeout_ms = min(
            self._limits.body_timeout_ms, deadline_ms - self._host.now_ms()
        )
        body = await exchange.read_body(timeout_ms)
        return IncomingRequest(
            request_id=exchange.request_id,
            client_account=principal.client_account,
            service=row.service,
            method=exchange.method,
            target=target,
            headers=forwarded_headers(exchange.headers, exchange.request_id),
            body=body,
            request_class=request_class,
            idempotent=idempotent,
            key=key,
            fingerprint=fingerprint(exchange.method, target, body),
            deadline_ms=deadline_ms,
        )

    async def _respond(self, exchange: Exchange, req: IncomingRequest) -> None:
        handle = await self._host.submit(req)
        failure: Exception | None = None
        finished = False
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_disconnect, exchange, tasks.cancel_scope)
                # The task group would wrap an exception in an ExceptionGroup.
                try:
                    await self._relay_reply(exchange, req, handle)
                except Exception as exc:
                    failure = exc
                finished = True
                tasks.cancel_scope.cancel()
        finally:
            # No effect after the end; otherwise the daemon stops work on a request
            # whose caller no longer waits.
            handle.caller_gone()
        if failure is not None:
            raise failure
        if not finished:
            raise CallerLeft

    async def _relay_reply(
        self, exchange: Exchange, req: IncomingRequest, handle: ResponseHandle
    ) -> None:
        reply = await self._wait_for_reply(req, handle)
        if isinstance(reply, Problem):
            await exchange.respond_problem(ApiProblem.from_core(reply))
            return
        if isinstance(reply, Replay):
            await _write_replay(exchange, reply)
            return
        await _write_answer(exchange, reply)

    async def _wait_for_reply(
        self, req: IncomingRequest, handle: ResponseHandle
    ) -> Reply:
        left_ms = req.deadline_ms - self._host.now_ms() + const.DEADLINE_GRACE_MS
        with anyio.move_on_after(left_ms / 1000):
            return await handle.reply()
        detail = "the deadline passed; it may have run, so repeat it with its key"
        return Problem(ProblemKind.DEADLINE, RunState.UNKNOWN, detail)


def split_target(path: bytes, query: bytes) -> tuple[str, bytes]:
    """Return the service name and the request target for the minion."""
    remainder = path[len(const.PATH_SERVICES) :]
    service, _, inner = remainder.partition(b"/")
    target = b"/" + inner
    if query:
        target += b"?" + query
    return service.decode("ascii", "replace"), target


def read_deadline_ms(exchange: Exchange, row: ServiceRow) -> int:
    """Return the caller's deadline in milliseconds from now.

    The default comes from the service's row.
    """
    text = exchange.single_header(const.ATTR_DEADLINE_MS)
    if text is None:
        return row.deadline_ms
    # int() alone would also accept signs, spaces and underscores.
    if not re.fullmatch("[0-9]{1,6}", text):
        raise Refusal(_bad_deadline())
    value = int(text)
    if not 1 <= value <= const.MAX_DEADLINE_MS:
        raise Refusal(_bad_deadline())
    return value


def read_class(exchange: Exchange, row: ServiceRow) -> RequestClass:
    """Return the request class, by default that of the service."""
    text = exchange.single_header(const.ATTR_CLASS)
    if text is None:
        return row.default_class
    try:
        return RequestClass(text)
    except ValueError as exc:
        problem = bad_request(f"give Courselead-Class as one of {_CLASSES}")
        raise Refusal(problem) from exc


def read_idempotent(exchange: Exchange) -> bool:
    """Return whether the request may be run more than once."""
    text = exchange.single_header(const.ATTR_IDEMPOTENT)
    if text is None:
        return exchange.method in const.IDEMPOTENT_METHODS
    if text not in _BOOLEANS:
        raise Refusal(bad_request("give Courselead-Idempotent as ?1 or ?0"))
    return _BOOLEANS[text]


def read_key(exchange: Exchange) -> str:
    """Return the idempotency key without its quotes, "" if none is given."""
    text = exchange.single_header(const.ATTR_IDEMPOTENCY_KEY)
    if text is None:
        return ""
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    if not _KEY_PATTERN.fullmatch(text) or '"' in text or "\\" in text:
        most = const.MAX_KEY_CHARS
        detail = f"give Idempotency-Key as 1 to {most} visible ASCII characters"
        raise Refusal(bad_request(detail))
    return text


def forwarded_headers(
    headers: tuple[Header, ...], request_id: str
) -> tuple[Header, ...]:
    """Return the request headers to forward to the minion."""
    kept: list[Header] = []
    for name, value in end_to_end_headers(headers, const.DROPPED_REQUEST_HEADERS):
        if name.startswith(const.UNTRUSTED_PREFIXES):
            continue
        kept.append((name, value))
    kept.append((const.ATTR_REQUEST_ID, request_id.encode("ascii")))
    return tuple(kept)


def answer_headers(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Return the headers of a target's response to forward to the caller."""
    kept: list[Header] = []
    for name, value in end_to_end_headers(headers, const.DROPPED_ANSWER_HEADERS):
        if name.lower().startswith(const.COURSELEAD_PREFIX):
            continue
        kept.append((name, value))
    return tuple(kept)


def fingerprint(method: str, target: bytes, body: bytes) -> str:
    """Return a digest that differs between different requests with the same key."""
    digest = hashlib.sha256()
    for part in (method.encode("ascii"), target, body):
        # The length prefix makes the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


async def _cancel_on_disconnect(exchange: Exchange, scope: anyio.CancelScope) -> None:
    await exchange.wait_for_disconnect()
    scope.cancel()


async def _write_replay(exchange: Exchange, reply: Replay) -> None:
    content_type = reply.content_type.encode("latin-1")
    headers = ((const.ATTR_REPLAYED, b"?1"),)
    await exchange.respond(reply.status, reply.body, content_type, headers)


async def _write_answer(exchange: Exchange, answer: Answer) -> None:
    await exchange.start(answer.status, answer_headers(answer.headers))
    async for chunk in answer.body:
        if chunk:
            await exchange.write(chunk)
    await exchange.finish()


def _bad_deadline() -> ApiProblem:
    most = const.MAX_DEADLINE_MS
    return bad_request(f"give Courselead-Deadline-Ms as a number from 1 to {most}")


def _unsupported_version() -> ApiProblem:
    # HTTP/1.0 has no chunked encoding, so a caller could not detect a response that
    # was cut short.
    return ApiProblem(HttpProblemKind.HTTP_VERSION, "use HTTP/1.1", close=True)
