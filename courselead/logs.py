"""The log of the process: JSON lines on standard error."""

from __future__ import annotations

import logging
import re
import sys
from collections.abc import Iterator, MutableMapping
from contextlib import contextmanager
from functools import lru_cache
from typing import Any, TextIO

import structlog
from structlog.typing import Processor

ATTR_REQUEST_ID = "request_id"
ATTR_CLIENT_ACCOUNT = "client_account"
ATTR_SERVICE = "service"

# Names that hold a credential or what a caller sent; sizes of them may pass.
_SECRET = re.compile(
    r"(^|_)(authorization|body|cookies?|credentials?|credential_hash(es)?|headers?"
    r"|passwords?|payload|secrets?|tokens?)$"
)
_MAX_DEPTH = 6
_KNOWN_NAMES = 1_024
"""Names of fields whose verdict is kept: several times as many as there are."""

EventDict = MutableMapping[str, Any]


def configure(
    level: str, stream: TextIO | None = None, budget: Processor | None = None
) -> None:
    """Send all logs, also those of libraries, to a stream as JSON lines.

    Args:
        level: One of `debug`, `info`, `warning` and `error`.
        stream: Standard error by default.
        budget: A processor that drops lines of which there are too many.
    """
    shared = [
        *([budget] if budget is not None else []),
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        drop_secrets,
    ]
    number = logging.getLevelNamesMapping()[level.upper()]
    target = stream or sys.stderr
    renderer = structlog.processors.JSONRenderer(default=repr)
    # Own lines go straight to the stream: by way of `logging` each costs twice as much.
    structlog.configure(
        processors=[*shared, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        logger_factory=structlog.WriteLoggerFactory(target),
        cache_logger_on_first_use=False,
    )
    handler = logging.StreamHandler(target)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=shared,
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                renderer,
            ],
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(number)


@contextmanager
def request_context(
    request_id: str, client_account: str = "", service: str = ""
) -> Iterator[None]:
    """Put a request's names on every line logged within."""
    fields = {
        ATTR_REQUEST_ID: request_id,
        ATTR_CLIENT_ACCOUNT: client_account,
        ATTR_SERVICE: service,
    }
    given = {name: value for name, value in fields.items() if value}
    with structlog.contextvars.bound_contextvars(**given):
        yield


def drop_secrets(_logger: object, _method: str, event: EventDict) -> EventDict:
    """Drop the fields whose names say that they hold credentials or bodies."""
    return _without_secrets(event, 0)


def _without_secrets(value: Any, depth: int) -> Any:
    if depth > _MAX_DEPTH:
        return "..."
    if isinstance(value, dict):
        kept = {}
        for name, inner in value.items():
            if _is_secret(name):
                continue
            kept[name] = _without_secrets(inner, depth + 1)
        return kept
    # structlog passes its own record and exception information as tuples.
    if isinstance(value, list):
        return [_without_secrets(inner, depth + 1) for inner in value]
    return value


@lru_cache(maxsize=_KNOWN_NAMES)
def _is_secret(name: object) -> bool:
    plain = str(name).lower().replace("-", "_")
    return _SECRET.search(plain) is not None
