"""Logging of the process: JSON lines on standard error."""

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

# Names of fields that hold a credential or data sent by a caller. Names of sizes, such
# as `body_bytes`, do not match.
_SECRET_NAME = re.compile(
    r"(^|_)(authorization|body|cookies?|credentials?|credential_hash(es)?|headers?"
    r"|passwords?|payload|secrets?|tokens?)$"
)
_MAX_DEPTH = 6
_SECRET_CACHE_SIZE = 1_024
"""Field names whose result is cached: several times as many as are in use."""

EventDict = MutableMapping[str, Any]


def configure(
    level: str, stream: TextIO | None = None, budget: Processor | None = None
) -> None:
    """Send all logs, also those of libraries, to a stream as JSON lines.

    Args:
        level: One of `debug`, `info`, `warning` and `error`.
        stream: Standard error by default.
        budget: A processor that limits the rate of lines.
    """
    shared = [
        *([budget] if budget is not None else []),
        structlog.contextvars.merge_contextvars,
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.format_exc_info,
        drop_secrets,
    ]
    level_number = logging.getLevelNamesMapping()[level.upper()]
    target = stream or sys.stderr
    renderer = structlog.processors.JSONRenderer(default=repr)
    # Lines of this project go straight to the stream; through `logging` each would take
    # twice the time.
    structlog.configure(
        processors=[*shared, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level_number),
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
    root.setLevel(level_number)


@contextmanager
def request_context(
    request_id: str, client_account: str = "", service: str = ""
) -> Iterator[None]:
    """Add a request's id, client account and service to the lines logged within."""
    fields = {
        ATTR_REQUEST_ID: request_id,
        ATTR_CLIENT_ACCOUNT: client_account,
        ATTR_SERVICE: service,
    }
    present = {name: value for name, value in fields.items() if value}
    with structlog.contextvars.bound_contextvars(**present):
        yield


def drop_secrets(_logger: object, _method: str, event: EventDict) -> EventDict:
    """Drop the fields whose names indicate credentials or bodies."""
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
    # Tuples are left as they are: structlog passes its own record and exception
    # information as tuples.
    if isinstance(value, list):
        return [_without_secrets(inner, depth + 1) for inner in value]
    return value


@lru_cache(maxsize=_SECRET_CACHE_SIZE)
def _is_secret(name: object) -> bool:
    normalized = str(name).lower().replace("-", "_")
    return _SECRET_NAME.search(normalized) is not None
