"""HTTP API for callers' jobs, and the platform's readiness check."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

import anyio
import msgspec
from returns.result import Failure, Result, Success

from courselead.core.scheduler.models import (
    STEP_BYTES,
    JobSpec,
    Resources,
    StepSpec,
)
from courselead.core.scheduler.records import JOB_ID_LENGTH
from courselead.daemon.scheduling.intake import (
    RETRY_AFTER_S,
    Caller,
    Intake,
    JobReply,
    Verdict,
)
from courselead.decoding import JsonDecoder
from courselead.integrations.http_api.asgi import (
    Connection,
    Receive,
    Scope,
    Send,
    connection_of,
)
from courselead.integrations.http_api.asgi_helpers import read_body, send_response
from courselead.integrations.http_api.errors import (
    BodyTimeout,
    BodyTooLarge,
    CallerLeft,
)
from courselead.platform import const, ranges

_JOB_ID = re.compile(f"[0-9a-f]{{{JOB_ID_LENGTH}}}")
_MAX_SPEC_BYTES = 4_000

MIN_STEP_BYTES = 22
"""Size of a step without any needs in a job's record. A job with more steps than fit
into a record cannot be stored."""

DEFAULT_MAX_STEPS = const.DEFAULT_RECORD_BYTES // MIN_STEP_BYTES

JOB_BYTES_PER_BODY_BYTE = 8
"""Memory of a decoded job and its record, besides that of its steps, which are held
until the job is stored."""

LARGE_JOB_BYTES = 16 * 1024
"""Size from which a job's body is decoded only when no other one is: decoding the
largest ones takes tens of milliseconds."""

_STATUS_CODES = {
    Verdict.ACCEPTED: 200,
    Verdict.KNOWN: 200,
    Verdict.CANCELLED: 200,
    Verdict.NOT_RUN: 503,
    Verdict.IN_DOUBT: 504,
    Verdict.NO_JOB: 410,
    Verdict.ID_TAKEN: 409,
    Verdict.TOO_LARGE: 413,
}


class _Response(NamedTuple):
    """A response to a caller; `retry_after_s` is sent with errors that may pass."""

    status: int
    document: object
    retry_after_s: int = RETRY_AFTER_S
    close_connection: bool = False


_BODY_TOO_LONG = _Response(
    413,
    {"error": "the body is too long; send a shorter job"},
    close_connection=True,
)
_BODY_TIMEOUT = _Response(
    503,
    {"error": "the body did not arrive in time; nothing was stored, send it again"},
    close_connection=True,
)
_NO_MEMORY = _Response(
    503,
    {"error": "this host has no memory for the job; come back later"},
)
_STOPPING_NOT_STORED = _Response(
    503,
    {"error": "the host ends; nothing was stored, ask another one"},
)
_STOPPING_MAY_BE_STORED = _Response(
    504,
    {"error": "the host ends; it may be stored, ask another one"},
)


class _WireStep(msgspec.Struct, rename="camel"):
    count: ranges.TaskCount = 1
    # Negative needs are rejected after decoding, with a text of their own.
    cpu: ranges.SignedAmount = 0
    mem_mb: ranges.SignedAmount = 0
    gpu: ranges.SignedAmount = 0
    est_runtime_ms: ranges.DurationMs = 0
    after: list[ranges.Count] = []
    gang: bool = False
    rack_local: bool = False
    # A single label, in spite of the plural name.
    constraints: str = ""
    # Rack that holds the step's data.
    affinity: str = ""
    # Maximum number of tasks of the step on one minion.
    anti_affinity: ranges.Count = 0
    speculative: bool = False
    checkpoints: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: ranges.DurationMs = 0
    fills: bool = False
    may_miss: ranges.Count = 0


class _WireJob(msgspec.Struct, rename="camel"):
    spec: str
    steps: list[_WireStep]
    start_at_ms: ranges.TimeMs = 0
    interval_ms: ranges.DurationMs = 0
    repeats: ranges.Count = 0

    def __post_init__(self) -> None:
        last_due_ms = self.start_at_ms + self.repeats * self.interval_ms
        if last_due_ms > ranges.MAX_LAST_DUE_MS:
            raise ValueError("Expected an earlier last occurrence by `intervalMs`")


_JOB_DECODER = JsonDecoder(_WireJob)


class JobsApp:
    """ASGI application of the job API for callers."""

    def __init__(
        self,
        intake: Intake,
        should_close_connections: Callable[[], bool] = lambda: False,
        max_body_bytes: Callable[[], int] | None = None,
        max_steps: int = DEFAULT_MAX_STEPS,
    ) -> None:
        """Initialize the application.

        Args:
            intake: Handles the callers' requests.
            should_close_connections: Whether another host serves callers better, so
                that their connections are closed with the next response.
            max_body_bytes: Returns the largest body; by default that of the
                configuration.
            max_steps: Maximum number of steps of a job.
        """
        self._intake = intake
        self._max_body_bytes = max_body_bytes or (lambda: intake.body_bytes)
        self._max_steps = max_steps
        self._decoding_large = anyio.Lock()
        self._should_close_connections = should_close_connections

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        stop_response = _STOPPING_NOT_STORED
        try:
            body = await self._read_body(receive)
            stop_response = _STOPPING_MAY_BE_STORED
            response = await self._handle(scope, body)
        except CallerLeft:
            return
        except anyio.get_cancelled_exc_class():
            # The host is shutting down and the time for open requests is over. The
            # server would respond with 500, which does not tell the caller whether the
            # job may have been stored.
            with anyio.CancelScope(shield=True):
                await _send_json(send, stop_response, True)
            raise
        await _send_json(send, response, self._should_close_connections())

    async def _read_body(self, receive: Receive) -> bytes | _Response:
        """Return the body, or the response to a caller that does not send it."""
        try:
            return await read_body(receive, self._max_body_bytes())
        except BodyTooLarge:
            return _BODY_TOO_LONG
        except BodyTimeout:
            return _BODY_TIMEOUT

    async def _handle(self, scope: Scope, body: bytes | _Response) -> _Response:
        if not self._intake.configured:
            return _Response(503, {"error": "no configuration yet; come back later"})
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        route = self._intake.route(host, scope["path"])
        if route is None:
            return _Response(
                404, {"error": "no queue has this host and path; check both"}
            )
        caller = self._intake.authenticate(route, _credentials(scope))
        if not self._intake.can_check_credentials(caller):
            return _Response(
                503, {"error": "credentials cannot be checked; ask another host"}
            )
        if caller is None:
            return _Response(401, {"error": "send one known credential in X-Api-Key"})
        if isinstance(body, _Response):
            return body
        method, rest = scope["method"], route.rest
        if method == "GET" and not rest:
            return _Response(200, {"pending": self._intake.pending(caller).pending})
        if not _JOB_ID.fullmatch(rest):
            return _Response(
                400, {"error": "the path must end with 16 hexadecimal digits"}
            )
        if method == "GET":
            return _to_response(await self._intake.state(caller, rest))
        if method == "DELETE":
            return _to_response(await self._intake.cancel(caller, rest))
        if method == "POST":
            refused = _reserve_memory(connection_of(scope), body)
            if refused is not None:
                return refused
            return await self._submit(caller, rest, body)
        return _Response(405, {"error": "use POST, GET or DELETE"})

    async def _submit(self, caller: Caller, job_id: str, body: bytes) -> _Response:
        spec = await self._decode(body)
        if isinstance(spec, Failure):
            return _Response(400, {"error": spec.failure()})
        return _to_response(await self._intake.submit(caller, job_id, spec.unwrap()))

    async def _decode(self, body: bytes) -> Result[JobSpec, str]:
        """Decode a job; large ones use half of the event loop's time at most."""
        if len(body) < LARGE_JOB_BYTES:
            return decode_job(body, self._max_steps)
        async with self._decoding_large:
            began = anyio.current_time()
            spec = decode_job(body, self._max_steps)
            await anyio.sleep(anyio.current_time() - began)
        return spec


class ReadyApp:
    """ASGI application of the readiness check, which the platform calls."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Store the callback that returns whether the host is ready."""
        self._is_ready = ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP exchange."""
        if scope["type"] != "http":
            return
        if scope["path"] != const.PATH_READY:
            error = _Response(404, {"error": "ask for the ready path"})
            await _send_json(send, error, False)
            return
        ready = self._is_ready()
        response = _Response(200 if ready else 503, {"ready": ready})
        await _send_json(send, response, False)


def _reserve_memory(conn: Connection | None, body: bytes) -> _Response | None:
    """Take memory for a job that is about to be decoded, or return why there is none.

    There are at most as many steps as opening braces.
    """
    steps = body.count(b"{")
    count = JOB_BYTES_PER_BODY_BYTE * len(body) + STEP_BYTES * steps
    if conn is None or conn.reserve(count):
        return None
    return _NO_MEMORY if conn.can_ever_reserve(count) else _BODY_TOO_LONG


def _credentials(scope: Scope) -> list[bytes]:
    """Return all credentials of a request; only a single one is valid."""
    return [
        value for name, value in scope["headers"] if name == const.HEADER_CREDENTIAL
    ]


def decode_job(body: bytes, max_steps: int = DEFAULT_MAX_STEPS) -> Result[JobSpec, str]:
    """Return the job of a request body, or the reason why it is invalid."""
    decoded = _JOB_DECODER.decode(body)
    if isinstance(decoded, Failure):
        return Failure(f"malformed job: {decoded.failure()}")
    wire = decoded.unwrap()
    if len(wire.spec.encode()) > _MAX_SPEC_BYTES:
        return Failure(f"spec is longer than {_MAX_SPEC_BYTES} bytes; shorten it")
    if not wire.steps:
        return Failure("a job needs at least one step")
    if len(wire.steps) > max_steps:
        return Failure(f"a job has at most {max_steps} steps; split it")
    for number, step in enumerate(wire.steps):
        if any(dependency >= number for dependency in step.after):
            return Failure(f"step {number}: after must name earlier steps only")
        if min(step.cpu, step.mem_mb, step.gpu) < 0:
            return Failure(f"step {number}: needs must not be negative")
    steps = tuple(_to_step_spec(step) for step in wire.steps)
    return Success(
        JobSpec(wire.spec, steps, wire.start_at_ms, wire.interval_ms, wire.repeats)
    )


def _to_step_spec(wire: _WireStep) -> StepSpec:
    return StepSpec(
        count=wire.count,
        need=Resources(wire.cpu, wire.mem_mb, wire.gpu),
        estimate_ms=wire.est_runtime_ms,
        after=tuple(wire.after),
        gang=wire.gang,
        rack_local=wire.rack_local,
        required_label=wire.constraints,
        preferred_rack=wire.affinity,
        max_per_minion=wire.anti_affinity,
        speculative=wire.speculative,
        checkpoints=wire.checkpoints,
        long_running=wire.long_running,
        image=wire.image,
        target_tail_ms=wire.target_ms,
        fills=wire.fills,
        may_miss=wire.may_miss,
    )


def _to_response(reply: JobReply) -> _Response:
    status = _STATUS_CODES[reply.verdict]
    if reply.state is not None:
        return _Response(status, {"state": str(reply.state)})
    if reply.reason:
        return _Response(status, {"error": reply.reason}, reply.retry_after_s)
    return _Response(status, {}, reply.retry_after_s)


async def _send_json(send: Send, response: _Response, close_connection: bool) -> None:
    status, document, retry_after_s, close_response = response
    headers = [(b"content-type", b"application/json")]
    if status in (429, 503, 504):
        headers.append((b"retry-after", str(retry_after_s).encode()))
    if close_connection or close_response:
        headers.append((b"connection", b"close"))
    await send_response(send, status, msgspec.json.encode(document), headers)
