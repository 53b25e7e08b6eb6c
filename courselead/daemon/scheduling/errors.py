"""Unexpected errors of a host's tasks."""

from __future__ import annotations


def leaf_errors(exc: BaseException) -> list[BaseException]:
    """Return the errors within nested exception groups, which task groups raise."""
    if not isinstance(exc, BaseExceptionGroup):
        return [exc]
    found = []
    for error in exc.exceptions:
        found.extend(leaf_errors(error))
    return found
