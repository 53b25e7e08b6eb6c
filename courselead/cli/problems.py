"""Decodes the problem documents (RFC 9457) of an entry host."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Self

from returns.result import Failure

from courselead.core.table_check import TableError
from courselead.decoding import JsonDecoder

_PROBLEM_DECODER = JsonDecoder(dict)


@dataclass(frozen=True, slots=True)
class ProblemView:
    """A decoded problem document.

    Attributes:
        run: `ran`, `not_run` or `unknown`; "" if it is not in the answer.
        conflicts: Rows in conflict, each with `row`, `yours` and `theirs`.
    """

    status: int
    kind: str = ""
    detail: str = ""
    run: str = ""
    request_id: str = ""
    retry_after_ms: int = 0
    conflicts: tuple[Mapping, ...] = ()
    faults: tuple[TableError, ...] = ()

    @classmethod
    def from_body(cls, status: int, body: bytes) -> Self:
        """Decode a problem; a member that is missing or of another type stays empty."""
        decoded = _PROBLEM_DECODER.decode(body)
        if isinstance(decoded, Failure):
            return cls(status)
        data = decoded.unwrap()
        return cls(
            status=status,
            kind=_string(data, "kind"),
            detail=_string(data, "detail"),
            run=_string(data, "run"),
            request_id=_string(data, "request_id"),
            retry_after_ms=_integer(data, "retry_after_ms"),
            conflicts=tuple(_objects(data, "conflicts")),
            faults=tuple(_fault(item) for item in _objects(data, "faults")),
        )

    @property
    def text(self) -> str:
        """Return the problem as one line of text."""
        parts = [self.kind or f"HTTP status {self.status}"]
        if self.detail:
            parts.append(f": {self.detail}")
        if self.retry_after_ms:
            parts.append(f" (try again in {self.retry_after_ms} ms)")
        if self.request_id:
            parts.append(f" [request {self.request_id}]")
        return "".join(parts)


def _string(data: Mapping, name: str) -> str:
    """Return a string member, "" if it is none."""
    value = data.get(name)
    return value if isinstance(value, str) else ""


def _integer(data: Mapping, name: str) -> int:
    """Return an integer member, 0 if it is none."""
    value = data.get(name)
    return value if isinstance(value, int) else 0


def _objects(data: Mapping, name: str) -> list[Mapping]:
    """Return the objects in a list member."""
    value = data.get(name)
    if not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, dict)]


def _fault(item: Mapping) -> TableError:
    """Decode one fault."""
    return TableError(
        _string(item, "row"), _string(item, "column"), _string(item, "message")
    )
