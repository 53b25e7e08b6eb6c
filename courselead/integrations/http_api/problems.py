"""Problem responses (RFC 9457) and the status code of each kind."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from types import MappingProxyType

import msgspec

from courselead.core.effects import Problem, ProblemKind, RunState
from courselead.integrations.http_api import const
from courselead.integrations.http_api.host import Header


class HttpProblemKind(StrEnum):
    """Kinds of problems that the HTTP API detects without the daemon."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    BODY_TIMEOUT = "body-timeout"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TIMEOUT = "head-timeout"
    HEAD_TOO_LARGE = "head-too-large"
    HTTP_VERSION = "http-version-not-supported"
    INTERNAL = "internal-error"


AnyKind = ProblemKind | HttpProblemKind

# Status code of each kind; a kind gets its status nowhere else.
STATUS_CODES: Mapping[AnyKind, int] = MappingProxyType(
    {
        HttpProblemKind.BAD_REQUEST: 400,
        HttpProblemKind.UNAUTHENTICATED: 401,
        HttpProblemKind.FORBIDDEN: 403,
        HttpProblemKind.METHOD_NOT_ALLOWED: 405,
        HttpProblemKind.BODY_TIMEOUT: 408,
        HttpProblemKind.BODY_TOO_LARGE: 413,
        HttpProblemKind.HEAD_TIMEOUT: 408,
        HttpProblemKind.HEAD_TOO_LARGE: 431,
        HttpProblemKind.HTTP_VERSION: 505,
        HttpProblemKind.INTERNAL: 500,
        ProblemKind.NO_SUCH_SERVICE: 404,
        ProblemKind.QUEUE_FULL: 429,
        ProblemKind.CEILING: 429,
        ProblemKind.CANNOT_FINISH: 503,
        ProblemKind.DEADLINE: 504,
        ProblemKind.NO_TARGET: 503,
        ProblemKind.TARGET_FAILED: 502,
        ProblemKind.TARGET_BROKE: 502,
        ProblemKind.RETRY_BUDGET: 503,
        ProblemKind.LOG_DOWN: 503,
        ProblemKind.KEY_REUSED: 422,
        ProblemKind.KEY_IN_USE: 409,
        ProblemKind.KEY_UNKNOWN: 409,
        ProblemKind.ALREADY_RAN: 409,
        ProblemKind.LEAVING: 503,
        ProblemKind.CONFLICT: 409,
        ProblemKind.TABLE_REFUSED: 422,
        ProblemKind.JOB_REFUSED: 422,
        ProblemKind.NOT_FOUND: 404,
        ProblemKind.OVERLOAD: 503,
        ProblemKind.EVACUATED: 503,
        ProblemKind.ZONE_REFUSED: 422,
    }
)

NOT_FOUND_DETAIL = "there is nothing here for this credential; check the path"
NO_SERVICE_DETAIL = "the client account has no such service; check the name"


@dataclass(frozen=True, slots=True)
class FieldFault:
    """A validation error of one field of a body.

    Attributes:
        row: Row key, or the position in the body.
        column: Field name, "" for the row as a whole.
    """

    row: str
    column: str
    message: str


@dataclass(frozen=True, slots=True)
class RowConflict:
    """A row of an edit that changed after the edit's base version.

    Attributes:
        yours: The row in the edit, None if the edit removes it.
        theirs: The current row, None if it does not exist.
    """

    row: str
    yours: dict[str, object] | None
    theirs: dict[str, object] | None


@dataclass(frozen=True, slots=True)
class ApiProblem:
    """The content of a problem response.

    Attributes:
        close: Whether the connection is closed after the response.
        headers: Additional response headers.
    """

    kind: AnyKind
    detail: str
    run: RunState = RunState.NOT_RUN
    retry_after_ms: int = 0
    ran_status: int = 0
    faults: tuple[FieldFault, ...] = ()
    conflicts: tuple[RowConflict, ...] = ()
    close: bool = False
    headers: tuple[Header, ...] = ()

    @classmethod
    def from_core(cls, problem: Problem) -> ApiProblem:
        """Convert a problem reported by the daemon."""
        return cls(
            kind=problem.kind,
            detail=problem.detail,
            run=problem.run,
            retry_after_ms=problem.retry_after_ms,
            ran_status=problem.ran_status,
        )

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return STATUS_CODES[self.kind]

    def response_headers(self) -> tuple[Header, ...]:
        """Return the response headers other than content type and length."""
        headers = list(self.headers)
        if self.retry_after_ms > 0:
            headers.append(self.retry_after())
        if self.close:
            headers.append((const.ATTR_CONNECTION, b"close"))
        return tuple(headers)

    def retry_after(self) -> Header:
        """Return the header that says when to come back, in whole seconds."""
        seconds = -(-self.retry_after_ms // 1000)
        return const.ATTR_RETRY_AFTER, str(seconds).encode("ascii")

    def body(self, request_id: str) -> bytes:
        """Return the JSON body."""
        document: dict[str, object] = {
            "type": const.PROBLEM_URN_PREFIX + self.kind.value,
            "title": self.kind.value.replace("-", " ").capitalize(),
            "status": self.status,
            "detail": self.detail,
            "kind": self.kind.value,
            "run": self.run.value,
            "request_id": request_id,
        }
        if self.retry_after_ms > 0:
            document["retry_after_ms"] = self.retry_after_ms
        if self.ran_status:
            document["ran_status"] = self.ran_status
        if self.faults:
            document["faults"] = self.faults
        if self.conflicts:
            document["conflicts"] = self.conflicts
        return msgspec.json.encode(document)


def bad_request(detail: str) -> ApiProblem:
    """Return a 400 whose detail names the remedy."""
    return ApiProblem(HttpProblemKind.BAD_REQUEST, detail)


def not_found() -> ApiProblem:
    """Return the 404 shared by unknown names and names of other accounts."""
    return ApiProblem(ProblemKind.NOT_FOUND, NOT_FOUND_DETAIL)


def no_such_service() -> ApiProblem:
    """Return the 404 of a service that the account does not have."""
    return ApiProblem(ProblemKind.NO_SUCH_SERVICE, NO_SERVICE_DETAIL)


def forbidden(detail: str) -> ApiProblem:
    """Return a 403 whose detail names the remedy."""
    return ApiProblem(HttpProblemKind.FORBIDDEN, detail)


def overloaded(detail: str) -> ApiProblem:
    """Return the 503 of an entry host that cannot accept the request now."""
    return ApiProblem(
        ProblemKind.OVERLOAD, detail, retry_after_ms=const.OVERLOAD_RETRY_MS
    )


def overloaded_and_closed(detail: str) -> ApiProblem:
    """Return the same 503 for a connection that is closed after it."""
    return ApiProblem(
        ProblemKind.OVERLOAD,
        detail,
        retry_after_ms=const.OVERLOAD_RETRY_MS,
        close=True,
    )


def body_too_large(max_bytes: int) -> ApiProblem:
    """Return the 413 of a body that is over the limit."""
    detail = f"send at most {max_bytes} bytes in one body"
    return ApiProblem(HttpProblemKind.BODY_TOO_LARGE, detail, close=True)


def body_timeout(timeout_ms: int) -> ApiProblem:
    """Return the 408 of a body that did not arrive in time."""
    detail = f"the body did not arrive within {timeout_ms} ms; send it faster"
    return ApiProblem(HttpProblemKind.BODY_TIMEOUT, detail, close=True)
