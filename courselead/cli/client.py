"""HTTP client of the command line, with failover between entry hosts.

A request goes to the next entry host if no connection was established, so that nothing
was sent. If the exchange failed later, only an idempotent request goes to the next one.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Self

import httpcore
from returns.result import Success

from courselead.cli.const import (
    CONNECT_TIMEOUT_MS,
    HOST_SPECIFIC_KINDS,
    KIND_CONFLICT,
    MAX_ANSWER_BYTES,
    RUN_UNKNOWN,
)
from courselead.cli.errors import (
    CliError,
    Conflict,
    Faults,
    Refused,
    UnknownOutcome,
    Unreachable,
)
from courselead.cli.problems import ProblemView
from courselead.cli.target import Target
from courselead.decoding import JsonDecoder

CONTENT_TYPE_JSON = "application/json"
_ANSWER_TOO_LARGE = "the answer is larger than 64 MiB"

_ANSWER_DECODER = JsonDecoder(dict)

_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_INCOMPLETE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)

Header = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of an entry host.

    Attributes:
        url: URL of the entry host.
    """

    url: str
    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def ok(self) -> bool:
        """Return whether the request was served."""
        return 200 <= self.status < 300

    def problem(self) -> ProblemView:
        """Return the problem described in the answer."""
        return ProblemView.from_body(self.status, self.body)

    def json(self) -> dict:
        """Return the decoded body.

        Raises:
            CliError: The body is not a JSON object.
        """
        decoded = _ANSWER_DECODER.decode(self.body)
        if isinstance(decoded, Success):
            return decoded.unwrap()
        raise CliError(f"{self.url}: the answer is not a JSON object; check the URL")


class Client:
    """Sends each request to the first entry host that answers."""

    def __init__(self, urls: tuple[str, ...], credential: str, timeout_ms: int) -> None:
        """Store the URLs of the entry hosts and the credential for them."""
        self._urls = urls
        self._credential = credential
        self._timeout_ms = timeout_ms

    @classmethod
    def from_target(cls, target: Target) -> Self:
        """Create a client from a command's options."""
        return cls(target.urls(), target.credential(), target.checked_timeout_ms())

    def get(self, path: str) -> dict:
        """Send a GET request and return the decoded answer.

        Raises:
            CliError: It was refused, or no entry host could be reached.
        """
        return _require_served(self.send("GET", path, idempotent=True)).json()

    def post(self, path: str, data: Mapping, *, idempotent: bool = False) -> dict:
        """Send a POST request with JSON and return the decoded answer.

        Args:
            path: Path of the endpoint.
            data: Body.
            idempotent: Whether the request may take effect twice, so that it goes to
                the next entry host if the exchange fails.

        Raises:
            CliError: It was refused, or its outcome is unknown.
        """
        body = json.dumps(data).encode()
        headers = (("Content-Type", CONTENT_TYPE_JSON),)
        answer = self.send(
            "POST", path, body=body, headers=headers, idempotent=idempotent
        )
        return _require_served(answer).json()

    def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Iterable[Header] = (),
        idempotent: bool = False,
    ) -> Answer:
        """Send a request and return the answer of the first entry host that gives one.

        Raises:
            Unreachable: Nothing was sent to any entry host, or a GET request got no
                complete answer.
            UnknownOutcome: It was sent, and no complete answer was received.
        """
        failures: list[str] = []
        sent = False
        refused: Answer | None = None
        for url in self._urls:
            try:
                answer = self._exchange(url, method, path, body, tuple(headers))
            except _NOT_SENT_ERRORS as exc:
                failures.append(_failure_text(url, exc))
                continue
            except _INCOMPLETE_ERRORS as exc:
                failures.append(_failure_text(url, exc))
                sent = True
                if idempotent:
                    continue
                raise UnknownOutcome(_unknown_text(failures)) from exc
            if not idempotent or answer.problem().kind not in HOST_SPECIFIC_KINDS:
                return answer
            refused = answer
        if refused is not None:
            return refused
        if sent and method != "GET":
            raise UnknownOutcome(_unknown_text(failures))
        raise Unreachable(_unreachable_text(failures))

    def _exchange(
        self, url: str, method: str, path: str, body: bytes, headers: tuple[Header, ...]
    ) -> Answer:
        """Send one request on a new connection and read the answer."""
        timeout_s = self._timeout_ms / 1000
        connect_timeout_s = min(CONNECT_TIMEOUT_MS, self._timeout_ms) / 1000
        timeouts = {
            "connect": connect_timeout_s,
            "read": timeout_s,
            "write": timeout_s,
            "pool": timeout_s,
        }
        sent_headers = [
            ("Host", url.removeprefix("http://")),
            ("Authorization", f"Bearer {self._credential}"),
            ("Connection", "close"),
            *headers,
        ]
        if body or method not in ("GET", "HEAD"):
            length = len(body)
            sent_headers.append(("Content-Length", str(length)))
        with (
            httpcore.ConnectionPool(max_connections=1, retries=0) as pool,
            pool.stream(
                method,
                f"{url}{path}",
                headers=sent_headers,
                content=body,
                extensions={"timeout": timeouts},
            ) as response,
        ):
            content = _read_body(response)
            return Answer(url, response.status, tuple(response.headers), content)


def _read_body(response: httpcore.Response) -> bytes:
    """Return the body of an answer of at most `MAX_ANSWER_BYTES`."""
    chunks = []
    size = 0
    for chunk in response.iter_stream():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise httpcore.RemoteProtocolError(_ANSWER_TOO_LARGE)
        chunks.append(chunk)
    return b"".join(chunks)


def _require_served(answer: Answer) -> Answer:
    """Return the answer if the request was served.

    Raises:
        CliError: The answer is a problem; the class of the error sets the exit code.
    """
    if answer.ok:
        return answer
    problem = answer.problem()
    text = f"{answer.url}: {problem.text}"
    if problem.kind == KIND_CONFLICT:
        raise Conflict(text, problem.conflicts)
    if problem.run == RUN_UNKNOWN:
        raise UnknownOutcome(text)
    if problem.faults:
        raise Faults(text, problem.faults)
    raise Refused(text)


def _failure_text(url: str, exc: Exception) -> str:
    """Return a text of why an entry host gave no answer."""
    kind = type(exc).__name__
    return f"{url}: {kind} {exc}".rstrip()


def _unknown_text(failures: list[str]) -> str:
    """Return the message for an unknown outcome."""
    lines = "\n".join(failures)
    return (
        f"the request was sent, but no complete answer was received; it may have "
        f"taken effect, so check before you repeat it\n{lines}"
    )


def _unreachable_text(failures: list[str]) -> str:
    """Return the message for entry hosts that cannot be reached."""
    lines = "\n".join(failures)
    return f"no entry host gave an answer; check --entry-host\n{lines}"
