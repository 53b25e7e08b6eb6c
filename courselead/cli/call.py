"""The command `courselead call`: sends one request to a service."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from courselead.cli import files
from courselead.cli.client import Answer, Client, Header
from courselead.cli.const import PATH_SERVICES, RUN_UNKNOWN
from courselead.cli.errors import ExitCode, UsageError
from courselead.cli.output import emit_bytes, warn
from courselead.cli.table import DEFAULT_TARGET
from courselead.cli.target import Target
from courselead.core.table_columns import is_valid_name

IDEMPOTENT_METHODS = ("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE")
METHODS = (*IDEMPOTENT_METHODS, "POST", "PATCH")
CONTENT_TYPE_PROBLEM = b"application/problem+json"

Text = Annotated[str, Parameter()]


def call(
    method: Annotated[str, Parameter(help="GET, POST and so on.")],
    service: Annotated[str, Parameter(help="Service of the client account.")],
    path: Annotated[str, Parameter(help="Path and query at the service.")],
    /,
    *,
    data_file: Annotated[
        Path | None, Parameter(help="File with the body, - for standard input.")
    ] = None,
    header: Annotated[
        tuple[str, ...],
        Parameter(negative="", help="Header as NAME:VALUE; repeat it for more."),
    ] = (),
    request_class: Annotated[
        str, Parameter(name="--class", help="urgent, normal or batch.")
    ] = "",
    deadline_ms: Annotated[
        int | None, Parameter(help="Time for the answer, in milliseconds.")
    ] = None,
    idempotency_key: Annotated[
        str, Parameter(help="Key; requests with the same key run at most once.")
    ] = "",
    idempotent: Annotated[
        bool,
        Parameter(negative="", help="The request may run twice, whatever its method."),
    ] = False,
    target: Target = DEFAULT_TARGET,
) -> int:
    """Send one request to a service and write the answer's body."""
    method = method.upper()
    _check_request_line(method, service, path)
    headers = [_parse_header(item) for item in header]
    if request_class:
        headers.append(("Courselead-Class", request_class))
    if deadline_ms is not None:
        headers.append(("Courselead-Deadline-Ms", str(deadline_ms)))
    if idempotency_key:
        headers.append(("Idempotency-Key", idempotency_key))
    if idempotent:
        headers.append(("Courselead-Idempotent", "?1"))
    for name, value in headers:
        _check_header(name, value)
    service_path = path.removeprefix("/")
    answer = Client.from_target(target).send(
        method,
        f"{PATH_SERVICES}/{service}/{service_path}",
        body=files.read_body(data_file) if data_file else b"",
        headers=headers,
        idempotent=idempotent or method in IDEMPOTENT_METHODS,
    )
    return _write_answer(answer)


def _write_answer(answer: Answer) -> int:
    """Write the answer and return the exit code."""
    if answer.ok:
        emit_bytes(answer.body)
        return ExitCode.OK
    if not _is_problem(answer):
        warn(f"HTTP status {answer.status}")
        emit_bytes(answer.body)
        return ExitCode.REFUSED
    problem = answer.problem()
    warn(f"{answer.url}: {problem.text}")
    if problem.run == RUN_UNKNOWN:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


def _is_problem(answer: Answer) -> bool:
    """Return whether the answer is a problem reported by the entry host itself."""
    for name, value in answer.headers:
        if name.lower() == b"content-type" and value.startswith(CONTENT_TYPE_PROBLEM):
            return bool(answer.problem().run)
    return False


def _check_request_line(method: str, service: str, path: str) -> None:
    """Check the parts of the request line."""
    if method not in METHODS:
        allowed = ", ".join(METHODS)
        raise UsageError(f"{method!r} is not a supported method; use one of {allowed}")
    if not is_valid_name(service):
        raise UsageError(f"{service!r} is not a valid service name; see the table")
    if not path.isascii() or not path.isprintable() or " " in path or "#" in path:
        raise UsageError("percent-encode spaces and special characters in the path")


def _parse_header(item: str) -> Header:
    """Parse a header of the form NAME:VALUE."""
    name, colon, value = item.partition(":")
    if not colon:
        raise UsageError(f"{item!r} is not a header; give NAME:VALUE")
    return name.strip(), value.strip()


def _check_header(name: str, value: str) -> None:
    """Check a header; headers that the client sets itself are refused."""
    reserved = ("host", "authorization", "connection", "content-length")
    bare_name = name.replace("-", "").replace("_", "")
    if not bare_name.isascii() or not bare_name.isalnum() or name.lower() in reserved:
        raise UsageError(f"the header {name!r} cannot be given; leave it out")
    if not value.isascii() or not value.isprintable():
        raise UsageError(
            f"the value of {name} has characters outside printable ASCII; correct it"
        )
