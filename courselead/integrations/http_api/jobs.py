"""Job endpoints: submit, list, show and cancel."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec
from returns.result import Failure

from courselead.core.effects import Problem, ProblemKind
from courselead.core.fleet.records import JobSpec
from courselead.core.fleet.state import JobPhase, JobState
from courselead.core.table import RequestClass
from courselead.decoding import JsonDecoder
from courselead.integrations.http_api import const
from courselead.integrations.http_api.admission import Admission
from courselead.integrations.http_api.auth import Principal
from courselead.integrations.http_api.documents import (
    ManagementCalls,
    read_limit,
    respond_json,
)
from courselead.integrations.http_api.errors import Refusal
from courselead.integrations.http_api.exchange import Exchange
from courselead.integrations.http_api.host import Host
from courselead.integrations.http_api.problems import (
    ApiProblem,
    FieldFault,
    forbidden,
    not_found,
)
from courselead.settings import LimitSettings

_Body = TypeVar("_Body")

_DEFAULT_LISTED = 100
_MAX_LISTED = 10_000
_MAX_SUBMITTED = 1_000
_MAX_CANCELLED = 1_000
_MAX_PAYLOAD_CHARS = 64 * 1024
_DAY_MS = 24 * 60 * 60 * 1000

JobId = Annotated[str, msgspec.Meta(pattern=r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,95}\Z")]
ServiceName = Annotated[str, msgspec.Meta(min_length=1, max_length=32)]
Payload = Annotated[str, msgspec.Meta(max_length=_MAX_PAYLOAD_CHARS)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=4096)]
Megabytes = Annotated[int, msgspec.Meta(ge=0, le=2**31)]
RunMs = Annotated[int, msgspec.Meta(ge=0, le=365 * _DAY_MS)]
WallTimeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Attempts = Annotated[int, msgspec.Meta(ge=1, le=100)]


class JobBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A job in a submit request."""

    service: ServiceName
    payload: Payload
    cores: Cores
    memory_mb: Megabytes
    run_ms: RunMs
    job_id: JobId = ""
    request_class: RequestClass = RequestClass.BATCH
    deadline_ms: WallTimeMs = 0
    idempotent: bool = False
    max_attempts: Attempts = 3


class SubmitBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of `POST /v1/jobs`."""

    jobs: Annotated[
        list[JobBody], msgspec.Meta(min_length=1, max_length=_MAX_SUBMITTED)
    ]


class CancelBody(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Body of `POST /v1/jobs/cancel`."""

    job_ids: Annotated[
        list[JobId], msgspec.Meta(min_length=1, max_length=_MAX_CANCELLED)
    ]


_SUBMIT_DECODER = JsonDecoder(SubmitBody)
_CANCEL_DECODER = JsonDecoder(CancelBody)


@dataclass(frozen=True, slots=True)
class JobView:
    """A job in a response."""

    job_id: str
    client_account: str
    service: str
    request_class: RequestClass
    phase: JobPhase
    attempt: int
    max_attempts: int
    worker: str
    progress: float
    checkpoint: str
    error: str
    moves: int
    cores: float
    memory_mb: int
    run_ms: int
    deadline_ms: int
    idempotent: bool
    submitted: int
    ended_ms: int

    @classmethod
    def from_state(cls, job: JobState) -> JobView:
        """Return the view of a job, without its payload."""
        spec = job.spec
        return cls(
            job_id=spec.job_id,
            client_account=spec.client_account,
            service=spec.service,
            request_class=spec.request_class,
            phase=job.phase,
            attempt=job.attempt,
            max_attempts=spec.max_attempts,
            worker=job.worker,
            progress=job.progress,
            checkpoint=job.checkpoint,
            error=job.error,
            moves=job.moves,
            cores=spec.cores,
            memory_mb=spec.memory_mb,
            run_ms=spec.run_ms,
            deadline_ms=spec.deadline_ms,
            idempotent=spec.idempotent,
            submitted=job.submitted,
            ended_ms=job.ended_ms,
        )


class JobsApi:
    """Serves `/v1/jobs` and the paths below it."""

    def __init__(self, host: Host, limits: LimitSettings, admission: Admission) -> None:
        """Keep the daemon, the limits and the admission shared by all exchanges."""
        self._host = host
        self._limits = limits
        self._admission = admission
        self._calls = ManagementCalls(host)

    async def list(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/jobs`: the newest jobs in order of submission."""
        limit = read_limit(exchange, _DEFAULT_LISTED, _MAX_LISTED)
        jobs = self._host.fleet.jobs.values()
        own = (job for job in jobs if principal.can_see(job.spec.client_account))
        newest = heapq.nlargest(limit, own, key=_submission_order)
        views = [JobView.from_state(job) for job in reversed(newest)]
        await respond_json(exchange, {"jobs": views})

    async def show(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `GET /v1/jobs/{job_id}`."""
        raw = exchange.path[len(const.PATH_JOB) :]
        job_id = raw.decode("ascii", "replace")
        job = self._find_visible(job_id, principal)
        if job is None:
            raise Refusal(not_found())
        await respond_json(exchange, JobView.from_state(job))

    async def submit(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `POST /v1/jobs`."""
        _require_client_account(principal)
        with self._admission.hold(principal.client_account):
            body = await self._decode_body(exchange, _SUBMIT_DECODER)
            jobs = []
            for index, job in enumerate(body.jobs):
                jobs.append(_job_spec(job, exchange.request_id, index, principal))
            deadline_ms = self._calls.deadline_ms()
            call = self._host.submit_jobs(exchange.request_id, tuple(jobs), deadline_ms)
            reply = await self._calls.wait(call)
            if isinstance(reply, Problem):
                raise Refusal(ApiProblem.from_core(reply))
            ids = [job.job_id for job in jobs]
            await respond_json(exchange, {"offset": reply.offset, "job_ids": ids})

    async def cancel(self, exchange: Exchange, principal: Principal) -> None:
        """Serve `POST /v1/jobs/cancel`; unknown ids are returned as `not_found`."""
        _require_client_account(principal)
        with self._admission.hold(principal.client_account):
            body = await self._decode_body(exchange, _CANCEL_DECODER)
            known, unknown = self._split_known(body.job_ids, principal)
            if not known:
                raise Refusal(not_found())
            deadline_ms = self._calls.deadline_ms()
            call = self._host.cancel_jobs(
                exchange.request_id, principal.client_account, known, deadline_ms
            )
            reply = await self._calls.wait(call)
            if isinstance(reply, Problem):
                raise Refusal(ApiProblem.from_core(reply))
            answer = {"offset": reply.offset, "job_ids": known, "not_found": unknown}
            await respond_json(exchange, answer)

    def _split_known(
        self, asked: list[str], principal: Principal
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        known: dict[str, None] = {}
        unknown: dict[str, None] = {}
        for job_id in asked:
            job = self._find_visible(job_id, principal)
            if job is None:
                unknown[job_id] = None
                continue
            known[job.spec.job_id] = None
        return tuple(known), tuple(unknown)

    def _find_visible(self, job_id: str, principal: Principal) -> JobState | None:
        if not principal.is_operator:
            job_id = full_job_id(job_id, principal.client_account)
        job = self._host.fleet.jobs.get(job_id)
        if job is None or not principal.can_see(job.spec.client_account):
            return None
        return job

    async def _decode_body(
        self, exchange: Exchange, decoder: JsonDecoder[_Body]
    ) -> _Body:
        body = await exchange.read_body(self._limits.body_timeout_ms)
        decoded = decoder.decode(body)
        if isinstance(decoded, Failure):
            raise Refusal(_invalid_body(decoded.failure().reason))
        return decoded.unwrap()


def full_job_id(job_id: str, client_account: str) -> str:
    """Return the id under which a job is stored.

    It is prefixed with the account's name, so that accounts can neither use nor probe
    each other's ids. Account names never contain a dot.
    """
    prefix = f"{client_account}."
    return job_id if job_id.startswith(prefix) else prefix + job_id


def _job_spec(
    job: JobBody, request_id: str, index: int, principal: Principal
) -> JobSpec:
    given = job.job_id or f"{request_id}-{index}"
    return JobSpec(
        job_id=full_job_id(given, principal.client_account),
        client_account=principal.client_account,
        service=job.service,
        request_class=job.request_class,
        payload=job.payload,
        cores=job.cores,
        memory_mb=job.memory_mb,
        run_ms=job.run_ms,
        deadline_ms=job.deadline_ms,
        idempotent=job.idempotent,
        max_attempts=job.max_attempts,
    )


def _submission_order(job: JobState) -> tuple[int, str]:
    return job.submitted, job.spec.job_id


def _require_client_account(principal: Principal) -> None:
    if principal.is_operator:
        raise Refusal(forbidden("use a client account's credential here"))


def _invalid_body(message: str) -> ApiProblem:
    text, _, place = message.partition(" - at ")
    fault = FieldFault(place.strip("`").removeprefix("$."), "", text)
    detail = "the body has a fault; mend it and send it again"
    return ApiProblem(ProblemKind.JOB_REFUSED, detail, faults=(fault,))
